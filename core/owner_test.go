package core

import (
	"testing"
	"time"
)

// testOwner wraps a reducer that owns data centre "home" without having taken it
// over. Team "red" declares kind "billed" with a queue limit of 3.
type testOwner struct {
	*Reducer
	t    *testing.T
	at   Time
	last RequestID
	// effects are those of the last step.
	effects []Effect
}

func newTestOwner(t *testing.T) *testOwner {
	o := &testOwner{t: t, at: 1e15, Reducer: New(Config{
		Host: "h1", Address: "h1:1", DataCentre: "home", Region: "r", Seed: 1, Incarnation: 1,
	})}
	o.step(DocumentsRead{Versions: []DocumentVersion{{Revision: 1, Document: Document{
		Team: "red", Weight: 1, Kinds: []Kind{
			{Name: "billed", Urgency: Normal, GangSize: 1, Deadline: time.Minute, MaxAttempts: 2, QueueLimit: 3},
		},
	}}}})
	o.owner.role, o.owner.epoch, o.owner.lease = roleOwner, epochStep, "lease"
	return o
}

func (o *testOwner) step(body EventBody) []Effect {
	o.effects = o.Step(Event{At: o.at, Body: body})
	return o.effects
}

func (o *testOwner) submit(id JobID, digest uint64) RequestID {
	o.last++
	o.step(Submitted{Request: o.last, Spec: JobSpec{
		ID: id, Team: "red", Kind: "billed", Digest: digest, Payload: []byte("p"), Origin: "home", Submitted: o.at,
	}})
	return o.last
}

func (o *testOwner) cancel(id JobID) RequestID {
	o.last++
	o.step(CancelRequested{Request: o.last, Job: id})
	return o.last
}

// commit acknowledges the journal write in flight.
func (o *testOwner) commit() {
	o.t.Helper()
	g := o.journal.inFlight
	if g == nil {
		o.t.Fatal("no journal write is in flight")
	}
	o.step(StoreAnswered{
		Op:      StoreOp{Purpose: PurposeJournalWrite, Key: o.journalKey(g.Sequence)},
		Outcome: StoreOK,
	})
}

// reply returns the reply to a request in the last step, or nil.
func (o *testOwner) reply(id RequestID) *Reply {
	for _, f := range o.effects {
		if r, ok := f.(Reply); ok && r.Request == id {
			return &r
		}
	}
	return nil
}

// forwarded returns the Forward of a request in the last step, or nil.
func (o *testOwner) forwarded(id RequestID) *Forward {
	for _, f := range o.effects {
		if r, ok := f.(Forward); ok && r.Request == id {
			return &r
		}
	}
	return nil
}

// TestCancelledJobsAreNotJournaled guards against writing the records of cancelled
// jobs, omitting those of other jobs, and keeping dropped records in memory.
func TestCancelledJobsAreNotJournaled(t *testing.T) {
	cases := []struct {
		name   string
		cancel []JobID
		want   []JobID
	}{
		{"no job is cancelled", nil, []JobID{"b", "c", "d"}},
		{"the first pending job is cancelled", []JobID{"b"}, []JobID{"c", "d"}},
		{"the last pending job is cancelled", []JobID{"d"}, []JobID{"b", "c"}},
		{"all pending jobs but one are cancelled", []JobID{"d", "b"}, []JobID{"c"}},
		{"all pending jobs are cancelled", []JobID{"c", "b", "d"}, nil},
		{"the job in flight is cancelled", []JobID{"a"}, []JobID{"b", "c", "d"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			o := newTestOwner(t)
			o.docs.kind("red", "billed").QueueLimit = 100
			for _, id := range []JobID{"a", "b", "c", "d"} {
				o.submit(id, 1)
			}
			for _, id := range tc.cancel {
				request := o.cancel(id)
				if r := o.reply(request); (id == "a") != (r == nil) || r != nil && r.Status.Verdict != NotRun {
					t.Errorf("cancellation of %s: reply %+v", id, r)
				}
			}
			if o.journal.pendingCount() != len(tc.want) || len(o.journal.pending) > 2*len(tc.want) {
				t.Errorf("%d unsent records in a list of %d, want %d", o.journal.pendingCount(), len(o.journal.pending), len(tc.want))
			}
			o.commit()
			var got []JobID
			if g := o.journal.inFlight; g != nil {
				for _, rec := range g.Records {
					if rec.Kind == RecordAccepted {
						got = append(got, rec.Job)
					}
				}
			}
			if len(got) != len(tc.want) {
				t.Fatalf("second group accepts jobs %v, want %v", got, tc.want)
			}
			for i := range got {
				if got[i] != tc.want[i] {
					t.Errorf("second group accepts jobs %v, want %v", got, tc.want)
				}
			}
			if o.journal.pendingBytes != 0 || o.journal.dropped != 0 || len(o.journal.pending) != 0 {
				t.Errorf("pending after the write: %d bytes, %d dropped records in a list of %d", o.journal.pendingBytes, o.journal.dropped, len(o.journal.pending))
			}
		})
	}
}

// TestUnjournaledJobsCountTowardsQueueLimit guards against unbounded memory use
// during a store outage, when jobs wait for their accept record, and against a
// count that is not decremented.
func TestUnjournaledJobsCountTowardsQueueLimit(t *testing.T) {
	cases := []struct {
		name     string
		before   func(o *testOwner)
		accepted bool
	}{
		{"the limit is reached while the store is down", func(*testOwner) {}, false},
		{"a job with a pending record is cancelled", func(o *testOwner) { o.cancel("c") }, true},
		{"a job whose record is in flight is cancelled", func(o *testOwner) { o.cancel("a") }, false},
		{"the jobs are durable and wait for a worker", func(o *testOwner) { o.commit(); o.commit() }, false},
		{"a durable job is cancelled", func(o *testOwner) { o.commit(); o.commit(); o.cancel("b") }, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			o := newTestOwner(t)
			for _, id := range []JobID{"a", "b", "c"} {
				if o.submit(id, 1); o.reply(o.last) != nil {
					t.Fatalf("job %s got a reply before its record was durable", id)
				}
			}
			tc.before(o)
			r := o.reply(o.submit("d", 1))
			if tc.accepted != (r == nil) {
				t.Fatalf("reply to the fourth job: %+v", r)
			}
			if r != nil && (r.Refusal == nil || r.Refusal.Reason != ReasonQueueFull || r.Refusal.Verdict != NotRun) {
				t.Errorf("reply to the fourth job: %+v, want a queue_full refusal with not_run", r)
			}
		})
	}
}

// TestStepDownDropsQueues guards against computing queue heads from the queues of
// an earlier epoch. A host that became owner again crashed on them.
func TestStepDownDropsQueues(t *testing.T) {
	o := newTestOwner(t)
	kind := o.docs.kind("red", "billed")
	o.queues.push(o.newJob(JobSpec{ID: "old", Team: "red", Kind: "billed"}, kind))
	o.step(Tick{})
	o.stepDown(ReasonStaleEpoch)
	o.owner.role, o.owner.epoch = roleOwner, 2*epochStep
	o.fleet.adjustTeamUsage(o.docs.team("red"), Resources{Slots: 1}, 1)
	o.step(Continue{})
	if n := len(o.queues.busy); n != 0 {
		t.Errorf("%d queues have jobs, want none", n)
	}
}
