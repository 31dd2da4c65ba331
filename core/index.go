package core

import "math/bits"

const (
	// maxFitSets bounds the requests in the index, because each change of a worker
	// is compared with all of them.
	maxFitSets = 1024
	wordBits   = 64
)

// unusableCapacity is the free capacity entered for a worker that must get no work.
var unusableCapacity = Resources{MilliCPU: -1, MemoryMB: -1, Accelerators: -1, Slots: -1, Connections: -1}

// fitSet is the set of workers that have capacity for one request, as a bitmap.
type fitSet struct {
	bits  []uint64
	count int
	// lastSearch is the number of the last search that used the set.
	lastSearch uint64
}

// capacityIndex maps each request that has been searched for to the workers that
// have capacity for it. A search is exact and visits no other worker; a change of a
// worker costs one comparison per request.
type capacityIndex struct {
	free []Resources
	// usable counts the workers that may get work.
	usable int
	// needs and sets are parallel slices. The requests are contiguous in memory
	// because each change of a worker scans them.
	needs    []Resources
	sets     []fitSet
	byNeed   map[Resources]int
	searches uint64
}

// newCapacityIndex returns an index of n workers, none of them usable.
func newCapacityIndex(n int) capacityIndex {
	x := capacityIndex{free: make([]Resources, n), byNeed: map[Resources]int{}}
	for i := range x.free {
		x.free[i] = unusableCapacity
	}
	return x
}

// set changes the free capacity of worker i.
func (x *capacityIndex) set(i int, free Resources) {
	if x.free[i] == free {
		return
	}
	if x.free[i] == unusableCapacity {
		x.usable++
	} else if free == unusableCapacity {
		x.usable--
	}
	x.free[i] = free
	word, bit := i/wordBits, uint64(1)<<(i%wordBits)
	for n := range x.needs {
		s := &x.sets[n]
		has := s.bits[word]&bit != 0
		if fits := x.needs[n].Fits(free); fits != has {
			s.bits[word] ^= bit
			if fits {
				s.count++
			} else {
				s.count--
			}
		}
	}
}

// find returns the workers that have capacity for need.
func (x *capacityIndex) find(need Resources) *fitSet {
	x.searches++
	n, ok := x.byNeed[need]
	if !ok {
		n = x.add(need)
	}
	x.sets[n].lastSearch = x.searches
	return &x.sets[n]
}

// add enters a new request and compares every worker with it. If the index is full,
// the least recently searched request is replaced.
func (x *capacityIndex) add(need Resources) int {
	n := len(x.needs)
	if n < maxFitSets {
		x.needs, x.sets = append(x.needs, need), append(x.sets, fitSet{})
	} else {
		n = 0
		for i := range x.sets {
			if x.sets[i].lastSearch < x.sets[n].lastSearch {
				n = i
			}
		}
		delete(x.byNeed, x.needs[n])
		x.needs[n] = need
	}
	x.byNeed[need] = n
	s := fitSet{bits: make([]uint64, (len(x.free)+wordBits-1)/wordBits)}
	for i := range x.free {
		if need.Fits(x.free[i]) {
			s.bits[i/wordBits] |= 1 << (i % wordBits)
			s.count++
		}
	}
	x.sets[n] = s
	return n
}

// next returns the first worker at or after from, or -1.
func (s *fitSet) next(from int) int {
	if s.count == 0 || from/wordBits >= len(s.bits) {
		return -1
	}
	word := s.bits[from/wordBits] >> (from % wordBits)
	if word != 0 {
		return from + bits.TrailingZeros64(word)
	}
	for w := from/wordBits + 1; w < len(s.bits); w++ {
		if s.bits[w] != 0 {
			return w*wordBits + bits.TrailingZeros64(s.bits[w])
		}
	}
	return -1
}

// largest returns the maximum free capacity of any worker in each dimension.
func (x *capacityIndex) largest() Resources {
	top := unusableCapacity
	for i := range x.free {
		top = top.max(x.free[i])
	}
	return top
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
