package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// snapshotWithoutEnd kills the owner just after it has stored the last part of a snapshot
// of its state. It then looks for tasks that started again after an end "done" that was
// taken note of.
func snapshotWithoutEnd(rec *record, trouble bool) (verdict, error) {
	const (
		// The hosts are one region away from the store: 20 ms each way, and 4 ms for
		// an answer.
		answerDelay = 44 * time.Millisecond
		jobInterval = 22 * time.Millisecond
		trafficTime = 75 * time.Second
		maxKills    = 3
		restartTime = 800 * time.Millisecond
	)
	f, err := newFleet(rec, bounds{MaxHoldMS: 6000})
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	for range 8 {
		if _, err := f.addWorker(32000, "a", "r1"); err != nil {
			return verdict{}, err
		}
	}
	f.putConfig("q0")
	for range 3 {
		h, err := f.addHost(answerDelay, siteMemoryMB)
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
	kills, lastKill := 0, time.Time{}
	f.store.mu.Lock()
	f.store.onWrite = func(host, key string, value []byte) {
		if !strings.HasPrefix(key, "banyanrun/log/") || !bytes.Contains(value, []byte(`"snap_last":true`)) {
			return
		}
		rec.add("%s stores the last part of a snapshot as %s", host, key)
		if !trouble || kills == maxKills || time.Since(lastKill) < 8*time.Second {
			return
		}
		kills, lastKill = kills+1, time.Now()
		h := f.host(host)
		f.kill(h)
		time.AfterFunc(restartTime, func() { _ = f.start(h) })
	}
	f.store.mu.Unlock()

	var clients sync.WaitGroup
	accepted, answered := 0, sync.Mutex{}
	for end, n := time.Now().Add(trafficTime), 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%016x", rand.Uint64())
		clients.Add(1)
		go func() {
			defer clients.Done()
			first := step{Count: 2, CPU: 1000, MemMB: 100, EstimateMS: 300}
			second := first
			second.After = []int{0}
			body := jobBody(taskSpec{MS: 300}, first, second)
			if f.submit(n, "q0", id, body) == http.StatusOK {
				answered.Lock()
				accepted++
				answered.Unlock()
			}
		}()
		time.Sleep(jobInterval)
	}
	clients.Wait()
	time.Sleep(6 * time.Second)
	again := startsAfterDone(f.hist, rec)
	text := fmt.Sprintf("%d jobs accepted, %d kills, %d starts of a task after an end done that was taken note of", accepted, kills, len(again))
	return verdict{broken: len(again) > 0, text: text}, nil
}

// startsAfterDone returns the runs that started after an earlier run of the task had ended
// "done", if that end was taken note of and the worker's lease did not lapse in between.
func startsAfterDone(h *history, rec *record) []*runEntry {
	h.mu.Lock()
	defer h.mu.Unlock()
	done := map[string]*runEntry{}
	for _, e := range h.runs {
		if e.How == "done" && !e.Seen.IsZero() && !e.lapsed && (done[e.Task] == nil || e.Ended.Before(done[e.Task].Ended)) {
			done[e.Task] = e
		}
	}
	var again []*runEntry
	for _, e := range h.runs {
		if d := done[e.Task]; d != nil && e.Began.After(d.Ended) {
			again = append(again, e)
			rec.add("TWICE: %s run %d on %s ended done at %.3f s, taken note of at %.3f s; run %d started on %s at %.3f s", d.Task, d.Run, d.Worker,
				rec.seconds(d.Ended), rec.seconds(d.Seen), e.Run, e.Worker, rec.seconds(e.Began))
		}
	}
	return again
}
