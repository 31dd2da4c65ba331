package scheduler

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestSnapshotSurvivesLostLease guards against a truncated log whose snapshot is
// incomplete: an owner that reclaims the ownership while it writes a snapshot puts
// the group of the claim between the snapshot's groups.
func TestSnapshotSurvivesLostLease(t *testing.T) {
	sim := newSimulation(t, 5, 2, 2)
	sim.run(time.Second)
	h := sim.owner()
	c := h.r.cell
	// The snapshot takes more than three groups.
	const jobs = 400
	payload := strings.Repeat("x", 3*maxGroupBytes/jobs)
	for i := range jobs {
		j := c.addJob(JobID(fmt.Sprintf("%016x", i)), "batch", &JobSpec{Payload: payload, Steps: []Step{{Count: 1, Need: Resources{MilliCPU: 100 * fakeMilliCPU}}}}, sim.wall())
		c.record(Record{Job: j.id, Accepted: j.acceptedWall, Queue: "batch", Spec: j.spec}, false)
		j.durable = true
	}
	sim.run(time.Second)
	c.beginSnapshot()
	sim.post(h, h.incarnation, Tick{})
	sim.run(3 * time.Millisecond)
	// The store ends the lease while groups of the snapshot are still to be written.
	sim.store.leaseEnd = sim.now
	sim.run(5 * time.Second)
	for _, o := range sim.hosts {
		sim.killHost(o)
	}
	sim.run(5 * time.Second)
	sim.startHost(sim.hosts[1])
	sim.run(5 * time.Second)
	if got := len(sim.owner().r.cell.jobs); got != jobs {
		t.Errorf("the new owner knows %d jobs, want %d", got, jobs)
	}
}

// TestCallbacksWaitForTheirRecords guards against answers to callers for records that
// are not in the store yet because they belong to a later group.
func TestCallbacksWaitForTheirRecords(t *testing.T) {
	sim := newSimulation(t, 5, 1, 1)
	sim.run(time.Second)
	c := sim.owner().r.cell
	ran := 0
	large := &JobSpec{Payload: strings.Repeat("x", 4000)}
	for range 2 * maxGroupBytes / 4000 {
		c.record(Record{Job: "j", Spec: large}, true)
		c.whenDurable(func() { ran++ })
	}
	c.flush()
	written := len(c.log.inFlight.Records)
	c.groupDurable(1)
	if ran != written || len(c.log.pending) == 0 {
		t.Errorf("%d callbacks ran after the first group of %d records was written", ran, written)
	}
}

// TestGroupsFitTheStore guards against values above the store's limit of 1 MiB after
// base64 encoding.
func TestGroupsFitTheStore(t *testing.T) {
	const maxValueBytes = 1 << 20
	var records []Record
	for i := range 5000 {
		spec := &JobSpec{Payload: strings.Repeat("x", i%4000), Steps: make([]Step, 1+i%3)}
		for n := range spec.Steps {
			spec.Steps[n] = Step{Count: 99, Need: Resources{MilliCPU: 12345, MemoryMB: 12345}, Estimate: time.Second, After: []int{0}, Gang: true, Label: "label-1", Image: "image"}
		}
		queue := &Queue{Name: "a-queue-with-a-name", Service: "service", Advice: &AdvicePolicy{Base: time.Second}}
		rec := Record{Job: JobID(fmt.Sprintf("%016x", i)), Queue: "a-queue-with-a-name", Spec: spec, Policy: queue}
		for n := range i % 60 {
			rec.Starts = append(rec.Starts, StartRecord{1, 1, n, 123456, "i-0123456789"})
			rec.Ends = append(rec.Ends, EndRecord{1, 1, n, 123456, EndFailed, "0123456789abcdef"})
		}
		records = append(records, rec)
	}
	for len(records) > 0 {
		n, _ := groupLength(records, maxGroupBytes)
		value, err := json.Marshal(Group{Records: records[:n]})
		if err != nil {
			t.Fatal(err)
		}
		if encoded := base64.StdEncoding.EncodedLen(len(value)); encoded > maxValueBytes {
			t.Errorf("a group of %d records has %d bytes, want at most %d", n, encoded, maxValueBytes)
		}
		records = records[n:]
	}
}

// TestSlowStoreDoesNotDelayAcceptance guards against groups that are too small for a
// store with 50 times the usual latency. The records that a burst of jobs adds during
// one write have to fit into the next group.
func TestSlowStoreDoesNotDelayAcceptance(t *testing.T) {
	sim := newSimulation(t, 6, 12, 96)
	sim.run(2 * time.Second)
	sim.faults.storeDelay = 200 * msec
	slowest := int64(0)
	sim.onDecision = func(d Decision) {
		if d.Kind == "submit" && d.Outcome == "accepted" {
			slowest = max(slowest, d.Fields[0].Value)
		}
	}
	sim.submitLoad(5*time.Second, 900)
	sim.run(6 * time.Second)
	if slowest == 0 || slowest > 1000 {
		t.Errorf("the slowest acceptance took %d ms, want at most 1000", slowest)
	}
}

// TestMergedEndsPreserveRecordOrder guards against an end that is merged into a record
// before a start of the same job. A successor would then assume that the run is still
// active.
func TestMergedEndsPreserveRecordOrder(t *testing.T) {
	sim := newSimulation(t, 5, 1, 1)
	sim.run(time.Second)
	c := sim.owner().r.cell
	c.log.pending, c.log.pendingSize = nil, 0
	clear(c.log.lastOfJob)
	end := func(job JobID, run int64) {
		c.record(Record{Job: job, Ends: []EndRecord{{Run: run, Kind: EndFailed}}}, false)
	}
	end("a", 1)
	end("b", 1)
	end("a", 2)
	c.record(Record{Job: "a", Starts: []StartRecord{{Run: 3}}}, false)
	end("a", 3)
	end("b", 2)
	var got []string
	for _, r := range c.log.pending {
		got = append(got, fmt.Sprintf("%s:%d starts, %d ends", r.Job, len(r.Starts), len(r.Ends)))
	}
	want := []string{"a:0 starts, 2 ends", "b:0 starts, 2 ends", "a:1 starts, 0 ends", "a:0 starts, 1 ends"}
	if !slices.Equal(got, want) {
		t.Errorf("records %v, want %v", got, want)
	}
}

// TestSnapshotKeepsRunsWithCheckpoints guards against a second run of a task that is
// still active. A snapshot records a checkpoint as the end of a run, which a successor
// must not take for the end of the current run.
func TestSnapshotKeepsRunsWithCheckpoints(t *testing.T) {
	sim := newSimulation(t, 5, 1, 1)
	sim.run(time.Second)
	c := sim.owner().r.cell
	j := c.addJob("00000000000000aa", "batch", &JobSpec{Steps: []Step{{Count: 1, Checkpointing: true}}}, sim.wall())
	j.durable = true
	task := j.occurrences[0].stages[0].tasks[0]
	c.applyEnd(j, EndRecord{Run: 1, Kind: EndFailed, Checkpoint: "half"})
	c.createRun(task, c.workers["w00"], 2)
	restored := newCell(c.reducer)
	info := c.workers["w00"].info
	restored.applyRecords(append([]Record{{Worker: &info}}, j.records(nil)...))
	got := restored.findTask(task.id())
	if got.run == nil || got.run.number != 2 || got.checkpoint != "half" || got.failures != 1 {
		t.Errorf("restored task %+v", got)
	}
}
