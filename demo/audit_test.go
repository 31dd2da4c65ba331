package demo

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/worker"
)

var (
	job  = Work{worker.EntryTask, "job-1", "team", "fit"}
	gang = Work{worker.EntryTask, "gang-1", "team", "gang"}
	call = Work{worker.EntryCall, "call-1", "team", "look"}
)

// ledgerEntry returns a ledger entry of w that ran between two times, in
// seconds.
func ledgerEntry(w Work, task, attempt int, outcome worker.Outcome, from, to int64) LedgerEntry {
	return LedgerEntry{worker.Entry{
		Worker: fmt.Sprintf("w-%d", attempt), Entry: w.Entry, Job: w.ID, Task: task, Attempt: attempt,
		Team: w.Team, Kind: w.Kind, Outcome: outcome, StartUnixUS: from * 1e6, EndUnixUS: to * 1e6,
	}}
}

// auditCase is a run and the expected summary line and exit code.
type auditCase struct {
	name   string
	events []EventBody
	want   string
	code   int
}

func auditCases() []auditCase {
	completed := Finished{Work: job, Outcome: Completed, Verdict: core.Ran}
	ran := ledgerEntry(job, 0, 1, worker.OutcomeSucceeded, 1, 2)
	return []auditCase{
		{"a job that completed once", []EventBody{Accepted{job}, completed, ran},
			"accepted=1 completed=1 refused_not_run=0 cancelled=0 failed=0 lost=0 doubled=0", 0},
		{"a job that completed and one that was refused before it was accepted", []EventBody{
			Accepted{job}, completed, ran, Finished{Work: gang, Outcome: Refused, Verdict: core.NotRun}},
			"accepted=1 completed=1 refused_not_run=1 cancelled=0 failed=0 lost=0 doubled=0", 0},
		{"a job without a final answer", []EventBody{Accepted{job}, ran},
			"accepted=1 completed=0 refused_not_run=0 cancelled=0 failed=0 lost=1 doubled=0", 1},
		{"a completed job that no worker ran", []EventBody{Accepted{job}, completed},
			"accepted=1 completed=0 refused_not_run=0 cancelled=0 failed=0 lost=1 doubled=0", 1},
		{"a refused job that ran", []EventBody{Finished{Work: job, Outcome: Refused, Verdict: core.NotRun}, ran},
			"accepted=0 completed=0 refused_not_run=0 cancelled=0 failed=0 lost=1 doubled=0", 1},
		{"a refusal of a job that may have run", []EventBody{Finished{Work: job, Outcome: Refused, Verdict: core.MayHaveRun}},
			"accepted=0 completed=0 refused_not_run=0 cancelled=0 failed=0 lost=1 doubled=0", 1},
		{"a cancelled job that keeps running", []EventBody{
			Accepted{job}, Finished{Work: job, Outcome: Cancelled, Verdict: core.Ran}, ledgerEntry(job, 0, 1, worker.OutcomeRunning, 1, 0)},
			"accepted=1 completed=0 refused_not_run=0 cancelled=0 failed=0 lost=1 doubled=0", 1},
		{"a gang with a member that no worker completed", []EventBody{
			Accepted{gang}, Finished{Work: gang, Outcome: Completed, Verdict: core.Ran}, ledgerEntry(gang, 0, 1, worker.OutcomeSucceeded, 1, 2)},
			"accepted=1 completed=0 refused_not_run=0 cancelled=0 failed=0 lost=1 doubled=0", 1},
		{"a whole gang, one member after a failure", []EventBody{
			Accepted{gang}, Finished{Work: gang, Outcome: Completed, Verdict: core.Ran}, ledgerEntry(gang, 0, 1, worker.OutcomeSucceeded, 1, 2),
			ledgerEntry(gang, 1, 1, worker.OutcomeFailed, 1, 2), ledgerEntry(gang, 1, 2, worker.OutcomeSucceeded, 2, 3)},
			"accepted=1 completed=1 refused_not_run=0 cancelled=0 failed=0 lost=0 doubled=0", 0},
		{"an idempotent task that ran twice at the same time", []EventBody{
			Accepted{job}, completed, ran, Accepted{gang}, Finished{Work: gang, Outcome: Failed, Verdict: core.Ran},
			ledgerEntry(gang, 0, 1, worker.OutcomeFailed, 1, 3), ledgerEntry(gang, 0, 2, worker.OutcomeFailed, 2, 4)},
			"accepted=2 completed=1 refused_not_run=0 cancelled=0 failed=1 lost=0 doubled=1", 1},
		{"a job that is not idempotent and was started again", []EventBody{
			Accepted{job}, completed, ledgerEntry(job, 0, 1, worker.OutcomeCheckpointed, 1, 2), ledgerEntry(job, 0, 2, worker.OutcomeSucceeded, 2, 3)},
			"accepted=1 completed=1 refused_not_run=0 cancelled=0 failed=0 lost=0 doubled=1", 1},
		{"a call without an answer", []EventBody{Accepted{job}, completed, ran, Accepted{call}},
			"accepted=2 completed=1 refused_not_run=0 cancelled=0 failed=0 lost=1 doubled=0", 1},
		{"a refused call", []EventBody{Accepted{job}, completed, ran, Accepted{call},
			Finished{Work: call, Outcome: Refused, Verdict: core.NotRun}},
			"accepted=1 completed=1 refused_not_run=1 cancelled=0 failed=0 lost=0 doubled=0", 0},
		{"a run without work", nil, "accepted=0 completed=0 refused_not_run=0 cancelled=0 failed=0 lost=0 doubled=0", 1},
	}
}

// Guards against an audit that reports work as complete although it was lost,
// ran twice, or ran after its caller got the answer that it had not run.
func TestAudit(t *testing.T) {
	for _, c := range auditCases() {
		t.Run(c.name, func(t *testing.T) {
			a := NewAudit()
			a.Step(Event{Body: KindDeclared{Team: "team", Kind: "fit", Tasks: 1}})
			a.Step(Event{Body: KindDeclared{Team: "team", Kind: "gang", Tasks: 2, Idempotent: true}})
			for i, body := range c.events {
				if out := a.Step(Event{At: core.Time(i) * core.Time(time.Second), Body: body}); out != nil {
					t.Fatalf("effects before the run has ended: %v", out)
				}
			}
			out := a.Step(Event{Body: RunEnded{}})
			summaries := 0
			for _, f := range out {
				if p, ok := f.(Print); ok && strings.HasPrefix(p.Line, "accepted=") {
					summaries++
					if p.Line != c.want {
						t.Errorf("summary is\n%s, want\n%s", p.Line, c.want)
					}
				}
			}
			if last, ok := out[len(out)-1].(Exit); !ok || last.Code != c.code || summaries != 1 {
				t.Errorf("ends with %+v after %d summaries; want exit code %d after one", out[len(out)-1], summaries, c.code)
			}
		})
	}
}
