package core

import (
	"math"
	"time"
)

const (
	// headroomTime is the time for which room is kept free for urgent work, at
	// the rate at which it started lately.
	headroomWindow = 2 * time.Second
	// headroomShare bounds the room that is kept free. The rest of the bound
	// on packing is needed for work that does not fit exactly.
	maxHeadroomShare = 0.02
	// headroomPeriod is the time between two computations.
	headroomInterval = time.Second
)

// tickHeadroom computes the room that borrowed work must leave free. Work that its
// document does not allow to preempt would otherwise let urgent work of other
// teams wait until a task ends.
func (r *Reducer) tickHeadroom() {
	if !r.owner.active() || r.now < r.nextHeadroom {
		return
	}
	r.nextHeadroom = r.now.Add(headroomInterval)
	room := Resources{}
	for _, t := range r.docs.teams {
		for _, k := range t.queues {
			kind := r.docs.kind(k.key.team, k.key.kind)
			if kind == nil || kind.Urgency > Urgent || !r.fitsTeamQuota(t, kind.Request) {
				continue
			}
			if rate := k.startRate.recentRate(r.now); rate > 0 {
				starts := int64(math.Ceil(rate * headroomWindow.Seconds()))
				room = room.Add(kind.Request.Times(starts * int64(max(1, kind.GangSize))))
			}
		}
	}
	r.fleet.headroom = room.min(r.fleet.total.scaled(maxHeadroomShare))
	r.placementDirty = true
}

// leavesHeadroom reports whether work of this size may be placed on borrowed
// capacity.
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

// share returns a part of r.
func (r Resources) scaled(part float64) Resources {
	of := func(v int64) int64 { return int64(float64(v) * part) }
	return Resources{
		MilliCPU: of(r.MilliCPU), MemoryMB: of(r.MemoryMB), Accelerators: of(r.Accelerators),
		Slots: of(r.Slots), Connections: of(r.Connections),
	}
}
