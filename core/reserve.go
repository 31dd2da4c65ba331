package core

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reserveAfter is how long the head of a queue must have been overtaken
	// before room is gathered for it. Most large jobs find room on their own
	// within this time, and gathered room lies idle until it is used.
	reserveDelay = 30 * time.Second
	// reserveTime bounds how long room is gathered for one job. A job that
	// cannot be placed by then leaves the room to others for as long.
	reservationTTL = 60 * time.Second
	// maxReservations bounds the jobs that room is gathered for at a time, so
	// that two gangs cannot wait for each other's half.
	maxReservations = 2
	// reserveShare bounds the workers reserved for one job.
	maxReservedShare = 0.25
	// reservePause is the time between two tries to gather room: each looks at
	// every worker.
	reserveInterval = time.Second
	// reserveSample is the least number of workers looked at, and
	// reserveSampleFactor how many for each task that waits.
	minReserveSample     = 64
	reserveSamplePerTask = 4
	// medianPercentile is the run time that half of all tasks end within.
	medianPercentile = 50
)

// reservation keeps workers free of other new work until a job fits.
type reservation struct {
	// id is the job's, or that of a queue any of whose jobs may use the room.
	id      JobID
	workers []*worker
	expires Time
	// preemption is set when the room comes from preempted work.
	preemption bool
}

// reservations holds the reservations in the order of their creation.
//
// Invariant: the reservedBy of a worker is the id of the one reservation that
// lists it, or empty.
type reservations struct {
	list []*reservation
	byID map[JobID][]*reservation
	// again says when room may be gathered again for a job that had its time.
	retryAt map[JobID]Time
	// next is when room may be gathered for another job.
	nextAt Time
}

func newReservations() reservations {
	return reservations{byID: map[JobID][]*reservation{}, retryAt: map[JobID]Time{}}
}

// of returns the reservations with an id.
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

// dropWorker ends the reservation of a worker for a queue once one of its jobs
// has been placed there.
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

// add reserves workers.
func (s *reservations) add(r *Reducer, v *reservation) {
	for _, w := range v.workers {
		w.reservedBy = v.id
		r.fleet.refreshIndex(w)
	}
	s.list = append(s.list, v)
	s.byID[v.id] = append(s.byID[v.id], v)
}

// gathering counts the reservations that gather room without preemption.
func (s *reservations) countWithoutPreemption() int {
	n := 0
	for _, v := range s.list {
		if !v.preemption {
			n++
		}
	}
	return n
}

// reserveFor gathers room for the head of a queue that others keep overtaking.
func (r *Reducer) reserveFor(k *kindQueue, j *job) {
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

// expectedRoom is when w is expected to have room for need, by the run times that
// its tasks' kinds were seen to take. It bounds backfill alone: a wrong figure
// delays the job, but never lets w hold more than it has.
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

// workersFor picks the workers that are expected to have room for the waiting
// tasks of j soonest, out of a sample and within the share that one job may
// reserve. It also sets when that room is expected.
func (r *Reducer) workersToReserve(j *job) []*worker {
	waiting := int64(j.waitingTasks())
	sample := r.sampleWorkers(j, max(minReserveSample, reserveSamplePerTask*int(waiting)))
	for _, w := range sample {
		w.expectedFreeAt = r.expectedFreeTime(w, j.kind.Request)
	}
	slices.SortStableFunc(sample, func(a, b *worker) int { return cmp.Compare(a.expectedFreeAt, b.expectedFreeAt) })
	most := max(1, int(maxReservedShare*float64(len(r.fleet.workers))))
	n := 0
	for waiting > 0 && n < min(most, len(sample)) {
		waiting -= j.kind.Request.Copies(sample[n].capacity, waiting)
		n++
	}
	if waiting > 0 {
		return nil
	}
	return sample[:n]
}

// sampleFor returns up to n workers that could hold the request of j if they were
// empty, starting at a random one.
func (r *Reducer) sampleWorkers(j *job, n int) []*worker {
	var out []*worker
	all := r.fleet.workers
	if len(all) == 0 {
		return nil
	}
	from := r.rng.IntN(len(all))
	for i := 0; i < len(all) && len(out) < n; i++ {
		w := all[(from+i)%len(all)]
		if w.isUsable() && w.reservedBy == "" && j.kind.Request.Fits(w.capacity) {
			out = append(out, w)
		}
	}
	return out
}

// tickReservations ends reservations that have lasted long enough.
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
