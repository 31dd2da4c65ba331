// Package demo submits the example work of a deployment and checks what became
// of it.
//
// The checks are a reducer: Audit.Step takes the answers that callers received
// and the entries of the workers' ledger, and returns lines to print and the
// exit code. It does not rely on what the scheduler reports about itself.
package demo

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/worker"
)

// Work identifies a job or an interactive call.
type Work struct {
	Entry worker.EntryKind
	ID    string
	Team  core.TeamName
	Kind  core.KindName
}

// Outcome is the final outcome of work as its caller sees it.
type Outcome string

// The outcomes.
const (
	Completed Outcome = "completed"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
	Refused   Outcome = "refused"
	// Lost is the outcome of accepted work without a final answer, and of work
	// whose answer contradicts the ledger. Only the audit assigns it.
	Lost Outcome = "lost"
)

// Event is one input of the audit.
type Event struct {
	At   core.Time
	Body EventBody
}

// EventBody is one of the event types of this package.
type EventBody interface{ eventBody() }

// The events.
type (
	// KindDeclared describes a kind of a document that was applied.
	KindDeclared struct {
		Team       core.TeamName
		Kind       core.KindName
		Idempotent bool
		Tasks      int
	}
	// Accepted reports that a host accepted a job, or that a call was sent. A
	// call that is refused later does not count as accepted.
	Accepted struct{ Work Work }
	// Finished is the final answer to a caller.
	Finished struct {
		Work    Work
		Outcome Outcome
		Verdict core.Verdict
		Note    string
	}
	// LedgerEntry is one entry of the workers' ledger.
	LedgerEntry struct{ Entry worker.Entry }
	// RunEnded requests the results.
	RunEnded struct{}
	// Tick reports that time has passed. The audit has no timers and ignores
	// it.
	Tick struct{}
)

func (KindDeclared) eventBody() {}
func (Accepted) eventBody()     {}
func (Finished) eventBody()     {}
func (LedgerEntry) eventBody()  {}
func (RunEnded) eventBody()     {}
func (Tick) eventBody()         {}

// Effect is one of the effect types of this package.
type Effect interface{ effect() }

// The effects.
type (
	// Print prints a line.
	Print struct{ Line string }
	// Exit ends the program.
	Exit struct{ Code int }
)

func (Print) effect() {}
func (Exit) effect()  {}

// kindKey identifies a kind.
type kindKey struct {
	team core.TeamName
	kind core.KindName
}

// workRecord is what is known about one job or call.
type workRecord struct {
	work                  Work
	accepted              bool
	firstSeen, answeredAt core.Time
	answer                *Finished
	entries               []worker.Entry
}

// Audit is the reducer. It is not safe for concurrent use.
type Audit struct {
	kinds   map[kindKey]KindDeclared
	records map[Work]*workRecord
	order   []*workRecord
	ledger  []worker.Entry
}

// NewAudit returns an empty audit.
func NewAudit() *Audit {
	return &Audit{kinds: map[kindKey]KindDeclared{}, records: map[Work]*workRecord{}}
}

// Step applies one event.
func (a *Audit) Step(e Event) []Effect {
	switch b := e.Body.(type) {
	case KindDeclared:
		a.kinds[kindKey{b.Team, b.Kind}] = b
	case Accepted:
		a.record(b.Work, e.At).accepted = true
	case Finished:
		record := a.record(b.Work, e.At)
		record.answer, record.answeredAt = &b, e.At
	case LedgerEntry:
		a.ledger = append(a.ledger, b.Entry)
	case RunEnded:
		return a.summarize()
	}
	return nil
}

// record returns the record of w and creates it if there is none.
func (a *Audit) record(w Work, at core.Time) *workRecord {
	record := a.records[w]
	if record == nil {
		record = &workRecord{work: w, firstSeen: at}
		a.records[w] = record
		a.order = append(a.order, record)
	}
	return record
}

