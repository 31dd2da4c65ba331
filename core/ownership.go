package core

import (
	"strconv"
	"time"
)

// role is this host's role in its data centre.
type role uint8

const (
	// roleFollower does not schedule.
	roleFollower role = iota
	// roleClaiming is trying to become the owner.
	roleClaiming
	// roleRecovering has written the owner record and is loading the journal.
	roleRecovering
	// roleOwner schedules the data centre's workers.
	roleOwner
	// roleStandby schedules without a journal while the store is unreachable
	// and the owner's heartbeats are missing.
	roleStandby
)

var roleNames = [...]string{"follower", "claiming", "recovering", "owner", "standby"}

// String implements fmt.Stringer.
func (o role) String() string { return roleNames[o] }

const (
	// ownerHeartbeatTimeout is how long the owner's heartbeat may be missing
	// before a follower checks the lease in the store.
	ownerHeartbeatTimeout = 3 * time.Second
	// standbyTakeoverTimeout is how long the owner's heartbeat must be missing
	// before the standby takes over without the store. It exceeds the owner's
	// lease, so that a takeover through the store is attempted first.
	standbyTakeoverTimeout = 10 * time.Second
	// leasePollInterval is how often a follower reads the lease key while the
	// owner's heartbeat is missing.
	leasePollInterval = time.Second
	// leasePollIntervalWithOwner is how often a follower reads the lease key
	// while it receives the owner's heartbeats.
	leasePollIntervalWithOwner = 15 * time.Second
	// renewalsPerLease is the number of renewals sent per lease duration.
	renewalsPerLease = 3
	// leaseMarginDivisor determines the safety margin at the end of the lease:
	// a sixth, which is 1 s of the default 6 s.
	leaseMarginDivisor = 6
	// claimTimeout aborts a claim that has received no answer.
	claimTimeout = 5 * time.Second
	// epochStep is the distance between the epochs of successive owners. Each
	// standby that an owner names gets an epoch of its own in between.
	epochStep = 64
	// standbyCheckInterval is the minimum time between two attempts to replace
	// the standby.
	standbyCheckInterval = 5 * time.Second
)

// ownership tracks which host owns the data centre's workers.
//
// Invariant: epoch is nonzero if and only if role is recovering, owner or
// standby, and no other host has ever been given the same epoch.
type ownership struct {
	role  role
	epoch Epoch
	// record is the owner record that was last read or written.
	record         OwnerRecord
	recordRevision int64
	// proposedRecord is the record with a new standby that is being written.
	proposedRecord OwnerRecord
	lease          LeaseID
	// lastRenewal is when the last successful renewal was sent.
	lastRenewal      Time
	nextRenew        Time
	nextStandbyCheck Time
	nextPoll         Time
	claimStarted     Time
	// ownerLastHeard is when the last heartbeat of an owner arrived.
	ownerLastHeard Time
	ownerHost      HostID
	ownerAddress   string
	ownerEpoch     Epoch
	standby        HostID
	standbyEpoch   Epoch
	// storeFailedSince is when the first store operation failed after the last
	// successful one, or zero.
	storeFailedSince Time
}

// active reports whether this host schedules workers.
func (o *ownership) active() bool { return o.role == roleOwner || o.role == roleStandby }

// recordStoreOutcome tracks whether the store is reachable.
func (o *ownership) recordStoreOutcome(outcome StoreOutcome, now Time) {
	if outcome != StoreNotSent && outcome != StoreInDoubt {
		o.storeFailedSince = 0
	} else if o.storeFailedSince == 0 {
		o.storeFailedSince = now
	}
}

// leaseValid reports whether the owner's lease is guaranteed to be valid now.
func (r *Reducer) leaseValid() bool {
	return r.owner.lease != "" && r.now.Sub(r.owner.lastRenewal) < r.cfg.OwnerLease-r.cfg.OwnerLease/leaseMarginDivisor
}

func (r *Reducer) dataCentreKey(name string) string {
	return "cells/" + string(r.cfg.DataCentre) + "/" + name
}

// tickOwnership advances claims, renews the owner's lease and detects a lost
// owner.
func (r *Reducer) tickOwnership() {
	if r.draining {
		return
	}
	switch r.owner.role {
	case roleFollower:
		r.tickFollower()
	case roleClaiming, roleRecovering:
		if r.now.Sub(r.owner.claimStarted) > claimTimeout {
			r.stepDown(ReasonStoreUnavailable)
			return
		}
		r.tickRecovery()
	case roleOwner, roleStandby:
		r.tickLease()
		r.tickStandby()
	}
}

