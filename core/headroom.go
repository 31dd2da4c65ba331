package core

import (
	"math"
	"time"
)

const (
	// headroomWindow is how much urgent work the headroom must hold, as time at the
	// recent rate of starts.
	headroomWindow = 2 * time.Second
	// maxHeadroomShare bounds the headroom as a share of the total capacity. The
	// packing benchmark allows 5% of the capacity to stay unused, and the rest of
	// that is needed for fragmentation.
	maxHeadroomShare = 0.02
	// headroomInterval is the time between recomputations.
	headroomInterval = time.Second
)

// tickHeadroom recomputes the capacity that work on borrowed capacity must leave
// free. Without it, urgent work of another team would have to wait for a task to
// end wherever the borrowing work cannot be preempted.
func (r *Reducer) tickHeadroom() {
	if !r.owner.active() || r.now < r.nextHeadroom {
		return
	}
	r.nextHeadroom = r.now.Add(headroomInterval)
	headroom := Resources{}
	for _, t := range r.docs.teams {
		for _, k := range t.queues {
			kind := r.docs.kind(k.key.team, k.key.kind)
			if kind == nil || kind.Urgency > Urgent || !r.fitsTeamQuota(t, kind.Request) {
				continue
			}
			if rate := k.startRate.recentRate(r.now); rate > 0 {
				starts := int64(math.Ceil(rate * headroomWindow.Seconds()))
				headroom = headroom.Add(kind.Request.Times(starts * int64(max(1, kind.GangSize))))
			}
		}
	}
	r.fleet.headroom = headroom.min(r.fleet.total.scaled(maxHeadroomShare))
	r.placementDirty = true
}

// leavesHeadroom reports whether the headroom remains free after placing need on
// borrowed capacity.
func (f *fleet) leavesHeadroom(need Resources) bool {
	return need.Add(f.headroom).Fits(f.total.Sub(f.assigned))
}

// min returns the lesser of r and o in each dimension.
func (r Resources) min(o Resources) Resources {
	return Resources{
		MilliCPU:     min(r.MilliCPU, o.MilliCPU),
		MemoryMB:     min(r.MemoryMB, o.MemoryMB),
		Accelerators: min(r.Accelerators, o.Accelerators),
		Slots:        min(r.Slots, o.Slots),
		Connections:  min(r.Connections, o.Connections),
	}
}

// scaled returns r multiplied by part and rounded towards zero.
func (r Resources) scaled(part float64) Resources {
	scale := func(v int64) int64 { return int64(float64(v) * part) }
	return Resources{
		MilliCPU: scale(r.MilliCPU), MemoryMB: scale(r.MemoryMB), Accelerators: scale(r.Accelerators),
		Slots: scale(r.Slots), Connections: scale(r.Connections),
	}
}
