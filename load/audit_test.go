package load

import (
	"testing"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/standin/worker"
)

// Guards against counting an answer twice, and against measuring latency from
// when the request was sent instead of when it was due, which hides a slow
// host.
func TestAuditCountsEachArrivalOnceFromItsDueTime(t *testing.T) {
	a := NewAudit()
	a.Step(Event{At: 9 * time.Second, Body: ArrivalDue{Arrival{ID: "one", Team: "alpha", Kind: "batch", At: time.Second}}})
	a.Step(Event{At: 9 * time.Second, Body: ArrivalDue{Arrival{ID: "two"}}})
	for range 2 {
		a.Step(Event{At: 11 * time.Second, Body: Answered{ID: "one", State: Completed}})
	}
	a.Step(Event{At: 11 * time.Second, Body: Answered{ID: "two", State: Unanswered}})
	line := a.Step(Event{At: 12 * time.Second, Body: Tick{}})[0].(Progress).Snapshot
	if line.Due != 2 || line.Completed != 1 || line.Unanswered != 1 || line.InFlight != 0 {
		t.Errorf("snapshot is %+v; want 2 due, 1 completed, 1 unanswered, none in flight", line)
	}
	if got := a.answers["alpha/batch"][0].Duration; got != 10*time.Second {
		t.Errorf("latency is %s; want 10s from the due time", got)
	}
}

// Guards against missing overlapping runs, a completed job that no worker
// finished and a refusal of work that was started, and against reporting a
// retry that started after the first run ended.
func TestReconcileFindsContradictionsInLedger(t *testing.T) {
	entry := func(job string, from, to int64, o worker.Outcome) worker.Entry {
		return worker.Entry{Job: job, StartUnixUS: from, EndUnixUS: to, Outcome: o}
	}
	const done, failed = worker.OutcomeSucceeded, worker.OutcomeFailed
	ledger := &standin.Ledger{Workers: []worker.Report{
		{Entries: []worker.Entry{
			entry("overlaps", 10e6, 30e6, done), entry("retried", 10e6, 20e6, failed),
			entry("of another run", 10e6, 0, ""), entry("refused", 9e6, 10e6, done), entry("unfinished", 9e6, 10e6, failed),
		}},
		{Entries: []worker.Entry{
			entry("overlaps", 20e6, 40e6, done), entry("retried", 20e6, 40e6, done), entry("of another run", 20e6, 0, ""),
		}},
	}}
	a := NewAudit()
	for id, o := range map[core.JobID]Outcome{
		"overlaps": Completed, "retried": Completed, "refused": NotRun, "unfinished": Completed, "no answer": Unanswered,
	} {
		a.Step(Event{Body: ArrivalDue{Arrival{ID: id, Team: "alpha", Kind: "batch", At: time.Second}}})
		a.Step(Event{Body: Accepted{id}})
		a.Step(Event{Body: Answered{ID: id, State: o}})
	}
	a.Step(Event{Body: LedgerRead{Ledger: ledger, Started: time.Unix(7, 0)}})
	if want := (Findings{Lost: 2, Overlapping: 1, FalseNotRun: 1}); *a.findings != want {
		t.Errorf("findings are %+v; want %+v", *a.findings, want)
	}
	waits := map[time.Duration]int{}
	for _, p := range a.waits["alpha/batch"] {
		waits[p.Duration]++
	}
	if waits[2*time.Second] != 2 || waits[time.Second] != 2 {
		t.Errorf("waits are %v; want two of 2s and two of 1s from the due time to the first start", waits)
	}
}
