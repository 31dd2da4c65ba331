package core

// headRank is the rank of the oldest job of a queue. Work within its team's quota
// ranks before work on borrowed capacity regardless of urgency, so that a burst of
// urgent work of one team cannot take capacity that another team is entitled to.
// Within each class, more urgent work ranks first, then the team with the lowest
// weighted dominant share, then the oldest job. The ranks of all queues are
// contiguous in memory because each scheduling pass scans them.
type headRank struct {
	// score is the class times classWidth, plus the team's share.
	score float64
	// queueNumber orders jobs by when they were first queued. Submit times cannot
	// break ties because all jobs of a batch have the same one.
	queueNumber uint64
	shape       int
}

const (
	// classWidth separates the classes in headRank.score. It exceeds any share: the
	// weighted share of a team is at most a small multiple of 1.
	classWidth = 1e6
	// borrowedClass is added to the class of work on borrowed capacity.
	borrowedClass = urgencies
)

// before reports whether a ranks before b.
func (a *headRank) before(b *headRank) bool {
	if a.score != b.score {
		return a.score < b.score
	}
	return a.queueNumber < b.queueNumber
}

// borrowed reports whether the job would run on borrowed capacity.
func (a *headRank) borrowed() bool { return a.score >= borrowedClass*classWidth }

// nextQueue returns the queue whose head is to be placed next, or nil. It skips
// queues whose head is known not to fit, and counts how often the first of them is
// overtaken.
func (r *Reducer) nextQueue() *kindQueue {
	q := &r.queues
	r.refreshHeads()
	var best, firstBlocked *kindQueue
	for i := range q.shapes.list {
		waiting := q.shapes.list[i].waiting
		if len(waiting) == 0 {
			continue
		}
		k := waiting[0]
		if q.shapes.blocked[i] {
			if firstBlocked == nil || k.rank.before(&firstBlocked.rank) {
				firstBlocked = k
			}
			continue
		}
		if best == nil || k.rank.before(&best.rank) {
			best = k
		}
	}
	if best == nil || best.rank.borrowed() && !r.fleet.leavesHeadroom(best.first().waitingDemand()) {
		return nil
	}
	if firstBlocked != nil && firstBlocked.rank.before(&best.rank) {
		r.recordOvertaken(firstBlocked)
	}
	return best
}

// recordOvertaken counts a placement that overtook the first blocked head.
func (r *Reducer) recordOvertaken(k *kindQueue) {
	if k.overtaken++; k.overtaken == 1 {
		k.overtakenSince = r.now
	}
	if k.overtaken >= overtakenThreshold && r.now.Sub(k.overtakenSince) >= reserveDelay {
		r.queues.starved = k
	}
}

// refreshHeads recomputes the ranks that may have changed.
func (r *Reducer) refreshHeads() {
	q := &r.queues
	for _, t := range r.fleet.changedTeams {
		t.headsStale = false
		for _, k := range t.queues {
			if k.size > 0 {
				q.markStale(k)
			}
		}
	}
	r.fleet.changedTeams = r.fleet.changedTeams[:0]
	for _, k := range q.stale {
		k.stale = false
		if k.size > 0 {
			r.refreshHead(k)
		}
	}
	q.stale = q.stale[:0]
}

// refreshHead recomputes the rank of one queue.
func (r *Reducer) refreshHead(k *kindQueue) {
	j := k.first()
	class := float64(k.urgency)
	if !r.fitsTeamQuota(k.team, j.waitingDemand()) {
		class += borrowedClass
	}
	rank := headRank{score: class*classWidth + r.teamShare(k.team), queueNumber: j.queueNumber, shape: k.rank.shape}
	shapes := &r.queues.shapes
	if key := r.shapeOf(j); rank.shape == noShape || shapes.list[rank.shape].key != key {
		rank.shape = shapes.acquire(key)
	}
	shapes.setRank(k, rank)
	r.queues.heads[k.busyIndex] = rank
}

// markAllStale marks every queue's rank for recomputation.
func (r *Reducer) markAllStale() {
	for _, k := range r.queues.busy {
		r.queues.markStale(k)
	}
}

// teamShare returns the team's weighted dominant share of the data centre.
func (r *Reducer) teamShare(t *team) float64 {
	return t.used.DominantShare(r.fleet.total) / float64(max(1, t.doc().Weight))
}

// fitsTeamQuota reports whether the team stays within its quota if it takes need.
func (r *Reducer) fitsTeamQuota(t *team, need Resources) bool {
	return t.used.Add(need).withinQuota(need, t.doc().Quota)
}

// withinQuota reports whether r is at most quota in every dimension that need uses.
// A dimension without a quota is unlimited.
func (r Resources) withinQuota(need, quota Resources) bool {
	use, want, limit := r.vector(), need.vector(), quota.vector()
	for d := range use {
		if want[d] > 0 && limit[d] > 0 && use[d] > limit[d] {
			return false
		}
	}
	return true
}

// waitingDemand returns the total request of the waiting tasks of j.
func (j *job) waitingDemand() Resources { return j.kind.Request.Times(int64(j.waitingTasks())) }

// waitingTasks returns the number of waiting tasks of j.
func (j *job) waitingTasks() int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].state == taskWaiting {
			n++
		}
	}
	return n
}
