package core

import (
	"strconv"
	"time"
)

// role is what this host is to its data centre.
type role uint8

const (
	// roleFollower owns nothing.
	roleFollower role = iota
	// roleClaiming tries to become the owner.
	roleClaiming
	// roleRecovering owns the record and reads the journal.
	roleRecovering
	// roleOwner schedules the data centre's workers.
	roleOwner
	// roleStandby schedules without a journal while the store cannot be
	// reached and the owner is silent.
	roleStandby
)

var roleNames = [...]string{"follower", "claiming", "recovering", "owner", "standby"}

// String implements fmt.Stringer.
func (o role) String() string { return roleNames[o] }

const (
	// ownerSilence is how long the owner's heartbeat may be missing before a
	// follower asks the store about the lease.
	ownerHeartbeatTimeout = 3 * time.Second
	// standbySilence is how long the owner must be silent before the standby
	// takes over without the store. It exceeds the owner's lease, so a
	// takeover through the store is always tried first.
	standbyTakeoverTimeout = 10 * time.Second
	// leasePoll is how often a follower reads the lease of a silent owner.
	leasePollInterval = time.Second
	// leasePollWithOwner is how often a follower reads the owner's record
	// while it hears the owner.
	leasePollIntervalWithOwner = 15 * time.Second
	// renewTries is how many renewals are sent within a lease.
	renewalsPerLease = 3
	// leaseMarginPart is the part of the lease that is kept free at its end:
	// 1 s of the usual 6 s.
	leaseMarginDivisor = 6
	// claimTimeout ends a claim that got no answer.
	claimTimeout = 5 * time.Second
	// epochStep leaves room for the epochs of an owner's standbys, each of
	// which gets one of its own.
	epochStep = 64
	// standbyCheck is how often the owner looks whether its standby is alive.
	standbyCheckInterval = 5 * time.Second
)

// ownership tracks who owns the data centre's workers.
//
// Invariant: epoch is nonzero exactly while role is recovering, owner or
// standby, and no other host was ever given the same epoch.
type ownership struct {
	role  role
	epoch Epoch
	// record is the latest owner record that was read or written.
	record         OwnerRecord
	recordRevision int64
	// update is the record that is being written with another standby.
	proposedRecord OwnerRecord
	lease          LeaseID
	// renewed is when the last successful renewal was sent.
	lastRenewal  Time
	nextRenew    Time
	nextStandby  Time
	nextPoll     Time
	claimStarted Time
	// ownerHeard is when a heartbeat of an owner last arrived.
	ownerLastHeard Time
	ownerHost      HostID
	ownerAddress   string
	ownerEpoch     Epoch
	standby        HostID
	standbyEpoch   Epoch
	// storeFailed is when the store first failed without a success since.
	storeFailedSince Time
}

// active reports whether this host schedules workers.
func (o *ownership) active() bool { return o.role == roleOwner || o.role == roleStandby }

// noteStore remembers whether the store can be reached.
func (o *ownership) recordStoreOutcome(outcome StoreOutcome, now Time) {
	if outcome != StoreNotSent && outcome != StoreInDoubt {
		o.storeFailedSince = 0
	} else if o.storeFailedSince == 0 {
		o.storeFailedSince = now
	}
}

// leaseValid reports whether the owner's lease surely holds at now.
func (r *Reducer) leaseValid() bool {
	return r.owner.lease != "" && r.now.Sub(r.owner.lastRenewal) < r.cfg.OwnerLease-r.cfg.OwnerLease/leaseMarginDivisor
}

func (r *Reducer) dataCentreKey(name string) string {
	return "cells/" + string(r.cfg.DataCentre) + "/" + name
}

// tickOwnership renews the lease of an owner and looks for a lost one.
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

// tickFollower polls the lease, more often while the owner is silent.
func (r *Reducer) tickFollower() {
	o := &r.owner
	if o.nextPoll == 0 {
		// Spreads the first claims of hosts that start together.
		o.nextPoll = r.now.Add(r.jitter(leasePollInterval / 2))
		o.ownerLastHeard = r.now
		return
	}
	silent := r.now.Sub(o.ownerLastHeard)
	if r.isStandby() && silent > standbyTakeoverTimeout && o.storeFailedSince != 0 {
		r.takeOverAsStandby()
		return
	}
	if silent >= ownerHeartbeatTimeout && o.nextPoll.Sub(r.now) > 2*leasePollInterval {
		// The next read was planned while the owner was heard. Waiting for it
		// delayed a takeover by up to 22 s.
		o.nextPoll = r.now.Add(r.jitter(leasePollInterval / 2))
	}
	if r.now < o.nextPoll {
		return
	}
	period := leasePollInterval
	if silent < ownerHeartbeatTimeout && o.ownerHost != "" {
		period = leasePollIntervalWithOwner
	}
	o.nextPoll = r.now.Add(r.jitter(period))
	r.emit(GetValue{Op: r.newStoreOp(PurposeOwnerRead, r.dataCentreKey("lease")), Key: r.dataCentreKey("lease")})
}

