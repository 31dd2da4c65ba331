package bench

import (
	"math/rand/v2"
	"time"

	"banyanrun.example/banyanrun/core"
)

// placementPolicy returns the index of the worker for a request, or -1 if none
// has enough free capacity.
type placementPolicy func(free []core.Resources, need core.Resources) int

// firstFit selects the first worker with enough free capacity.
func firstFit(free []core.Resources, need core.Resources) int {
	for i := range free {
		if need.Fits(free[i]) {
			return i
		}
	}
	return -1
}

// randomFit selects the first worker with enough free capacity at or after a
// random index.
func randomFit(rng *rand.Rand) placementPolicy {
	return func(free []core.Resources, need core.Resources) int {
		offset := rng.IntN(len(free))
		for i := range free {
			if n := (offset + i) % len(free); need.Fits(free[n]) {
				return n
			}
		}
		return -1
	}
}

// baselineScheduler is a reference scheduler with a single FIFO queue and no
// quotas, urgency, journal or preemption. It skips jobs that do not fit.
type baselineScheduler struct {
	virtualClock
	pick  placementPolicy
	free  []core.Resources
	trace *Trace
	queue []queuedJob
	// started and ended hold the same times as the fields of Stats.
	started     map[core.JobID]core.Time
	ended       map[core.JobID]core.Time
	used        core.Resources
	horizon     core.Time
	measureFrom core.Time
	// placementTime is the CPU time of passes at or after measureFrom that placed
	// a job.
	placementTime time.Duration
	placements    int
	// passScheduled is set while a pass over the queue is scheduled.
	passScheduled bool
}

// queuedJob is a job with its resource request.
type queuedJob struct {
	job  *Job
	need core.Resources
}

// maxJobsPerPass bounds the queued jobs that one pass considers.
const maxJobsPerPass = 512

// runBaseline runs a trace until untilMS. CPU time and resource use are measured
// from fromMS on.
func runBaseline(t *Trace, pick placementPolicy, fromMS, untilMS int64) *baselineScheduler {
	b := &baselineScheduler{
		pick: pick, trace: t, measureFrom: traceTime(fromMS), horizon: traceTime(untilMS),
		started: map[core.JobID]core.Time{}, ended: map[core.JobID]core.Time{},
	}
	b.now = traceTime(0)
	for _, w := range t.listedWorkers() {
		b.free = append(b.free, w.Capacity)
	}
	b.placeServices()
	for i := range t.Jobs {
		j := &t.Jobs[i]
		k := t.kind(j)
		if k.Urgency == core.Interactive {
			continue
		}
		need := k.Request
		b.schedule(traceTime(j.AtMS), func() {
			b.queue = append(b.queue, queuedJob{j, need})
			b.schedulePass()
		})
	}
	b.run(b.horizon)
	return b
}

// placeServices places every service replica. Replicas never end.
func (b *baselineScheduler) placeServices() {
	for i := range b.trace.Documents {
		d := &b.trace.Documents[i]
		for _, s := range d.Services {
			kind, ok := d.Kind(s.Kind)
			for range s.Replicas {
				if !ok {
					break
				}
				if w := b.pick(b.free, kind.Request); w >= 0 {
					b.free[w] = b.free[w].Sub(kind.Request)
				}
			}
		}
	}
}

// schedulePass schedules one pass for all arrivals and ends of the current instant.
func (b *baselineScheduler) schedulePass() {
	if b.passScheduled {
		return
	}
	b.passScheduled = true
	b.schedule(b.now, func() {
		b.passScheduled = false
		b.placeQueued()
	})
}

// placeQueued places the queued jobs that fit, in order of arrival.
func (b *baselineScheduler) placeQueued() {
	cpuStart := threadCPUTime()
	placedBefore := b.placements
	unplaceable := map[core.Resources]bool{}
	unplaced := make([]queuedJob, 0, min(len(b.queue), maxJobsPerPass))
	considered := b.queue[:min(len(b.queue), maxJobsPerPass)]
	for _, q := range considered {
		w := -1
		if !unplaceable[q.need] {
			w = b.pick(b.free, q.need)
		}
		if w < 0 {
			unplaceable[q.need] = true
			unplaced = append(unplaced, q)
			continue
		}
		b.startJob(q.job, w, q.need)
	}
	// The unplaced jobs move up to precede those that were not considered.
	remaining := b.queue[len(considered)-len(unplaced):]
	copy(remaining, unplaced)
	b.queue = remaining
	if b.now >= b.measureFrom && b.placements > placedBefore {
		b.placementTime += threadCPUTime() - cpuStart
	} else if b.now < b.measureFrom {
		b.placements = 0
	}
}

// startJob runs a job on a worker.
func (b *baselineScheduler) startJob(j *Job, w int, need core.Resources) {
	b.free[w] = b.free[w].Sub(need)
	b.started[j.ID] = b.now
	b.placements++
	start := b.now
	b.schedule(b.now.Add(time.Duration(j.RunMS)*time.Millisecond), func() {
		b.free[w] = b.free[w].Add(need)
		b.ended[j.ID] = b.now
		b.schedulePass()
	})
	// Only the part of the run within the measured interval counts.
	from, until := max(start, b.measureFrom), min(start.Add(time.Duration(j.RunMS)*time.Millisecond), b.horizon)
	if until > from {
		b.used = b.used.Add(need.Times(until.Sub(from).Milliseconds()))
	}
}
