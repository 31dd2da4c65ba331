package bench

import (
	"container/heap"

	"banyanrun.example/banyanrun/core"
)

// timer is something that happens at a moment of virtual time.
type timer struct {
	at  core.Time
	seq uint64
	do  func()
}

// timers is a heap of timers in the order of time and then of creation.
type timers struct {
	list []timer
	seq  uint64
	now  core.Time
}

// Len implements heap.Interface.
func (t *timers) Len() int { return len(t.list) }

// Less implements heap.Interface.
func (t *timers) Less(i, j int) bool {
	if t.list[i].at != t.list[j].at {
		return t.list[i].at < t.list[j].at
	}
	return t.list[i].seq < t.list[j].seq
}

// Swap implements heap.Interface.
func (t *timers) Swap(i, j int) { t.list[i], t.list[j] = t.list[j], t.list[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { t.list = append(t.list, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := t.list[len(t.list)-1]
	t.list[len(t.list)-1] = timer{}
	t.list = t.list[:len(t.list)-1]
	return last
}

// schedule runs do at a time.
func (t *timers) schedule(at core.Time, do func()) {
	t.seq++
	heap.Push(t, timer{max(at, t.now), t.seq, do})
}

// run advances virtual time to until.
func (t *timers) run(until core.Time) {
	for len(t.list) > 0 && t.list[0].at <= until {
		next := heap.Pop(t).(timer)
		t.now = next.at
		next.do()
	}
	t.now = until
}
