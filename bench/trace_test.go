package bench

import (
	"path/filepath"
	"testing"

	"banyanrun.example/banyanrun/core"
)

// Guards the guarantees of the scheduler on the committed traces: every job reaches
// an allowed final state, no two attempts of a task run at the same time, no worker
// is assigned more than its capacity, and a task that is not idempotent starts at
// most once.
func TestCommittedTracesEndInAllowedStates(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.json")
	if err != nil || len(paths) < 4 {
		t.Fatalf("%d traces, error %v; want two per deployment", len(paths), err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			trace, err := Load(path)
			if err != nil {
				t.Fatal(err)
			}
			c := runTrace(trace)
			if c.Stats.OverAssigned != 0 || c.Stats.Overlapping != 0 {
				t.Errorf("%d starts exceed the capacity of a worker, %d overlap another attempt; want none", c.Stats.OverAssigned, c.Stats.Overlapping)
			}
			for i := range trace.Jobs {
				if j := &trace.Jobs[i]; trace.kind(j).Urgency != core.Interactive {
					checkFinalStatus(t, c, j)
				}
			}
		})
	}
}

// checkFinalStatus compares the final status of a job with the outcomes that the
// trace allows.
func checkFinalStatus(t *testing.T, c *Cell, j *Job) {
	t.Helper()
	s := c.Stats.FinalStatus[j.ID]
	if s == nil {
		t.Errorf("job %s has no final status; refusal %v", j.ID, c.Stats.Refusals[j.ID])
		return
	}
	if !j.Allows(s.State) {
		t.Errorf("job %s (%s) ended as %s (%v); allowed %v", j.ID, j.Kind, s.State, s.Refusal, j.Outcomes)
	}
	attempts := c.Stats.Attempts[core.TaskRef{Job: j.ID}]
	if s.Verdict == core.NotRun && attempts > 0 {
		t.Errorf("job %s has verdict not_run but started %d times", j.ID, attempts)
	}
	k := c.trace.kind(j)
	if !k.Idempotent && attempts > 1 {
		t.Errorf("job %s is not idempotent but started %d times", j.ID, attempts)
	}
}

// Guards against runs of the same seed that differ, since results would then not be
// comparable with earlier ones.
func TestCellIsDeterministic(t *testing.T) {
	trace := dataCentreTrace(7)
	trace.HorizonMS = 5000
	a, b := runTrace(trace), runTrace(dataCentreTrace(7).withHorizon(5000))
	if a.Stats.Starts == 0 || a.Stats.Starts != b.Stats.Starts || a.store.writes != b.store.writes {
		t.Fatalf("%d and %d starts, %d and %d writes; want equal and above zero",
			a.Stats.Starts, b.Stats.Starts, a.store.writes, b.store.writes)
	}
}

// withHorizon sets the horizon of a trace.
func (t *Trace) withHorizon(horizonMS int64) *Trace {
	t.HorizonMS = horizonMS
	return t
}
