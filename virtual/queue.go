package virtual

import (
	"container/heap"

	"banyanrun.example/banyanrun/core"
)

// timer is a function that runs at a time.
type timer struct {
	at       core.Time
	sequence uint64
	run      func()
}

// timerQueue is a heap of timers, ordered by time and, at the same time, by
// sequence.
type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }

func (q timerQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].sequence < q[b].sequence
}

func (q timerQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*q = old[:len(old)-1]
	return last
}

func (q *timerQueue) add(t timer) { heap.Push(q, t) }

// popUntil removes and returns the earliest timer, unless it is after until.
func (q *timerQueue) popUntil(until core.Time) (timer, bool) {
	if len(*q) == 0 || (*q)[0].at > until {
		return timer{}, false
	}
	return heap.Pop(q).(timer), true
}
