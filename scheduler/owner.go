package scheduler

import "time"

const (
	// leaseTTL is the time to live of the ownership. A killed owner's work is
	// taken over after it, and the workers' leases of 6 s and more have to last
	// until then.
	leaseTTL = 1400 * msec
	// renewEvery leaves time for three renewals within the lease.
	renewInterval = 350 * msec
	// renewTimeout is when a renewal without an answer is repeated. A slow store
	// answers within 250 ms.
	renewTimeout = 450 * msec
	// leaseMargin is taken off the lease for the time that an order is on its
	// way inside this host.
	leaseMargin = 100 * msec
	// holdGrace is how long after its lease an owner goes on extending the
	// workers' leases, so that tasks survive an outage of the store. A successor
	// adds it to the time after which a silent worker's tasks have ended.
	workerLeaseGrace = 3 * time.Second
	// claimSpread is the range of the random wait before a claim, so that the
	// hosts do not all claim at once.
	claimJitter = 120 * msec
	// weakDelay is the additional wait of hosts with little processor time.
	lowCPUClaimDelay = 500 * msec
	// claimRetry is the wait after a claim or a read that failed.
	claimRetryDelay = 300 * msec
	// claimTimeout is when a claim without an answer is given up.
	claimTimeout = 4 * time.Second
)

// phase is what this host is doing about the ownership.
type phase uint8

const (
	// phaseFollow means that another host is the owner, or none is known.
	phaseFollow phase = iota
	// phaseReading means that the log is being read before a claim.
	phaseReading
	// phaseClaiming means that a claim is on its way.
	phaseClaiming
	// phaseOwner means that this host has the ownership, or had it last.
	phaseOwner
)

// ownership is what a host knows of the ownership of the cell.
type ownership struct {
	phase phase
	// known means that the store has told whether there is an owner.
	known    bool
	present  bool
	record   OwnerRecord
	revision int64
	// claimAt is when to claim.
	claimAt        Time
	attemptStarted Time
	// lease is that of this host, renewed the time at which its last renewal
	// was sent, ttl its time to live.
	lease       int64
	renewedAt   Time
	ttl         time.Duration
	renewSentAt Time
	renewVia    string
	renewing    bool
	// restUntil is until when this host does not claim.
	noClaimUntil Time
	// reclaim means that the lease has ended while this host was the owner.
	reclaiming bool
}

// ownerSeen takes over what the store says of the owner.
func (r *Reducer) handleOwnerSeen(e OwnerSeen) {
	o := &r.owner
	if o.known && e.Revision != 0 && e.Revision < o.revision && e.Present {
		return
	}
	changed := !o.known || o.present != e.Present || o.record != e.Record
	o.known, o.present, o.record = true, e.Present, e.Record
	if e.Present {
		o.revision = e.Revision
	}
	if changed {
		r.emit(Decision{Kind: "owner", Outcome: "seen", Reason: e.Record.Host, Fields: []Field{
			{"present", boolField(e.Present)}, {"generation", e.Record.Generation}, {"revision", e.Revision}}})
	}
	switch {
	case e.Present && e.Record.Host == r.self.Host && e.Record.Address == r.self.Address && r.cell != nil && e.Record.Generation == r.cell.generation:
		// This host's own record.
	case e.Present && r.cell != nil && e.Record.Generation < r.cell.generation:
		// A late view of an earlier owner.
	case e.Present && e.Record.Address == r.self.Address && r.cell == nil && o.phase == phaseFollow && !r.stopping:
		// An earlier process of this host had the ownership. It is gone, since
		// its address is free.
		if o.claimAt == 0 {
			o.claimAt = r.now
		}
	case e.Present:
		if r.cell != nil {
			r.stepDown("another host is the owner")
		}
		if o.phase == phaseReading {
			o.phase = phaseFollow
		}
		o.claimAt = 0
		r.sendHello()
	case o.phase == phaseOwner:
		r.handleLeaseLoss("the owner record is gone")
	case o.phase == phaseFollow && o.claimAt == 0:
		o.claimAt = r.now.Add(r.claimDelay())
	}
	r.retryWaiting()
	r.publishReady()
}

// claimDelay is the wait before a claim. Hosts with little processor time leave
// the ownership to others, if there are any.
func (r *Reducer) claimDelay() time.Duration {
	delay := time.Duration(r.rng.Int64N(int64(claimJitter)))
	if r.self.Power > 0 && float64(r.maxPower) >= preferredPowerRatio*float64(r.self.Power) {
		delay += lowCPUClaimDelay
	}
	return delay
}

