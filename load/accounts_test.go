package load

import (
	"testing"
	"time"

	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/standin/worker"
)

// An answer counted twice, or a time that starts when the request was sent and
// not when it was due, would make a slow host look well.
func TestAccountsCountEachArrivalOnceFromItsDueTime(t *testing.T) {
	a := NewAccounts()
	a.Step(Event{At: 9 * time.Second, Body: Due{Arrival{ID: "one", Team: "alpha", Kind: "batch", At: time.Second}}})
	a.Step(Event{At: 9 * time.Second, Body: Due{Arrival{ID: "two"}}})
	for range 2 {
		a.Step(Event{At: 11 * time.Second, Body: Answered{ID: "one", State: Completed}})
	}
	a.Step(Event{At: 11 * time.Second, Body: Answered{ID: "two", State: Unanswered}})
	line := a.Step(Event{At: 12 * time.Second, Body: Elapsed{}})[0].(Progress).Line
	if line.Due != 2 || line.Completed != 1 || line.Unanswered != 1 || line.InFlight != 0 {
		t.Errorf("line is %+v; want 2 due, 1 completed, 1 unanswered, none open", line)
	}
	if got := a.points["alpha/batch"][0].Took; got != 10*time.Second {
		t.Errorf("time is %s; want 10s from the due time", got)
	}
}

// A ledger with overlapping runs of one task must show as doubled, and a retry
// after the first run ended must not.
func TestReconcileCountsOverlappingRuns(t *testing.T) {
	entry := func(job string, from, to int64) worker.Entry {
		return worker.Entry{Job: job, StartUnixUS: from, EndUnixUS: to}
	}
	ledger := &standin.Ledger{Workers: []worker.Report{
		{Entries: []worker.Entry{entry("p-1", 10, 30), entry("p-2", 10, 20), entry("other", 10, 0)}},
		{Entries: []worker.Entry{entry("p-1", 20, 40), entry("p-2", 20, 40), entry("other", 20, 0)}},
	}}
	if _, doubled := NewAccounts().reconcile(ledger, "p-"); doubled != 1 {
		t.Errorf("%d doubled; want 1", doubled)
	}
}
