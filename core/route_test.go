package core

import (
	"testing"
	"time"
)

// TestJobMovesAcrossRegionsToMeetStartDeadline guards against refusing a job that
// another region could start in time, and against using a metered link without
// need.
func TestJobMovesAcrossRegionsToMeetStartDeadline(t *testing.T) {
	const limit = 10 * time.Second
	cases := []struct {
		name        string
		crossRegion bool
		region      Region
		// remoteWait is the wait in the other data centre.
		remoteWait time.Duration
		// startRate is the rate of starts here, where 3 jobs are waiting.
		startRate  float64
		wantMove   bool
		wantCharge bool
	}{
		{"a job that would start too late here but in time there is moved", true, "far", time.Second, 0.1, true, true},
		{"a job whose kind does not allow another region stays", false, "far", time.Second, 0.1, false, false},
		{"a job that would start too late there as well stays", true, "far", time.Minute, 0.1, false, false},
		{"a job that starts in time here stays", true, "far", 0, 1, false, false},
		{"within the region a job moves to the shorter wait without a charge", false, "r", 0, 1, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newTestOwner(t)
			o.step(DocumentsRead{Versions: []DocumentVersion{{Revision: 2, Document: Document{
				Team: "red", Weight: 1, Kinds: []Kind{{
					Name: "billed", Urgency: Normal, GangSize: 1, Deadline: time.Minute, StartWithin: limit,
					MaxAttempts: 2, QueueLimit: 9, CrossRegion: c.crossRegion,
				}},
			}}}})
			o.step(SummaryHeard{Summary{
				From: "x", Address: "x:1", DataCentre: "away", Region: c.region, Epoch: epochStep,
				Wait: [urgencies]time.Duration{Normal: c.remoteWait},
			}})
			kind := o.docs.kind("red", "billed")
			for _, id := range []JobID{"a", "b", "c"} {
				o.queues.push(o.newJob(JobSpec{ID: id, Team: "red", Kind: "billed"}, kind))
			}
			o.queues.byKey[queueKey{"red", "billed"}].startRate = rateMeter{rate: c.startRate, updatedAt: o.at}
			s := Submitted{Request: 7, Spec: JobSpec{
				ID: "j", Team: "red", Kind: "billed", Payload: []byte("four"), Origin: "home", Submitted: o.at,
			}}
			o.now, o.emitted = o.at, nil
			o.onSubmitted(s)
			j := o.jobs.get("j")
			if moved := j != nil && j.movedTo != ""; moved != c.wantMove {
				t.Errorf("moved: %v, want %v", moved, c.wantMove)
			}
			bytes := 0
			for _, f := range o.emitted {
				if n, ok := f.(Count); ok && n.Metric == MetricLinkBytes {
					bytes += n.Add
				}
			}
			if (bytes == 4) != c.wantCharge || (bytes != 0) != c.wantCharge {
				t.Errorf("%d link bytes were counted, want any: %v", bytes, c.wantCharge)
			}
		})
	}
}
