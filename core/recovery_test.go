package core

import "testing"

// TestRestoredStartOnARestartedWorkerIsNotRepeated guards against a second start of
// a job that is not idempotent: its worker ran it and restarted, and the ledger that
// a new owner reads there is empty.
func TestStartOnRestartedWorkerIsNotRepeated(t *testing.T) {
	cases := []struct {
		name string
		// now is the worker's incarnation when the new owner asks.
		now    uint64
		queued bool
	}{
		{"a worker that has restarted may have run it", 8, false},
		{"a worker that has not restarted has surely not run it", 7, true},
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
			o.step(WorkerSynced{Worker: "w", Epoch: o.owner.epoch, Incarnation: c.now, Sequence: 1, Full: true})
			j := o.jobs.get("j")
			if again := j.tasks[0].attempt > 1 || j.state == JobQueued; again != c.queued {
				t.Errorf("job is %s with attempt %d; started again: %v, want %v", j.state, j.tasks[0].attempt, again, c.queued)
			}
			if !c.queued && (j.refusal == nil || j.refusal.Verdict != MayHaveRun) {
				t.Errorf("refusal is %v, want one with may_have_run", j.refusal)
			}
		})
	}
}
