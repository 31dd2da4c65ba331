package core

import (
	"math"
	"time"
)

const (
	// initialCallLimit is the limit of a worker whose response times are not known
	// yet.
	initialCallLimit = 8
	// minCallLimit and maxCallLimit bound the limit.
	minCallLimit = 1
	maxCallLimit = 1024
	// latencyTolerance is the ratio of the mean response time to the baseline above
	// which the limit shrinks.
	latencyTolerance = 2.0
	// callLimitSmoothing is the weight of a new limit in the moving average.
	callLimitSmoothing = 0.2
	// baselineDrift raises the baseline slowly, so that work that has become
	// permanently slower does not shrink the limit forever.
	baselineDrift = 1.002
)

// callLimit adapts the number of concurrent calls of one kind at one worker to its
// response times. Response times that rise at the same load mean that calls queue
// at the worker; the limit then shrinks until they no longer do.
type callLimit struct {
	limit float64
	// baseline is the lowest recent mean response time.
	baseline time.Duration
}

// observe updates the limit with the mean response time of calls that finished
// while inUse calls were in progress.
func (l *callLimit) observe(mean time.Duration, inUse int) {
	if mean <= 0 {
		return
	}
	if l.limit == 0 {
		l.limit, l.baseline = initialCallLimit, mean
	}
	l.baseline = min(mean, time.Duration(float64(l.baseline)*baselineDrift)+1)
	gradient := min(1, latencyTolerance*float64(l.baseline)/float64(mean))
	if gradient == 1 && float64(inUse) < l.limit/2 {
		return // The load is not held back by the limit.
	}
	next := l.limit*max(0.5, gradient) + math.Sqrt(l.limit)*gradient*0.5
	l.limit += callLimitSmoothing * (next - l.limit)
	l.limit = min(max(l.limit, minCallLimit), maxCallLimit)
}

// current returns the limit in whole calls.
func (l *callLimit) current() int {
	if l.limit == 0 {
		return initialCallLimit
	}
	return int(l.limit)
}

// callLimitOf returns the limit of a kind at a worker and creates it if needed.
func (w *worker) callLimitOf(key queueKey) *callLimit {
	l := w.limits[key]
	if l == nil {
		if w.limits == nil {
			w.limits = map[queueKey]*callLimit{}
		}
		l = &callLimit{}
		w.limits[key] = l
	}
	return l
}

// recordCallResults updates the health and the call limits of workers with finished
// calls.
func (r *Reducer) recordCallResults(calls []CallReport) {
	for _, c := range calls {
		w := r.fleet.get(c.Worker)
		if w == nil || c.Finished == 0 {
			continue
		}
		r.recordSuccess(w)
		l := w.callLimitOf(queueKey{c.Team, c.Kind})
		l.observe(c.Latency/time.Duration(c.Finished), c.InUse+c.Finished)
	}
}

// grantedCalls returns the number of calls of a kind that all hosts together are
// granted at a worker.
func (g *grantTable) grantedCalls(key queueKey, w WorkerID) int {
	n := 0
	for _, h := range g.hosts {
		for _, e := range h.entries {
			if e.queue == key && e.worker == w {
				n += e.target
			}
		}
	}
	return n
}
