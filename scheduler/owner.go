package scheduler

import "time"

const (
	// leaseTTL is the time to live of the owner's lease. Another host can take over
	// from a killed owner once it has expired, and the workers' leases of 6 s and
	// more have to last until then.
	leaseTTL = 1400 * msec
	// renewInterval leaves time for three renewals before the lease expires.
	renewInterval = 350 * msec
	// renewTimeout is the time after which an unanswered renewal is repeated. A
	// slow store answers within 250 ms.
	renewTimeout = 450 * msec
	// leaseMargin shortens the lease by the time that an order may take to leave
	// this host.
	leaseMargin = 100 * msec
	// workerLeaseGrace is how long an owner keeps extending the workers' leases
	// after its own lease has expired, so that tasks survive an outage of the store.
	// A successor adds it to the time after which it assumes that the tasks of an
	// unreachable worker have ended.
	workerLeaseGrace = 3 * time.Second
	// claimJitter is the range of the random delay before a claim, so that the hosts
	// do not all claim at once.
	claimJitter = 120 * msec
	// lowCPUClaimDelay is the additional delay of hosts that have much less CPU
	// capacity than the largest host.
	lowCPUClaimDelay = 500 * msec
	// claimRetryDelay is the delay after a failed claim or a failed read of the log.
	claimRetryDelay = 300 * msec
	// claimTimeout bounds a claim, logReadTimeout the read of the log before it. A host
	// with a fifth of a core takes several seconds for the longest log that jobs are
	// admitted to.
	claimTimeout   = 4 * time.Second
	logReadTimeout = 15 * time.Second
)

// phase is the phase of a host in the takeover of the ownership.
type phase uint8

const (
	// phaseFollow means that another host is the owner, or none is known.
	phaseFollow phase = iota
	// phaseReading means that this host reads the log before a claim.
	phaseReading
	// phaseClaiming means that a claim is in flight.
	phaseClaiming
	// phaseOwner means that this host is the owner, or was the owner until its lease
	// ended and tries to claim the ownership again.
	phaseOwner
)

// ownership is what a host knows about the ownership of the cell.
type ownership struct {
	phase phase
	// known means that present, record and revision are as read from the store.
	known   bool
	present bool
	record  OwnerRecord
	// revision is the store's revision of the record, or of its deletion.
	revision int64
	// claimAt is when to start a claim, or 0 if none is planned.
	claimAt        Time
	attemptStarted Time
	// attempt is the read of the log or the claim in flight.
	attempt CallID
	// lease is the lease of this host and ttl its time to live. renewedAt is when
	// the last successful renewal was sent, and renewSentAt when the last one was
	// sent.
	lease       int64
	renewedAt   Time
	ttl         time.Duration
	renewSentAt Time
	renewVia    string
	renewing    bool
	// renewal is the last renewal that was sent.
	renewal CallID
	// noClaimUntil is the time before which this host does not claim.
	noClaimUntil Time
	// reclaiming means that the lease ended while this host was the owner, and that
	// it tries to claim the ownership again.
	reclaiming bool
}

// handleOwnerSeen applies the owner record that was read from the store.
func (r *Reducer) handleOwnerSeen(e OwnerSeen) {
	o := &r.owner
	if o.known && e.Revision != 0 && e.Revision < o.revision {
		// An outdated record, or the deletion of one.
		return
	}
	changed := !o.known || o.present != e.Present || o.record != e.Record
	o.known, o.present, o.record = true, e.Present, e.Record
	o.revision = max(o.revision, e.Revision)
	if changed {
		r.emit(Decision{Kind: "owner", Outcome: "seen", Reason: e.Record.Host, Fields: []Field{
			{"present", boolField(e.Present)}, {"generation", e.Record.Generation}, {"revision", e.Revision}}})
	}
	switch {
	case e.Present && e.Record.Host == r.self.Host && e.Record.Address == r.self.Address && r.cell != nil && e.Record.Generation == r.cell.generation:
		// The record of this host.
	case e.Present && r.cell != nil && e.Record.Generation < r.cell.generation:
		// An outdated read: the record of an earlier owner.
	case e.Present && e.Record.Address == r.self.Address && r.cell == nil && o.phase == phaseFollow && !r.stopping:
		// An earlier process of this host was the owner. It has ended, since its
		// address was free for this one.
		if o.claimAt == 0 {
			o.claimAt = r.now
		}
	case e.Present:
		if r.cell != nil {
			r.stepDown("another host is the owner")
		}
		if o.phase == phaseReading {
			o.phase = phaseFollow
			r.forgetCalls(o.attempt)
		}
		o.claimAt = 0
		r.sendHello()
	case o.phase == phaseOwner:
		r.handleLeaseLoss("the owner record was deleted")
	case o.phase == phaseFollow && o.claimAt == 0:
		o.claimAt = r.now.Add(r.claimDelay())
	}
	r.retryWaiting()
	r.publishReady()
}

