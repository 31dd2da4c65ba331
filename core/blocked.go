package core

import "time"

const (
	// minPreemptionWait is the initial time between two attempts to preempt work
	// for the same queue. It doubles up to maxPreemptionWait while nothing can be
	// preempted.
	minPreemptionWait = 500 * time.Millisecond
	maxPreemptionWait = 2 * time.Second
	// maxPreemptingQueuesPerStep bounds the queues that preemption is attempted for
	// in one step.
	maxPreemptingQueuesPerStep = 4
	// maxPreemptAhead bounds the waiting jobs of a queue that capacity is freed for
	// at the same time. If it were freed for one job at a time, a burst of urgent
	// jobs would wait for one preemption after another.
	maxPreemptAhead = 16
	// overtakenThreshold is how often a head must have been overtaken before
	// workers are reserved for it. In a full data centre every job waits; only a
	// job that smaller jobs keep overtaking needs a reservation.
	overtakenThreshold = 64
)

// unblockHeads frees capacity for blocked heads: by preemption for urgent work
// within its team's quota, and by a reservation for the head that has been
// overtaken too often.
func (r *Reducer) unblockHeads() {
	q := &r.queues
	attempts := 0
	for i := range q.heads {
		h := &q.heads[i]
		urgent := h.score < (float64(Urgent)+1)*classWidth
		if !urgent || !q.shapes.blocked[h.shape] {
			continue
		}
		if k := q.busy[i]; r.now >= k.nextPreemption && attempts < maxPreemptingQueuesPerStep {
			attempts++
			k.preemptionWait = min(max(2*k.preemptionWait, minPreemptionWait), maxPreemptionWait)
			if r.preemptForQueue(k) {
				k.preemptionWait = minPreemptionWait
			}
			k.nextPreemption = r.now.Add(k.preemptionWait)
		}
	}
	if k := q.starved; k != nil {
		q.starved = nil
		if j := k.first(); j != nil {
			r.reserveForHead(k, j)
		}
	}
}

// preemptForQueue frees capacity for the first jobs of an urgent queue. It reports
// whether capacity is reserved or being freed for the queue.
func (r *Reducer) preemptForQueue(k *kindQueue) bool {
	j := k.first()
	if len(j.tasks) > 1 {
		if len(r.reservations.forID(j.spec.ID)) > 0 {
			return true
		}
		if !r.preemptForJob(j) {
			return false
		}
		r.queues.markStale(k)
		return true
	}
	c := preemptor{id: k.reservationID, team: k.team, urgency: k.urgency, need: j.kind.Request}
	reserved := len(r.reservations.forID(k.reservationID))
	for reserved < min(k.size, maxPreemptAhead) && r.fitsTeamQuota(k.team, c.need.Times(int64(reserved+1))) {
		plan, ok := r.planPreemption(&c, nil)
		if !ok {
			break
		}
		r.executePlans(&c, []preemptionPlan{plan})
		r.jobs.addStep(j, r.now, "preempting less urgent work", plan.worker.id)
		reserved++
	}
	return reserved > 0
}

// tickBlockedHeads makes the scheduler retry blocked heads periodically, and gangs
// for which a worker has released capacity.
func (r *Reducer) tickBlockedHeads() {
	r.queues.shapes.unblockPending()
	if len(r.queues.busy) > 0 && r.now >= r.nextBlockedHeads {
		r.nextBlockedHeads = r.now.Add(minPreemptionWait / 2)
		r.placementDirty = true
	}
}
