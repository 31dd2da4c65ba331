package core

// maxCandidates bounds the workers that are scored for one task. More candidates
// hardly improve packing and cost more time.
const maxCandidates = 8

// constraint restricts the workers that a task may be placed on.
type constraint struct {
	need Resources
	// job and queue are the ids under which workers may be reserved for the task.
	job   JobID
	queue JobID
	// avoid lists workers on which the task has failed.
	avoid []WorkerID
	// filter, if set, is an additional condition.
	filter func(*worker) bool
	// endsBy is when the task is expected to end.
	endsBy Time
}

// feasible appends the first workers that satisfy c to found, in index order, up to
// maxCandidates.
func (f *fleet) feasible(c *constraint, found []*worker) []*worker {
	fitting := f.index.find(c.need)
	for i := fitting.next(0); i >= 0 && len(found) < maxCandidates; i = fitting.next(i + 1) {
		if w := f.workers[i]; c.allows(w) {
			found = append(found, w)
		}
	}
	return found
}

// reservedFor reports whether w is reserved for the job or its queue.
func (c *constraint) reservedFor(w *worker) bool {
	return w.reservedBy == c.job || (c.queue != "" && w.reservedBy == c.queue)
}

// allows applies the conditions that the index does not cover.
func (c *constraint) allows(w *worker) bool {
	for _, id := range c.avoid {
		if id == w.id {
			return false
		}
	}
	return c.filter == nil || c.filter(w)
}

// rejections counts, for an explanation, the workers that each condition rules out.
func (f *fleet) rejections(c *constraint) []FilterCount {
	counts := []FilterCount{
		{Filter: "not answering"}, {Filter: "leaving"}, {Filter: "out of use after failures"},
		{Filter: "too small"}, {Filter: "too little free"},
		{Filter: "reserved for another job"}, {Filter: "failed this job before"},
	}
	for _, w := range f.workers {
		switch {
		case !w.listed || !w.fenced || w.lost:
			counts[0].Workers++
		case w.leaving:
			counts[1].Workers++
		case w.health.quarantined:
			counts[2].Workers++
		case !c.need.Fits(w.capacity):
			counts[3].Workers++
		case !c.need.Fits(w.free()):
			counts[4].Workers++
		case w.reservedBy != "" && !c.reservedFor(w):
			counts[5].Workers++
		case !c.allows(w):
			counts[6].Workers++
		}
	}
	kept := counts[:0]
	for _, k := range counts {
		if k.Workers > 0 {
			kept = append(kept, k)
		}
	}
	return kept
}
