package core

import "container/heap"

// queueHeap orders the queues whose heads have the same shape by rank.
type queueHeap []*kindQueue

func (h queueHeap) Len() int           { return len(h) }
func (h queueHeap) Less(a, b int) bool { return h[a].rank.before(&h[b].rank) }
func (h queueHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapIndex, h[b].heapIndex = a, b
}

// Push implements heap.Interface.
func (h *queueHeap) Push(x any) {
	k := x.(*kindQueue)
	k.heapIndex = len(*h)
	*h = append(*h, k)
}

// Pop implements heap.Interface.
func (h *queueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// setRank changes the rank of a queue's head and moves the queue to the heap of the
// new shape.
func (t *shapeTable) setRank(k *kindQueue, rank headRank) {
	if k.rank.shape == rank.shape {
		k.rank = rank
		heap.Fix(&t.list[rank.shape].waiting, k.heapIndex)
		return
	}
	t.leave(k)
	k.rank = rank
	heap.Push(&t.list[rank.shape].waiting, k)
}

// leave removes a queue from the heap of its shape and releases the shape.
func (t *shapeTable) leave(k *kindQueue) {
	if k.rank.shape == noShape {
		return
	}
	heap.Remove(&t.list[k.rank.shape].waiting, k.heapIndex)
	t.release(k.rank.shape)
	k.rank.shape = noShape
}
