package main

import (
	"fmt"
	"net/http"
	"time"
)

// lastingTaskWaits runs a service of several tasks that last. Each of its runs fails now
// and then by its own fault. The case looks for a task that is not started again although
// sound workers have room for all tasks of the service many times over.
func lastingTaskWaits(rec *record, trouble bool) (verdict, error) {
	const (
		tasks = 12
		// The rule allows 6 s after a run, and 3 s without one.
		allowed  = 9 * time.Second
		playTime = 100 * time.Second
	)
	f, err := newFleet(rec, bounds{MaxHoldMS: 10000})
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	for i := range 12 {
		kind := "a"
		if i < 2 {
			kind = "b"
		}
		if _, err := f.addWorker(16000, kind, "r1"); err != nil {
			return verdict{}, err
		}
	}
	f.putConfig("q0")
	for range 3 {
		h, err := f.addHost(4 * time.Millisecond)
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
	spec := taskSpec{}
	if trouble {
		spec = taskSpec{FailMinMS: 5000, FailMaxMS: 12000}
	}
	id := newID()
	if status := f.submit(0, "q0", id, jobBody(spec, step{Count: tasks, CPU: 1000, MemMB: 100, Constraints: "b", LongRunning: true})); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the job got status %d", status)
	}
	time.Sleep(playTime)
	f.hist.mu.Lock()
	defer f.hist.mu.Unlock()
	last, longest, late, failed := map[string]*runEntry{}, time.Duration(0), 0, 0
	check := func(task string, from, to time.Time, next string) {
		gap := to.Sub(from)
		longest = max(longest, gap)
		if gap > allowed {
			late++
			rec.add("LOST: %s has not run from %.3f s to %.3f s (%.1f s); %s", task, rec.seconds(from), rec.seconds(to), gap.Seconds(), next)
		}
	}
	for _, e := range f.hist.runs {
		if p := last[e.Task]; p != nil {
			check(e.Task, p.Ended, e.Began, "then it started on "+e.Worker)
		}
		last[e.Task] = e
		if e.How == "failed" {
			failed++
		}
	}
	for task, e := range last {
		if !e.Ended.IsZero() {
			check(task, e.Ended, time.Now(), "it has not started again")
		}
	}
	text := fmt.Sprintf("%d tasks, %d runs failed by their own fault, %d times a task waited over 9 s, at most %.1f s", len(last), failed, late, longest.Seconds())
	return verdict{broken: late > 0, text: text}, nil
}
