package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestPlannedStopEndsDespiteNewRequests guards against a planned stop that does not end
// while callers keep sending requests and the owner does not answer. The platform then
// kills the host while it serves requests. Found by seeds 409 and 512 of the soak test.
func TestPlannedStopEndsDespiteNewRequests(t *testing.T) {
	sim := newSimulation(t, 40, 2, 4)
	sim.run(2 * time.Second)
	var stopping *fakeHost
	for _, h := range sim.hosts {
		if h != sim.owner() {
			stopping = h
		}
	}
	sim.faults.dropForwardAnswers = true
	stopped := Time(0)
	began := sim.now
	for i := range 60 {
		sim.at(time.Duration(i)*100*msec, func() {
			if stopped == 0 {
				sim.post(stopping, stopping.incarnation, SubmitReceived{
					Token: Token(1_000_000 + i), Queue: "urgent", Job: JobID(fmt.Sprintf("%016x", i)),
					Spec: JobSpec{Steps: []Step{{Count: 1}}}, Deadline: sim.now.Add(callerTimeout),
				})
			}
		})
	}
	for range 120 {
		for _, f := range stopping.r.Step(Input{At: sim.now, Wall: sim.wall(), Event: StopRequested{}}) {
			sim.execute(stopping, stopping.incarnation, f)
		}
		for _, f := range stopping.r.Step(Input{At: sim.now, Wall: sim.wall(), Event: Tick{}}) {
			if _, ok := f.(Stopped); ok && stopped == 0 {
				stopped = sim.now
			}
			sim.execute(stopping, stopping.incarnation, f)
		}
		sim.run(50 * msec)
	}
	// The platform kills the process after 6 s. The remaining time is for requests in
	// progress.
	if stopped == 0 || stopped.Sub(began) > 3500*msec {
		t.Errorf("the stop completed %v after the request (0 s: never), want at most 3.5 s", max(0, stopped.Sub(began)))
	}
}
