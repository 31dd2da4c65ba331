package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// timedJobs hands in jobs that repeat, whose occurrences are due earlier than the workers
// can run them. The case looks for jobs that have nothing running although occurrences
// are due and most of the service is free.
func timedJobs(rec *record, trouble bool) (verdict, error) {
	const (
		jobs, callers  = 1200, 4
		workers, cpu   = 12, 16_000
		rate           = 45
		finish         = 14 * time.Second
		watchTime      = 45 * time.Second
		repeat, fewer  = 200, 20
		intervalMS, ms = 100, 1000
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
	for range 3 {
		h, err := f.addHost(4*time.Millisecond, siteMemoryMB)
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
	count := repeat
	if !trouble {
		count = fewer
	}
	spec, err := json.Marshal(taskSpec{MS: ms})
	if err != nil {
		return verdict{}, err
	}
	// All jobs are due at the same time, when the last one has been handed in.
	first := time.Now().Add(jobs*time.Second/rate + 3*time.Second)
	var mu sync.Mutex
	accepted := map[string]bool{}
	var wg sync.WaitGroup
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			next := time.NewTicker(time.Second * callers / rate)
			defer next.Stop()
			for range jobs / callers {
				<-next.C
				id := newID()
				body, _ := json.Marshal(map[string]any{
					"spec": string(spec), "steps": []step{{Count: 1, CPU: taskCPU, MemMB: 100, EstimateMS: ms}},
					"repeat_count": count, "first_ms": first.UnixMilli(), "interval_ms": intervalMS,
				})
				if f.submit(n, "q0", id, body) == http.StatusOK {
					mu.Lock()
					accepted[id] = true
					mu.Unlock()
				}
			}
		}()
	}
	wg.Wait()
	time.Sleep(finish)
	watched := f.watchIdle(accepted, workers*cpu, watchTime)
	lost := watched.lost(rec)
	text := fmt.Sprintf("%d jobs accepted, %d had nothing running for 3 s with half of the service free, at most %.1f s; at least %d of %d cores were in use",
		len(accepted), lost, watched.longest.Seconds(), watched.leastUsed/1000, workers*cpu/1000)
	return verdict{broken: lost > 0, text: text}, nil
}
