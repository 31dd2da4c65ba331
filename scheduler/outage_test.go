package scheduler

import (
	"testing"
	"time"
)

// TestLongOutageRefusesCallersImmediately guards against requests that wait for seconds
// during a long outage of the store. Once it has lasted longer than a takeover, requests
// are refused immediately with a retry delay, and served again after the outage.
func TestLongOutageRefusesCallersImmediately(t *testing.T) {
	sim := newSimulation(t, 10, 3, 8)
	sim.run(2 * time.Second)
	down := sim.now.Add(8 * time.Second)
	sim.faults.storeDown = func(at Time) bool { return at < down }
	step := Step{Count: 1, Need: Resources{MilliCPU: 500, MemoryMB: 10}, Estimate: 100 * msec}
	// Each host receives a share of the requests, since each learns of the outage itself.
	asked := 0
	ask := func(id JobID, f func(Answer)) {
		sim.jobs[id] = &fakeJob{id: id, queue: "urgent", spec: JobSpec{Steps: []Step{step}}, acknowledgedDone: map[TaskID]bool{}, done: map[TaskID]bool{}}
		asked++
		sim.askHost(sim.hosts[asked%len(sim.hosts)], func(t Token) Event {
			return SubmitReceived{Token: t, Queue: "urgent", Job: id, Spec: sim.jobs[id].spec, Deadline: sim.now.Add(callerTimeout)}
		}, f)
	}
	// The first requests establish that there is an outage.
	for i := range 6 {
		sim.at(time.Duration(i)*400*msec, func() { ask(JobID("first"+string(rune('a'+i))), func(Answer) {}) })
	}
	sim.run(5 * time.Second)
	for i := range 6 {
		sent := sim.now
		ask(JobID("later"+string(rune('a'+i))), func(a Answer) {
			if a.Status != StatusUnavailable || a.RetryAfter == 0 {
				t.Errorf("answer %v with retry after %v, want unavailable and a retry delay", a.Status, a.RetryAfter)
			}
			if waited := sim.now.Sub(sent); waited > 300*msec {
				t.Errorf("the request was refused after %v, want at most 300 ms", waited)
			}
		})
		sim.run(100 * msec)
	}
	sim.run(6 * time.Second)
	served := false
	ask("afterwards", func(a Answer) { served = a.Status == StatusOK })
	sim.run(time.Second)
	if !served {
		t.Error("a request after the outage was not served")
	}
}