// summarize determines the outcome of all work and returns the lines to print,
// followed by the exit code.
func (a *Audit) summarize() []Effect {
	for _, e := range a.ledger {
		if record := a.records[Work{e.Entry, e.Job, e.Team, e.Kind}]; record != nil {
			record.entries = append(record.entries, e)
		}
	}
	var out []Effect
	counts := map[Outcome]int{}
	accepted := 0
	for _, record := range a.order {
		outcome, note := a.finalOutcome(record)
		counts[outcome]++
		if record.accepted && !(outcome == Refused && record.work.Entry == worker.EntryCall) {
			accepted++
		}
		out = append(out, Print{record.describe(outcome, note)})
	}
	out = append(out, a.runningReplicas()...)
	doubled, lines := a.duplicateRuns()
	out = append(out, lines...)
	out = append(out, Print{fmt.Sprintf(
		"accepted=%d completed=%d refused_not_run=%d cancelled=%d failed=%d lost=%d doubled=%d",
		accepted, counts[Completed], counts[Refused], counts[Cancelled], counts[Failed], counts[Lost], doubled)})
	code := 0
	if counts[Lost] > 0 || doubled > 0 || counts[Completed] == 0 {
		code = 1
	}
	return append(out, Exit{code})
}

// finalOutcome checks the caller's final answer against the ledger. It returns
// the outcome and a note.
func (a *Audit) finalOutcome(r *workRecord) (Outcome, string) {
	if r.answer == nil {
		return Lost, "no final answer"
	}
	f := r.answer
	running := slices.ContainsFunc(r.entries, func(e worker.Entry) bool { return e.Outcome == worker.OutcomeRunning })
	switch {
	case f.Verdict == core.NotRun && len(r.entries) > 0:
		return Lost, "answered not_run, but the ledger shows a start"
	case f.Outcome == Refused && f.Verdict != core.NotRun:
		return Lost, "refused, but it may have run: " + f.Note
	case f.Outcome == Completed && !a.allSucceeded(r):
		return Lost, "answered as completed, but the ledger does not show every task as succeeded"
	case running:
		return Lost, "answered as ended, but the ledger shows it running"
	}
	return f.Outcome, f.Note
}

// allSucceeded reports whether every task succeeded according to the ledger.
func (a *Audit) allSucceeded(r *workRecord) bool {
	done := map[int]bool{}
	for _, e := range r.entries {
		if e.Outcome == worker.OutcomeSucceeded {
			done[e.Task] = true
		}
	}
	return len(done) >= max(1, a.kinds[kindKey{r.work.Team, r.work.Kind}].Tasks)
}

// describe formats the line about one job or call.
func (r *workRecord) describe(outcome Outcome, note string) string {
	text := fmt.Sprintf("%-7s  %-38s  %-38s  %-9s  starts=%d", r.work.Entry, r.work.ID,
		string(r.work.Team)+"/"+string(r.work.Kind), outcome, len(r.entries))
	if r.answer != nil && r.accepted {
		text += fmt.Sprintf("  after %s", r.answeredAt.Sub(r.firstSeen).Round(time.Millisecond))
	}
	if note != "" {
		text += "  " + note
	}
	return text
}

// runningReplicas lists the service replicas that are running according to the
// ledger.
func (a *Audit) runningReplicas() []Effect {
	var out []Effect
	for _, e := range a.ledger {
		if strings.HasPrefix(e.Job, core.ServicePrefix) && e.Outcome == worker.OutcomeRunning {
			out = append(out, Print{fmt.Sprintf("%-7s  %-38s  running on %s", "replica", e.Job, e.Worker)})
		}
	}
	return out
}

// duplicateRuns lists work that ran twice at the same time, and work of kinds
// that are not idempotent that was started again. It also returns their number.
func (a *Audit) duplicateRuns() (int, []Effect) {
	s := worker.Summarize([]worker.Report{{Entries: a.ledger}})
	var lines []Effect
	for _, r := range s.Overlapping {
		lines = append(lines, Print{fmt.Sprintf("doubled: %s %s task %d ran twice at the same time", r.Entry, r.Job, r.Task)})
	}
	for _, r := range s.Repeated {
		declared, known := a.kinds[kindKey{r.Team, r.Kind}]
		if known && !declared.Idempotent && !slices.Contains(s.Overlapping, r) {
			lines = append(lines, Print{fmt.Sprintf("doubled: %s %s is not idempotent and was started %d times:%s",
				r.Entry, r.Job, r.Starts, a.describeStarts(r))})
		}
	}
	return len(lines), lines
}

// describeStarts lists the starts of one task or call.
func (a *Audit) describeStarts(r worker.RepeatedWork) string {
	text := ""
	for _, e := range a.ledger {
		if e.Entry == r.Entry && e.Job == r.Job && e.Task == r.Task {
			text += fmt.Sprintf(" attempt %d on %s %s after %d us;", e.Attempt, e.Worker, e.Outcome, e.EndUnixUS-e.StartUnixUS)
		}
	}
	return text
}
