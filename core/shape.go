package core

import "math/bits"

// noShape is the shape of a queue whose head has not been looked at.
const noShape = -1

// shapeKey is the room that a job needs. Jobs of one shape have room or none
// together, so one fruitless search speaks for all of them.
type shapeKey struct {
	need   Resources
	copies int
	// runBits is the order of magnitude of the run time. Backfill beside a
	// reservation may have room for a shorter job alone.
	runTimeBits int
	// only is set for a job that must avoid workers or has room reserved. Its
	// searches say nothing about other jobs.
	exclusiveJob JobID
}

// shape remembers that no room was found for jobs of one shape.
type shape struct {
	need Resources
	// gang is set when several copies are needed. A release may then make room
	// without being the only one that does, so it is looked at again each tick
	// and not with each release.
	gang    bool
	pending bool
	users   int
	key     shapeKey
	// waiting are the queues whose heads have the shape.
	waiting queueHeap
}

// shapeTable holds the shapes of the heads of all queues. They are kept together
// in memory, since each release looks at all of them.
type shapeTable struct {
	list []shape
	// blocked is parallel to list and set from a fruitless search until a
	// worker has released as much as the shape needs. It is apart because each
	// placement reads it for every queue.
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

// acquire returns the place of a shape and counts one more user.
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

// release counts one user less and forgets a shape without users.
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

// reopen lets the shapes be tried again that fit into free.
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

// reopenAll lets every shape be tried again.
func (t *shapeTable) unblockAll() {
	for i := range t.list {
		t.blocked[i] = false
		t.list[i].pending = false
	}
}

// reopenPending lets the shapes of gangs be tried again for which a worker has
// released room.
func (t *shapeTable) unblockPending() {
	for i := range t.list {
		if s := &t.list[i]; s.pending {
			t.blocked[i] = false
			s.pending = false
		}
	}
}
