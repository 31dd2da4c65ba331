package scheduler

import "time"

const (
	// handoverCooldown is how long a host does not claim the ownership after it has
	// handed it over, and how long a new owner does not hand it over to a larger
	// host.
	handoverCooldown = 2 * time.Second
	// handoverTimeout bounds the time for which no new work is started because of a
	// handover.
	handoverTimeout = 1 * time.Second
	// preferredPowerRatio is the ratio of its CPU capacity to the owner's from which
	// a host is preferred as the owner.
	preferredPowerRatio = 1.5
)

// handOver releases the ownership as soon as no write is pending, so that another host
// can claim it immediately. It is called repeatedly until then.
func (c *cell) handOver(reason string) {
	if !c.handingOver {
		// No new work is started, so that the pending records get written.
		c.handingOver, c.handoverSince, c.handoverReason = true, c.now, reason
		c.recordStartedJobs()
	}
	if c.log.inFlight != nil || len(c.log.pending) > 0 {
		return
	}
	c.emit(EndLease{Lease: c.reducer.owner.lease, Via: c.relay.via})
	c.reducer.owner.noClaimUntil = c.now.Add(handoverCooldown)
	c.reducer.stepDown(reason)
}

// advanceHandover completes a handover, or aborts it if the pending records cannot be
// written: while the store is unavailable, no other host could claim the ownership.
func (c *cell) advanceHandover() {
	if c.now.Sub(c.handoverSince) > handoverTimeout {
		c.handingOver = false
		c.relay.directFailedAt = c.now
		c.dirty = true
		return
	}
	c.handOver(c.handoverReason)
}

// handOverToLargerHost hands over the ownership if there is a host with much more CPU
// capacity. The owner makes all decisions of the cell, and the CPU capacity of hosts
// differs by a factor of four.
func (c *cell) handOverToLargerHost() {
	if c.reducer.self.Power == 0 || c.now.Sub(c.claimedAt) < handoverCooldown {
		return
	}
	for _, p := range c.peers {
		if p.address != "" && c.now.Sub(p.lastHeard) <= helloTTL && float64(p.power) >= preferredPowerRatio*float64(c.reducer.self.Power) {
			c.handOver("another host has more CPU capacity")
			return
		}
	}
}
