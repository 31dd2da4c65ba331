package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestSnapshotSurvivesLostLease guards against a log that is cut although the
// claim of a regained ownership lies between the parts of its snapshot.
func TestSnapshotSurvivesLostLease(t *testing.T) {
	w := newWorld(t, 5, 2, 2)
	w.run(time.Second)
	h := w.owner()
	c := h.r.cell
	for i := range 3 * maxGroupRecords {
		j := c.addJob(JobID(fmt.Sprintf("%016x", i)), "batch", &JobSpec{Steps: []Step{{Count: 1, Need: Resources{MilliCPU: 100 * fakeCPU}}}}, w.wall())
		c.record(Record{Job: j.id, Accepted: j.accepted, Queue: "batch", Spec: j.spec}, false)
		j.durable = true
	}
	w.run(time.Second)
	c.beginSnapshot()
	w.post(h, h.life, Tick{})
	w.run(3 * time.Millisecond)
	// The store ends the lease while parts are still to be written.
	w.store.leaseEnd = w.now
	w.run(5 * time.Second)
	for _, o := range w.hosts {
		w.kill(o)
	}
	w.run(5 * time.Second)
	w.startHost(w.hosts[1])
	w.run(5 * time.Second)
	if got := len(w.owner().r.cell.jobs); got != 3*maxGroupRecords {
		t.Errorf("the new owner knows %d jobs, want %d", got, 3*maxGroupRecords)
	}
}

// TestNotesWaitForTheirRecords guards against callers that are told of records
// which are in a later group than the one that was written.
func TestNotesWaitForTheirRecords(t *testing.T) {
	w := newWorld(t, 5, 1, 1)
	w.run(time.Second)
	c := w.owner().r.cell
	ran := 0
	for range maxGroupRecords + 1 {
		c.record(Record{Job: "j"}, true)
		c.whenDurable(func() { ran++ })
	}
	c.flush()
	c.groupDurable()
	if ran != maxGroupRecords {
		t.Errorf("%d notes ran after a group of %d records", ran, maxGroupRecords)
	}
}

// TestSnapshotKeepsRunsWithCheckpoints guards against a successor that starts a
// task again although a run of it goes on, because its checkpoint is recorded as
// the end of a run.
func TestSnapshotKeepsRunsWithCheckpoints(t *testing.T) {
	w := newWorld(t, 5, 1, 1)
	w.run(time.Second)
	c := w.owner().r.cell
	j := c.addJob("00000000000000aa", "batch", &JobSpec{Steps: []Step{{Count: 1, Checkpointing: true}}}, w.wall())
	j.durable = true
	task := j.occurrences[0].stages[0].tasks[0]
	c.applyEnd(j, EndRecord{Run: 1, Kind: EndFailed, Checkpoint: "half"})
	c.attach(task, c.workers["w00"], 2)
	restored := newCell(c.r)
	info := c.workers["w00"].info
	restored.applyRecords(append([]Record{{Worker: &info}}, j.records(nil)...))
	got := restored.find(task.id())
	if got.run == nil || got.run.number != 2 || got.checkpoint != "half" || got.failures != 1 {
		t.Errorf("restored task %+v", got)
	}
}
