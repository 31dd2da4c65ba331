package core

// rankOf orders the heads of queues. Work within its team's quota goes before
// work on borrowed capacity, whatever its urgency: a flood of urgent work of one
// team then takes nothing that another team is entitled to. Within that, more
// urgent work goes first, and among equals the team with the least weighted
// dominant share.
type rankOf struct {
	borrowed bool
	urgency  Urgency
	share    float64
	since    Time
}

// before reports whether a goes before b.
func (a rankOf) before(b rankOf) bool {
	switch {
	case a.borrowed != b.borrowed:
		return b.borrowed
	case a.urgency != b.urgency:
		return a.urgency < b.urgency
	case a.share != b.share:
		return a.share < b.share
	}
	return a.since < b.since
}

// next returns the queue whose head is to be placed next, or nil. Queues whose
// head did not fit are passed over until capacity has been released.
func (r *Reducer) nextQueue() *kindQueue {
	var best *kindQueue
	var bestRank rankOf
	for _, k := range r.queues.busy {
		if k.blocked && k.blockedAt == r.fleet.released || r.passOver(k) {
			continue
		}
		j := k.first()
		if j == nil {
			continue
		}
		if rank := r.rank(k, j); best == nil || rank.before(bestRank) {
			best, bestRank = k, rank
		}
	}
	return best
}

// passOver reports whether there is surely no room for the head of k, and none is
// to be made for it now. It reads as little memory as it can, since it runs for
// every queue.
func (r *Reducer) passOver(k *kindQueue) bool {
	if k.shapeOf == nil || !r.isFull(k.shape) {
		return false
	}
	if r.now >= k.nextRoom {
		if r.wantsRoom(k, k.shapeOf) {
			return false
		}
		k.nextRoom = r.now.Add(roomRetry)
	}
	return true
}

// isFull reports whether no room of a shape was found, and no worker has released
// as much since.
func (r *Reducer) isFull(s *shape) bool {
	f := &r.fleet
	switch {
	case !s.failed || s.failedAt < f.changed:
		return false
	case s.failedAt == f.released:
		return true
	}
	if f.released-s.failedAt > uint64(len(f.freed)) {
		return false
	}
	for n := s.failedAt + 1; n <= f.released; n++ {
		if w := f.freed[n%uint64(len(f.freed))]; w != nil && s.need.Fits(w.free()) {
			return false
		}
	}
	s.failedAt = f.released
	return true
}

// wantsRoom reports whether onBlocked could make room for j.
func (r *Reducer) wantsRoom(k *kindQueue, j *job) bool {
	if k.urgency <= Urgent && !r.rank(k, j).borrowed {
		return true
	}
	return r.reserve.gathering() < maxReservations && r.now.Sub(j.spec.Submitted) >= reserveAfter
}

// noteNoRoom remembers that no room was found for j. A job that has failed on
// some worker, or for which room is kept, says nothing about others.
func (r *Reducer) noteNoRoom(k *kindQueue, j *job) {
	s := r.queues.shape(k, j, r.kinds.runTime(j, backfillPercentile))
	if j.failures == 0 && !j.reserved {
		s.failed, s.failedAt = true, r.fleet.released
	}
}

// rankStamp tells whether what a rank was computed from has changed.
type rankStamp struct {
	uses     uint64
	revision Revision
	rebuilt  uint64
	urgency  Urgency
}

// rank computes the order of a queue by its head. The rank of a job with one
// task is kept until the team's use, its document or the fleet changes.
func (r *Reducer) rank(k *kindQueue, j *job) rankOf {
	stamp := rankStamp{k.team.uses, k.team.version.Revision, r.fleet.rebuilt, k.urgency}
	if k.rankedOf == j && k.rankedAt == stamp && len(j.tasks) == 1 {
		return k.ranked
	}
	k.rankedOf, k.rankedAt = j, stamp
	k.ranked = rankOf{
		borrowed: !r.entitled(k.team, j.demand()),
		urgency:  k.urgency,
		share:    r.share(k.team),
		since:    j.spec.Submitted,
	}
	return k.ranked
}

// share is the team's weighted dominant share of the data centre.
func (r *Reducer) share(t *team) float64 {
	return t.used.DominantShare(r.fleet.total) / float64(max(1, t.doc().Weight))
}

// entitled reports whether the team stays within its quota if it takes need.
func (r *Reducer) entitled(t *team, need Resources) bool {
	return t.used.Add(need).withinQuota(need, t.doc().Quota)
}

// withinQuota reports whether r is at most quota in every dimension that need
// takes. A dimension without a quota is not limited.
func (r Resources) withinQuota(need, quota Resources) bool {
	use, want, limit := r.vector(), need.vector(), quota.vector()
	for d := range use {
		if want[d] > 0 && limit[d] > 0 && use[d] > limit[d] {
			return false
		}
	}
	return true
}

// demand is what the tasks of j that wait would take together.
func (j *job) demand() Resources { return j.kind.Request.Times(int64(j.waiting())) }

// waiting counts the tasks of j that wait.
func (j *job) waiting() int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].state == taskWaiting {
			n++
		}
	}
	return n
}
