// Package load makes requests of entry hosts at the times of a trace, whatever
// the answers, and accounts for each.
//
// The accounts are a reducer run by control.Loop. Goroutines that wait for
// answers post events to it.
package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin"
)

// Event is one input of the accounts.
type Event struct {
	// At is the time since the start of the run.
	At   time.Duration
	Body any
}

// The events.
type (
	// Due says that the time of an arrival has come.
	Due struct{ Arrival Arrival }
	// Accepted says that a job is durable.
	Accepted struct{ ID core.JobID }
	// Answered is the final answer about an arrival.
	Answered struct {
		ID     core.JobID
		State  Outcome
		Reason core.Reason
	}
	// Elapsed asks for a line of progress.
	Elapsed struct{}
	// LedgerRead is the account of all workers after the run.
	LedgerRead struct {
		Ledger *standin.Ledger
		// Began is the wall clock at the start of the run.
		Began time.Time
	}
)

// Arrival is one job or call of a run.
type Arrival struct {
	ID          core.JobID
	Team        core.TeamName
	Kind        core.KindName
	Interactive bool
	At          time.Duration
	RunMS       int64
	Fails       bool
	// CancelAt is when the caller cancels, or zero.
	CancelAt time.Duration
}

// name is the team and kind in reports.
func (a Arrival) name() string { return string(a.Team) + "/" + string(a.Kind) }

// Outcome is what the caller knows at the end.
type Outcome string

// The outcomes.
const (
	Completed  Outcome = "completed"
	Failed     Outcome = "failed"
	Cancelled  Outcome = "cancelled"
	NotRun     Outcome = "not_run"
	MayHaveRun Outcome = "may_have_run"
	Unanswered Outcome = "unanswered"
)

// Effect is one of the effect types of this package.
type Effect interface{ effect() }

// The effects.
type (
	// Progress is a line of progress.
	Progress struct{ Line Line }
)

// Line is the state of a run.
type Line struct {
	At                                          time.Duration
	Due, Accepted, Completed, Failed, Cancelled int
	NotRun, MayHaveRun, Unanswered, InFlight    int
	P50, P99                                    time.Duration
}

func (Progress) effect() {}

// Point is a time that one arrival took, by its due time.
type Point struct {
	Due  time.Duration
	Took time.Duration
}

// Accounts is the reducer. It is not safe for concurrent use.
type Accounts struct {
	due      map[core.JobID]Arrival
	open     map[core.JobID]bool
	accepted map[core.JobID]bool
	outcomes map[core.JobID]Outcome
	line     Line
	took     *hdrhistogram.Histogram
	reasons  map[core.Reason]int
	// answers and waits are by team and kind.
	answers, waits map[string][]Point
	findings       *Findings
}

// longest is the greatest time that the histogram tells apart.
const longest = time.Hour

// NewAccounts returns empty accounts.
func NewAccounts() *Accounts {
	const digits = 3
	return &Accounts{
		due: map[core.JobID]Arrival{}, open: map[core.JobID]bool{}, accepted: map[core.JobID]bool{},
		outcomes: map[core.JobID]Outcome{}, reasons: map[core.Reason]int{},
		answers: map[string][]Point{}, waits: map[string][]Point{},
		took: hdrhistogram.New(1, longest.Microseconds(), digits),
	}
}

// Step applies one event.
func (a *Accounts) Step(e Event) []Effect {
	switch b := e.Body.(type) {
	case Due:
		a.line.Due++
		a.due[b.Arrival.ID], a.open[b.Arrival.ID] = b.Arrival, true
	case Accepted:
		a.line.Accepted++
		a.accepted[b.ID] = true
	case Answered:
		a.answered(e.At, b)
	case Elapsed:
		a.line.At, a.line.InFlight = e.At, len(a.open)
		a.line.P50, a.line.P99 = a.percentile(50), a.percentile(99)
		return []Effect{Progress{a.line}}
	case LedgerRead:
		a.reconcile(b.Ledger, b.Began)
	}
	return nil
}

// answered accounts for a final answer. The time counts from when the arrival was
// due and not from when it was sent, so that a tool or host that falls behind
// cannot hide the wait (coordinated omission).
func (a *Accounts) answered(now time.Duration, b Answered) {
	if !a.open[b.ID] {
		return // A second answer would count twice.
	}
	arrival := a.due[b.ID]
	delete(a.open, b.ID)
	a.outcomes[b.ID] = b.State
	if b.Reason != "" {
		a.reasons[b.Reason]++
	}
	switch b.State {
	case Completed:
		a.line.Completed++
		took := now - arrival.At
		// The value is within the histogram's range.
		_ = a.took.RecordValue(min(max(1, took.Microseconds()), longest.Microseconds()))
		a.answers[arrival.name()] = append(a.answers[arrival.name()], Point{arrival.At, took})
	case Failed:
		a.line.Failed++
	case Cancelled:
		a.line.Cancelled++
	case NotRun:
		a.line.NotRun++
	case MayHaveRun:
		a.line.MayHaveRun++
	default:
		a.line.Unanswered++
	}
}

// percentile returns a percentile of the completed arrivals' times.
func (a *Accounts) percentile(p float64) time.Duration {
	return time.Duration(a.took.ValueAtPercentile(p)) * time.Microsecond
}