// tickFollower polls the lease key, more often while the owner's heartbeat is
// missing.
func (r *Reducer) tickFollower() {
	o := &r.owner
	if o.nextPoll == 0 {
		// Spreads the first claims of hosts that start at the same time.
		o.nextPoll = r.now.Add(r.jitter(leasePollInterval / 2))
		o.ownerLastHeard = r.now
		return
	}
	sinceOwnerHeard := r.now.Sub(o.ownerLastHeard)
	if r.isStandby() && sinceOwnerHeard > standbyTakeoverTimeout && o.storeFailedSince != 0 {
		r.takeOverAsStandby()
		return
	}
	if sinceOwnerHeard >= ownerHeartbeatTimeout && o.nextPoll.Sub(r.now) > 2*leasePollInterval {
		// The next poll was scheduled while the owner was alive. Waiting for
		// it delayed a takeover by up to 22 s.
		o.nextPoll = r.now.Add(r.jitter(leasePollInterval / 2))
	}
	if r.now < o.nextPoll {
		return
	}
	period := leasePollInterval
	if sinceOwnerHeard < ownerHeartbeatTimeout && o.ownerHost != "" {
		period = leasePollIntervalWithOwner
	}
	o.nextPoll = r.now.Add(r.jitter(period))
	r.emit(GetValue{Op: r.newStoreOp(PurposeOwnerRead, r.dataCentreKey("lease")), Key: r.dataCentreKey("lease")})
}

// tickLease renews the lease, or requests a new one after it was lost.
func (r *Reducer) tickLease() {
	o := &r.owner
	if r.now < o.nextRenew {
		return
	}
	o.nextRenew = r.now.Add(r.cfg.OwnerLease / renewalsPerLease)
	if o.lease == "" {
		r.emit(GrantLease{Op: r.newStoreOp(PurposeLeaseGrant, ""), TimeToLive: r.cfg.OwnerLease})
		return
	}
	r.emit(RenewLease{Op: r.newStoreOp(PurposeLeaseRenew, string(o.lease)), Lease: o.lease})
}

func (r *Reducer) isStandby() bool {
	return r.owner.standby == r.cfg.Host && r.owner.standbyEpoch > r.owner.ownerEpoch
}

// onOwnershipResult advances a claim or a renewal. A claim first creates the
// lease key, which only one host can do, and then swaps the owner record.
func (r *Reducer) onOwnershipResult(a StoreAnswered) {
	switch a.Op.Purpose {
	case PurposeOwnerRead:
		r.onOwnerRead(a)
	case PurposeLeaseGrant:
		r.onLeaseGranted(a)
	case PurposeLeaseKey:
		r.onLeaseKeyWritten(a)
	case PurposeLeaseReadBack:
		r.onLeaseReadBack(a)
	case PurposeOwnerSwap:
		r.onOwnerRecordSwapped(a)
	case PurposeOwnerUpdate:
		r.onStandbyRecordUpdated(a)
	case PurposeLeaseRenew:
		r.onLeaseRenewed(a)
	}
}

// onOwnerRead handles reads of the lease key and of the owner record.
func (r *Reducer) onOwnerRead(a StoreAnswered) {
	o := &r.owner
	if a.Op.Key == r.dataCentreKey("owner") {
		r.onOwnerRecord(a)
		return
	}
	if a.Outcome != StoreNotFound || o.role != roleFollower || r.draining {
		return
	}
	o.role, o.claimStarted = roleClaiming, r.now
	r.emit(GrantLease{Op: r.newStoreOp(PurposeLeaseGrant, ""), TimeToLive: r.cfg.OwnerLease})
}

func (r *Reducer) onLeaseGranted(a StoreAnswered) {
	o := &r.owner
	if a.Outcome != StoreOK || o.role == roleFollower {
		r.abandonClaim()
		return
	}
	o.lease, o.lastRenewal = a.Lease, a.Op.Sent
	r.emit(PutValue{
		Op: r.newStoreOp(PurposeLeaseKey, r.dataCentreKey("lease")), Key: r.dataCentreKey("lease"),
		Value: LeaseRecord{Host: r.cfg.Host, Incarnation: r.cfg.Incarnation}, Lease: a.Lease,
	})
}

