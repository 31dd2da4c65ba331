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
	w := newSimulation(t, 40, 2, 4)
	w.run(2 * time.Second)
	var stopping *fakeHost
	for _, h := range w.hosts {
		if h != w.owner() {
			stopping = h
		}
	}
	w.faults.dropForwardAnswers = true
	stopped := Time(0)
	began := w.now
	for i := range 60 {
		w.at(time.Duration(i)*100*msec, func() {
			if stopped == 0 {
				w.post(stopping, stopping.incarnation, SubmitReceived{
					Token: Token(1_000_000 + i), Queue: "urgent", Job: JobID(fmt.Sprintf("%016x", i)),
					Spec: JobSpec{Steps: []Step{{Count: 1}}}, Deadline: w.now.Add(callerTimeout),
				})
			}
		})
	}
	for range 120 {
		for _, f := range stopping.r.Step(Input{At: w.now, Wall: w.wall(), Event: StopRequested{}}) {
			w.execute(stopping, stopping.incarnation, f)
		}
		for _, f := range stopping.r.Step(Input{At: w.now, Wall: w.wall(), Event: Tick{}}) {
			if _, ok := f.(Stopped); ok && stopped == 0 {
				stopped = w.now
			}
			w.execute(stopping, stopping.incarnation, f)
		}
		w.run(50 * msec)
	}
	// The platform kills the process after 6 s. The remaining time is for requests in
	// progress.
	if stopped == 0 || stopped.Sub(began) > 3500*msec {
		t.Errorf("the stop completed %v after the request (0 s: never), want at most 3.5 s", max(0, stopped.Sub(began)))
	}
}
