package core

import (
	"testing"
	"time"
)

// TestJobCrossesToKeepItsStartDeadline guards against a job that is refused for a
// long wait although another region could start it in time, and against one that
// crosses a paid link without need.
func TestJobMovesAcrossRegionsToMeetStartDeadline(t *testing.T) {
	const limit = 10 * time.Second
	cases := []struct {
		name   string
		allows bool
		region Region
		// there is the wait in the other data centre.
		there time.Duration
		// rate is that of starts here, with 3 jobs waiting.
		rate  float64
		moves bool
		pays  bool
	}{
		{"it crosses when it would start too late here and in time there", true, "far", time.Second, 0.1, true, true},
		{"it stays when its kind does not allow crossing", false, "far", time.Second, 0.1, false, false},
		{"it stays when it would start too late there as well", true, "far", time.Minute, 0.1, false, false},
		{"it stays when it starts in time here", true, "far", 0, 1, false, false},
		{"within the region it moves to the shorter wait, without a charge", false, "r", 0, 1, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newTestOwner(t)
			o.step(DocumentsRead{Versions: []DocumentVersion{{Revision: 2, Document: Document{
				Team: "red", Weight: 1, Kinds: []Kind{{
					Name: "billed", Urgency: Normal, GangSize: 1, Deadline: time.Minute, StartWithin: limit,
					MaxAttempts: 2, QueueLimit: 9, CrossRegion: c.allows,
				}},
			}}}})
			o.step(SummaryHeard{Summary{
				From: "x", Address: "x:1", DataCentre: "away", Region: c.region, Epoch: epochStep,
				Wait: [urgencies]time.Duration{Normal: c.there},
			}})
			kind := o.docs.kind("red", "billed")
			for _, id := range []JobID{"a", "b", "c"} {
				o.queues.push(o.newJob(JobSpec{ID: id, Team: "red", Kind: "billed"}, kind))
			}
			o.queues.byKey[queueKey{"red", "billed"}].starts = rateMeter{rate: c.rate, last: o.at}
			s := Submitted{Request: 7, Spec: JobSpec{
				ID: "j", Team: "red", Kind: "billed", Payload: []byte("four"), Origin: "home", Submitted: o.at,
			}}
			o.now, o.emitted = o.at, nil
			o.onSubmitted(s)
			j := o.jobs.get("j")
			if moved := j != nil && j.movedTo != ""; moved != c.moves {
				t.Errorf("moved: %v, want %v", moved, c.moves)
			}
			bytes := 0
			for _, f := range o.emitted {
				if n, ok := f.(Count); ok && n.Metric == MetricLinkBytes {
					bytes += n.Add
				}
			}
			if (bytes == 4) != c.pays || (bytes != 0) != c.pays {
				t.Errorf("%d bytes were charged, want a charge: %v", bytes, c.pays)
			}
		})
	}
}
