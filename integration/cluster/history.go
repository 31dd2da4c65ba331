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

// Job is a job as its caller observed it.
type Job struct {
	ID       string
	Kind     string
	Accepted bool
	// Status is the latest status of an accepted job.
	Status wire.JobStatus
	// Refusals are the error responses to its submissions.
	Refusals      []wire.Error
	body          []byte
	otherResponse string
}

// CallOutcome is what a caller observed of an interactive call.
type CallOutcome struct {
	ID       string
	Kind     string
	Answered bool
	Attempt  int
	Verdict  core.Verdict
	Reason   core.Reason
	// InvalidResponse describes what is wrong with a response that is incomplete
	// or belongs to another request.
	InvalidResponse string
	Err             error
}

// History records what callers observed.
type History struct {
	mu    sync.Mutex
	jobs  map[string]*Job
	order []string
	calls []CallOutcome
	// taskLossAllowed is set if workers lose tasks in this run, so that billed
	// jobs may end without a result from the worker.
	taskLossAllowed bool
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{jobs: map[string]*Job{}} }

// AllowTaskLoss declares that workers lose tasks in this run, so that
// non-idempotent jobs may fail. Otherwise every accepted job must succeed.
func (h *History) AllowTaskLoss() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.taskLossAllowed = true
}

// RecordJob records a job before its first submission.
func (h *History) RecordJob(id, kind string, body []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.jobs[id] == nil {
		h.jobs[id] = &Job{ID: id, Kind: kind, body: body}
		h.order = append(h.order, id)
	}
}

// RecordStatus records the status of an accepted job.
func (h *History) RecordStatus(id string, s wire.JobStatus) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[id].Accepted, h.jobs[id].Status = true, s
}

// RecordRefusal records the error response to a submission.
func (h *History) RecordRefusal(id string, e wire.Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[id].Refusals = append(h.jobs[id].Refusals, e)
}

// RecordOtherResponse records a response that does not contain the job's status.
func (h *History) RecordOtherResponse(id, note string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[id].otherResponse = note
}

// RecordCall records the outcome of a call.
func (h *History) RecordCall(o CallOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, o)
}

// Job returns a copy of a recorded job.
func (h *History) Job(id string) Job {
	h.mu.Lock()
	defer h.mu.Unlock()
	return *h.jobs[id]
}

// DescribeJob describes the latest responses about a job.
func (h *History) DescribeJob(id string) string {
	j := h.Job(id)
	return fmt.Sprintf("accepted %v, state %v, refusals %v, other response %q", j.Accepted, j.Status.State, j.Refusals, j.otherResponse)
}

// UnresolvedJobs returns the jobs whose outcome is not known yet. The outcome of
// a job whose latest submission was refused as not run is known.
func (h *History) UnresolvedJobs() []Job {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Job
	for _, id := range h.order {
		j := h.jobs[id]
		if !j.Status.Finished && (j.Accepted || !j.refusedNotRun()) {
			out = append(out, *j)
		}
	}
	return out
}

// refusedNotRun reports whether the latest refusal says that the job was not run.
func (j *Job) refusedNotRun() bool {
	n := len(j.Refusals)
	return n > 0 && j.Refusals[n-1].Verdict == core.NotRun
}

// Calls returns the outcomes of all calls.
func (h *History) Calls() []CallOutcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.calls)
}

// Check compares the history with the workers' ledgers and returns a description
// of each violation.
func (h *History) Check(ledger standin.Ledger) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	entries := map[string][]worker.Entry{}
	for _, w := range ledger.Workers {
		for _, e := range w.Entries {
			entries[e.Job] = append(entries[e.Job], e)
		}
	}
	var out []string
	for _, id := range h.order {
		out = append(out, h.checkJob(h.jobs[id], entries[id])...)
	}
	for _, o := range h.calls {
		out = append(out, checkCall(o, entries[o.ID])...)
	}
	return append(out, checkLedger(ledger)...)
}

