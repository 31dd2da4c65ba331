package main

import (
	"fmt"
	"net/http"
	"time"
)

// smallerHost hands in large jobs while all hosts have much memory, and then adds a host
// that has less. The case looks for jobs that have nothing running although their tasks'
// turn has come and most of the service is free.
func smallerHost(rec *record, trouble bool) (verdict, error) {
	const (
		largeMB, smallMB = 536, 184
		jobs, tasks      = 24, 20_000
		workers, cpu     = 12, 16_000
		taskCPU          = 1000
		finish           = 14 * time.Second
		watchTime        = 40 * time.Second
	)
	f, err := newFleet(rec, bounds{MaxHoldMS: 10000})
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	for range workers {
		if _, err := f.addWorker(cpu, "a", "r1"); err != nil {
			return verdict{}, err
		}
	}
	f.putConfig("q0")
	for range 2 {
		h, err := f.addHost(4*time.Millisecond, largeMB)
		if err != nil {
			return verdict{}, err
		}
		if err := f.start(h); err != nil {
			return verdict{}, err
		}
	}
	if err := f.waitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	accepted := map[string]bool{}
	for range jobs {
		id := newID()
		body := jobBody(taskSpec{MS: 1500}, step{Count: tasks, CPU: taskCPU, MemMB: 100, EstimateMS: 1500})
		if f.submit(0, "q0", id, body) == http.StatusOK {
			accepted[id] = true
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		h, err := f.addHost(4*time.Millisecond, smallMB)
		if err != nil {
			return verdict{}, err
		}
		if err := f.start(h); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(finish)
	watched := f.watchIdle(accepted, workers*cpu, taskCPU, watchTime)
	states := map[string]int{}
	for id := range accepted {
		status, text := f.call(f.hosts[0], http.MethodGet, "/q0/"+id, nil)
		states[fmt.Sprintf("%d %s", status, text)]++
	}
	rec.add("answers at the end: %v", states)
	lost := watched.lost(rec)
	text := fmt.Sprintf("%d jobs accepted, %d had nothing running for 3 s with half of the service free, at most %.1f s; at least %d of %d cores were in use",
		len(accepted), lost, watched.longest.Seconds(), watched.leastUsed/1000, workers*cpu/1000)
	return verdict{broken: lost > 0, text: text}, nil
}
