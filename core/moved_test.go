package core

import (
	"testing"
	"time"
)

// newMovingOwner is an owner that moves every job to data centre "away".
func newMovingOwner(t *testing.T) *testOwner {
	o := newTestOwner(t)
	o.step(SummaryHeard{Summary{From: "x1", Address: "x1:1", DataCentre: "away", Region: "r", Epoch: epochStep}})
	return o
}

// move submits a job that goes away, without its journal record being durable.
func (o *testOwner) move(id JobID) RequestID {
	o.last++
	kind := o.docs.kind("red", "billed")
	o.Reducer.move(Submitted{Request: o.last, Spec: JobSpec{
		ID: id, Team: "red", Kind: "billed", Digest: 1, Payload: []byte("p"), Origin: "home", Submitted: o.at,
	}}, kind, "away")
	o.step(Continue{})
	return o.last
}

// silence lets d pass without a word from the other data centre.
func (o *testOwner) advanceWithoutSummaries(d time.Duration) {
	for until := o.at.Add(d); o.at < until; {
		o.at = o.at.Add(time.Second)
		o.owner.lastRenewal = o.at
		o.step(Tick{})
	}
}

// Guards against a job that is sent to another data centre before its move is
// durable, and against one that its own data centre forgets after that.
func TestMovedJobIsForwardedOnlyWhenDurable(t *testing.T) {
	o := newMovingOwner(t)
	first := o.move("j")
	second := o.submit("j", 1)
	if o.forwarded(first) != nil || o.forwarded(second) != nil {
		t.Fatal("forwarded before the record was durable")
	}
	rec := o.journal.inFlight.Records[0]
	if rec.Kind != RecordMoved || rec.To != "away" || rec.Spec.Payload != nil {
		t.Errorf("record %+v", rec)
	}
	o.commit()
	for _, id := range []RequestID{first, second} {
		if f := o.forwarded(id); f == nil || f.Address != "x1:1" || f.Moved != "j" {
			t.Errorf("request %d forwarded as %+v", id, f)
		}
	}
	o.step(SummaryHeard{Summary{From: "x2", Address: "x2:1", DataCentre: "away", Region: "r", Epoch: 2 * epochStep}})
	for _, body := range []EventBody{
		Submitted{Request: 90, Forwarded: true, Spec: JobSpec{ID: "j", Team: "red", Kind: "billed", Digest: 1, Origin: "home"}},
		StatusRequested{Request: 90, Job: "j"},
		StatusRequested{Request: 90, Job: "j", Wait: true, Forwarded: true},
		StatusRequested{Request: 90, Job: "j", Explain: true},
		CancelRequested{Request: 90, Job: "j", Forwarded: true},
	} {
		o.step(body)
		if f := o.forwarded(90); f == nil || f.Address != "x2:1" {
			t.Errorf("%T went to %+v, want the present owner", body, f)
		}
	}
	if r := o.reply(o.submit("j", 2)); r == nil || r.Refusal == nil || r.Refusal.Reason != ReasonDuplicateID {
		t.Errorf("submit with other content: %+v", r)
	}
	o.advanceWithoutSummaries(deferTimeout + time.Minute + retention + 2*time.Second)
	if o.jobs.get("j") != nil || o.jobs.unfinished != 0 {
		t.Error("the job is kept after its deadline and retention")
	}
}

// Guards against requests that go in circles between two data centres that have
// moved a job to each other.
func TestMovedJobIsNotMovedBack(t *testing.T) {
	o := newMovingOwner(t)
	o.move("j")
	o.commit()
	for _, body := range []EventBody{
		Submitted{Request: 90, Forwarded: true, Spec: JobSpec{ID: "j", Team: "red", Kind: "billed", Digest: 1, Origin: "away"}},
		StatusRequested{Request: 90, Job: "j", Moved: true},
		CancelRequested{Request: 90, Job: "j", Moved: true},
		CancelRequested{Request: 90, Job: "not-here-yet", Moved: true},
	} {
		o.step(body)
		if r := o.reply(90); r == nil || r.Refusal == nil || r.Refusal.Verdict != MayHaveRun {
			t.Errorf("%T: %+v, want a refusal with may_have_run", body, r)
		}
	}
}

// Guards against a refusal that says not_run of a job that may have reached the
// other data centre, and against a request that is never answered.
func TestVerdictOfUndeliveredMove(t *testing.T) {
	// fail answers the forward in the last step.
	fail := func(o *testOwner, f *Forward, v Verdict) {
		o.step(ForwardFailed{Request: f.Request, Verdict: v, Moved: f.Moved, Since: f.Since})
	}
	cases := []struct {
		name string
		play func(o *testOwner, request RequestID)
		want Verdict
	}{
		{"the other owner is silent before anything is sent", func(o *testOwner, _ RequestID) {
			o.advanceWithoutSummaries(remoteSummaryTTL + time.Second)
			o.commit()
		}, NotRun},
		{"no connection is made", func(o *testOwner, request RequestID) {
			o.commit()
			fail(o, o.forwarded(request), NotRun)
		}, NotRun},
		{"the answer is lost", func(o *testOwner, request RequestID) {
			o.commit()
			fail(o, o.forwarded(request), MayHaveRun)
		}, MayHaveRun},
		{"another request of the job may have arrived", func(o *testOwner, request RequestID) {
			o.commit()
			f := o.forwarded(request)
			o.submit("j", 1)
			fail(o, f, NotRun)
		}, MayHaveRun},
		{"an earlier owner has moved the job", func(o *testOwner, request RequestID) {
			rec := o.journal.inFlight.Records[0]
			o.jobs = newJobTable()
			o.replayRecord(&rec)
			o.advanceWithoutSummaries(remoteSummaryTTL + time.Second)
			o.step(StatusRequested{Request: request, Job: "j"})
		}, MayHaveRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			o := newMovingOwner(t)
			request := o.move("j")
			tc.play(o, request)
			var got *Reply
			for range 40 {
				// Every try from now on finds nobody.
				o.peers.remoteOwners = nil
				o.advanceWithoutSummaries(time.Second)
				if got == nil {
					got = o.reply(request)
				}
			}
			if got == nil || got.Refusal == nil || got.Refusal.Reason != ReasonPeer || got.Refusal.Verdict != tc.want {
				t.Fatalf("answer %+v, want a refusal with %v", got, tc.want)
			}
		})
	}
}

// Guards against a cancellation that leaves open what became of a job of which
// nothing has been sent.
func TestCancelBeforeMoveIsDurableEndsJob(t *testing.T) {
	o := newMovingOwner(t)
	submit := o.move("j")
	cancel := o.cancel("j")
	o.commit()
	o.commit() // the final outcome
	for _, id := range []RequestID{submit, cancel} {
		if r := o.reply(id); r == nil || r.Status == nil || r.Status.State != JobCancelled || r.Status.Verdict != NotRun {
			t.Errorf("request %d: %+v", id, r)
		}
	}
}

// Guards against a cleaning of the journal that loses where a job went.
func TestCompactionKeepsMoveRecord(t *testing.T) {
	o := newMovingOwner(t)
	o.move("j")
	o.commit()
	o.journal.copyQueue = []JobID{"j"}
	copies := o.nextCopies(maxGroupBytes)
	if len(copies) != 1 || copies[0].Kind != RecordMoved || copies[0].To != "away" || !copies[0].Copy {
		t.Fatalf("copies %+v", copies)
	}
	o.jobs = newJobTable()
	o.replayRecord(&copies[0])
	if j := o.movedJob("j"); j == nil || j.movedTo != "away" {
		t.Errorf("restored as %+v", j)
	}
}
