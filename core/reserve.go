package core

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reserveDelay is how long the head of a queue must have been overtaken before
	// workers are reserved for it. Most large jobs find free capacity on their own
	// within this time, and reserved capacity stays idle until it is used.
	reserveDelay = 30 * time.Second
	// reservationTTL bounds how long workers are reserved for one job. A job that
	// cannot be placed by then may not reserve again for the same time, so that
	// others can use the capacity.
	reservationTTL = 60 * time.Second
	// maxReservations bounds the jobs that workers are reserved for at the same
	// time, so that two gangs cannot each hold half of what the other needs.
	maxReservations = 2
	// maxReservedShare bounds the share of the workers reserved for one job.
	maxReservedShare = 0.25
	// reserveInterval is the minimum time between two attempts to reserve workers,
	// each of which may examine every worker.
	reserveInterval = time.Second
	// minReserveSample is the minimum number of workers examined for a reservation,
	// and reserveSamplePerTask the number per waiting task.
	minReserveSample     = 64
	reserveSamplePerTask = 4
	// medianPercentile selects the median run time.
	medianPercentile = 50
)

// reservation keeps workers free of other new work until a job fits.
type reservation struct {
	// id is a job id, or the id of a queue any of whose jobs may use the workers.
	id      JobID
	workers []*worker
	expires Time
	// preemption is set if the capacity was freed by preemption.
	preemption bool
}

// reservations holds the reservations in the order of their creation.
//
// Invariant: the reservedBy of a worker is the id of the only reservation that
// lists it, or empty.
type reservations struct {
	list []*reservation
	byID map[JobID][]*reservation
	// retryAt is the earliest time of another reservation for a job whose
	// reservation has expired.
	retryAt map[JobID]Time
	// nextAt is the earliest time of the next reservation for any job.
	nextAt Time
}

func newReservations() reservations {
	return reservations{byID: map[JobID][]*reservation{}, retryAt: map[JobID]Time{}}
}

// forID returns the reservations with an id.
func (s *reservations) forID(id JobID) []*reservation { return s.byID[id] }

// drop ends the reservations of a job.
func (s *reservations) drop(r *Reducer, id JobID) {
	delete(s.retryAt, id)
	for _, v := range slices.Clone(s.forID(id)) {
		s.end(r, v)
	}
}

// end ends one reservation and returns its workers to the index.
func (s *reservations) end(r *Reducer, v *reservation) {
	if j := r.jobs.get(v.id); j != nil {
		j.reserved = false
	}
	same := func(o *reservation) bool { return o == v }
	s.list = slices.DeleteFunc(s.list, same)
	if s.byID[v.id] = slices.DeleteFunc(s.byID[v.id], same); len(s.byID[v.id]) == 0 {
		delete(s.byID, v.id)
	}
	for _, w := range v.workers {
		w.reservedBy, w.expectedFreeAt = "", 0
		r.fleet.refreshIndex(w)
		r.fleet.markFreed(w)
	}
}

// dropWorker ends the reservation of w under id. It is used after a job of the
// queue that the reservation is for has been placed on w.
func (s *reservations) dropWorker(r *Reducer, id JobID, w *worker) {
	if w == nil || w.reservedBy != id {
		return
	}
	for _, v := range s.forID(id) {
		if slices.Contains(v.workers, w) {
			s.end(r, v)
			return
		}
	}
}

// add reserves the workers of v.
func (s *reservations) add(r *Reducer, v *reservation) {
	for _, w := range v.workers {
		w.reservedBy = v.id
		r.fleet.refreshIndex(w)
	}
	s.list = append(s.list, v)
	s.byID[v.id] = append(s.byID[v.id], v)
}

// countWithoutPreemption returns the number of reservations that wait for capacity
// without preemption.
func (s *reservations) countWithoutPreemption() int {
	n := 0
	for _, v := range s.list {
		if !v.preemption {
			n++
		}
	}
	return n
}

