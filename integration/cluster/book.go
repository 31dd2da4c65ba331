package cluster

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/standin/worker"
	"banyanrun.example/banyanrun/wire"
)

// Job is a job as its caller knows it.
type Job struct {
	ID       string
	Kind     string
	Accepted bool
	// Status is the latest answer to an accepted job.
	Status wire.JobStatus
	// Refusals are the answers to submits that did not accept it.
	Refusals []wire.Error
	body     []byte
	note     string
}

// Outcome is what a caller saw of an interactive call.
type Outcome struct {
	ID       string
	Kind     string
	Answered bool
	Attempt  int
	Verdict  core.Verdict
	Reason   core.Reason
	// Mixed says what is wrong with an answer that is not whole or belongs to
	// another request.
	Mixed string
	Err   error
}

// Book keeps the callers' side of the accounts.
type Book struct {
	mu    sync.Mutex
	jobs  map[string]*Job
	order []string
	calls []Outcome
	// lossy is set when workers lost tasks, so that billed jobs may end
	// without an outcome of the worker.
	lossy bool
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{jobs: map[string]*Job{}} }

// WorkersFail says that workers lose tasks in this run, so that non-idempotent
// jobs may end as failed. Without it every accepted job must succeed.
func (b *Book) WorkersFail() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lossy = true
}

// Opened notes a job before its first submit.
func (b *Book) Opened(id, kind string, body []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.jobs[id] == nil {
		b.jobs[id] = &Job{ID: id, Kind: kind, body: body}
		b.order = append(b.order, id)
	}
}

// Answered notes a status.
func (b *Book) Answered(id string, s wire.JobStatus) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs[id].Accepted, b.jobs[id].Status = true, s
}

// Refused notes a refused submit.
func (b *Book) Refused(id string, e wire.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs[id].Refusals = append(b.jobs[id].Refusals, e)
}

// Note remembers an answer that decides nothing.
func (b *Book) Note(id, note string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs[id].note = note
}

// Called notes a call.
func (b *Book) Called(o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, o)
}

// Job returns a job.
func (b *Book) Job(id string) Job {
	b.mu.Lock()
	defer b.mu.Unlock()
	return *b.jobs[id]
}

// Latest describes the latest answers about a job.
func (b *Book) Latest(id string) string {
	j := b.Job(id)
	return fmt.Sprintf("accepted %v, state %v, refusals %v, note %q", j.Accepted, j.Status.State, j.Refusals, j.note)
}

// Unresolved returns the jobs whose outcome is to be found out. A job that was
// only refused as not run has its outcome.
func (b *Book) Unresolved() []Job {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Job
	for _, id := range b.order {
		j := b.jobs[id]
		if !j.Status.Finished && (j.Accepted || !j.surelyRefused()) {
			out = append(out, *j)
		}
	}
	return out
}

// surelyRefused reports whether the latest submit was refused as not run.
func (j *Job) surelyRefused() bool {
	n := len(j.Refusals)
	return n > 0 && j.Refusals[n-1].Verdict == core.NotRun
}

// Calls returns the outcomes of all calls.
func (b *Book) Calls() []Outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.calls)
}

// Check compares the callers' side with the workers' ledgers.
func (b *Book) Check(ledger standin.Ledger) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries := map[string][]worker.Entry{}
	for _, w := range ledger.Workers {
		for _, e := range w.Entries {
			entries[e.Job] = append(entries[e.Job], e)
		}
	}
	var out []string
	for _, id := range b.order {
		out = append(out, b.checkJob(b.jobs[id], entries[id])...)
	}
	for _, o := range b.calls {
		out = append(out, checkCall(o, entries[o.ID])...)
	}
	return append(out, checkSummary(ledger)...)
}

// checkSummary reports what no caller can see.
func checkSummary(ledger standin.Ledger) []string {
	var out []string
	for _, d := range ledger.Summary.Overlapping {
		if d.Entry == worker.EntryTask {
			out = append(out, fmt.Sprintf("doubled: task %d of job %s (%s) ran in two places at once: %s",
				d.Task, d.Job, d.Kind, starts(ledger, d.Job)))
		}
	}
	for _, w := range ledger.Workers {
		for _, e := range w.Entries {
			if e.OverAssigned {
				out = append(out, fmt.Sprintf("over-assigned: worker %s by %s %s", w.Worker, e.Entry, e.Job))
			}
		}
	}
	if n := ledger.Summary.StartsAfterLeaving; n > 0 {
		out = append(out, fmt.Sprintf("starts after leaving: %d", n))
	}
	return out
}

// starts describes the starts of a job.
func starts(ledger standin.Ledger, job string) string {
	var out []string
	for _, w := range ledger.Workers {
		for _, e := range w.Entries {
			if e.Job == job {
				out = append(out, describe(e))
			}
		}
	}
	return strings.Join(out, "; ")
}

func describe(e worker.Entry) string {
	return fmt.Sprintf("%s task %d attempt %d epoch %d from %d to %d µs %s",
		e.Worker, e.Task, e.Attempt, e.Epoch, e.StartUnixUS, e.EndUnixUS, e.Outcome)
}

// checkJob checks one job against its starts.
func (b *Book) checkJob(j *Job, entries []worker.Entry) []string {
	var out []string
	report := func(format string, args ...any) {
		out = append(out, fmt.Sprintf(format, args...)+fmt.Sprintf(" (job %s of kind %s)", j.ID, j.Kind))
	}
	if j.Kind == Billed && len(entries) > 1 {
		report("doubled: non-idempotent job was started %d times", len(entries))
	}
	if !j.Accepted {
		if j.surelyRefused() && len(entries) > 0 {
			report("false refusal: %s says not run, but it was started", j.Refusals[len(j.Refusals)-1].Reason)
		}
		return out
	}
	s := j.Status
	succeeded := map[int]bool{}
	for _, e := range entries {
		if e.Outcome == worker.OutcomeSucceeded {
			succeeded[e.Task] = true
		}
	}
	tasks := 1
	if j.Kind == Gang {
		tasks = GangSize
	}
	switch {
	case !s.Finished:
		report("lost: it has no outcome, only state %s", s.State)
	case s.Verdict == core.NotRun && len(entries) > 0:
		report("false refusal: state %s says not run, but it was started", s.State)
	case s.State == core.JobSucceeded && len(succeeded) < tasks:
		report("false success: %d of %d tasks succeeded in the ledger", len(succeeded), tasks)
	case s.State == core.JobSucceeded && tasks == 1 && string(s.Result) != "result of "+j.ID:
		report("mixed: result is %q", s.Result)
	case s.State != core.JobSucceeded && !(b.lossy && j.Kind == Billed):
		report("lost: it ended as %s: %+v", s.State, s.Error)
	}
	return out
}

// checkCall checks one call against its starts.
func checkCall(o Outcome, entries []worker.Entry) []string {
	var out []string
	if o.Mixed != "" {
		out = append(out, fmt.Sprintf("mixed: call %s: %s", o.ID, o.Mixed))
	}
	if o.Verdict == core.NotRun && len(entries) > 0 {
		out = append(out, fmt.Sprintf("false refusal: call %s got %v, but it was started", o.ID, o.Err))
	}
	if o.Answered && len(entries) == 0 {
		out = append(out, fmt.Sprintf("false success: call %s was answered, but no worker started it", o.ID))
	}
	if o.Kind == BilledLookup && len(entries) > 1 {
		out = append(out, fmt.Sprintf("doubled: non-idempotent call %s was started %d times", o.ID, len(entries)))
	}
	return out
}
