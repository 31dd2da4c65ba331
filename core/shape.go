package core

import "math/bits"

// noShape is the shape index of a queue whose head has not been ranked yet.
const noShape = -1

// shapeKey describes the capacity that a job needs. Either all jobs of a shape fit
// or none does, so one failed search for a worker holds for all of them.
type shapeKey struct {
	need   Resources
	copies int
	// runTimeBits is the order of magnitude of the run time. Shorter jobs can be
	// backfilled where longer ones cannot.
	runTimeBits int
	// exclusiveJob is set for a job that must avoid workers or has workers
	// reserved, because the result of its searches does not hold for other jobs.
	exclusiveJob JobID
}

// shape is the state shared by the queues whose heads need the same capacity.
type shape struct {
	need Resources
	// gang is set when several copies are needed. One release is then often not
	// enough, so the shape is marked pending and unblocked on the next tick rather
	// than on each release.
	gang    bool
	pending bool
	users   int
	key     shapeKey
	// waiting holds the queues whose heads have the shape.
	waiting queueHeap
}

// shapeTable holds the shapes of the heads of all queues. They are contiguous in
// memory because each release scans them.
type shapeTable struct {
	list []shape
	// blocked is parallel to list. An entry is set by a failed search and cleared
	// once a worker has free capacity for the shape. It is a separate slice because
	// each placement reads it for every shape.
	blocked []bool
	free    []int
	byKey   map[shapeKey]int
}

func newShapeTable() shapeTable { return shapeTable{byKey: map[shapeKey]int{}} }

// shapeOf returns the key of a job's shape.
func (r *Reducer) shapeOf(j *job) shapeKey {
	key := shapeKey{
		need: j.kind.Request, copies: j.waitingTasks(),
		runTimeBits: bits.Len64(uint64(r.estimates.runTime(j, backfillPercentile))),
	}
	if j.reserved || j.failures > 0 {
		key.exclusiveJob = j.spec.ID
	}
	return key
}

// acquire returns the index of a shape and increments its user count.
func (t *shapeTable) acquire(key shapeKey) int {
	i, ok := t.byKey[key]
	if !ok {
		s := shape{need: key.need, gang: key.copies > 1, key: key}
		if n := len(t.free); n > 0 {
			i = t.free[n-1]
			t.free = t.free[:n-1]
			t.list[i] = s
		} else {
			i = len(t.list)
			t.list, t.blocked = append(t.list, s), append(t.blocked, false)
		}
		t.byKey[key] = i
	}
	t.list[i].users++
	return i
}

// release decrements the user count of a shape and removes it at zero.
func (t *shapeTable) release(i int) {
	if i == noShape {
		return
	}
	s := &t.list[i]
	if s.users--; s.users == 0 {
		delete(t.byKey, s.key)
		t.blocked[i] = false
		t.free = append(t.free, i)
	}
}

// unblockFitting unblocks the shapes that fit into free, and marks those of gangs
// as pending.
func (t *shapeTable) unblockFitting(free Resources) {
	for i := range t.list {
		s := &t.list[i]
		if !t.blocked[i] || !s.need.Fits(free) {
			continue
		}
		if s.gang {
			s.pending = true
			continue
		}
		t.blocked[i] = false
	}
}

// unblockAll unblocks every shape.
func (t *shapeTable) unblockAll() {
	for i := range t.list {
		t.blocked[i] = false
		t.list[i].pending = false
	}
}

// unblockPending unblocks the gang shapes that are pending because a worker has
// released capacity.
func (t *shapeTable) unblockPending() {
	for i := range t.list {
		if s := &t.list[i]; s.pending {
			t.blocked[i] = false
			s.pending = false
		}
	}
}
