package core

// capacityIndex is a tournament tree over workers. Each inner node holds, in
// each dimension, the most that any worker below it has free, so that a search
// skips every subtree in which no worker can fit. An update costs O(log n).
type capacityIndex struct {
	// size is the number of leaves, a power of two.
	size  int
	nodes []Resources
}

// unusable is the free capacity of a worker that must get no work.
var unusable = Resources{MilliCPU: -1, MemoryMB: -1, Accelerators: -1, Slots: -1, Connections: -1}

// newCapacityIndex returns an index of n workers, none of them usable.
func newCapacityIndex(n int) capacityIndex {
	size := 1
	for size < n {
		size *= 2
	}
	x := capacityIndex{size: size, nodes: make([]Resources, 2*size)}
	for i := range x.nodes {
		x.nodes[i] = unusable
	}
	return x
}

// set changes the free capacity of worker i.
func (x *capacityIndex) set(i int, free Resources) {
	n := x.size + i
	if x.nodes[n] == free {
		return
	}
	x.nodes[n] = free
	for n /= 2; n >= 1; n /= 2 {
		top := x.nodes[2*n].max(x.nodes[2*n+1])
		if x.nodes[n] == top {
			return
		}
		x.nodes[n] = top
	}
}

// max returns the greater of r and o in each dimension.
func (r Resources) max(o Resources) Resources {
	return Resources{
		MilliCPU:     max(r.MilliCPU, o.MilliCPU),
		MemoryMB:     max(r.MemoryMB, o.MemoryMB),
		Accelerators: max(r.Accelerators, o.Accelerators),
		Slots:        max(r.Slots, o.Slots),
		Connections:  max(r.Connections, o.Connections),
	}
}

// largest is the most that any one worker has free in each dimension.
func (x *capacityIndex) largest() Resources {
	if len(x.nodes) < 2 {
		return unusable
	}
	return x.nodes[1]
}

// next returns the first worker at or after from that has room for need, or -1.
// budget bounds the nodes that are visited; it is reduced by those that were.
func (x *capacityIndex) next(from int, need Resources, budget *int) int {
	if from >= x.size || len(x.nodes) < 2 {
		return -1
	}
	n := x.size + from
	// Climb from the leaf, trying each subtree to the right of the path.
	if need.Fits(x.nodes[n]) {
		*budget--
		return from
	}
	for n > 1 {
		if n%2 == 0 {
			if i := x.descend(n+1, need, budget); i >= 0 {
				return i
			}
		}
		n /= 2
		if *budget <= 0 {
			return -1
		}
	}
	return -1
}

// descend returns the leftmost worker below n that has room for need, or -1.
func (x *capacityIndex) descend(n int, need Resources, budget *int) int {
	*budget--
	if *budget <= 0 || !need.Fits(x.nodes[n]) {
		return -1
	}
	if n >= x.size {
		return n - x.size
	}
	if i := x.descend(2*n, need, budget); i >= 0 {
		return i
	}
	return x.descend(2*n+1, need, budget)
}
