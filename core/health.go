package core

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// jobFailuresToQuarantine is the number of different jobs that must fail in a
	// row on a worker before it is quarantined.
	jobFailuresToQuarantine = 3
	// minQuarantine and maxQuarantine bound the length of a quarantine. It doubles
	// each time the worker fails again before a success.
	minQuarantine = 30 * time.Second
	maxQuarantine = 10 * time.Minute
	// maxQuarantinedShare bounds the share of workers in quarantine at the same
	// time, so that faulty jobs cannot empty the data centre.
	maxQuarantinedShare = 0.10
	// workersToFailJob is the number of different workers on which a job must fail
	// before the failure is attributed to the job.
	workersToFailJob = 3
)

// workerHealth tracks the consecutive failures of different jobs on one worker.
type workerHealth struct {
	failedJobs       []JobID
	quarantined      bool
	quarantinedUntil Time
	quarantineLength time.Duration
}

// recordSuccess clears the failures of a worker.
func (r *Reducer) recordSuccess(w *worker) {
	w.health.failedJobs, w.health.quarantineLength = nil, 0
}

// recordFailure counts a failure, and quarantines the worker if several different
// jobs in a row, or the first one after a quarantine, have failed on it.
func (r *Reducer) recordFailure(w *worker, j *job) {
	h := &w.health
	if !slices.Contains(h.failedJobs, j.spec.ID) {
		h.failedJobs = append(h.failedJobs, j.spec.ID)
	}
	wasQuarantined := h.quarantineLength > 0
	if h.quarantined || (len(h.failedJobs) < jobFailuresToQuarantine && !wasQuarantined) || !r.mayQuarantine() {
		return
	}
	h.quarantineLength = min(max(2*h.quarantineLength, minQuarantine), maxQuarantine)
	h.quarantined, h.quarantinedUntil = true, r.now.Add(h.quarantineLength)
	h.failedJobs = nil
	r.emit(Log{Level: LogWarn, Message: "worker out of use after failures of different jobs", Worker: w.id})
	r.fleet.refreshIndex(w)
}

// mayQuarantine reports whether another worker may be quarantined.
func (r *Reducer) mayQuarantine() bool {
	quarantined := 0
	for _, w := range r.fleet.workers {
		if w.health.quarantined {
			quarantined++
		}
	}
	return float64(quarantined) < max(1, maxQuarantinedShare*float64(len(r.fleet.workers)))
}

// tickHealth ends the quarantines that have expired.
func (r *Reducer) tickHealth() {
	for _, w := range r.fleet.workers {
		if w.health.quarantined && r.now >= w.health.quarantinedUntil {
			w.health.quarantined = false
			r.fleet.refreshIndex(w)
			r.fleet.markFreed(w)
		}
	}
}

// sortPlacements sorts placements by job and task.
func sortPlacements(p []placement) {
	slices.SortFunc(p, func(a, b placement) int {
		if c := strings.Compare(string(a.job.spec.ID), string(b.job.spec.ID)); c != 0 {
			return c
		}
		return cmp.Compare(a.task.index, b.task.index)
	})
}