// tickLease renews the lease, or claims again after it was lost.
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

// onOwnershipAnswer advances a claim or a renewal. A claim goes through the
// lease key first, which only one host can create, and then the owner record.
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

// onLeaseReadBack decides what became of a write of the lease key whose answer
// was lost. Giving the claim up instead can repeat for ever when the store loses
// answers at a steady rate.
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

// onOwnerRecord decides, holding the lease key, whether to swap the record.
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
		// Another host holds the lease key. Only a later epoch in the record
		// says that it has taken over.
		if o.active() && o.record.Epoch > o.epoch {
			r.stepDown(ReasonStaleEpoch)
		}
		return
	}
	mine := o.record.Host == r.cfg.Host && o.record.Incarnation == r.cfg.Incarnation
	switch {
	case o.role == roleOwner && mine && o.record.Epoch == o.epoch:
		// The lease was lost and is ours again; nobody took over.
		o.standby, o.standbyEpoch = o.record.Standby, o.record.StandbyEpoch
	case o.role == roleOwner:
		r.stepDown(ReasonStaleEpoch)
	case o.role == roleClaiming || o.role == roleStandby:
		r.swapOwnerRecord()
	}
}

// swapOwner writes the owner record with the next epoch.
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
		// The swap may have taken effect. Claiming again reads the record
		// and goes on from whatever epoch it holds.
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

// tickStandby names another standby when the one in the record is not alive. Each
// gets an epoch that was never given out before.
func (r *Reducer) tickStandby() {
	o := &r.owner
	if o.role != roleOwner || r.now < o.nextStandby || !r.leaseValid() || r.isLivePeer(o.standby) {
		return
	}
	next := o.record
	next.Standby, next.StandbyEpoch = r.chooseStandby(), o.record.StandbyEpoch+1
	if next.Standby == "" || next.StandbyEpoch >= o.epoch+epochStep {
		return
	}
	o.nextStandby = r.now.Add(standbyCheckInterval)
	o.proposedRecord = next
	r.emit(PutValue{
		Op: r.newStoreOp(PurposeOwnerUpdate, r.dataCentreKey("owner")), Key: r.dataCentreKey("owner"),
		Value: next, IfRevision: o.recordRevision,
	})
}

// onOwnerUpdated takes over the new standby. When the outcome is not certain the
// record is read back.
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

// abandonClaim gives up a claim; the next poll starts another one. An active
// owner goes on, since workers decide by epoch whom they obey.
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

// becomeStandbyOwner takes over with the epoch that the owner's record reserved
// for this host. Workers that obey the owner's next epoch refuse this one.
func (r *Reducer) takeOverAsStandby() {
	o := &r.owner
	o.role, o.epoch = roleStandby, o.standbyEpoch
	o.ownerHost, o.ownerAddress, o.ownerEpoch = r.cfg.Host, r.cfg.Address, o.epoch
	o.nextRenew = r.now.Add(r.cfg.OwnerLease / renewalsPerLease)
	r.count(MetricTakeovers, ReasonStoreUnavailable, "", "")
	r.emit(Log{Level: LogWarn, Message: "standby takes over without the store", Epoch: o.epoch})
	r.beginFencing()
}

// stepDown makes this host a follower and forgets all state of the cell.
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

// dropCellState answers every open request about jobs and forgets the jobs.
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
	// The kinds stay known: calls wait for the next owner's grants.
	r.announceKinds()
}

// journalKey is the store key of a journal group.
func (r *Reducer) journalKey(sequence uint64) string {
	const width = 12 // keeps the order of keys equal to the order of numbers
	s := strconv.FormatUint(sequence, 10)
	for len(s) < width {
		s = "0" + s
	}
	return r.dataCentreKey("journal/" + s)
}
