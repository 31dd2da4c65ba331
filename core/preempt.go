package core

import (
	"cmp"
	"slices"
	"time"
)

const (
	// preemptSampleSize bounds the workers examined for one preemption.
	preemptSampleSize = 24
	// preemptReservationTTL is how long capacity freed by preemption is reserved
	// for the preemptor.
	preemptReservationTTL = 5 * time.Second
	// throttleDivisor divides the allocated processors of a task while the
	// task is throttled.
	throttleDivisor = 2
	// unthrottleInterval is the time between checks of throttled tasks.
	unthrottleInterval = time.Second
)

// victim is a running task with the action to take on it.
type victim struct {
	placement
	signal Signal
	// freed is the capacity that the action releases.
	freed Resources
	// lostWork is the run time whose work the action discards.
	lostWork time.Duration
}

// preemptionPlan frees capacity on one worker.
type preemptionPlan struct {
	worker  *worker
	victims []victim
}

// cost returns the most severe signal of the plan and the work it discards.
func (p *preemptionPlan) cost() (worst Signal, lost time.Duration) {
	worst = SignalThrottle
	for _, v := range p.victims {
		if severity(v.signal) > severity(worst) {
			worst = v.signal
		}
		lost += v.lostWork
	}
	return worst, lost
}

// severity orders the signals by their cost to the preempted task.
func severity(s Signal) int {
	switch s {
	case SignalThrottle:
		return 0
	case SignalCheckpoint:
		return 1
	}
	return 2
}

// preemptor is the work that capacity is freed for.
type preemptor struct {
	id      JobID
	team    *team
	urgency Urgency
	need    Resources
}

// preemptForJob frees and reserves capacity for the waiting tasks of an urgent job.
// It reports whether a plan was found for each of them.
func (r *Reducer) preemptForJob(j *job) bool {
	c := preemptor{id: j.spec.ID, team: j.team, urgency: j.kind.Urgency, need: j.kind.Request}
	var plans []preemptionPlan
	exclude := map[WorkerID]bool{}
	for i := range j.tasks {
		if j.tasks[i].state != taskWaiting {
			continue
		}
		plan, ok := r.planPreemption(&c, exclude)
		if !ok {
			return false
		}
		exclude[plan.worker.id] = true
		plans = append(plans, plan)
	}
	r.executePlans(&c, plans)
	j.reserved = true
	r.jobs.addStep(j, r.now, "preempting less urgent work", plans[0].worker.id)
	return true
}

// planPreemption returns the cheapest plan on a random sample of workers.
func (r *Reducer) planPreemption(c *preemptor, exclude map[WorkerID]bool) (preemptionPlan, bool) {
	var best preemptionPlan
	n := len(r.fleet.workers)
	if n == 0 || r.fleet.preemptible == 0 {
		return best, false
	}
	start := r.rng.IntN(n)
	for i := range min(n, preemptSampleSize) {
		w := r.fleet.workers[(start+i)%n]
		if !w.isUsable() || w.reservedBy != "" || exclude[w.id] || !c.need.Fits(w.capacity) {
			continue
		}
		plan, ok := r.planOnWorker(c, w)
		if ok && (best.worker == nil || plan.cheaperThan(&best)) {
			best = plan
		}
	}
	return best, best.worker != nil
}

// cheaperThan reports whether p costs less than o: throttling is cheaper than
// checkpointing, which is cheaper than stopping. Ties are broken by the discarded
// work.
func (p *preemptionPlan) cheaperThan(o *preemptionPlan) bool {
	signal, lost := p.cost()
	otherSignal, otherLost := o.cost()
	if severity(signal) != severity(otherSignal) {
		return severity(signal) < severity(otherSignal)
	}
	return lost < otherLost
}

// planOnWorker selects victims on one worker until the preemptor fits. It uses a
// more severe signal only if the milder ones free too little, and takes the victims
// with the least discarded work first.
func (r *Reducer) planOnWorker(c *preemptor, w *worker) (preemptionPlan, bool) {
	candidates := r.preemptibleOn(c, w)
	if len(candidates) == 0 {
		return preemptionPlan{}, false
	}
	for _, maxSignal := range []Signal{SignalThrottle, SignalCheckpoint, SignalStop} {
		plan := preemptionPlan{worker: w}
		free := w.free()
		for _, v := range r.victimsUpTo(candidates, maxSignal) {
			if c.need.Fits(free) {
				break
			}
			if v.freed.reducesShortfall(c.need, free) {
				plan.victims = append(plan.victims, v)
				free = free.Add(v.freed)
			}
		}
		if c.need.Fits(free) {
			return plan, true
		}
	}
	return preemptionPlan{}, false
}

// reducesShortfall reports whether r adds to a dimension in which need exceeds
// free.
func (r Resources) reducesShortfall(need, free Resources) bool {
	give, want, have := r.vector(), need.vector(), free.vector()
	for d := range give {
		if give[d] > 0 && want[d] > have[d] {
			return true
		}
	}
	return false
}

// preemptibleOn lists the tasks on w that may be preempted, sorted by job and task.
func (r *Reducer) preemptibleOn(c *preemptor, w *worker) []placement {
	var out []placement
	for _, p := range w.placements {
		if r.mayPreempt(c, p) {
			out = append(out, p)
		}
	}
	sortPlacements(out)
	return out
}

