package core

import (
	"testing"
	"time"
)

// newMovingOwner returns an owner that knows data centre "away" as a target.
func newMovingOwner(t *testing.T) *testOwner {
	o := newTestOwner(t)
	o.step(SummaryHeard{Summary{From: "x1", Address: "x1:1", DataCentre: "away", Region: "r", Epoch: epochStep}})
	return o
}

// move submits a job that is moved. Its journal record is not durable yet.
func (o *testOwner) move(id JobID) RequestID {
	o.last++
	kind := o.docs.kind("red", "billed")
	o.Reducer.move(Submitted{Request: o.last, Spec: JobSpec{
		ID: id, Team: "red", Kind: "billed", Digest: 1, Payload: []byte("p"), Origin: "home", Submitted: o.at,
	}}, kind, "away")
	o.step(Continue{})
	return o.last
}

// advanceWithoutSummaries advances the clock by d without a summary from the other
// data centre.
func (o *testOwner) advanceWithoutSummaries(d time.Duration) {
	for until := o.at.Add(d); o.at < until; {
		o.at = o.at.Add(time.Second)
		o.owner.lastRenewal = o.at
		o.step(Tick{})
	}
}

// TestMovedJobIsForwardedOnlyWhenDurable guards against sending a job to another
// data centre before its move is durable, and against losing track of it later.
func TestMovedJobIsForwardedOnlyWhenDurable(t *testing.T) {
	o := newMovingOwner(t)
	first := o.move("j")
	second := o.submit("j", 1)
	if o.forwarded(first) != nil || o.forwarded(second) != nil {
		t.Fatal("forwarded before the record was durable")
	}
	rec := o.journal.inFlight.Records[0]
	if rec.Kind != RecordMoved || rec.To != "away" || rec.Spec.Payload != nil {
		t.Errorf("record %+v, want a move to away without payload", rec)
	}
	o.commit()
	for _, id := range []RequestID{first, second} {
		if f := o.forwarded(id); f == nil || f.Address != "x1:1" || f.Moved != "j" {
			t.Errorf("request %d: forward %+v, want one of job j to x1:1", id, f)
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
			t.Errorf("%T: forward %+v, want one to the current owner", body, f)
		}
	}
	if r := o.reply(o.submit("j", 2)); r == nil || r.Refusal == nil || r.Refusal.Reason != ReasonDuplicateID {
		t.Errorf("submit with different content: %+v, want a duplicate_id refusal", r)
	}
	o.advanceWithoutSummaries(deferTimeout + time.Minute + finishedRetention + 2*time.Second)
	if o.jobs.get("j") != nil || o.jobs.unfinished != 0 {
		t.Error("the moved job is kept after its deadline and retention")
	}
}

// TestMovedJobIsNotMovedBack guards against a forwarding loop between two data
// centres that have moved a job to each other.
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

// TestVerdictOfUndeliveredMove guards against a refusal with verdict not_run for a
// job that may have reached the other data centre, and against a request that is
// never answered.
func TestVerdictOfUndeliveredMove(t *testing.T) {
	// fail reports that the forward f failed with verdict v.
	fail := func(o *testOwner, f *Forward, v Verdict) {
		o.step(ForwardFailed{Request: f.Request, Verdict: v, Moved: f.Moved, Since: f.Since})
	}
	cases := []struct {
		name  string
		setup func(o *testOwner, request RequestID)
		want  Verdict
	}{
		{"the other owner times out before anything is sent", func(o *testOwner, _ RequestID) {
			o.advanceWithoutSummaries(remoteSummaryTTL + time.Second)
			o.commit()
		}, NotRun},
		{"the connection fails", func(o *testOwner, request RequestID) {
			o.commit()
			fail(o, o.forwarded(request), NotRun)
		}, NotRun},
		{"the response is lost", func(o *testOwner, request RequestID) {
			o.commit()
			fail(o, o.forwarded(request), MayHaveRun)
		}, MayHaveRun},
		{"another request for the job may have arrived", func(o *testOwner, request RequestID) {
			o.commit()
			f := o.forwarded(request)
			o.submit("j", 1)
			fail(o, f, NotRun)
		}, MayHaveRun},
		{"an earlier owner moved the job", func(o *testOwner, request RequestID) {
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
			tc.setup(o, request)
			var got *Reply
			for range 40 {
				// The other owner stays unknown from now on.
				o.peers.remoteOwners = nil
				o.advanceWithoutSummaries(time.Second)
				if got == nil {
					got = o.reply(request)
				}
			}
			if got == nil || got.Refusal == nil || got.Refusal.Reason != ReasonPeer || got.Refusal.Verdict != tc.want {
				t.Fatalf("reply %+v, want a refusal with %v", got, tc.want)
			}
		})
	}
}

// TestCancelBeforeMoveIsDurableEndsJob guards against an unknown outcome for a
// cancelled job that was never sent to the other data centre.
func TestCancelBeforeMoveIsDurableEndsJob(t *testing.T) {
	o := newMovingOwner(t)
	submit := o.move("j")
	cancel := o.cancel("j")
	o.commit()
	o.commit() // the final outcome
	for _, id := range []RequestID{submit, cancel} {
		if r := o.reply(id); r == nil || r.Status == nil || r.Status.State != JobCancelled || r.Status.Verdict != NotRun {
			t.Errorf("request %d: reply %+v, want a cancelled job with not_run", id, r)
		}
	}
}

// TestCompactionKeepsMoveRecord guards against a compaction that loses the target
// of a moved job.
func TestCompactionKeepsMoveRecord(t *testing.T) {
	o := newMovingOwner(t)
	o.move("j")
	o.commit()
	o.journal.copyQueue = []JobID{"j"}
	copies := o.nextCopies(maxGroupBytes)
	if len(copies) != 1 || copies[0].Kind != RecordMoved || copies[0].To != "away" || !copies[0].Copy {
		t.Fatalf("copies %+v, want the move record", copies)
	}
	o.jobs = newJobTable()
	o.replayRecord(&copies[0])
	if j := o.movedJob("j"); j == nil || j.movedTo != "away" {
		t.Errorf("restored job %+v, want one moved to away", j)
	}
}
