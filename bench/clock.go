package bench

import (
	"container/heap"

	"banyanrun.example/banyanrun/core"
)

// timer calls run at a point in virtual time.
type timer struct {
	at  core.Time
	seq uint64
	run func()
}

// virtualClock is a heap of timers, ordered by time and then by creation.
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

// schedule calls do at the given time, or now if that time has passed.
func (t *virtualClock) schedule(at core.Time, do func()) {
	t.seq++
	heap.Push(t, timer{max(at, t.now), t.seq, do})
}

// run advances virtual time to until and runs the timers that are due.
func (t *virtualClock) run(until core.Time) {
	for len(t.timers) > 0 && t.timers[0].at <= until {
		next := heap.Pop(t).(timer)
		t.now = next.at
		next.run()
	}
	t.now = until
}
