package core

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// failuresToQuarantine is how many different jobs must fail in a row on a
	// worker before it is taken out of use.
	jobFailuresToQuarantine = 3
	// quarantineFirst and quarantineMost bound how long a worker is out of
	// use. The time doubles with each return that fails.
	minQuarantine = 30 * time.Second
	maxQuarantine = 10 * time.Minute
	// quarantineShare bounds the workers out of use at a time, so that a
	// fault of the jobs cannot empty the cell.
	maxQuarantinedShare = 0.10
	// workersToBlameJob is on how many different workers a job must fail to
	// be ended as its own fault.
	workersToFailJob = 3
)

// workerHealth counts the failures of different jobs in a row on one worker.
type workerHealth struct {
	failedJobs  []JobID
	quarantined bool
	until       Time
	period      time.Duration
}

// noteSuccess clears the failures of a worker.
func (r *Reducer) recordSuccess(w *worker) {
	w.health.failedJobs, w.health.period = nil, 0
}

// noteFailure counts a failure and takes the worker out of use if several
// different jobs have failed there in a row.
func (r *Reducer) recordFailure(w *worker, j *job) {
	h := &w.health
	if !slices.Contains(h.failedJobs, j.spec.ID) {
		h.failedJobs = append(h.failedJobs, j.spec.ID)
	}
	onTrial := h.period > 0
	if h.quarantined || (len(h.failedJobs) < jobFailuresToQuarantine && !onTrial) || !r.mayQuarantine() {
		return
	}
	h.period = min(max(2*h.period, minQuarantine), maxQuarantine)
	h.quarantined, h.until = true, r.now.Add(h.period)
	h.failedJobs = nil
	r.emit(Log{Level: LogWarn, Message: "worker out of use after failures of different jobs", Worker: w.id})
	r.fleet.refreshIndex(w)
}

// mayQuarantine reports whether one more worker may be taken out of use.
func (r *Reducer) mayQuarantine() bool {
	out := 0
	for _, w := range r.fleet.workers {
		if w.health.quarantined {
			out++
		}
	}
	return float64(out) < max(1, maxQuarantinedShare*float64(len(r.fleet.workers)))
}

// tickHealth puts workers back into use.
func (r *Reducer) tickHealth() {
	for _, w := range r.fleet.workers {
		if w.health.quarantined && r.now >= w.health.until {
			w.health.quarantined = false
			r.fleet.refreshIndex(w)
			r.fleet.markFreed(w)
		}
	}
}

// sortPlacements orders placements by job and task.
func sortPlacements(p []placement) {
	slices.SortFunc(p, func(a, b placement) int {
		if c := strings.Compare(string(a.job.spec.ID), string(b.job.spec.ID)); c != 0 {
			return c
		}
		return cmp.Compare(a.task.index, b.task.index)
	})
}