// victimsUpTo returns one victim for each task that can be preempted with a signal
// no more severe than maxSignal, in the order of their cost.
func (r *Reducer) victimsUpTo(candidates []placement, maxSignal Signal) []victim {
	var out []victim
	for _, p := range candidates {
		if v, ok := r.chooseVictimAction(p, maxSignal); ok {
			out = append(out, v)
		}
	}
	slices.SortStableFunc(out, func(a, b victim) int {
		if d := cmp.Compare(severity(a.signal), severity(b.signal)); d != 0 {
			return d
		}
		return cmp.Compare(a.lostWork, b.lostWork)
	})
	return out
}

// allowedPreemption returns the document's preemption policy. For a non-idempotent
// kind it is reduced to throttling, because resuming from a checkpoint or running
// again after a stop is a second start.
func (k *Kind) allowedPreemption() PreemptionPolicy {
	if k.Idempotent {
		return k.Preemption
	}
	return PreemptionPolicy{Throttle: k.Preemption.Throttle}
}

// mayPreempt reports whether the task may be preempted: it is less urgent than the
// preemptor, and either belongs to the same team or runs on capacity beyond its
// team's quota.
func (r *Reducer) mayPreempt(c *preemptor, p placement) bool {
	if !p.task.preemptible || p.task.state != taskRunning || p.task.stopping || p.job.kind.Urgency <= c.urgency {
		return false
	}
	return p.job.team == c.team || !p.job.team.used.withinQuota(p.task.allocated, p.job.team.doc().Quota)
}

// chooseVictimAction returns the action that frees the most of a task with a signal
// no more severe than maxSignal, if the document allows any.
func (r *Reducer) chooseVictimAction(p placement, maxSignal Signal) (victim, bool) {
	policy := p.job.kind.allowedPreemption()
	mayInterrupt := p.job.preemptions < policy.MaxTimes
	allowed := severity(maxSignal)
	switch {
	case mayInterrupt && policy.Checkpoint && allowed >= severity(SignalCheckpoint):
		return victim{placement: p, signal: SignalCheckpoint, freed: p.task.allocated}, true
	case mayInterrupt && policy.Stop && allowed >= severity(SignalStop):
		lost := r.now.Sub(p.task.startedAt)
		return victim{placement: p, signal: SignalStop, freed: p.task.allocated, lostWork: lost}, true
	case policy.Throttle && !p.task.throttled:
		freed := Resources{MilliCPU: p.task.allocated.MilliCPU / throttleDivisor}
		return victim{placement: p, signal: SignalThrottle, freed: freed}, true
	}
	return victim{}, false
}

// executePlans sends the signals of the plans and reserves their workers for the
// preemptor.
func (r *Reducer) executePlans(c *preemptor, plans []preemptionPlan) {
	v := &reservation{id: c.id, expires: r.now.Add(preemptReservationTTL), preemption: true}
	for _, p := range plans {
		v.workers = append(v.workers, p.worker)
		for _, target := range p.victims {
			if target.signal != SignalThrottle {
				target.job.preemptions++
			}
			r.count(MetricPreemptions, Reason(target.signal.String()), target.job.spec.Team, target.job.spec.Kind)
			r.signalTask(target.job, target.task, target.signal)
		}
	}
	r.reservations.add(r, v)
}

// onThrottled applies a worker's report about whether it throttles a task. The
// processors that a throttled task does not use are released.
func (r *Reducer) onThrottled(j *job, t *task, throttled bool) {
	if throttled == t.throttled || t.unthrottling && throttled {
		return
	}
	t.throttled, t.unthrottling = throttled, false
	if !throttled {
		return
	}
	r.resizeTask(j, t, Resources{MilliCPU: -(t.allocated.MilliCPU / throttleDivisor)})
	r.throttledTasks = append(r.throttledTasks, taskKey{j.spec.ID, t.index})
}

// resizeTask changes the allocation of a placed task.
func (r *Reducer) resizeTask(j *job, t *task, delta Resources) {
	w := r.fleet.get(t.worker)
	if w == nil {
		return
	}
	t.allocated = t.allocated.Add(delta)
	r.fleet.adjustAssigned(w, delta)
	r.fleet.adjustTeamUsage(j.team, delta, 1)
}

// tickPreemption ends expired reservations and unthrottles tasks whose workers have
// free processors again.
func (r *Reducer) tickPreemption() {
	r.tickReservations()
	if r.now < r.nextUnthrottle {
		return
	}
	r.nextUnthrottle = r.now.Add(unthrottleInterval)
	keys := r.throttledTasks
	r.throttledTasks = nil
	for _, key := range keys {
		j := r.jobs.get(key.job)
		if j == nil || !j.tasks[key.task].throttled {
			continue
		}
		if !r.unthrottle(j, &j.tasks[key.task]) {
			r.throttledTasks = append(r.throttledTasks, key)
		}
	}
}

// unthrottle restores the processors of a throttled task if they are free on a
// worker that is not reserved. It reports whether the task needs no further check.
func (r *Reducer) unthrottle(j *job, t *task) bool {
	w := r.fleet.get(t.worker)
	restored := Resources{MilliCPU: j.kind.Request.MilliCPU - t.allocated.MilliCPU}
	if w == nil || t.state != taskRunning || w.reservedBy != "" || !restored.Fits(w.free()) {
		return t.state != taskRunning
	}
	r.resizeTask(j, t, restored)
	t.throttled, t.unthrottling = false, true
	r.signalTask(j, t, SignalUnthrottle)
	return true
}
