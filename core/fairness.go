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
		if k.blocked && k.blockedAt == r.fleet.released {
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

// rank computes the order of a queue by its head.
func (r *Reducer) rank(k *kindQueue, j *job) rankOf {
	return rankOf{
		borrowed: !r.entitled(k.team, j.demand()),
		urgency:  k.urgency,
		share:    r.share(k.team),
		since:    j.spec.Submitted,
	}
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
func (j *job) demand() Resources {
	n := int64(0)
	for i := range j.tasks {
		if j.tasks[i].state == taskWaiting {
			n++
		}
	}
	return j.kind.Request.Times(n)
}
