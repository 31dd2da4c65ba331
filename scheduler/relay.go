package scheduler

import "time"

const (
	// relayRest is how long only the direct way is tried after every host has
	// failed to reach the store.
	relayRest = 1 * time.Second
	// handoverAfter is how long an owner may depend on a relay before it hands
	// the ownership to a host that reaches the store itself: it learns of
	// changed workers and configurations late.
	handoverAfter = 800 * msec
	// handoverRest is how long a host that has handed over does not claim, and
	// how long a new owner keeps the ownership in any case.
	handoverRest = 2 * time.Second
	// handoverLimit is the longest time in which nothing new is begun.
	handoverLimit = 1 * time.Second
	// powerFactor is how much more processor time a host must have to be
	// preferred as the owner.
	powerFactor = 1.5
)

// relay is the way to the store through another host. The store can turn single
// hosts away, or be cut off from them, while it serves the others.
type relay struct {
	// via is the host that is used, empty for the direct way.
	via string
	// since is when the direct way failed first.
	since Time
	// works means that the last call through the relay was answered.
	works bool
	next  int
	// tried counts the hosts that failed in a row. After all of them only the
	// direct way is tried until restUntil.
	tried     int
	restUntil Time
}

// storeFailed reacts to a call to the store that was refused or not answered.
func (c *cell) storeFailed(via string) {
	l := &c.relay
	if via != l.via {
		return
	}
	if l.via == "" && l.since == 0 {
		l.since = c.now
	}
	l.works = false
	if c.now < l.restUntil {
		l.via = ""
		return
	}
	l.via = c.nextRelay()
	if l.tried++; l.tried > len(c.advisers) {
		// No host reaches the store.
		l.tried, l.restUntil, l.via = 0, c.now.Add(relayRest), ""
	}
	c.decide(Decision{Kind: "store", Outcome: "relay_chosen", Reason: l.via})
}

// storeAnswered notes that a call to the store was answered.
func (c *cell) storeAnswered(via string) {
	l := &c.relay
	if via == "" && l.via == "" {
		l.since = 0
	}
	l.tried = 0
	if via == l.via && via != "" {
		l.works = true
	}
}

// nextRelay picks the next live host, or the direct way after the last one.
func (c *cell) nextRelay() string {
	l := &c.relay
	for range len(c.advisers) {
		l.next = (l.next + 1) % len(c.advisers)
		a := c.advisers[l.next]
		if a.address == "" || c.now.Sub(a.heard) <= helloValid {
			return a.address
		}
	}
	return ""
}

// advanceRelay hands the ownership over if the direct way stays closed.
func (c *cell) advanceRelay() {
	l := &c.relay
	if l.via == "" || !l.works || l.since == 0 || c.now.Sub(l.since) < handoverAfter {
		return
	}
	c.handOver("this host reaches the store through another one only")
}

// handOver gives the ownership back as soon as nothing is left to be written, so
// that another host can claim it at once.
func (c *cell) handOver(why string) {
	if !c.handingOver {
		// Nothing new is begun, so that what is pending gets written.
		c.handingOver, c.handingSince, c.handingWhy = true, c.now, why
	}
	if c.log.inFlight != nil || len(c.log.pending) > 0 {
		return
	}
	c.emit(EndLease{Lease: c.r.owner.lease, Via: c.relay.via})
	c.r.owner.restUntil = c.now.Add(handoverRest)
	c.r.stepDown(why)
}

// advanceHandover completes a handover, or gives it up if what is pending cannot
// be written: without the store nobody else could claim either.
func (c *cell) advanceHandover() {
	if c.now.Sub(c.handingSince) > handoverLimit {
		c.handingOver = false
		c.relay.since = c.now
		c.dirty = true
		return
	}
	c.handOver(c.handingWhy)
}

// advancePower hands the ownership over to a host with much more processor time.
// The owner makes every decision of the cell, and hosts differ by a factor of
// four.
func (c *cell) advancePower() {
	if c.r.self.Power == 0 || c.now.Sub(c.claimed) < handoverRest {
		return
	}
	for _, a := range c.advisers {
		if a.address != "" && c.now.Sub(a.heard) <= helloValid && float64(a.power) >= powerFactor*float64(c.r.self.Power) {
			c.handOver("another host has more processor time")
			return
		}
	}
}

// maxPower is the greatest processor time of the hosts that are known.
func (c *cell) maxPower() int64 {
	most := c.r.self.Power
	for _, a := range c.advisers {
		if c.now.Sub(a.heard) <= helloValid {
			most = max(most, a.power)
		}
	}
	return most
}
