package bench

import (
	"container/heap"

	"banyanrun.example/banyanrun/core"
)

// timer is something that happens at a moment of virtual time.
type timer struct {
	at  core.Time
	seq uint64
	run func()
}

// timers is a heap of timers in the order of time and then of creation.
type virtualClock struct {
	timers []timer
	seq    uint64
	now    core.Time
}

// Len implements heap.Interface.
func (t *virtualClock) Len() int { return len(t.timers) }

// Less implements heap.Interface.
func (t *virtualClock) Less(i, j int) bool {
	if t.timers[i].at != t.timers[j].at {
		return t.timers[i].at < t.timers[j].at
	}
	return t.timers[i].seq < t.timers[j].seq
}

// Swap implements heap.Interface.
func (t *virtualClock) Swap(i, j int) { t.timers[i], t.timers[j] = t.timers[j], t.timers[i] }

// Push implements heap.Interface.
func (t *virtualClock) Push(x any) { t.timers = append(t.timers, x.(timer)) }

// Pop implements heap.Interface.
func (t *virtualClock) Pop() any {
	last := t.timers[len(t.timers)-1]
	t.timers[len(t.timers)-1] = timer{}
	t.timers = t.timers[:len(t.timers)-1]
	return last
}

// schedule runs do at a time.
func (t *virtualClock) schedule(at core.Time, do func()) {
	t.seq++
	heap.Push(t, timer{max(at, t.now), t.seq, do})
}

// run advances virtual time to until.
func (t *virtualClock) run(until core.Time) {
	for len(t.timers) > 0 && t.timers[0].at <= until {
		next := heap.Pop(t).(timer)
		t.now = next.at
		next.run()
	}
	t.now = until
}