func (r *Reducer) onLeaseKeyWritten(a StoreAnswered) {
	if a.Outcome == StoreInDoubt {
		key := r.dataCentreKey("lease")
		r.emit(GetValue{Op: r.newStoreOp(PurposeLeaseReadBack, key), Key: key})
		return
	}
	if a.Outcome != StoreOK {
		// Another host holds the key.
		if r.owner.active() && a.Outcome == StoreConflict {
			r.owner.lease = ""
			r.emit(GetValue{Op: r.newStoreOp(PurposeOwnerRead, r.dataCentreKey("owner")), Key: r.dataCentreKey("owner")})
			return
		}
		r.abandonClaim()
		return
	}
	r.emit(GetValue{Op: r.newStoreOp(PurposeOwnerRead, r.dataCentreKey("owner")), Key: r.dataCentreKey("owner")})
}

// onLeaseReadBack resolves a write of the lease key whose outcome is unknown.
// Abandoning the claim instead could repeat indefinitely if the store keeps
// losing responses.
func (r *Reducer) onLeaseReadBack(a StoreAnswered) {
	if a.Outcome == StoreOK && len(a.Items) == 1 && r.owner.lease != "" {
		rec, ok := a.Items[0].Value.(LeaseRecord)
		if ok && rec.Host == r.cfg.Host && rec.Incarnation == r.cfg.Incarnation {
			r.emit(GetValue{Op: r.newStoreOp(PurposeOwnerRead, r.dataCentreKey("owner")), Key: r.dataCentreKey("owner")})
			return
		}
	}
	r.abandonClaim()
}

// onOwnerRecord decides what to do with the owner record, depending on whether
// this host holds the lease key.
func (r *Reducer) onOwnerRecord(a StoreAnswered) {
	o := &r.owner
	if a.Outcome != StoreOK && a.Outcome != StoreNotFound {
		r.abandonClaim()
		return
	}
	o.record, o.recordRevision = OwnerRecord{}, 0
	if len(a.Items) > 0 {
		if rec, ok := a.Items[0].Value.(OwnerRecord); ok {
			o.record, o.recordRevision = rec, a.Items[0].Revision
		}
	}
	if o.lease == "" {
		// Another host holds the lease key. It has taken over only if the
		// record contains a later epoch.
		if o.active() && o.record.Epoch > o.epoch {
			r.stepDown(ReasonStaleEpoch)
		}
		return
	}
	ownRecord := o.record.Host == r.cfg.Host && o.record.Incarnation == r.cfg.Incarnation
	switch {
	case o.role == roleOwner && ownRecord && o.record.Epoch == o.epoch:
		// The lease was lost and reacquired; no other host took over.
		o.standby, o.standbyEpoch = o.record.Standby, o.record.StandbyEpoch
	case o.role == roleOwner:
		r.stepDown(ReasonStaleEpoch)
	case o.role == roleClaiming || o.role == roleStandby:
		r.swapOwnerRecord()
	}
}

// swapOwnerRecord writes the owner record with the next epoch.
func (r *Reducer) swapOwnerRecord() {
	next := r.owner.record.Epoch + epochStep
	next -= next % epochStep
	rec := OwnerRecord{
		Epoch: next, Host: r.cfg.Host, Incarnation: r.cfg.Incarnation, Address: r.cfg.Address,
		Standby: r.chooseStandby(), StandbyEpoch: next + 1,
	}
	r.emit(PutValue{
		Op: r.newStoreOp(PurposeOwnerSwap, r.dataCentreKey("owner")), Key: r.dataCentreKey("owner"),
		Value: rec, IfRevision: r.owner.recordRevision,
	})
	r.owner.record = rec
}

func (r *Reducer) onOwnerRecordSwapped(a StoreAnswered) {
	o := &r.owner
	if o.role != roleClaiming && o.role != roleStandby {
		return
	}
	if a.Outcome != StoreOK {
		// The swap may have taken effect. The next claim reads the record and
		// continues from the epoch in it.
		r.abandonClaim()
		return
	}
	if o.role == roleStandby {
		r.resetControlState(ReasonStaleEpoch)
	}
	o.recordRevision = a.Revision
	o.epoch = o.record.Epoch
	o.role, o.claimStarted = roleRecovering, r.now
	o.ownerHost, o.ownerAddress, o.ownerEpoch = r.cfg.Host, r.cfg.Address, o.epoch
	o.standby, o.standbyEpoch = o.record.Standby, o.record.StandbyEpoch
	r.startRecovery()
}

// tickStandby replaces the standby in the owner record if it is not alive. Every
// standby gets an epoch that was never used before.
func (r *Reducer) tickStandby() {
	o := &r.owner
	if o.role != roleOwner || r.now < o.nextStandbyCheck || !r.leaseValid() || r.isLivePeer(o.standby) {
		return
	}
	next := o.record
	next.Standby, next.StandbyEpoch = r.chooseStandby(), o.record.StandbyEpoch+1
	if next.Standby == "" || next.StandbyEpoch >= o.epoch+epochStep {
		return
	}
	o.nextStandbyCheck = r.now.Add(standbyCheckInterval)
	o.proposedRecord = next
	r.emit(PutValue{
		Op: r.newStoreOp(PurposeOwnerUpdate, r.dataCentreKey("owner")), Key: r.dataCentreKey("owner"),
		Value: next, IfRevision: o.recordRevision,
	})
}

