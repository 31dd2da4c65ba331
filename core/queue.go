package core

import (
	"slices"
	"time"
)

// queueKey identifies one queue.
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
	// size counts the jobs that are still waiting. Entries that were removed from
	// the middle stay in jobs until they reach the head.
	size int
	// busyIndex is the queue's index in queues.busy and queues.heads while it is
	// not empty, and heapIndex its index in the heap of its shape.
	busyIndex int
	heapIndex int
	// rank is a copy of queues.heads[busyIndex] for use by the heap.
	rank headRank
	// stale is set while the queue's rank must be recomputed.
	stale bool
	// overtaken counts the placements of lower-ranked jobs while the queue's head
	// was the first blocked one.
	overtaken int
	// overtakenSince is when the head was first overtaken, or zero.
	overtakenSince Time
	// nextPreemption is the earliest time of the next preemption for the head, and
	// preemptionWait is the wait after the last attempt.
	nextPreemption Time
	preemptionWait time.Duration
	// reservationID is the id of reservations that any job of the queue may use.
	reservationID JobID
	startRate     rateMeter
}

// queues holds all queues.
//
// Invariant: heads and busy have the same length, and heads[i] is the rank of the
// oldest job of busy[i] unless that queue is stale.
type queues struct {
	byKey map[queueKey]*kindQueue
	// busy lists the non-empty queues.
	busy  []*kindQueue
	heads []headRank
	// stale lists the queues whose rank must be recomputed.
	stale  []*kindQueue
	shapes shapeTable
	// starved is a queue whose head has been overtaken too often, or nil.
	starved *kindQueue
	delayed timeHeap
	// enqueued counts the jobs that have ever been queued.
	enqueued uint64
}

func newQueues() queues {
	return queues{byKey: map[queueKey]*kindQueue{}, shapes: newShapeTable()}
}

// queueFor returns the queue of a job and creates it if needed.
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

// push appends a job to its queue.
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

// remove removes a job from its queue.
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

// removeBusy removes an empty queue from busy and heads.
func (q *queues) removeBusy(k *kindQueue) {
	q.shapes.leave(k)
	last := len(q.busy) - 1
	q.busy[k.busyIndex], q.heads[k.busyIndex] = q.busy[last], q.heads[last]
	q.busy[k.busyIndex].busyIndex = k.busyIndex
	q.busy, q.heads = q.busy[:last], q.heads[:last]
	k.jobs, k.head = nil, 0
}

// markStale marks a queue's rank for recomputation before the next placement.
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

// compact removes consumed entries once they outnumber the others.
func (k *kindQueue) compact() {
	const minConsumed = 64
	if k.head > minConsumed && k.head > len(k.jobs)/2 {
		k.jobs = slices.Clone(k.jobs[k.head:])
		k.head = 0
	}
}

// position returns the position of a job in its queue, counted from 1, or 0 if it
// is not queued.
func (k *kindQueue) position(j *job) int {
	pos := 0
	for _, o := range k.jobs[k.head:] {
		if o == nil || !o.inQueue {
			continue
		}
		pos++
		if o == j {
			return pos
		}
	}
	return 0
}
