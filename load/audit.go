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
	ArrivalDue struct{ Arrival Arrival }
	// Accepted says that a job is durable.
	Accepted struct{ ID core.JobID }
	// Answered is the final answer about an arrival.
	Answered struct {
		ID     core.JobID
		State  Outcome
		Reason core.Reason
	}
	// Elapsed asks for a line of progress.
	Tick struct{}
	// LedgerRead is the account of all workers after the run.
	LedgerRead struct {
		Ledger *standin.Ledger
		// Began is the wall clock at the start of the run.
		Started time.Time
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
func (a Arrival) kindLabel() string { return string(a.Team) + "/" + string(a.Kind) }

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
	Progress struct{ Snapshot Snapshot }
)

// Line is the state of a run.
type Snapshot struct {
	At                                          time.Duration
	Due, Accepted, Completed, Failed, Cancelled int
	NotRun, MayHaveRun, Unanswered, InFlight    int
	P50, P99                                    time.Duration
}

func (Progress) effect() {}

// Point is a time that one arrival took, by its due time.
type Sample struct {
	Due      time.Duration
	Duration time.Duration
}

// Accounts is the reducer. It is not safe for concurrent use.
type Audit struct {
	arrivals  map[core.JobID]Arrival
	pending   map[core.JobID]bool
	accepted  map[core.JobID]bool
	outcomes  map[core.JobID]Outcome
	snapshot  Snapshot
	latencies *hdrhistogram.Histogram
	reasons   map[core.Reason]int
	// answers and waits are by team and kind.
	answers, waits map[string][]Sample
	findings       *Findings
}

// longest is the greatest time that the histogram tells apart.
const maxLatency = time.Hour

// NewAccounts returns empty accounts.
func NewAudit() *Audit {
	const significantDigits = 3
	return &Audit{
		arrivals: map[core.JobID]Arrival{}, pending: map[core.JobID]bool{}, accepted: map[core.JobID]bool{},
		outcomes: map[core.JobID]Outcome{}, reasons: map[core.Reason]int{},
		answers: map[string][]Sample{}, waits: map[string][]Sample{},
		latencies: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
	}
}

// Step applies one event.
func (a *Audit) Step(e Event) []Effect {
	switch b := e.Body.(type) {
	case ArrivalDue:
		a.snapshot.Due++
		a.arrivals[b.Arrival.ID], a.pending[b.Arrival.ID] = b.Arrival, true
	case Accepted:
		a.snapshot.Accepted++
		a.accepted[b.ID] = true
	case Answered:
		a.recordAnswer(e.At, b)
	case Tick:
		a.snapshot.At, a.snapshot.InFlight = e.At, len(a.pending)
		a.snapshot.P50, a.snapshot.P99 = a.percentile(50), a.percentile(99)
		return []Effect{Progress{a.snapshot}}
	case LedgerRead:
		a.reconcile(b.Ledger, b.Started)
	}
	return nil
}

// answered accounts for a final answer. The time counts from when the arrival was
// due and not from when it was sent, so that a tool or host that falls behind
// cannot hide the wait (coordinated omission).
func (a *Audit) recordAnswer(now time.Duration, b Answered) {
	if !a.pending[b.ID] {
		return // A second answer would count twice.
	}
	arrival := a.arrivals[b.ID]
	delete(a.pending, b.ID)
	a.outcomes[b.ID] = b.State
	if b.Reason != "" {
		a.reasons[b.Reason]++
	}
	switch b.State {
	case Completed:
		a.snapshot.Completed++
		latency := now - arrival.At
		// The value is within the histogram's range.
		_ = a.latencies.RecordValue(min(max(1, latency.Microseconds()), maxLatency.Microseconds()))
		a.answers[arrival.kindLabel()] = append(a.answers[arrival.kindLabel()], Sample{arrival.At, latency})
	case Failed:
		a.snapshot.Failed++
	case Cancelled:
		a.snapshot.Cancelled++
	case NotRun:
		a.snapshot.NotRun++
	case MayHaveRun:
		a.snapshot.MayHaveRun++
	default:
		a.snapshot.Unanswered++
	}
}

// percentile returns a percentile of the completed arrivals' times.
func (a *Audit) percentile(p float64) time.Duration {
	return time.Duration(a.latencies.ValueAtPercentile(p)) * time.Microsecond
}
