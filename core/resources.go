package core

import "fmt"

// Resources is a resource vector: the request of a task or the capacity of a
// worker.
type Resources struct {
	MilliCPU     int64
	MemoryMB     int64
	Accelerators int64
	Slots        int64
	Connections  int64
}

// dimensions is the number of fields of Resources.
const dimensions = 5

// dimensionNames are the names of the fields in declaration order.
var dimensionNames = [dimensions]string{"milli_cpu", "memory_mb", "accelerators", "slots", "connections"}

// vector returns the fields in declaration order.
func (r Resources) vector() [dimensions]int64 {
	return [dimensions]int64{r.MilliCPU, r.MemoryMB, r.Accelerators, r.Slots, r.Connections}
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
		Connections:  r.Connections + o.Connections,
	}
}

// Sub returns r - o. Fields of the result may be negative.
func (r Resources) Sub(o Resources) Resources { return r.Add(o.Times(-1)) }

// Times returns r with every field multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
		Slots:        r.Slots * n,
		Connections:  r.Connections * n,
	}
}

// Fits reports whether r is at most free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB &&
		r.Accelerators <= free.Accelerators && r.Slots <= free.Slots &&
		r.Connections <= free.Connections
}

// Copies returns how many times r fits into free, up to limit.
func (r Resources) Copies(free Resources, limit int64) int64 {
	need, have := r.vector(), free.vector()
	for d := range need {
		if need[d] > 0 {
			limit = min(limit, have[d]/need[d])
		}
	}
	return max(limit, 0)
}

// Negative reports whether any field is negative.
func (r Resources) Negative() bool {
	for _, v := range r.vector() {
		if v < 0 {
			return true
		}
	}
	return false
}

// IsZero reports whether all fields are zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// DominantShare returns the largest fraction of total that r uses in any
// dimension. Dimensions in which total is zero are ignored.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	need, have := r.vector(), total.vector()
	for d := range need {
		if have[d] > 0 {
			share = max(share, float64(need[d])/float64(have[d]))
		}
	}
	return share
}

// String implements fmt.Stringer.
func (r Resources) String() string {
	return fmt.Sprintf("%dm cpu, %d MB, %d accelerators, %d slots, %d connections",
		r.MilliCPU, r.MemoryMB, r.Accelerators, r.Slots, r.Connections)
}
