package scheduler

import (
	"cmp"
	"slices"
)

const (
	// gangReserveShare is the share of the fleet's processors from which no further
	// gang that does not fit yet reserves capacity. More would leave too much capacity
	// idle; with less, wide gangs wait one behind another under a load of many narrow
	// tasks.
	gangReserveShare = 0.12
	// ticketReserveMargin is how long capacity stays reserved for a gang beyond
	// the expected time of the call for its tickets.
	ticketReserveMargin = 400 * msec
)

// allocation is the part of a gang that is placed on one worker.
type allocation struct {
	worker *worker
	tasks  int
}

// placeGang starts all tasks of a gang, or none. Capacity is reserved for a gang
// that has to wait: all of it for a gang that waits only for tickets, and what is
// free for the first one that does not fit yet, in turns of limited length.
func (c *cell) placeGang(s *stage) {
	c.unreserve(s)
	if s.waiting < len(s.tasks) {
		// Members of the previous run are still being stopped.
		return
	}
	plan, whole := c.planGang(s, func(w *worker) bool {
		_, ok := c.ticket(s, w)
		return ok
	})
	if whole {
		c.startGang(s, plan)
		return
	}
	if s.advised() {
		plan, whole = c.planGang(s, func(*worker) bool { return true })
	}
	if len(plan) > 0 && c.mayReserve(s, whole) {
		c.reserve(s, plan)
	}
	c.requestAdvice(s)
	if s.advice.inFlight && float64(plannedTasks(plan)) >= earlyTicketRatio*float64(len(s.tasks)) {
		s.reservedUntil = c.now.Add(s.advice.callTime + ticketReserveMargin)
	}
}

// plannedTasks counts the tasks of a plan.
func plannedTasks(plan []allocation) int {
	n := 0
	for _, p := range plan {
		n += p.tasks
	}
	return n
}

// startGang starts the tasks of a gang according to a plan.
func (c *cell) startGang(s *stage, plan []allocation) {
	c.dirty = true
	c.endTurn(s)
	s.turn = gangTurn{}
	s.gangRun = c.nextRunNumber(s.gangRun)
	i := 0
	for _, p := range plan {
		ticket, _ := c.ticket(s, p.worker)
		for range p.tasks {
			c.planStart(s.tasks[i], p.worker, s.gangRun, ticket)
			i++
		}
	}
}

// planGang distributes a gang over the workers that allow accepts, and reports
// whether all of it fits. Within a speed class, workers with the most places come
// first, so that the gang uses few workers.
func (c *cell) planGang(s *stage, allow func(*worker) bool) ([]allocation, bool) {
	var plan []allocation
	for _, w := range c.candidates(s) {
		if s.advised() {
			if result, known := s.advice.result(w); !known || !result.allowed {
				continue
			}
		}
		if n := c.placesOn(s, w); n > 0 && c.usable(s, w) && allow(w) {
			plan = append(plan, allocation{w, n})
		}
	}
	slices.SortStableFunc(plan, func(a, b allocation) int {
		return cmp.Or(cmp.Compare(a.worker.speedClass(), b.worker.speedClass()), cmp.Compare(b.tasks, a.tasks))
	})
	if s.step.SameRack {
		plan, _ = c.restrictToOneRack(s, plan)
	}
	remaining := len(s.tasks)
	for i := range plan {
		plan[i].tasks = min(plan[i].tasks, remaining)
		if remaining -= plan[i].tasks; remaining == 0 {
			return plan[:i+1], true
		}
	}
	return plan, false
}

// reservedOn returns the number of tasks for which a stage has reserved capacity on a
// worker.
func (s *stage) reservedOn(w *worker) int {
	for _, p := range s.reserved {
		if p.worker == w {
			return p.tasks
		}
	}
	return 0
}

// reserve reserves the capacity of a plan for a gang until the next pass.
func (c *cell) reserve(s *stage, plan []allocation) {
	if len(plan) == 0 {
		return
	}
	s.reserved, s.reservedUntil = plan, 0
	s.turn.lastReserved = c.now
	need := s.step.charge()
	for _, p := range plan {
		p.worker.reserved.addScaled(need, p.tasks)
		c.reservedCPU += need.MilliCPU * int64(p.tasks)
	}
	if !slices.Contains(c.reservingGangs, s) {
		c.reservingGangs = append(c.reservingGangs, s)
	}
}

// unreserve releases the capacity that is reserved for a gang.
func (c *cell) unreserve(s *stage) {
	need := s.step.charge()
	for _, p := range s.reserved {
		p.worker.reserved.addScaled(need, -p.tasks)
		c.reservedCPU -= need.MilliCPU * int64(p.tasks)
		c.noteChanged(p.worker)
	}
	s.reserved = nil
}

// releaseReserved releases the reservations of gangs that do not wait for tickets.
// Each pass reserves again in the order of the ready list.
func (c *cell) releaseReserved() {
	c.reservingGangs = slices.DeleteFunc(c.reservingGangs, func(s *stage) bool {
		if len(s.reserved) > 0 && s.reservedUntil > c.now && s.waiting == len(s.tasks) && !s.job.isEnding() {
			return false
		}
		c.unreserve(s)
		return true
	})
}
