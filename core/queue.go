package core

import (
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
	// at is the place of the queue in queues.busy and queues.heads while it is
	// not empty, and heapAt that in the heap of its shape.
	busyIndex int
	heapIndex int
	// rank is queues.heads[at], also for the heap.
	rank headRank
	// stale is set while the queue's entry in queues.heads must be computed
	// anew.
	stale bool
	// overtaken counts the placements that passed the head while it was the
	// first that had no room.
	overtaken int
	// passedAt is when the head was overtaken first, or zero.
	overtakenSince Time
	// nextRoom is when work may next be preempted for the head, and roomWait
	// is the wait after the last try.
	nextPreemption Time
	preemptionWait time.Duration
	// reservation names room that is kept for any job of the queue.
	reservationID JobID
	startRate     rateMeter
}

// queues holds all queues.
//
// Invariant: heads and busy have the same length, and heads[i] describes the
// oldest job of busy[i] unless that queue is stale.
type queues struct {
	byKey map[queueKey]*kindQueue
	// busy lists the queues that are not empty.
	busy  []*kindQueue
	heads []headRank
	// stale lists the queues whose head must be computed anew.
	stale  []*kindQueue
	shapes shapeTable
	// starved is a queue whose head was overtaken often, or nil.
	starved *kindQueue
	delayed timeHeap
	// arrivals counts the jobs that were ever queued.
	enqueued uint64
}

func newQueues() queues {
	return queues{byKey: map[queueKey]*kindQueue{}, shapes: newShapeTable()}
}

// of returns the queue of a job.
func (q *queues) queueFor(j *job) *kindQueue {
	key := queueKey{j.spec.Team, j.spec.Kind}
	k := q.byKey[key]
	if k == nil {
		k = &kindQueue{key: key, reservationID: JobID("queue:" + string(key.team) + "/" + string(key.kind))}
		q.byKey[key] = k
		if j.team != nil {
			j.team.queues = append(j.team.queues, k)
		}
	}
	k.team, k.urgency = j.team, j.kind.Urgency
	return k
}

// push adds a job at the end of its queue.
func (q *queues) push(j *job) {
	if j.inQueue {
		return
	}
	k := q.queueFor(j)
	if k.size == 0 {
		k.jobs, k.head = k.jobs[:0], 0
		k.busyIndex, k.overtaken, k.overtakenSince, k.nextPreemption = len(q.busy), 0, 0, 0
		q.busy = append(q.busy, k)
		k.rank = headRank{shape: noShape}
		q.heads = append(q.heads, k.rank)
		q.markStale(k)
	}
	j.inQueue = true
	if j.queueNumber == 0 {
		q.enqueued++
		j.queueNumber = q.enqueued
	}
	k.jobs = append(k.jobs, j)
	k.size++
}

// remove takes a job out of its queue.
func (q *queues) remove(j *job) {
	if !j.inQueue {
		return
	}
	k := q.queueFor(j)
	j.inQueue = false
	k.size--
	if k.size == 0 {
		q.removeBusy(k)
		return
	}
	if k.jobs[k.head] == j {
		k.overtaken, k.overtakenSince, k.nextPreemption = 0, 0, 0
		q.markStale(k)
	}
	k.compact()
}

// drop takes an empty queue out of the list of busy ones.
func (q *queues) removeBusy(k *kindQueue) {
	q.shapes.leave(k)
	last := len(q.busy) - 1
	q.busy[k.busyIndex], q.heads[k.busyIndex] = q.busy[last], q.heads[last]
	q.busy[k.busyIndex].busyIndex = k.busyIndex
	q.busy, q.heads = q.busy[:last], q.heads[:last]
	k.jobs, k.head = nil, 0
}

// touch has the head of a queue computed anew before the next placement.
func (q *queues) markStale(k *kindQueue) {
	if !k.stale {
		k.stale = true
		q.stale = append(q.stale, k)
	}
}

// first returns the oldest waiting job, or nil.
func (k *kindQueue) first() *job {
	for k.head < len(k.jobs) && !k.jobs[k.head].inQueue {
		k.jobs[k.head] = nil
		k.head++
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
		k.jobs = slices.Clone(k.jobs[k.head:])
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
