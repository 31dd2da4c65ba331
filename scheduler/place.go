package scheduler

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

const (
	// maxStagesPerPass bounds the number of stages that one pass tries to place in the
	// order of the ready list. rotatingStagesPerPass is the number of further ones, which
	// are others in each pass, so that stages that do not fit do not keep those behind
	// them from being tried.
	maxStagesPerPass      = 300
	rotatingStagesPerPass = 50
	// passInterval is the minimum time between two passes. Under load several
	// events share one pass; it delays a job by at most this long.
	passInterval = 8 * msec
	// lateFirstPasses is the number of passes after which late stages go first
	// once, which is every second or two, so that they do not starve. With late
	// stages first in every eighth pass, the worth of those that were on time
	// fell by 0.02 on large deployments.
	lateFirstPasses = 64
	// busyReadyStages is the number of ready stages above which passes are at
	// least busyPassInterval apart, so that passes do not saturate the processor
	// under overload.
	busyReadyStages  = 150
	busyPassInterval = 25 * msec
)

// schedule runs a scheduling pass if one is due: it places the stages of the
// ready list in their order, usually those that are on time first.
func (c *cell) schedule() {
	if !c.dirty || !c.mayStart() {
		return
	}
	interval := passInterval
	if len(c.ready) > busyReadyStages {
		interval = busyPassInterval
	}
	if wait := interval - c.now.Sub(c.lastPassAt); wait > 0 {
		if c.wakeAt <= c.now {
			c.wakeAt = c.now.Add(wait)
			c.emit(Wake{After: wait})
		}
		return
	}
	c.lastPassAt = c.now
	c.passes++
	c.dirty = false
	c.releaseReserved()
	c.refreshFleet()
	c.examined = 0
	c.placeFirst()
	c.placeReady()
	c.ready = slices.DeleteFunc(c.ready, func(s *stage) bool {
		if s.waiting == 0 || s.job.isEnding() {
			s.queued = false
			return true
		}
		return false
	})
}

// placeReady places the stages of the ready list, usually those that are on time first.
func (c *cell) placeReady() {
	ready, first := c.ready, 0
	if c.passes%lateFirstPasses != 0 {
		first = c.firstOnTime()
	}
	n := len(ready)
	next := 0
	for ; next < n && c.examined < maxStagesPerPass; next++ {
		c.placeStage(ready[(first+next)%n])
	}
	rest := n - next
	for k := 0; k < rest && c.examined < maxStagesPerPass+rotatingStagesPerPass; k++ {
		c.rotation++
		c.placeStage(ready[(first+next+c.rotation%rest)%n])
	}
}

// firstOnTime returns the index of the first ready stage that can still meet its
// objective.
//
// Late stages are first in the list. Under overload they would make all others
// late too, so they get what is left, and go first only every lateFirstPasses.
func (c *cell) firstOnTime() int {
	return sort.Search(len(c.ready), func(i int) bool { return c.now <= c.ready[i].latestStart })
}

// placeStage starts the tasks of a stage that fit.
func (c *cell) placeStage(s *stage) {
	if s.waiting == 0 || s.job.isEnding() || !s.step.LongRunning && !c.maxFree.fits(s.step.charge()) && len(s.reserved) == 0 {
		return
	}
	c.examined++
	// A job whose acceptance is not durable yet is placed too. Its start orders are
	// sent once both are in the log, so that a slow store delays the job by one
	// write instead of two.
	switch {
	case s.step.Gang:
		c.placeGang(s)
	case c.startable(s) == 0:
		// The stage may use the headroom once its slack has run out, and more memory
		// once other runs have ended, without a change at any worker. Later passes
		// therefore compare it with all of them.
		s.lastFailedPass = 0
	default:
		c.placeTasks(s)
		s.lastFailedPass = 0
		if s.waiting > 0 && c.startable(s) > 0 {
			s.lastFailedPass = c.passes
		}
	}
	c.recordStarts(s.job)
}

// refreshFleet sorts the workers that are listed and contacted in packing order:
// fast workers first, and among those of one speed class the fuller ones, so that
// empty workers remain for wide gangs. It also updates the totals of capacity and
// free processors.
func (c *cell) refreshFleet() {
	c.fleet, c.fleetWithRoom = c.fleet[:0], c.fleetWithRoom[:0]
	c.maxFree, c.capacityCPU, c.freeCPU = Resources{}, 0, 0
	for _, w := range c.workersByID {
		if !w.listed || !w.contacted {
			continue
		}
		if w.health.avoided && c.now >= w.health.avoidUntil {
			w.health.avoided = false
			c.markChanged(w)
		}
		free := w.free()
		c.capacityCPU += w.info.Capacity.MilliCPU
		if free.MilliCPU >= int64(minFreeShare*float64(w.info.Capacity.MilliCPU)) {
			c.freeCPU += free.MilliCPU
		}
		w.sortKey = int64(w.speedClass())<<speedClassShift + free.MilliCPU
		c.fleet = append(c.fleet, w)
		c.maxFree.MilliCPU = max(c.maxFree.MilliCPU, free.MilliCPU)
		c.maxFree.MemoryMB = max(c.maxFree.MemoryMB, free.MemoryMB)
		c.maxFree.Accelerators = max(c.maxFree.Accelerators, free.Accelerators)
	}
	slices.SortStableFunc(c.fleet, func(a, b *worker) int { return cmp.Compare(a.sortKey, b.sortKey) })
	minCPU := c.minReadyCPU()
	for i, w := range c.fleet {
		w.fleetIndex = i
		if w.free().MilliCPU >= minCPU {
			c.fleetWithRoom = append(c.fleetWithRoom, w)
		}
	}
	c.refreshChanged()
}

