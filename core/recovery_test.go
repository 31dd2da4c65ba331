package core

import "testing"

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
