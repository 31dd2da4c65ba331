package scheduler

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
)

// executeStore carries out a call to the store, with the injected faults.
func (sim *simulation) executeStore(h *fakeHost, f Operation, answer func(Result)) {
	lost := sim.rng.Float64() < sim.faults.lostWriteRate
	caller := sim.caller(h, f)
	delay := sim.delay()
	if _, ok := f.(WriteGroup); ok {
		delay += sim.faults.storeDelay
	}
	sim.at(delay, func() {
		var res Result
		if caller != nil && sim.storeReachable(caller) {
			sim.expireLease()
			res = sim.storeCall(f)
		} else {
			res = unreachableResult(f)
		}
		if _, ok := f.(WriteGroup); ok && lost {
			res = f.Unanswered()
		}
		sim.at(sim.delay(), func() { answer(res) })
	})
}

// caller returns the host that makes a call to the store, or nil if it has been killed.
func (sim *simulation) caller(h *fakeHost, f Effect) *fakeHost {
	via := ""
	switch f := f.(type) {
	case WriteGroup:
		via = f.Via
	case RenewLease:
		via = f.Via
	case EndLease:
		via = f.Via
	}
	if via == "" {
		return h
	}
	for _, o := range sim.hosts {
		if o.address == via && o.alive && !sim.isIsolated(h) && !sim.isIsolated(o) {
			return o
		}
	}
	return nil
}

// unreachableResult returns the result of a call that does not reach the store.
func unreachableResult(f Operation) Result {
	switch f := f.(type) {
	case ReadLog:
		return LogRead{Err: fmt.Errorf("store is down")}
	case ClaimOwnership:
		return ClaimAnswered{Outcome: NotDone}
	default:
		return f.Unanswered()
	}
}

// storeCall applies a call that reaches the store.
func (sim *simulation) storeCall(f Operation) Result {
	s := &sim.store
	switch f := f.(type) {
	case ReadLog:
		e := LogRead{}
		for _, seq := range sortedKeys(s.log) {
			var g Group
			if err := json.Unmarshal(s.log[seq], &g); err != nil {
				sim.t.Fatal(err)
			}
			if e.First == 0 {
				e.First = seq
			}
			e.Groups, e.LastRevision = TrimLog(append(e.Groups, g)), s.logRevisions[seq]
		}
		return e
	case ClaimOwnership:
		logChanged := s.log[f.Opening.Sequence] != nil || s.logRevisions[f.Opening.Sequence-1] != f.Preceding
		if s.owner != nil && s.ownerRevision != f.Replaces || logChanged {
			return ClaimAnswered{Outcome: Conflict, OwnerExists: s.owner != nil, LogChanged: logChanged}
		}
		s.revision++
		s.leaseCount++
		record := f.Record
		s.owner, s.ownerRevision, s.lease, s.ttl, s.leaseEnd = &record, s.revision, s.leaseCount, f.TTL, sim.now.Add(f.TTL)
		s.log[f.Opening.Sequence], _ = json.Marshal(f.Opening)
		s.logRevisions[f.Opening.Sequence] = s.revision
		return ClaimAnswered{Outcome: Done, Lease: s.lease, Sent: sim.now, TTL: f.TTL, Revision: s.revision}
	case RenewLease:
		if s.owner == nil || s.lease != f.Lease {
			return LeaseRenewed{Lease: f.Lease, Sent: sim.now, Ended: true, Via: f.Via}
		}
		s.leaseEnd = sim.now.Add(s.ttl)
		return LeaseRenewed{Lease: f.Lease, Sent: sim.now, Via: f.Via}
	case WriteGroup:
		return sim.writeGroup(f)
	case DeleteGroups:
		if s.owner == nil || s.ownerRevision != f.OwnerRevision {
			return GroupsDeleted{Through: f.Through, Outcome: Conflict}
		}
		for seq := f.From; seq <= f.Through; seq++ {
			delete(s.log, seq)
			delete(s.logRevisions, seq)
		}
		return GroupsDeleted{Through: f.Through}
	}
	return nil
}

func (sim *simulation) endLease(f EndLease) {
	if s := &sim.store; s.owner != nil && s.lease == f.Lease {
		s.owner = nil
		s.revision++
		s.ownerRevision = s.revision
	}
}

func (sim *simulation) writeGroup(f WriteGroup) GroupWritten {
	s := &sim.store
	e := GroupWritten{Sequence: f.Group.Sequence, Via: f.Via}
	value := encodeForStore(sim.t, f.Group)
	if len(value) > s.maxValue {
		e.Outcome = Rejected
		return e
	}
	if old := s.log[f.Group.Sequence]; old != nil {
		e.Outcome, e.Ours = Conflict, string(old) == string(value)
		e.Taken, e.Revision = !e.Ours, s.logRevisions[f.Group.Sequence]
	}
	if s.owner == nil || s.ownerRevision != f.OwnerRevision {
		e.Outcome, e.Lost = Conflict, true
	}
	if e.Outcome == Conflict {
		return e
	}
	s.revision++
	s.log[f.Group.Sequence], s.logRevisions[f.Group.Sequence] = value, s.revision
	e.Revision = s.revision
	if sim.onGroupStored != nil {
		sim.onGroupStored(f.Group)
	}
	return e
}

// encodeForStore encodes a value as a host does.
func encodeForStore(t testing.TB, v any) []byte {
	var value bytes.Buffer
	encoder := json.NewEncoder(&value)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		t.Fatal(err)
	}
	return bytes.TrimSpace(value.Bytes())
}

func sortedKeys(m map[int64][]byte) []int64 {
	var keys []int64
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
