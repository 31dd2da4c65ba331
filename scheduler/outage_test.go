package scheduler

import (
	"testing"
	"time"
)

// Guards against callers who wait for seconds in an outage of the store that is
// known to last: after the time of a takeover they are refused at once, with a time
// to come back, and served again after the outage.
func TestCallersAreRefusedAtOnceInALongOutage(t *testing.T) {
	w := newSimulation(t, 10, 3, 8)
	w.run(2 * time.Second)
	down := w.now.Add(8 * time.Second)
	w.faults.storeDown = func(at Time) bool { return at < down }
	step := Step{Count: 1, Need: Resources{MilliCPU: 500, MemoryMB: 10}, Estimate: 100 * msec}
	ask := func(id JobID, f func(Answer)) {
		w.jobs[id] = &fakeJob{id: id, queue: "urgent", spec: JobSpec{Steps: []Step{step}}, acknowledgedDone: map[TaskID]bool{}, done: map[TaskID]bool{}}
		w.ask(func(t Token) Event {
			return SubmitReceived{Token: t, Queue: "urgent", Job: id, Spec: w.jobs[id].spec, Deadline: w.now.Add(callerTimeout)}
		}, f)
	}
	// The first callers find the outage out.
	for i := range 6 {
		w.at(time.Duration(i)*400*msec, func() { ask(JobID("first"+string(rune('a'+i))), func(Answer) {}) })
	}
	w.run(5 * time.Second)
	for i := range 6 {
		sent := w.now
		ask(JobID("later"+string(rune('a'+i))), func(a Answer) {
			if a.Status != StatusUnavailable || a.RetryAfter == 0 {
				t.Errorf("answer %v with retry after %v, want unavailable and a time to come back", a.Status, a.RetryAfter)
			}
			if waited := w.now.Sub(sent); waited > 300*msec {
				t.Errorf("the caller waited %v for its refusal", waited)
			}
		})
		w.run(100 * msec)
	}
	w.run(6 * time.Second)
	served := false
	ask("afterwards", func(a Answer) { served = a.Status == StatusOK })
	w.run(time.Second)
	if !served {
		t.Error("a caller after the outage is not served")
	}
}