// advanceOwnership does what is due about the ownership.
func (r *Reducer) advanceOwnership() {
	o := &r.owner
	switch o.phase {
	case phaseFollow:
		mine := o.record.Address == r.self.Address
		if o.known && (!o.present || mine) && !r.stopping && r.now >= o.noClaimUntil {
			if o.claimAt == 0 {
				o.claimAt = r.now.Add(claimRetryDelay)
			}
			if r.now >= o.claimAt {
				r.readLog()
			}
		}
	case phaseReading, phaseClaiming:
		if r.now.Sub(o.attemptStarted) > claimTimeout {
			r.abortClaim("no answer in time")
		}
	case phaseOwner:
		r.advanceLease()
		if r.cell != nil && r.cell.handingOver {
			r.cell.advanceHandover()
		} else if r.cell != nil {
			r.cell.advanceRelay()
		}
		if r.cell != nil && r.leaseValid() {
			r.cell.handOverToLargerHost()
		}
	}
}

// readLog begins a takeover.
func (r *Reducer) readLog() {
	o := &r.owner
	o.phase, o.attemptStarted, o.claimAt = phaseReading, r.now, 0
	r.emit(ReadLog{From: 1})
}

// logRead continues a takeover: the claim follows.
func (r *Reducer) handleLogRead(e LogRead) {
	o := &r.owner
	if o.phase != phaseReading {
		return
	}
	if e.Err != nil {
		r.abortClaim(e.Err.Error())
		return
	}
	c := newCell(r)
	c.replay(e.Groups)
	r.pendingCell = c
	r.claim(c)
}

// claim asks the store for the ownership.
func (r *Reducer) claim(c *cell) {
	o := &r.owner
	o.phase, o.attemptStarted = phaseClaiming, r.now
	record := OwnerRecord{Host: r.self.Host, Address: r.self.Address, Generation: c.generation + 1}
	r.emit(ClaimOwnership{
		Record: record, TTL: max(leaseTTL, r.limits.MinStoreLease),
		Opening:  Group{Sequence: c.log.next, Generation: record.Generation, Host: r.self.Host},
		Replaces: r.replacedRecord(),
	})
}

// replacedRecord is the revision of the owner record that a claim replaces: that
// of an earlier process of this host, or 0 if there must be no record.
func (r *Reducer) replacedRecord() int64 {
	if o := &r.owner; o.present && o.record.Address == r.self.Address {
		return o.revision
	}
	return 0
}

// claimAnswered ends a takeover.
func (r *Reducer) handleClaimAnswered(e ClaimAnswered) {
	o := &r.owner
	if o.phase != phaseClaiming {
		return
	}
	if e.Outcome != Done {
		if e.Outcome == Conflict && e.OwnerExists {
			r.emit(ReadOwner{})
		}
		r.abortClaim("the claim was not granted")
		return
	}
	c := r.pendingCell
	if r.cell != nil {
		c = r.cell
	}
	r.pendingCell = nil
	reclaimed := r.cell != nil
	c.generation++
	c.ownerRevision = e.Revision
	o.phase, o.lease, o.renewedAt, o.ttl = phaseOwner, e.Lease, e.Sent, e.TTL
	o.renewing, o.reclaiming = false, false
	o.known, o.present, o.revision = true, true, e.Revision
	o.record = OwnerRecord{Host: r.self.Host, Address: r.self.Address, Generation: c.generation}
	c.log.next++
	if c.log.first == 0 {
		c.log.first = c.log.next - 1
	}
	r.emit(Decision{Kind: "owner", Outcome: "claimed", Fields: []Field{
		{"generation", c.generation}, {"revision", e.Revision}, {"jobs", int64(len(c.jobs))},
		{"workers", int64(len(c.workers))}, {"reclaimed", boolField(reclaimed)}, {"took_ms", r.now.Sub(o.attemptStarted).Milliseconds()}}})
	if reclaimed {
		c.resumeLog()
	} else {
		r.cell = c
		c.now, c.wall, c.claimedAt = r.now, r.wall, r.now
		c.inheritedRunsEndBy = r.now.Add(workerLeaseGrace + worstCaseElapsed(c.limits.MaxLease))
		c.resume(r.workers)
	}
	r.retryWaiting()
	r.publishReady()
}

// resumeLog continues writing after the ownership was regained. Between the two
// claims nobody else was the owner, or the claim would not have been granted.
func (c *cell) resumeLog() {
	c.log.snapshot = nil
	if g := c.log.inFlight; g != nil && g.Snapshot > 0 {
		// The claim's own group lies between the parts, so the snapshot would
		// not be complete. It is made again later.
		c.log.inFlight = nil
		return
	}
	if g := c.log.inFlight; g != nil {
		g.Sequence, g.Generation = c.log.next, c.generation
		c.log.retryAt = c.now.Add(writeHedgeDelay)
		c.log.writeFailed = false
		c.emit(WriteGroup{Group: *g, OwnerRevision: c.ownerRevision, Via: c.relay.via})
	}
}

