package bench

import (
	"math/rand/v2"
	"time"

	"banyanrun.example/banyanrun/core"
)

// picker returns the worker for a request, or -1.
type placementPolicy func(free []core.Resources, need core.Resources) int

// firstFit takes the first worker with room.
func firstFit(free []core.Resources, need core.Resources) int {
	for i := range free {
		if need.Fits(free[i]) {
			return i
		}
	}
	return -1
}

// randomFit takes a random worker with room: the first one at or after a random
// place.
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

// baseline is a scheduler with one queue in the order of arrival and no quotas,
// urgency, journal or preemption. A job that does not fit is passed over.
type baselineScheduler struct {
	virtualClock
	pick  placementPolicy
	free  []core.Resources
	trace *Trace
	queue []queuedJob
	// started and ended are in the units of Stats.
	started     map[core.JobID]core.Time
	ended       map[core.JobID]core.Time
	used        core.Resources
	horizon     core.Time
	measureFrom core.Time
	// cost is the processor time of placements made at or after from.
	placementTime time.Duration
	placements    int
	// pending is set while a pass over the queue is due.
	passScheduled bool
}

// waitingJob is a job with what it needs.
type queuedJob struct {
	job  *Job
	need core.Resources
}

// lookahead bounds the jobs that one pass looks at.
const maxJobsPerPass = 512

// runBaseline plays a trace. Costs and use count from fromMS on.
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

// placeServices gives every replica of the documents its room for good.
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

// passSoon runs one pass for all arrivals and ends of one moment.
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

// pass places what fits, in the order of arrival.
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
	// What was kept moves up to what was not looked at.
	remaining := b.queue[len(considered)-len(unplaced):]
	copy(remaining, unplaced)
	b.queue = remaining
	if b.now >= b.measureFrom && b.placements > placedBefore {
		b.placementTime += threadCPUTime() - cpuStart
	} else if b.now < b.measureFrom {
		b.placements = 0
	}
}

// start runs a job on a worker.
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
	// Only the part of the run inside the measured time counts.
	from, until := max(start, b.measureFrom), min(start.Add(time.Duration(j.RunMS)*time.Millisecond), b.horizon)
	if until > from {
		b.used = b.used.Add(need.Times(until.Sub(from).Milliseconds()))
	}
}
