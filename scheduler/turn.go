package scheduler

import "time"

// Capacity that is reserved for a gang lies idle until the gang fits. Without a bound a
// gang that cannot fit, for example beside long-running tasks, keeps all other work from
// the idle capacity. Reservations are therefore made in turns: a turn that expires is
// followed by a pause, in which the gang reserves nothing.
//
// Work that is more urgent, or whose estimate is lower, takes capacity before a gang gets
// to reserve it. A gang that has waited for long therefore gets a turn in which it is
// placed before everything else.
const (
	// idleTurn is the longest time for which reservations may keep work waiting while
	// less than half of the processors are in use.
	idleTurn = 2 * time.Second
	// crowdedShare is the share of the processors, in use or reserved, above which
	// reservations may keep work waiting. The headroom takes a fifth of the rest.
	crowdedShare = 0.6
	// orderedTurn is the longest turn of a gang that is placed in its order.
	orderedTurn = 10 * time.Second
	// turnPause is the pause of all gangs that do not fit after a turn has expired.
	turnPause = 4 * time.Second
	// gangPatience is the wait after which a gang may be placed first.
	gangPatience = 15 * time.Second
	// firstTurn is the length of the first turn in which a gang is placed first. Urgent
	// tasks have to start within 4 s, so it is no longer. It doubles with each turn that
	// expires, up to maxFirstTurn, so that longer tasks can end within it.
	firstTurn    = 4 * time.Second
	maxFirstTurn = 16 * time.Second
	// ticketTurn is how much longer the turn of a gang takes that waits only for its
	// tickets.
	ticketTurn = 2 * time.Second
	// pauseRatio is the ratio of a gang's own pause to the turn before it.
	pauseRatio = 4
)

// gangTurn is the state of a gang's reservations.
type gangTurn struct {
	// since is when the current turn began, or 0. lastReserved is when capacity was last
	// reserved in it.
	since, lastReserved Time
	// idleSince is since when the reservations of the turn may keep work from idle
	// processors, or 0.
	idleSince Time
	// pausedUntil is when the gang may reserve again.
	pausedUntil Time
	// expiredTurns is the number of expired turns in which the gang was placed first.
	expiredTurns int
}

// firstPlaced is the gang that is placed before everything else.
type firstPlaced struct {
	gang *stage
	// until is the end of its turn.
	until Time
}

// mayReserve reports whether a gang may reserve capacity now. It begins or ends the gang's
// turn.
func (c *cell) mayReserve(s *stage, whole bool) bool {
	first := c.first.gang == s
	if c.now < s.turn.pausedUntil || !whole && !first && c.now < c.turnsPausedUntil {
		return false
	}
	if !whole && !first && (c.reservedCPU >= int64(gangReserveShare*float64(c.capacityCPU)) || !c.fitsWithoutOthers(s)) {
		return false
	}
	t := &s.turn
	if t.since == 0 || c.now.Sub(t.lastReserved) > busyPassInterval+tickTolerance {
		t.since, t.idleSince = c.now, 0
	}
	switch {
	case !c.keepsIdle(s):
		t.idleSince = 0
	case t.idleSince == 0:
		t.idleSince = c.now
	}
	if t.idleSince != 0 && c.now.Sub(t.idleSince) >= idleTurn || !first && c.now.Sub(t.since) >= orderedTurn {
		c.expireTurn(s)
		return false
	}
	return true
}

// tickTolerance covers the time between two ticks, each of which begins a pass.
const tickTolerance = 100 * msec

// expireTurn ends the turn of a gang that has not started in it, and begins its pause.
func (c *cell) expireTurn(s *stage) {
	t := &s.turn
	length := c.now.Sub(t.since)
	t.pausedUntil = c.now.Add(max(turnPause, pauseRatio*length))
	t.since, t.idleSince = 0, 0
	c.turnsPausedUntil = c.now.Add(turnPause)
	c.logDecision(Decision{Kind: "gang", Outcome: "turn_expired", Job: s.job.id, Task: s.stepName(), Queue: s.job.queue, Fields: []Field{
		{"turn_ms", length.Milliseconds()}, {"tasks", int64(len(s.tasks))}, {"first", boolField(c.first.gang == s)}}})
	if c.first.gang == s {
		t.expiredTurns++
	}
	c.endTurn(s)
}

// endTurn ends the turn of the gang that is placed first, if it is the given one.
func (c *cell) endTurn(s *stage) {
	if c.first.gang == s {
		c.first = firstPlaced{}
	}
}

// placeFirst places the gang whose turn it is to be placed before everything else. If
// there is none, the gang that comes first in the ready list gets the turn, of those that
// have waited for long and fit if all other tasks but the long-running ones end.
func (c *cell) placeFirst() {
	if g := c.first.gang; g != nil {
		switch {
		case g.waiting == 0 || !g.queued || g.job.isEnding():
			c.endTurn(g)
		case c.now >= c.first.until.Add(ticketTurn), c.now >= c.first.until && plannedTasks(g.reserved) < len(g.tasks):
			c.expireTurn(g)
		}
	}
	if c.first.gang == nil && c.now >= c.turnsPausedUntil {
		for _, s := range c.ready {
			if s.step.Gang && c.now.Sub(s.readyAt) >= gangPatience && c.now >= s.turn.pausedUntil && c.fitsWithoutOthers(s) {
				s.turn.since, s.turn.idleSince = c.now, 0
				s.turn.lastReserved = c.now
				c.first = firstPlaced{s, c.now.Add(min(firstTurn<<min(s.turn.expiredTurns, 8), maxFirstTurn))}
				break
			}
		}
	}
	if c.first.gang != nil {
		c.placeStage(c.first.gang)
	}
}

// fitsWithoutOthers reports whether a gang would fit if only long-running tasks were
// running.
func (c *cell) fitsWithoutOthers(s *stage) bool {
	if s.waiting < len(s.tasks) {
		return false
	}
	places := 0
	for _, w := range c.fleet {
		if !c.usable(s, w) {
			continue
		}
		if result, known := s.advice.result(w); s.advised() && known && !result.allowed {
			continue
		}
		room := w.info.Capacity
		room.sub(w.longRunning)
		n := placesIn(room, s.step.charge(), s.waiting)
		if s.step.MaxPerWorker > 0 {
			n = min(n, s.step.MaxPerWorker)
		}
		if places += n; places >= s.waiting {
			return true
		}
	}
	return false
}

// keepsIdle reports whether, with the reservation that a gang is about to make, work may
// wait for processors of its service of which less than half are in use.
func (c *cell) keepsIdle(s *stage) bool {
	used, reserved, capacity := int64(0), s.step.charge().MilliCPU*int64(len(s.tasks)), int64(0)
	for _, w := range c.fleet {
		if p := s.job.policy; p != nil && w.info.Service == p.Service {
			used += w.used.MilliCPU
			reserved += w.reserved.MilliCPU
			capacity += w.info.Capacity.MilliCPU
		}
	}
	return 2*used < capacity && float64(used+reserved) > crowdedShare*float64(capacity)
}