// giveUpClaim goes back to following. An owner whose lease has ended tries again
// with the state that it has.
func (r *Reducer) abortClaim(why string) {
	o := &r.owner
	o.phase = phaseFollow
	r.pendingCell = nil
	if r.cell != nil {
		o.phase, o.reclaiming = phaseOwner, true
	}
	o.claimAt = r.now.Add(claimRetryDelay + time.Duration(r.rng.Int64N(int64(claimJitter))))
	r.emit(Decision{Kind: "owner", Outcome: "claim_failed", Reason: why})
}

// advanceLease renews the lease in time.
func (r *Reducer) advanceLease() {
	o := &r.owner
	if o.reclaiming {
		switch {
		case r.now > r.workerLeaseGraceEnd():
			// The workers' leases are not extended any more, and another host
			// may be the owner.
			r.stepDown("the lease could not be regained in time")
		case o.known && o.present && o.record.Generation > r.cell.generation:
			r.stepDown("another host is the owner")
		case r.now >= o.claimAt && r.cell.noWritePending():
			r.claim(r.cell)
		}
		return
	}
	if o.renewing && r.now.Sub(o.renewSentAt) < renewTimeout {
		return
	}
	if r.now.Sub(o.renewSentAt) >= renewInterval {
		if o.renewing {
			r.cell.storeFailed(o.renewVia)
		}
		o.renewing, o.renewSentAt, o.renewVia = true, r.now, r.cell.relay.via
		r.emit(RenewLease{Lease: o.lease, Via: o.renewVia})
	}
	if r.now > r.workerLeaseGraceEnd() {
		r.stepDown("the lease could not be renewed in time")
	}
}

// logSettled reports whether no write is on its way that a claim would have to
// take into account.
func (c *cell) noWritePending() bool { return c.log.inFlight == nil || c.log.writeFailed }

// leaseRenewed takes the answer to a renewal.
func (r *Reducer) handleLeaseRenewed(e LeaseRenewed) {
	o := &r.owner
	if o.phase != phaseOwner || e.Lease != o.lease || o.reclaiming {
		return
	}
	o.renewing = false
	switch {
	case e.Ended:
		r.handleLeaseLoss("the store has ended the lease")
	case e.Outcome != Done:
		r.cell.storeFailed(e.Via)
		o.renewSentAt = r.now.Add(-renewInterval)
	default:
		r.cell.storeAnswered(e.Via)
		if !r.leaseValid() {
			r.emit(Decision{Kind: "owner", Outcome: "lease_regained", Fields: []Field{{"silent_ms", r.now.Sub(o.renewedAt).Milliseconds()}}})
		}
		o.renewedAt = max(o.renewedAt, e.Sent)
		r.cell.dirty = true
	}
}

// loseLease reacts to the end of the lease: this host claims again.
func (r *Reducer) handleLeaseLoss(why string) {
	o := &r.owner
	if r.cell == nil || o.reclaiming {
		return
	}
	o.reclaiming, o.claimAt = true, r.now
	o.renewedAt = min(o.renewedAt, r.now.Add(-o.ttl))
	r.emit(Decision{Kind: "owner", Outcome: "lease_lost", Reason: why})
	r.emit(ReadOwner{})
}

// leaseValid reports whether this host is surely the owner.
func (r *Reducer) leaseValid() bool {
	o := &r.owner
	return o.phase == phaseOwner && !o.reclaiming && r.now < o.renewedAt.Add(o.ttl-leaseMargin)
}

// holdEnd is until when this host may extend the workers' leases.
func (r *Reducer) workerLeaseGraceEnd() Time {
	return r.owner.renewedAt.Add(r.owner.ttl + workerLeaseGrace - leaseMargin)
}

// holdAllowed reports whether this host may extend the workers' leases.
func (r *Reducer) mayExtendWorkerLeases() bool {
	return r.cell != nil && r.now < r.workerLeaseGraceEnd()
}

// fenced reacts to a worker that obeys a later owner.
func (r *Reducer) handleFenced(worker WorkerID) {
	r.emit(Decision{Kind: "owner", Outcome: "fenced", Worker: worker})
	r.emit(ReadOwner{})
	if r.cell != nil {
		r.stepDown("a worker obeys a later owner")
	}
}

// stepDown gives the ownership up. Requests that wait go to the next owner.
func (r *Reducer) stepDown(why string) {
	c := r.cell
	if c == nil {
		return
	}
	r.emit(Decision{Kind: "owner", Outcome: "stepped_down", Reason: why, Fields: []Field{{"generation", c.generation}}})
	r.cell = nil
	o := &r.owner
	o.phase = phaseFollow
	if o.record.Generation <= c.generation {
		o.known, o.present = false, false
		r.emit(ReadOwner{})
	}
	o.claimAt = 0
	r.retryWaiting()
	r.publishReady()
}