// claimDelay returns the delay before a claim. Hosts with little CPU capacity wait
// longer, so that a larger host becomes the owner if there is one.
func (r *Reducer) claimDelay() time.Duration {
	delay := time.Duration(r.rng.Int64N(int64(claimJitter)))
	if r.self.Power > 0 && float64(r.maxPower) >= preferredPowerRatio*float64(r.self.Power) {
		delay += lowCPUClaimDelay
	}
	return delay
}

// advanceOwnership does the work on the ownership that is due.
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
		// The attempt ends with the result of its call.
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

// readLog starts a takeover by reading the log.
func (r *Reducer) readLog() {
	o := &r.owner
	o.phase, o.attemptStarted, o.claimAt = phaseReading, r.now, 0
	o.attempt = r.call(ReadLog{From: 1}, logReadTimeout)
}

// handleLogRead restores the state from the log and claims the ownership.
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
	c.log.first, c.log.lastRevision = e.First, e.LastRevision
	r.pendingCell = c
	r.claim(c)
}

// claim claims the ownership in the store.
func (r *Reducer) claim(c *cell) {
	o := &r.owner
	o.phase, o.attemptStarted = phaseClaiming, r.now
	record := OwnerRecord{Host: r.self.Host, Address: r.self.Address, Generation: c.generation + 1}
	o.attempt = r.call(ClaimOwnership{
		Record: record, TTL: max(leaseTTL, r.limits.MinStoreLease),
		Opening:   Group{Sequence: c.log.next, Generation: record.Generation, Host: r.self.Host},
		Preceding: c.log.lastRevision,
		Replaces:  r.replacedRecord(),
	}, claimTimeout)
}

// replacedRecord returns the revision of the owner record that a claim replaces:
// that of an earlier process of this host, or 0 if there must be no record.
func (r *Reducer) replacedRecord() int64 {
	if o := &r.owner; o.present && o.record.Address == r.self.Address {
		return o.revision
	}
	return 0
}

