package scheduler

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

const (
	// maxExamined bounds the stages that one pass looks at.
	maxStagesPerPass = 300
	// passInterval is the least time between two passes. Under load it lets
	// several events share one pass; a job waits this long at most.
	passInterval = 8 * msec
	// latePass is how often the stages that are late go first: every second or
	// two, so that none waits without end. Every eighth pass cost stages that were
	// in time 0.02 of worth on the grown sites.
	lateFirstPasses = 64
	// crowded is the number of ready stages from which passes are at least
	// crowdedInterval apart, so that a flood does not use up the processor.
	busyReadyStages  = 150
	busyPassInterval = 25 * msec
)

// schedule starts what can be started, in the order of the ready list.
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
	first := 0
	if c.passes%lateFirstPasses != 0 {
		first = c.firstOnTime()
	}
	for _, s := range c.ready[first:] {
		c.placeStage(s)
	}
	for _, s := range c.ready[:first] {
		c.placeStage(s)
	}
	c.ready = slices.DeleteFunc(c.ready, func(s *stage) bool {
		if s.waiting == 0 || s.job.isEnding() {
			s.queued = false
			return true
		}
		return false
	})
}

// firstInTime is the index of the first stage that can still meet its objective.
//
// In a flood the late ones would otherwise go before all others and make each of
// them late as well. They get what is left, and each latePass.
func (c *cell) firstOnTime() int {
	return sort.Search(len(c.ready), func(i int) bool { return c.now <= c.ready[i].latestStart })
}

// place starts what can be started of a stage.
func (c *cell) placeStage(s *stage) {
	if s.waiting == 0 || s.job.isEnding() || !c.maxFree.fits(s.step.charge()) && len(s.reserved) == 0 {
		return
	}
	if c.examined++; c.examined > maxStagesPerPass {
		return
	}
	// A job whose acceptance is still being written is placed as well: the orders
	// to start follow once both are in the log, which a slow store takes once
	// instead of twice.
	switch {
	case s.step.Gang:
		c.placeGang(s)
	default:
		c.placeTasks(s)
		s.lastFailedPass = 0
		if s.waiting > 0 {
			s.lastFailedPass = c.passes
		}
	}
	c.recordStarts(s.job)
}

// refreshFleet lists the workers in the order in which tasks are packed: fast
// workers first, and of those the fuller ones, so that wide gangs find empty
// workers. The order of the last pass is nearly right, which makes sorting cheap.
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
		w.sortKey = int64(w.speedClass())<<speedClassBits + free.MilliCPU
		c.fleet = append(c.fleet, w)
		c.maxFree.MilliCPU = max(c.maxFree.MilliCPU, free.MilliCPU)
		c.maxFree.MemoryMB = max(c.maxFree.MemoryMB, free.MemoryMB)
		c.maxFree.Accelerators = max(c.maxFree.Accelerators, free.Accelerators)
	}
	slices.SortStableFunc(c.fleet, func(a, b *worker) int { return cmp.Compare(a.sortKey, b.sortKey) })
	least := c.minReadyCPU()
	for i, w := range c.fleet {
		w.fleetIndex = i
		if w.free().MilliCPU >= least {
			c.fleetWithRoom = append(c.fleetWithRoom, w)
		}
	}
	c.refreshChanged()
}

// refreshChanged lists the workers on which stages that found no room in the last
// pass may find some now.
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

// speedClassShift leaves room for the processors of any worker, in thousandths of
// a core.
const speedClassBits = 40

// leastNeed is the smallest amount of processors that a ready task needs, tasks
// that need none aside.
func (c *cell) minReadyCPU() int64 {
	least := int64(math.MaxInt64)
	for _, s := range c.ready {
		if need := s.step.charge().MilliCPU; need > 0 {
			least = min(least, need)
		}
	}
	return least
}

// candidates lists the workers on which tasks of a stage may have room, in the
// order of the fleet: those that the advice service has named, those that have
// changed since the stage found no room, or all that have room for any stage.
func (c *cell) candidates(s *stage) []*worker {
	switch {
	case s.advised():
		slices.SortFunc(s.advice.allowed, compareFleetIndex)
		return dataRackFirst(s, s.advice.allowed)
	case s.step.Gang, s.step.DataRack != "":
		// What waits for a rack may start elsewhere as time passes.
		return dataRackFirst(s, c.workersWithRoom(s))
	case s.lastFailedPass != 0 && s.lastFailedPass == c.passes-1:
		return c.changed
	}
	return c.workersWithRoom(s)
}

// withRoom lists the workers that may have room for a task of a stage.
func (c *cell) workersWithRoom(s *stage) []*worker {
	if s.step.charge().MilliCPU == 0 {
		return c.fleet
	}
	return c.fleetWithRoom
}

// speedClass groups workers whose speeds do not differ by much.
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

// placeTasks starts as many tasks of a stage as there is room for.
func (c *cell) placeTasks(s *stage) {
	next := 0
	for _, w := range c.candidates(s) {
		if s.waiting == 0 {
			return
		}
		n := min(c.placesOn(s, w), c.withinHeadroom(s))
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
	if s.waiting > 0 && c.withinHeadroom(s) > 0 {
		c.requestAdvice(s)
	}
}

// nextRun numbers a start. Runs of different owners have different numbers, so
// that an order of an earlier owner is never taken for one of this owner.
func (c *cell) nextRunNumber(last int64) int64 {
	return max(last, (c.generation-1)*runsPerGeneration) + 1
}

// runsPerGeneration bounds the starts of a task under one owner.
const runsPerGeneration = 1000
