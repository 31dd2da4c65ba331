package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestLostResultsAreReplaced guards against a call that is waited for without a bound:
// the result of a Hold that was lost on its way left its worker without Holds for good,
// so that no end of a task there was noticed any more.
func TestLostResultsAreReplaced(t *testing.T) {
	runScenario(t, func(sim *simulation) { sim.loseResults(0.02) })
}

// loseResults loses a fraction of the results while jobs are submitted.
func (sim *simulation) loseResults(rate float64) {
	sim.faults.lostResultRate = rate
	sim.at(30*time.Second, func() { sim.faults.lostResultRate = 0 })
}

// TestLostResultsWithOwnersKilled guards against calls without a bound in a takeover.
func TestLostResultsWithOwnersKilled(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		sim.loseResults(0.05)
		for i := range 3 {
			sim.at(time.Duration(4+4*i)*time.Second, func() {
				if h := sim.owner(); h != nil {
					sim.killHost(h)
					sim.at(300*msec, func() { sim.startHost(h) })
				}
			})
		}
	})
}

// newOwner returns a simulation with one host and one worker, and its owner.
func newOwner(t *testing.T) (*simulation, *fakeHost, *cell) {
	sim := newSimulation(t, 4, 1, 1)
	sim.run(2 * time.Second)
	h := sim.owner()
	return sim, h, h.r.cell
}

// lastCall returns the newest pending call whose operation match accepts.
func lastCall(t *testing.T, r *Reducer, match func(Operation) bool) CallID {
	t.Helper()
	var last CallID
	for id, p := range r.calls.pending {
		if match(p.operation) {
			last = max(last, id)
		}
	}
	if last == 0 {
		t.Fatal("no such call is pending")
	}
	return last
}

// TestLateClaimIsNotTakenForTheNextOne guards against a host that believes in a lease
// and a fencing token that the store has not recorded together: the answer to a claim
// that was given up arrives while the next claim is in flight.
func TestLateClaimIsNotTakenForTheNextOne(t *testing.T) {
	r := New(Self{Host: "a", Address: "a"}, Limits{MaxLease: 6 * time.Second, MinStoreLease: time.Second})
	now := Time(time.Hour)
	step := func(e Event) []Effect { return r.Step(Input{At: now, Event: e}) }
	// advance runs the reducer until it makes a call of the wanted kind.
	advance := func(match func(Operation) bool) CallID {
		for range 400 {
			now = now.Add(50 * msec)
			for _, f := range step(Tick{}) {
				if call, ok := f.(Call); ok && match(call.Operation) {
					return call.ID
				}
			}
		}
		t.Fatal("the call was not made")
		return 0
	}
	isRead := func(op Operation) bool { _, ok := op.(ReadLog); return ok }
	step(ConfigChanged{Config: &Config{Version: 1}})
	step(OwnerSeen{Revision: 1})
	claim := func() CallID {
		step(CallAnswered{ID: advance(isRead), Result: LogRead{}})
		return lastCall(t, r, func(op Operation) bool { _, ok := op.(ClaimOwnership); return ok })
	}
	first := claim()
	second := claim()
	step(CallAnswered{ID: first, Result: ClaimAnswered{Outcome: Done, Lease: 7, Sent: now, TTL: time.Second, Revision: 2}})
	if r.cell != nil {
		t.Error("the answer to the first claim was taken for that of the second one")
	}
	step(CallAnswered{ID: second, Result: ClaimAnswered{Outcome: Done, Lease: 8, Sent: now, TTL: time.Second, Revision: 3}})
	if r.cell == nil || r.owner.lease != 8 {
		t.Error("the answer to the second claim was ignored")
	}
}

// TestOutdatedTokenOfSameHostIsNoOtherOwner guards against an owner that gives up the
// ownership it has just regained, because an order with its former token arrives at a
// worker after one with the new token.
func TestOutdatedTokenOfSameHostIsNoOtherOwner(t *testing.T) {
	sim, h, c := newOwner(t)
	sim.faults.workerPartitioned = func(WorkerID, Time) bool { return true }
	c.requestHold(c.workers["w00"])
	sim.post(h, h.incarnation, Tick{})
	hold := lastCall(t, h.r, func(op Operation) bool { _, ok := op.(Hold); return ok })
	c.generation++
	sim.post(h, h.incarnation, CallAnswered{ID: hold, Result: HoldAnswered{Worker: "w00", Fenced: true}})
	if h.r.cell != c {
		t.Error("the owner gave up the ownership")
	}
	c.requestHold(c.workers["w00"])
	sim.post(h, h.incarnation, Tick{})
	hold = lastCall(t, h.r, func(op Operation) bool { _, ok := op.(Hold); return ok })
	sim.post(h, h.incarnation, CallAnswered{ID: hold, Result: HoldAnswered{Worker: "w00", Fenced: true}})
	if h.r.cell != nil {
		t.Error("the owner ignored that a worker has seen a later token")
	}
}

// TestStopOfEarlierIncarnationConfirmsNothing guards against a run that is considered
// stopped on a restarted worker because its earlier incarnation has confirmed a stop.
func TestStopOfEarlierIncarnationConfirmsNothing(t *testing.T) {
	sim, h, c := newOwner(t)
	w := c.workers["w00"]
	j := c.addJob("00000000000000aa", "batch", &JobSpec{Steps: []Step{{Count: 1, Need: Resources{MilliCPU: 100}}}}, sim.wall())
	j.durable = true
	r := c.createRun(j.occurrences[0].stages[0].tasks[0], w, 1)
	r.state = runInDoubt
	stop := func() CallID {
		c.sendStop(r)
		return lastCall(t, h.r, func(op Operation) bool { _, ok := op.(StopTask); return ok })
	}
	first := stop()
	c.handleWorkerRestart(w, w.info.Born+1)
	second := stop()
	sim.post(h, h.incarnation, CallAnswered{ID: first, Result: StopAnswered{Worker: "w00", Task: r.id, Run: 1}})
	if r.stopConfirmed {
		t.Error("the answer of the earlier incarnation confirms the stop")
	}
	sim.post(h, h.incarnation, CallAnswered{ID: second, Result: StopAnswered{Worker: "w00", Task: r.id, Run: 1}})
	if !r.stopConfirmed {
		t.Error("the answer of the current incarnation does not confirm the stop")
	}
}

// TestResultsOfAnEarlierWriteAreIgnored guards against a group of the log that is divided
// or given up because an earlier one with the same sequence number was rejected.
func TestResultsOfAnEarlierWriteAreIgnored(t *testing.T) {
	sim, h, c := newOwner(t)
	sim.faults.storeDown = func(Time) bool { return true }
	for i := range 2 {
		c.record(Record{Job: JobID(fmt.Sprintf("%016x", i)), Cancelled: true}, true)
	}
	isWrite := func(op Operation) bool { _, ok := op.(WriteGroup); return ok }
	c.log.dueAt = c.now
	sim.post(h, h.incarnation, Tick{})
	first := lastCall(t, h.r, isWrite)
	c.writeGroup(c.log.inFlight)
	hedge := lastCall(t, h.r, isWrite)
	rejected := GroupWritten{Sequence: c.log.inFlight.Sequence, Outcome: Rejected}
	sim.post(h, h.incarnation, CallAnswered{ID: first, Result: rejected})
	if c.log.inFlight == nil || len(c.log.inFlight.Records) != 1 {
		t.Fatal("the rejected group was not divided")
	}
	sim.post(h, h.incarnation, CallAnswered{ID: hedge, Result: rejected})
	if h.r.cell != c {
		t.Error("the owner gave up because of the second answer to the rejected group")
	}
}
