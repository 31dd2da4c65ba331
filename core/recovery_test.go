package core

import (
	"fmt"
	"testing"
	"time"
)

// TestStartOnRestartedWorkerIsNotRepeated guards against starting a non-idempotent
// job twice. A worker that ran the job and then restarted reports an empty ledger
// to the new owner.
func TestStartOnRestartedWorkerIsNotRepeated(t *testing.T) {
	cases := []struct {
		name string
		// incarnation is the worker's incarnation when the new owner syncs it.
		incarnation uint64
		wantRestart bool
	}{
		{"a restarted worker may have run the job", 8, false},
		{"a worker that did not restart has not run the job", 7, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newTestOwner(t)
			o.fleet.update([]ListedWorker{{ID: "w", DataCentre: "home", Capacity: Resources{Slots: 8}}})
			o.restoreJob(JobSpec{ID: "j", Team: "red", Kind: "billed", Submitted: o.at})
			o.replayRecord(&Record{
				Kind: RecordAssigned, Job: "j", Task: TaskRef{Job: "j", Attempt: 1}, Worker: "w", Incarnation: 7,
			})
			o.now = o.at
			o.beginFencing()
			o.step(WorkerSynced{Worker: "w", Epoch: o.owner.epoch, Incarnation: c.incarnation, Sequence: 1, Full: true})
			j := o.jobs.get("j")
			if again := j.tasks[0].attempt > 1 || j.state == JobQueued; again != c.wantRestart {
				t.Errorf("job is %s with attempt %d; started again: %v, want %v", j.state, j.tasks[0].attempt, again, c.wantRestart)
			}
			if !c.wantRestart && (j.refusal == nil || j.refusal.Verdict != MayHaveRun) {
				t.Errorf("refusal is %v, want one with may_have_run", j.refusal)
			}
		})
	}
}

// TestCompactionKeepsAssignmentsOfEndedTasks guards against a second start of a task of a
// non-idempotent job whose other task still runs: the only record of its first start was
// in the groups that a compaction has deleted, and its worker restarts before a takeover.
func TestCompactionKeepsAssignmentsOfEndedTasks(t *testing.T) {
	const first, second = 7, 8 // incarnations of the worker
	newOwner := func(records []Record) *testOwner {
		o := newTestOwner(t)
		o.step(DocumentsRead{Versions: []DocumentVersion{{Revision: 2, Document: Document{
			Team: "red", Weight: 1, Kinds: []Kind{{Name: "pair", Urgency: Normal, GangSize: 2, Deadline: time.Minute, MaxAttempts: 2, QueueLimit: 3}},
		}}}})
		o.fleet.update([]ListedWorker{
			{ID: "w0", DataCentre: "home", Capacity: Resources{Slots: 8}}, {ID: "w1", DataCentre: "home", Capacity: Resources{Slots: 8}},
		})
		for i := range records {
			o.replayRecord(&records[i])
		}
		o.now = o.at
		o.beginFencing()
		return o
	}
	worker := func(task int) WorkerID { return WorkerID(fmt.Sprintf("w%d", task)) }
	assigned := func(task int) Record {
		return Record{Kind: RecordAssigned, Job: "j", Task: TaskRef{Job: "j", Task: task, Attempt: 1}, Worker: worker(task), Incarnation: first}
	}
	report := func(task int, state ReportedState) TaskReport {
		return TaskReport{Task: TaskRef{Job: "j", Task: task, Attempt: 1}, State: state}
	}
	before := newOwner([]Record{{Kind: RecordAccepted, Job: "j", Spec: &JobSpec{ID: "j", Team: "red", Kind: "pair", Submitted: 1e15}}, assigned(0), assigned(1)})
	before.step(WorkerSynced{Worker: "w0", Epoch: before.owner.epoch, Incarnation: first, Sequence: 1, Full: true, Tasks: []TaskReport{report(0, ReportedSucceeded)}})
	before.step(WorkerSynced{Worker: "w1", Epoch: before.owner.epoch, Incarnation: first, Sequence: 1, Full: true, Tasks: []TaskReport{report(1, ReportedRunning)}})
	j := before.jobs.get("j")
	if j.tasks[0].state != taskDone || j.tasks[1].state != taskRunning {
		t.Fatalf("tasks are %v and %v, want done and running", j.tasks[0].state, j.tasks[1].state)
	}
	after := newOwner(before.liveRecords(j))
	after.step(WorkerSynced{Worker: "w0", Epoch: after.owner.epoch, Incarnation: second, Sequence: 1, Full: true})
	after.step(WorkerSynced{Worker: "w1", Epoch: after.owner.epoch, Incarnation: first, Sequence: 1, Full: true, Tasks: []TaskReport{report(1, ReportedRunning)}})
	j = after.jobs.get("j")
	if again := j.tasks[0].attempt != 1; again || !j.state.Final() || j.refusal == nil || j.refusal.Verdict == NotRun {
		t.Errorf("the job is %v (%+v), task 0 has attempt %d; want one that ended and may have run, attempt 1", j.state, j.refusal, j.tasks[0].attempt)
	}
}
