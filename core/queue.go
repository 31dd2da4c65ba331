package core

import (
	"math/bits"
	"slices"
	"time"
)

// queueKey names one queue.
type queueKey struct {
	team TeamName
	kind KindName
}

// kindQueue holds the waiting jobs of one kind of one team, oldest first.
type kindQueue struct {
	key     queueKey
	team    *team
	urgency Urgency
	jobs    []*job
	// head is the index of the oldest entry in jobs.
	head int
	// size counts the jobs that are still waiting; entries that were removed
	// from the middle stay in jobs until they reach the head.
	size int
	// blockedAt is fleet.released at the time when the head did not fit.
	blockedAt uint64
	blocked   bool
	// nextRoom is when room may next be made for a head that did not fit.
	nextRoom Time
	// shape is that of shapeOf, the head at the last look.
	shape   *shape
	shapeOf *job
	// ranked is the rank of rankedOf while the team's use is rankedAt.
	ranked   rankOf
	rankedOf *job
	rankedAt rankStamp
	starts   rateMeter
}

// shapeKey is the room that a job needs: copies of a request, for a run time of
// about two to the power of runBits nanoseconds. Backfill beside a reservation may
// have room for a shorter job only.
type shapeKey struct {
	need    Resources
	copies  int
	runBits int
}

// shape remembers that no room of a size was found, so that the other queues
// whose heads need the same are passed over until a worker has released as much.
// Without this each release cost a try for every queue.
type shape struct {
	need     Resources
	failed   bool
	failedAt uint64
}

// queues holds all queues.
type queues struct {
	byKey map[queueKey]*kindQueue
	// busy lists the queues that are not empty.
	busy []*kindQueue
	// changed is set when a job was added.
	changed bool
	delayed timeHeap
	shapes  map[shapeKey]*shape
}

func newQueues() queues {
	return queues{byKey: map[queueKey]*kindQueue{}, shapes: map[shapeKey]*shape{}}
}

// shape returns the shape of a queue's head. It is kept for the head of a queue
// unless its tasks are several or room is reserved for it.
func (q *queues) shape(k *kindQueue, j *job, run time.Duration) *shape {
	key := shapeKey{j.kind.Request, j.waiting(), bits.Len64(uint64(run))}
	s := q.shapes[key]
	if s == nil {
		s = &shape{need: j.kind.Request}
		q.shapes[key] = s
	}
	k.shape, k.shapeOf = s, nil
	if len(j.tasks) == 1 && !j.reserved {
		k.shapeOf = j
	}
	return s
}

// of returns the queue of a job.
func (q *queues) of(j *job) *kindQueue {
	key := queueKey{j.spec.Team, j.spec.Kind}
	k := q.byKey[key]
	if k == nil {
		k = &kindQueue{key: key}
		q.byKey[key] = k
	}
	k.team, k.urgency = j.team, j.kind.Urgency
	return k
}

// push adds a job at the end of its queue.
func (q *queues) push(j *job) {
	k := q.of(j)
	if j.inQueue {
		return
	}
	if k.size == 0 {
		k.jobs, k.head = k.jobs[:0], 0
		q.busy = append(q.busy, k)
		k.blocked, k.nextRoom, k.shapeOf, k.rankedOf = false, 0, nil, nil
	}
	j.inQueue = true
	k.jobs = append(k.jobs, j)
	k.size++
	q.changed = true
}

// remove takes a job out of its queue.
func (q *queues) remove(j *job) {
	if !j.inQueue {
		return
	}
	k := q.of(j)
	j.inQueue = false
	k.size--
	k.shapeOf = nil
	if k.size == 0 {
		k.jobs, k.head = nil, 0
		q.busy = slices.DeleteFunc(q.busy, func(o *kindQueue) bool { return o == k })
		return
	}
	if k.first() == j || k.jobs[k.head] == j {
		k.blocked = false
	}
	k.compact()
}

// first returns the oldest waiting job, or nil.
func (k *kindQueue) first() *job {
	for k.head < len(k.jobs) && !k.jobs[k.head].inQueue {
		k.jobs[k.head] = nil
		k.head++
		k.blocked = false
	}
	if k.head == len(k.jobs) {
		return nil
	}
	return k.jobs[k.head]
}

// compact drops consumed entries once they are the greater part.
func (k *kindQueue) compact() {
	const least = 64
	if k.head > least && k.head > len(k.jobs)/2 {
		k.jobs = append([]*job(nil), k.jobs[k.head:]...)
		k.head = 0
	}
}

// position returns the place of a job in its queue, from 1, or 0.
func (k *kindQueue) position(j *job) int {
	place := 0
	for _, o := range k.jobs[k.head:] {
		if o == nil || !o.inQueue {
			continue
		}
		place++
		if o == j {
			return place
		}
	}
	return 0
}
