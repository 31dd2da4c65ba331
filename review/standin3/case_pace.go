package main

import (
	"fmt"
	"net/http"
	"time"
)

// paceAnswerLost runs a task that serves beside one that fills, which disturbs it. The
// answer of one pace order is lost. The case looks for spans of harm_ms in which the
// serving task is over its target while the other one works on.
func paceAnswerLost(rec *record, trouble bool) (verdict, error) {
	const (
		targetMS = 50
		// quietMS is the tail of the serving task's response times alone, disturbedMS
		// the one beside a task that fills and works, at whatever share.
		quietMS, disturbedMS = 20, 90
		harm                 = 4 * time.Second
		contact              = 4 * time.Second
		loseAfter            = 8 * time.Second
		playTime             = 45 * time.Second
		samplePeriod         = 20 * time.Millisecond
	)
	f, err := newFleet(rec, bounds{MaxHoldMS: 10000})
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	for _, kind := range []string{"b", "a", "a", "a"} {
		if _, err := f.addWorker(16000, kind, "r1"); err != nil {
			return verdict{}, err
		}
	}
	shared := f.workers[0]
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
	time.Sleep(2 * time.Second)
	// The lock of the worker is held when these functions are called.
	fillerWorks := func(w *worker) bool {
		for _, r := range w.runs {
			if r.spec.Image == "fill" && r.pace > 0 {
				return true
			}
		}
		return false
	}
	lostAt := time.Time{}
	playedFrom := time.Now()
	shared.mu.Lock()
	shared.usage = func(w *worker, r *workerRun) int64 {
		switch {
		case r.spec.Image != "serve":
			return 1000
		case fillerWorks(w):
			return disturbedMS
		}
		return quietMS
	}
	shared.loseAnswer = func(path string, in callBody) bool {
		if !trouble || !lostAt.IsZero() || path != "/v1/pace" || in.Percent == 0 || time.Since(playedFrom) < loseAfter {
			return false
		}
		lostAt = time.Now()
		return true
	}
	shared.mu.Unlock()
	serve := step{Count: 1, CPU: 4000, MemMB: 100, Constraints: "b", LongRunning: true, Image: "serve", TargetMS: targetMS}
	fill := step{Count: 1, CPU: 4000, MemMB: 100, Constraints: "b", LongRunning: true, Image: "fill", Fills: true}
	if status := f.submit(0, "q0", newID(), jobBody(taskSpec{Image: "serve"}, serve)); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the serving job got status %d", status)
	}
	if status := f.submit(1, "q1", newID(), jobBody(taskSpec{Image: "fill"}, fill)); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the filling job got status %d", status)
	}
	var overSince time.Time
	longest := time.Duration(0)
	for time.Since(playedFrom) < playTime {
		shared.mu.Lock()
		over, lost := fillerWorks(shared), lostAt
		shared.mu.Unlock()
		// Only calm time counts: before the loss of the answer, or contact_ms after it.
		if calm := lost.IsZero() || time.Since(lost) > contact; !over || !calm {
			overSince = time.Time{}
		} else if overSince.IsZero() {
			overSince = time.Now()
		} else {
			longest = max(longest, time.Since(overSince))
		}
		time.Sleep(samplePeriod)
	}
	text := fmt.Sprintf("the serving task was over its target beside a working task that fills for up to %.1f s on end, calm time only", longest.Seconds())
	return verdict{broken: longest >= harm, text: text}, nil
}