// checkLedger reports violations that callers cannot observe.
func checkLedger(ledger standin.Ledger) []string {
	var out []string
	for _, d := range ledger.Summary.Overlapping {
		if d.Entry == worker.EntryTask {
			out = append(out, fmt.Sprintf("duplicate run: task %d of job %s (%s) ran twice at the same time: %s",
				d.Task, d.Job, d.Kind, describeStarts(ledger, d.Job)))
		}
	}
	for _, w := range ledger.Workers {
		for _, e := range w.Entries {
			if e.OverAssigned {
				out = append(out, fmt.Sprintf("over-assigned: worker %s exceeded its capacity with %s %s", w.Worker, e.Entry, e.Job))
			}
		}
	}
	if n := ledger.Summary.StartsAfterLeaving; n > 0 {
		out = append(out, fmt.Sprintf("starts at workers that were leaving: %d", n))
	}
	return out
}

// describeStarts describes the starts of a job.
func describeStarts(ledger standin.Ledger, job string) string {
	var out []string
	for _, w := range ledger.Workers {
		for _, e := range w.Entries {
			if e.Job == job {
				out = append(out, describeEntry(e))
			}
		}
	}
	return strings.Join(out, "; ")
}

func describeEntry(e worker.Entry) string {
	return fmt.Sprintf("%s task %d attempt %d epoch %d from %d to %d µs %s",
		e.Worker, e.Task, e.Attempt, e.Epoch, e.StartUnixUS, e.EndUnixUS, e.Outcome)
}

// checkJob checks a job against its entries in the ledgers.
func (h *History) checkJob(j *Job, entries []worker.Entry) []string {
	var out []string
	report := func(format string, args ...any) {
		out = append(out, fmt.Sprintf(format, args...)+fmt.Sprintf(" (job %s of kind %s)", j.ID, j.Kind))
	}
	if j.Kind == KindBilled && len(entries) > 1 {
		report("duplicate run: non-idempotent job was started %d times", len(entries))
	}
	if !j.Accepted {
		if j.refusedNotRun() && len(entries) > 0 {
			report("false refusal: reason %s says that it was not run, but it was started", j.Refusals[len(j.Refusals)-1].Reason)
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
	if j.Kind == KindGang {
		tasks = GangSize
	}
	switch {
	case !s.Finished:
		report("lost: it has no outcome and is in state %s", s.State)
	case s.Verdict == core.NotRun && len(entries) > 0:
		report("false refusal: state %s says that it was not run, but it was started", s.State)
	case s.State == core.JobSucceeded && len(succeeded) < tasks:
		report("false success: only %d of %d tasks succeeded in the ledger", len(succeeded), tasks)
	case s.State == core.JobSucceeded && tasks == 1 && string(s.Result) != "result of "+j.ID:
		report("invalid response: result %q belongs to another job", s.Result)
	case s.State != core.JobSucceeded && !(h.taskLossAllowed && j.Kind == KindBilled):
		report("lost: it ended as %s: %+v", s.State, s.Error)
	}
	return out
}

// checkCall checks a call against its entries in the ledgers.
func checkCall(o CallOutcome, entries []worker.Entry) []string {
	var out []string
	if o.InvalidResponse != "" {
		out = append(out, fmt.Sprintf("invalid response: call %s: %s", o.ID, o.InvalidResponse))
	}
	if o.Verdict == core.NotRun && len(entries) > 0 {
		out = append(out, fmt.Sprintf("false refusal: call %s got %v, but it was started", o.ID, o.Err))
	}
	if o.Answered && len(entries) == 0 {
		out = append(out, fmt.Sprintf("false success: call %s was answered, but no worker started it", o.ID))
	}
	if o.Kind == KindBilledLookup && len(entries) > 1 {
		out = append(out, fmt.Sprintf("duplicate run: non-idempotent call %s was started %d times", o.ID, len(entries)))
	}
	return out
}