// reserveForHead reserves workers for the head of a queue that other jobs keep
// overtaking.
func (r *Reducer) reserveForHead(k *kindQueue, j *job) {
	if j.reserved || r.reservations.countWithoutPreemption() >= maxReservations ||
		r.now < r.reservations.retryAt[j.spec.ID] || r.now < r.reservations.nextAt {
		return
	}
	r.reservations.nextAt = r.now.Add(reserveInterval)
	workers := r.workersToReserve(j)
	if len(workers) == 0 {
		return
	}
	j.reserved, k.overtaken, k.overtakenSince = true, 0, 0
	r.reservations.add(r, &reservation{id: j.spec.ID, workers: workers, expires: r.now.Add(reservationTTL)})
	r.queues.markStale(k)
	r.jobs.addStep(j, r.now, "gathering room", workers[0].id)
}

// expectedFreeTime estimates when w will have capacity for need, from the observed
// run times of the kinds of its tasks. The estimate only limits backfill: an error
// delays the reserving job but cannot overcommit w.
func (r *Reducer) expectedFreeTime(w *worker, need Resources) Time {
	type ending struct {
		at   Time
		held Resources
	}
	var ends []ending
	for _, p := range w.sortedPlacements() {
		at := r.now
		if p.task.state == taskRunning {
			at = p.task.startedAt
		}
		ends = append(ends, ending{at.Add(r.estimates.runTime(p.job, medianPercentile)), p.task.allocated})
	}
	slices.SortStableFunc(ends, func(a, b ending) int { return cmp.Compare(a.at, b.at) })
	free := w.free()
	for _, e := range ends {
		if need.Fits(free) {
			break
		}
		free = free.Add(e.held)
		if need.Fits(free) {
			return max(e.at, r.now)
		}
	}
	return r.now
}

// workersToReserve selects from a sample the workers that are expected to have
// capacity for the waiting tasks of j soonest, up to the share that one job may
// reserve, and sets their expectedFreeAt. It returns nil if they cannot hold all
// waiting tasks.
func (r *Reducer) workersToReserve(j *job) []*worker {
	waiting := int64(j.waitingTasks())
	sample := r.sampleWorkers(j, max(minReserveSample, reserveSamplePerTask*int(waiting)))
	for _, w := range sample {
		w.expectedFreeAt = r.expectedFreeTime(w, j.kind.Request)
	}
	slices.SortStableFunc(sample, func(a, b *worker) int { return cmp.Compare(a.expectedFreeAt, b.expectedFreeAt) })
	maxWorkers := max(1, int(maxReservedShare*float64(len(r.fleet.workers))))
	n := 0
	for waiting > 0 && n < min(maxWorkers, len(sample)) {
		waiting -= j.kind.Request.Copies(sample[n].capacity, waiting)
		n++
	}
	if waiting > 0 {
		return nil
	}
	return sample[:n]
}

// sampleWorkers returns up to n workers that could hold the request of j if they
// were empty, starting at a random position.
func (r *Reducer) sampleWorkers(j *job, n int) []*worker {
	var out []*worker
	all := r.fleet.workers
	if len(all) == 0 {
		return nil
	}
	start := r.rng.IntN(len(all))
	for i := 0; i < len(all) && len(out) < n; i++ {
		w := all[(start+i)%len(all)]
		if w.isUsable() && w.reservedBy == "" && j.kind.Request.Fits(w.capacity) {
			out = append(out, w)
		}
	}
	return out
}

// tickReservations ends expired reservations.
func (r *Reducer) tickReservations() {
	for _, v := range slices.Clone(r.reservations.list) {
		if r.now < v.expires {
			continue
		}
		r.reservations.end(r, v)
		if j := r.jobs.get(v.id); j != nil && !v.preemption {
			r.reservations.retryAt[v.id] = r.now.Add(reservationTTL)
		}
		if j := r.jobs.get(v.id); j != nil && j.inQueue {
			r.queues.markStale(r.queues.queueFor(j))
		}
	}
}
