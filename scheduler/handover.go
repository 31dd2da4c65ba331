package scheduler

import "time"

const (
	// handoverRest is how long a host that has handed over does not claim, and
	// how long a new owner keeps the ownership in any case.
	handoverCooldown = 2 * time.Second
	// handoverLimit is the longest time in which nothing new is begun.
	handoverTimeout = 1 * time.Second
	// powerFactor is how much more processor time a host must have to be
	// preferred as the owner.
	preferredPowerRatio = 1.5
)

// handOver gives the ownership back as soon as nothing is left to be written, so
// that another host can claim it at once.
func (c *cell) handOver(why string) {
	if !c.handingOver {
		// Nothing new is begun, so that what is pending gets written.
		c.handingOver, c.handoverSince, c.handoverReason = true, c.now, why
	}
	if c.log.inFlight != nil || len(c.log.pending) > 0 {
		return
	}
	c.emit(EndLease{Lease: c.reducer.owner.lease, Via: c.relay.via})
	c.reducer.owner.noClaimUntil = c.now.Add(handoverCooldown)
	c.reducer.stepDown(why)
}

// advanceHandover completes a handover, or gives it up if what is pending cannot
// be written: without the store nobody else could claim either.
func (c *cell) advanceHandover() {
	if c.now.Sub(c.handoverSince) > handoverTimeout {
		c.handingOver = false
		c.relay.directFailedAt = c.now
		c.dirty = true
		return
	}
	c.handOver(c.handoverReason)
}

// advancePower hands the ownership over to a host with much more processor time.
// The owner makes every decision of the cell, and hosts differ by a factor of
// four.
func (c *cell) handOverToLargerHost() {
	if c.reducer.self.Power == 0 || c.now.Sub(c.claimedAt) < handoverCooldown {
		return
	}
	for _, a := range c.peers {
		if a.address != "" && c.now.Sub(a.lastHeard) <= helloTTL && float64(a.power) >= preferredPowerRatio*float64(c.reducer.self.Power) {
			c.handOver("another host has more processor time")
			return
		}
	}
}
