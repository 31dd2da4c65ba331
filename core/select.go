package core

// bestCandidate returns the candidate with the lowest score, or nil if there is
// none. For work that is spread over racks, each sibling in the candidate's rack
// adds 1 to its score.
func (f *fleet) bestCandidate(c *constraint, found []*worker, siblings func(rack string) int) *worker {
	var best *worker
	var bestScore float64
	for _, w := range found {
		score := c.score(w)
		if siblings != nil {
			score += float64(siblings(w.rack))
		}
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// score rates how well w suits c; lower is better. It is the average share of w
// that would remain free, over the requested dimensions. Using a worker with
// accelerators for work that needs none adds 1.
func (c *constraint) score(w *worker) float64 {
	left, have, need := w.free().Sub(c.need).vector(), w.capacity.vector(), c.need.vector()
	sum, n := 0.0, 0.0
	for d := range left {
		if have[d] > 0 && need[d] > 0 {
			sum += float64(left[d]) / float64(have[d])
			n++
		}
	}
	score := 0.0
	if n > 0 {
		score = sum / n
	}
	if w.capacity.Accelerators > 0 && c.need.Accelerators == 0 {
		score++
	}
	return score
}

// selectWorker returns a worker for c, or nil if none has enough capacity. It tries
// workers reserved for the job first, then unreserved workers, and then backfill:
// workers reserved for another job that the task should leave before that job needs
// them.
func (r *Reducer) selectWorker(c *constraint, siblings func(rack string) int) *worker {
	if w := r.reservedWorker(c); w != nil {
		return w
	}
	if w := r.freeWorker(c, siblings); w != nil {
		return w
	}
	return r.backfillWorker(c)
}

// freeWorker returns the best unreserved worker for c, or nil.
func (r *Reducer) freeWorker(c *constraint, siblings func(rack string) int) *worker {
	if siblings != nil {
		return r.fleet.selectSpread(c, siblings)
	}
	var buffer [maxCandidates]*worker
	return r.fleet.bestCandidate(c, r.fleet.feasible(c, buffer[:0]), nil)
}

// reservedWorker returns a worker that is reserved for the job or its queue and has
// enough capacity, or nil.
func (r *Reducer) reservedWorker(c *constraint) *worker {
	if len(r.reservations.list) == 0 {
		return nil
	}
	for _, id := range [...]JobID{c.job, c.queue} {
		for _, v := range r.reservations.forID(id) {
			for _, w := range v.workers {
				if w.isUsable() && c.need.Fits(w.free()) && c.allows(w) {
					return w
				}
			}
		}
	}
	return nil
}

// backfillWorker returns a worker that is reserved for another job and has enough
// capacity until that job is expected to start there, or nil.
func (r *Reducer) backfillWorker(c *constraint) *worker {
	examined := 0
	for _, v := range r.reservations.list {
		for _, w := range v.workers {
			if examined++; examined > maxBackfillCandidates {
				return nil
			}
			if c.endsBy < w.expectedFreeAt && w.isUsable() && c.need.Fits(w.free()) && c.allows(w) {
				return w
			}
		}
	}
	return nil
}

// selectSpread returns a worker for work that is spread over racks. It searches
// from evenly spaced positions so that the candidates come from several racks.
func (f *fleet) selectSpread(c *constraint, siblings func(rack string) int) *worker {
	var buffer [maxCandidates]*worker
	found := buffer[:0]
	for i := range maxCandidates {
		one := f.firstFeasible(c, i*len(f.workers)/maxCandidates)
		if one != nil {
			found = append(found, one)
		}
	}
	return f.bestCandidate(c, found, siblings)
}

// firstFeasible returns the first worker at or after index from that satisfies c,
// or nil.
func (f *fleet) firstFeasible(c *constraint, from int) *worker {
	fitting := f.index.find(c.need)
	for i := fitting.next(from); i >= 0; i = fitting.next(i + 1) {
		if w := f.workers[i]; c.allows(w) {
			return w
		}
	}
	return nil
}