// refreshChanged determines the workers on which a stage that found no room in the
// last pass may find some in this one.
func (c *cell) refreshChanged() {
	c.changed, c.nextChanged = c.nextChanged, c.changed[:0]
	for _, w := range c.changed {
		w.inNextChanged = false
	}
	c.changed = slices.DeleteFunc(c.changed, func(w *worker) bool { return !w.listed || !w.contacted })
	slices.SortFunc(c.changed, compareFleetIndex)
	if c.recheckAll {
		c.recheckAll = false
		for _, s := range c.ready {
			s.lastFailedPass, s.advice.changedOnlyUntil = 0, 0
		}
	}
}

func compareFleetIndex(a, b *worker) int { return cmp.Compare(a.fleetIndex, b.fleetIndex) }

// speedClassShift is the bit position of the speed class in a sort key. The bits
// below hold a worker's free processors in thousandths of a core.
const speedClassShift = 40

// minReadyCPU returns the smallest processor need of the ready tasks, other than
// those that need none.
func (c *cell) minReadyCPU() int64 {
	minCPU := int64(math.MaxInt64)
	for _, s := range c.ready {
		if need := s.step.charge().MilliCPU; need > 0 {
			minCPU = min(minCPU, need)
		}
	}
	return minCPU
}

// candidates returns the workers that may have room for tasks of a stage, in the
// order of the fleet: those that the advice service has allowed, those that have
// changed since the stage last found no room, or all with room for any ready task.
// The workers on the rack of the stage's data come first.
func (c *cell) candidates(s *stage) []*worker {
	switch {
	case s.advised():
		slices.SortFunc(s.advice.allowed, compareFleetIndex)
		return dataRackFirst(s, s.advice.allowed)
	case s.step.Gang, s.step.DataRack != "":
		// A stage that waits for a rack may use others after a while, and a gang
		// needs room on all its workers at once, so the changed ones do not suffice.
		return dataRackFirst(s, c.workersWithRoom(s))
	case s.lastFailedPass != 0 && s.lastFailedPass == c.passes-1:
		return c.changed
	}
	return c.workersWithRoom(s)
}

// workersWithRoom returns the workers that may have room for a task of a stage.
func (c *cell) workersWithRoom(s *stage) []*worker {
	if s.step.charge().MilliCPU == 0 || s.step.LongRunning {
		return c.fleet
	}
	return c.fleetWithRoom
}

// speedClass groups workers of similar speed. Class 0 is the fastest.
func (w *worker) speedClass() int {
	switch {
	case w.health.speed < 0.9:
		return 0
	case w.health.speed < 1.15:
		return 1
	case w.health.speed < 1.6:
		return 2
	}
	return 3
}

// startable returns the number of waiting tasks of a stage that may start without using
// headroom or memory that has to stay free.
func (c *cell) startable(s *stage) int {
	inMemory := max(0, (c.budget.state-c.chargedBytes)/runBytes)
	return int(min(int64(c.withinHeadroom(s)), inMemory))
}

// placeTasks starts as many tasks of a stage as fit, and asks for advice if some
// are left.
func (c *cell) placeTasks(s *stage) {
	next := 0
	for _, w := range c.candidates(s) {
		if s.waiting == 0 {
			return
		}
		n := min(c.placesOn(s, w), c.startable(s))
		if n == 0 || !c.usable(s, w) {
			continue
		}
		ticket, ok := c.ticket(s, w)
		if !ok {
			continue
		}
		for ; n > 0 && s.waiting > 0; n-- {
			for s.tasks[next].state != taskWaiting {
				next++
			}
			t := s.tasks[next]
			c.planStart(t, w, c.nextRunNumber(t.lastRun), ticket)
		}
	}
	if s.waiting > 0 && c.startable(s) > 0 {
		c.requestAdvice(s)
	}
}

// nextRunNumber returns the number of a task's next run. Runs of different owners
// have different numbers, so that an order of an earlier owner is not mistaken for
// one of this owner.
func (c *cell) nextRunNumber(last int64) int64 {
	return max(last, (c.generation-1)*runsPerGeneration) + 1
}

// runsPerGeneration is the range of run numbers that each owner has for a task.
const runsPerGeneration = 1000
