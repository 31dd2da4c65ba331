package core

import "time"

const (
	// roomRetry is the time between two tries to preempt work for the same
	// queue. It doubles up to roomRetryMost while nothing can be preempted.
	roomRetry     = 500 * time.Millisecond
	roomRetryMost = 2 * time.Second
	// roomsPerStep bounds the queues that room is made for in one step.
	roomsPerStep = 4
	// urgentAhead bounds the waiting jobs of a queue that room is made for at
	// the same time. One at a time, a burst of urgent jobs would wait for one
	// preemption after the other.
	urgentAhead = 16
	// overtakenLimit is how often a head must have been overtaken before room
	// is gathered for it. In a full cell every job waits; only one that smaller
	// jobs keep overtaking needs workers of its own.
	overtakenLimit = 64
)

// makeRoom makes room for heads that have none: by preemption for urgent work
// within its team's quota, and by reserving workers for a head that is overtaken.
func (r *Reducer) makeRoom() {
	q := &r.queues
	tries := 0
	for i := range q.heads {
		h := &q.heads[i]
		urgent := h.order < (float64(Urgent)+1)*classWidth
		if !urgent || !q.shapes.blocked[h.shape] {
			continue
		}
		if k := q.busy[i]; r.now >= k.nextRoom && tries < roomsPerStep {
			tries++
			k.roomWait = min(max(2*k.roomWait, roomRetry), roomRetryMost)
			if r.preemptForQueue(k) {
				k.roomWait = roomRetry
			}
			k.nextRoom = r.now.Add(k.roomWait)
		}
	}
	if k := q.starved; k != nil {
		q.starved = nil
		if j := k.first(); j != nil {
			r.reserveFor(k, j)
		}
	}
}

// preemptForQueue makes room for the first jobs of an urgent queue. It reports
// whether room is on its way.
func (r *Reducer) preemptForQueue(k *kindQueue) bool {
	j := k.first()
	if len(j.tasks) > 1 {
		if len(r.reservations.of(j.spec.ID)) > 0 {
			return true
		}
		if !r.preemptFor(j) {
			return false
		}
		r.queues.touch(k)
		return true
	}
	c := claim{id: k.reservation, team: k.team, urgency: k.urgency, need: j.kind.Request}
	coming := len(r.reservations.of(k.reservation))
	for coming < min(k.size, urgentAhead) && r.entitled(k.team, c.need.Times(int64(coming+1))) {
		plan, ok := r.planPreemption(&c, nil)
		if !ok {
			break
		}
		r.carryOut(&c, []preemptionPlan{plan})
		r.jobs.note(j, r.now, "preempting less urgent work", plan.worker.id)
		coming++
	}
	return coming > 0
}

// tickRoom lets the scheduler look again at heads that had no room, and at gangs
// for which workers have released some.
func (r *Reducer) tickRoom() {
	r.queues.shapes.reopenPending()
	if len(r.queues.busy) > 0 && r.now >= r.nextBlockedHeads {
		r.nextBlockedHeads = r.now.Add(roomRetry / 2)
		r.placementDirty = true
	}
}
