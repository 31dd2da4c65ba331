package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// timedJob is the body of a job that repeats.
type timedJob struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	Repeat     int    `json:"repeat_count"`
	FirstMS    int64  `json:"first_ms"`
	IntervalMS int64  `json:"interval_ms"`
}

// lostWorkerBlocksAll hands in jobs that repeat, in which one of two first steps needs the
// only worker with a certain label. That worker is lost for good. The case looks at another
// job, which needs no particular worker: whether its occurrences still run when they are
// due.
func lostWorkerBlocksAll(rec *record, trouble bool) (verdict, error) {
	const (
		workers, cpu = 12, 16_000
		finish       = 14 * time.Second
		watchTime    = 75 * time.Second
		taskMS       = 100
		wideJobs     = 4
	)
	f, err := newFleet(rec, bounds{MaxHoldMS: 10000})
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	for i := range workers {
		labels := []string{"a", "r1"}
		if i == 0 {
			labels = append(labels, "b")
		}
		if _, err := f.addWorker(cpu, labels...); err != nil {
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
	time.Sleep(2 * time.Second)
	spec, err := json.Marshal(taskSpec{MS: taskMS})
	if err != nil {
		return verdict{}, err
	}
	begin := time.Now().Add(time.Second).UnixMilli()
	small := step{Count: 1, CPU: smallCPU, MemMB: 10, EstimateMS: taskMS}
	labelled, wide := small, small
	labelled.Constraints = "b"
	wide.Count, wide.Gang, wide.After = 10, true, []int{0, 1}
	plain := newID()
	type submission struct {
		queue, id string
		job       timedJob
	}
	submissions := []submission{
		{"q0", plain, timedJob{string(spec), []step{small}, 400, begin, 500}},
		{"q1", newID(), timedJob{string(spec), []step{small, labelled}, 4000, begin, 33}},
	}
	for range wideJobs {
		submissions = append(submissions, submission{"q1", newID(), timedJob{string(spec), []step{small, labelled, wide}, 1600, begin, 33}})
	}
	for _, s := range submissions {
		body, err := json.Marshal(s.job)
		if err != nil {
			return verdict{}, err
		}
		if status := f.submit(0, s.queue, s.id, body); status != http.StatusOK {
			return verdict{}, fmt.Errorf("a job got status %d", status)
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		f.workers[0].crash()
	}
	time.Sleep(finish)
	watched := f.watchIdle(map[string]bool{plain: true}, workers*cpu, smallCPU, watchTime)
	lost := watched.lost(rec)
	status, text := f.call(f.hosts[0], http.MethodGet, "/q0/"+plain, nil)
	rec.add("the plain job is given as %d %s", status, text)
	return verdict{broken: lost > 0, text: fmt.Sprintf(
		"the plain job had nothing running for up to %.1f s; at least %.1f of %d cores were in use", watched.longest.Seconds(),
		float64(watched.leastUsed)/1000, workers*cpu/1000)}, nil
}

// smallCPU is what a task of this case needs.
const smallCPU = 100
