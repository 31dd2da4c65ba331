package virtual

import (
	"container/heap"

	"banyanrun.example/banyanrun/core"
)

// action is something that happens at a time.
type action struct {
	at    core.Time
	order uint64
	run   func()
}

// queue orders actions by time and, within a time, by their entry.
type queue []action

func (q queue) Len() int { return len(q) }

func (q queue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].order < q[b].order
}

func (q queue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(action)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = action{}
	*q = old[:len(old)-1]
	return last
}

// add enters an action.
func (q *queue) add(a action) { heap.Push(q, a) }

// next removes the earliest action that is not after until.
func (q *queue) next(until core.Time) (action, bool) {
	if len(*q) == 0 || (*q)[0].at > until {
		return action{}, false
	}
	return heap.Pop(q).(action), true
}