// onStandbyRecordUpdated adopts the new standby. If the outcome of the write is
// unknown, the record is read back.
func (r *Reducer) onStandbyRecordUpdated(a StoreAnswered) {
	o := &r.owner
	if o.role != roleOwner || o.proposedRecord.Epoch != o.epoch {
		return
	}
	switch a.Outcome {
	case StoreOK:
		o.record, o.recordRevision = o.proposedRecord, a.Revision
		o.standby, o.standbyEpoch = o.record.Standby, o.record.StandbyEpoch
	case StoreConflict, StoreInDoubt:
		r.emit(GetValue{Op: r.newStoreOp(PurposeOwnerRead, r.dataCentreKey("owner")), Key: r.dataCentreKey("owner")})
	}
}

func (r *Reducer) onLeaseRenewed(a StoreAnswered) {
	o := &r.owner
	if string(o.lease) != a.Op.Key {
		return
	}
	switch a.Outcome {
	case StoreOK:
		o.lastRenewal = max(o.lastRenewal, a.Op.Sent)
	case StoreNotFound:
		o.lease, o.nextRenew = "", r.now
	}
}

// abandonClaim ends a claim; the next poll starts another one. An active owner
// keeps scheduling, since workers accept the highest epoch regardless of leases.
func (r *Reducer) abandonClaim() {
	o := &r.owner
	if o.lease != "" {
		r.emit(RevokeLease{Op: r.newStoreOp(PurposeLeaseRevoke, string(o.lease)), Lease: o.lease})
		o.lease = ""
	}
	if o.role == roleClaiming {
		o.role = roleFollower
		o.nextPoll = r.now.Add(r.jitter(leasePollInterval))
	}
}

// takeOverAsStandby starts scheduling with the epoch that the owner record
// reserves for this host. Workers that have seen the next owner's epoch reject
// it.
func (r *Reducer) takeOverAsStandby() {
	o := &r.owner
	o.role, o.epoch = roleStandby, o.standbyEpoch
	o.ownerHost, o.ownerAddress, o.ownerEpoch = r.cfg.Host, r.cfg.Address, o.epoch
	o.nextRenew = r.now.Add(r.cfg.OwnerLease / renewalsPerLease)
	r.count(MetricTakeovers, ReasonStoreUnavailable, "", "")
	r.emit(Log{Level: LogWarn, Message: "standby takes over without the store", Epoch: o.epoch})
	r.beginFencing()
}

// stepDown makes this host a follower and discards its scheduling state.
func (r *Reducer) stepDown(reason Reason) {
	r.emit(Log{Level: LogWarn, Message: "stepping down", Epoch: r.owner.epoch, Reason: reason})
	r.resetControlState(reason)
	o := &r.owner
	if o.lease != "" {
		r.emit(RevokeLease{Op: r.newStoreOp(PurposeLeaseRevoke, string(o.lease)), Lease: o.lease})
	}
	*o = ownership{
		nextPoll: r.now.Add(r.jitter(leasePollInterval)), ownerLastHeard: o.ownerLastHeard,
		ownerEpoch: o.ownerEpoch, storeFailedSince: o.storeFailedSince,
	}
}

// resetControlState defers all open requests about jobs and discards the jobs.
func (r *Reducer) resetControlState(reason Reason) {
	r.deferOpenRequests(reason)
	r.jobs = newJobTable()
	r.queues = newQueues()
	r.journal = newJournal(r.cfg.JournalRate)
	r.reservations = newReservations()
	r.grants = newGrantTable()
	r.awaitingLease, r.throttledTasks, r.failedSignals, r.resumePending = nil, nil, nil, false
	for _, t := range r.docs.teams {
		t.used, t.queued, t.queues = Resources{}, 0, nil
	}
	r.fleet.resetUsage()
	// The kinds stay announced, so that calls wait for the next owner's grants.
	r.announceKinds()
}

// journalKey returns the store key of a journal group.
func (r *Reducer) journalKey(sequence uint64) string {
	const width = 12 // zero padding makes the key order match the numeric order
	s := strconv.FormatUint(sequence, 10)
	for len(s) < width {
		s = "0" + s
	}
	return r.dataCentreKey("journal/" + s)
}