// handleClaimAnswered completes or aborts a takeover.
func (r *Reducer) handleClaimAnswered(e ClaimAnswered) {
	o := &r.owner
	if o.phase != phaseClaiming {
		return
	}
	if e.Outcome != Done {
		r.handleClaimFailed(e)
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
	c.log.lastRevision = e.Revision
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

// handleClaimFailed aborts a takeover. A host that was the owner gives up its state if
// the log has changed although there is no owner record: another host has been the owner
// in between, and no claim with the old state can succeed.
func (r *Reducer) handleClaimFailed(e ClaimAnswered) {
	r.abortClaim("the store rejected the claim or did not confirm it", Field{"log_changed", boolField(e.LogChanged)},
		Field{"owner_exists", boolField(e.OwnerExists)})
	switch {
	case e.OwnerExists:
		r.emit(ReadOwner{})
	case e.LogChanged && r.cell != nil:
		r.stepDown("the log has changed since this host was the owner")
	}
}

// resumeLog resumes writing the log after this host has regained the ownership. No
// other host was the owner in between, or the claim would have found the log changed.
func (c *cell) resumeLog() {
	c.log.snapshot = nil
	if g := c.log.inFlight; g != nil && g.Snapshot > 0 {
		// The claim wrote a group between the parts, so the snapshot would not be
		// complete. A new one is written later.
		c.log.endWrite(c.reducer)
		return
	}
	if g := c.log.inFlight; g != nil {
		c.log.endWrite(c.reducer)
		g.Sequence, g.Generation = c.log.next, c.generation
		c.writeGroup(g)
	}
}

// abortClaim ends a failed takeover and plans the next attempt. An owner whose lease
// has ended keeps its state and tries to reclaim the ownership.
func (r *Reducer) abortClaim(reason string, inputs ...Field) {
	o := &r.owner
	o.phase = phaseFollow
	r.forgetCalls(o.attempt)
	r.pendingCell = nil
	if r.cell != nil {
		o.phase, o.reclaiming = phaseOwner, true
	}
	o.claimAt = r.now.Add(claimRetryDelay + time.Duration(r.rng.Int64N(int64(claimJitter))))
	r.emit(Decision{Kind: "owner", Outcome: "claim_failed", Reason: reason, Fields: inputs})
}

// advanceLease renews the lease when it is due, or claims the ownership again after
// the lease has ended.
func (r *Reducer) advanceLease() {
	o := &r.owner
	if o.reclaiming {
		switch {
		case r.now > r.workerLeaseGraceEnd():
			// The workers' leases must not be extended any more, and another host may
			// have become the owner.
			r.stepDown("the lease could not be regained in time")
		case o.known && o.present && o.record.Generation > r.cell.generation:
			r.stepDown("another host is the owner")
		case r.now >= o.claimAt && r.cell.writeResultKnown():
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
		o.renewal = r.call(RenewLease{Lease: o.lease, Via: o.renewVia}, storeCallTimeout)
	}
	if r.now > r.workerLeaseGraceEnd() {
		r.stepDown("the lease could not be renewed in time")
	}
}

// writeResultKnown reports whether no write awaits its result. A claim waits for the
// result because the sequence number of its group depends on it.
func (c *cell) writeResultKnown() bool { return c.log.inFlight == nil || c.log.writeFailed }

// handleLeaseRenewed processes the result of a renewal.
func (r *Reducer) handleLeaseRenewed(id CallID, e LeaseRenewed) {
	o := &r.owner
	if o.phase != phaseOwner || e.Lease != o.lease || o.reclaiming {
		return
	}
	if id != o.renewal && e.Outcome != Done {
		// A later renewal of the lease is in flight or has succeeded.
		return
	}
	o.renewing = o.renewing && id != o.renewal
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

// handleLeaseLoss reacts to the end of the lease by claiming the ownership again.
func (r *Reducer) handleLeaseLoss(reason string) {
	o := &r.owner
	if r.cell == nil || o.reclaiming {
		return
	}
	o.reclaiming, o.claimAt = true, r.now
	o.renewedAt = min(o.renewedAt, r.now.Add(-o.ttl))
	r.emit(Decision{Kind: "owner", Outcome: "lease_lost", Reason: reason})
	r.emit(ReadOwner{})
}

// leaseValid reports whether this host is certainly the owner: the lease cannot have
// expired in the store yet.
func (r *Reducer) leaseValid() bool {
	o := &r.owner
	return o.phase == phaseOwner && !o.reclaiming && r.now < o.renewedAt.Add(o.ttl-leaseMargin)
}

// workerLeaseGraceEnd returns the time until which this host may extend the workers'
// leases.
func (r *Reducer) workerLeaseGraceEnd() Time {
	return r.owner.renewedAt.Add(r.owner.ttl + workerLeaseGrace - leaseMargin)
}

// mayExtendWorkerLeases reports whether this host may extend the workers' leases.
func (r *Reducer) mayExtendWorkerLeases() bool {
	return r.cell != nil && r.now < r.workerLeaseGraceEnd()
}

// handleFenced gives up the ownership because a worker has seen the fencing token of
// a later owner.
func (r *Reducer) handleFenced(worker WorkerID) {
	r.emit(Decision{Kind: "owner", Outcome: "fenced", Worker: worker})
	r.emit(ReadOwner{})
	if r.cell != nil {
		r.stepDown("a worker has seen the fencing token of a later owner")
	}
}

// stepDown gives up the ownership. Waiting requests are forwarded to the next owner.
func (r *Reducer) stepDown(reason string) {
	c := r.cell
	if c == nil {
		return
	}
	r.emit(Decision{Kind: "owner", Outcome: "stepped_down", Reason: reason, Fields: []Field{{"generation", c.generation}}})
	r.cell = nil
	o := &r.owner
	r.forgetCallsOf(c)
	r.forgetCalls(o.attempt)
	o.phase = phaseFollow
	if o.record.Generation <= c.generation {
		o.known, o.present = false, false
		r.emit(ReadOwner{})
	}
	o.claimAt = 0
	r.retryWaiting()
	r.publishReady()
}
