package core

import "container/heap"

// timedJob is an entry of a timeHeap.
type timedJob struct {
	due Time
	id  JobID
}

// timeHeap orders job ids by time. Obsolete entries are not removed; the code that
// pops one checks the job.
type timeHeap []timedJob

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(a, b int) bool { return h[a].due < h[b].due }
func (h timeHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *timeHeap) Push(x any) { *h = append(*h, x.(timedJob)) }

// Pop implements heap.Interface.
func (h *timeHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// add inserts an entry.
func (h *timeHeap) add(at Time, id JobID) { heap.Push(h, timedJob{at, id}) }

// due removes and returns the first entry whose time has come.
func (h *timeHeap) due(now Time) (JobID, bool) {
	if len(*h) == 0 || (*h)[0].due > now {
		return "", false
	}
	return heap.Pop(h).(timedJob).id, true
}
