package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// pendingAfterRefusal lets a worker crash while it is the only one with room, and hands in
// jobs. Their starts reach nothing, and they wait until other tasks end. It then asks each
// host how many jobs wait.
func pendingAfterRefusal(rec *record, trouble bool) (verdict, error) {
	const (
		jobs = 8
		// visible is visible_ms and 2 s, after which a job that has not begun counts.
		visible = 5 * time.Second
		// fillTime is how long the tasks take that fill the other workers.
		fillTime = 20 * time.Second
	)
	f, err := newFleet(rec, bounds{MaxHoldMS: 10000})
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	for range 8 {
		if _, err := f.addWorker(16000, "a", "r1"); err != nil {
			return verdict{}, err
		}
	}
	f.putConfig("q0", "q1")
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
	time.Sleep(3 * time.Second)
	// The first queue is urgent and fills all workers but one.
	fill := jobBody(taskSpec{MS: fillTime.Milliseconds()}, step{Count: len(f.workers) - 1, CPU: 16000, MemMB: 100, EstimateMS: fillTime.Milliseconds()})
	if status := f.submit(0, "q0", newID(), fill); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the filling job got status %d", status)
	}
	time.Sleep(2 * time.Second)
	free := idleWorker(f)
	if free == nil {
		return verdict{}, fmt.Errorf("no worker is idle")
	}
	rec.add("%s is the only worker with room", free.id)
	if trouble {
		free.crash()
	}
	ids, confirmed := map[string]bool{}, time.Time{}
	for i := range jobs {
		id := newID()
		body := jobBody(taskSpec{MS: 1000}, step{Count: 1, CPU: 2000, MemMB: 100, EstimateMS: 1000})
		if status := f.submit(i, "q1", id, body); status != http.StatusOK {
			return verdict{}, fmt.Errorf("a job got status %d", status)
		}
		ids[id] = true
		confirmed = time.Now()
	}
	time.Sleep(time.Until(confirmed.Add(visible + 500*time.Millisecond)))
	wrong := 0
	for range 8 {
		for _, h := range f.hosts {
			waiting := waitingJobs(f, ids)
			status, text := f.call(h, http.MethodGet, "/q1/", nil)
			var answer struct {
				Pending int `json:"pending"`
			}
			if status != http.StatusOK || json.Unmarshal(text, &answer) != nil {
				rec.add("%s answers %d to GET q1/", h.name, status)
				continue
			}
			rec.add("%s answers pending %d; %d jobs were accepted over %.1f s ago and have not begun", h.name, answer.Pending, waiting, visible.Seconds())
			if 2*answer.Pending < waiting {
				wrong++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	text := fmt.Sprintf("%d of 24 answers give under half of the jobs that wait", wrong)
	return verdict{broken: wrong > 0, text: text}, nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// idleWorker returns a worker without runs.
func idleWorker(f *fleet) *worker {
	for _, w := range f.workers {
		w.mu.Lock()
		idle := len(w.runs) == 0
		w.mu.Unlock()
		if idle {
			return w
		}
	}
	return nil
}

// waitingJobs returns how many of the jobs have not had a start on any worker.
func waitingJobs(f *fleet, ids map[string]bool) int {
	f.hist.mu.Lock()
	defer f.hist.mu.Unlock()
	begun := map[string]bool{}
	for _, e := range f.hist.runs {
		if id := e.Task[:jobIDLength]; ids[id] {
			begun[id] = true
		}
	}
	return len(ids) - len(begun)
}

// jobIDLength is the length of a job's id, with which the names of its tasks begin.
const jobIDLength = 16
