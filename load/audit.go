// Package load sends requests to entry hosts at predetermined times,
// independently of the responses (open loop), and records the outcome of each.
//
// The audit of the outcomes is a reducer that control.Loop runs. Goroutines
// that wait for responses post events to it.
package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin"
)

// Event is one input of the audit.
type Event struct {
	// At is the time since the start of the run.
	At   time.Duration
	Body any
}

// The events.
type (
	// ArrivalDue reports that the time of an arrival has come.
	ArrivalDue struct{ Arrival Arrival }
	// Accepted reports that a host has accepted a job, which is then durable.
	Accepted struct{ ID core.JobID }
	// Answered is the final answer to an arrival.
	Answered struct {
		ID     core.JobID
		State  Outcome
		Reason core.Reason
	}
	// Tick requests a progress report.
	Tick struct{}
	// LedgerRead carries the workers' ledger, read after the run.
	LedgerRead struct {
		Ledger *standin.Ledger
		// Started is the wall clock time of the start of the run.
		Started time.Time
	}
)

// Arrival is one job or interactive call of a run.
type Arrival struct {
	ID          core.JobID
	Team        core.TeamName
	Kind        core.KindName
	Interactive bool
	At          time.Duration
	RunMS       int64
	Fails       bool
	// CancelAt is when the caller cancels the job, or zero for never.
	CancelAt time.Duration
}

// kindLabel returns the team and kind as they appear in reports.
func (a Arrival) kindLabel() string { return string(a.Team) + "/" + string(a.Kind) }

// Outcome is the final outcome of an arrival as the caller sees it.
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
	// Progress carries the current counts to the progress display.
	Progress struct{ Snapshot Snapshot }
)

// Snapshot holds the counts and latencies of a run at one time. Report embeds
// it, so the names of its fields are JSON names.
type Snapshot struct {
	At                                          time.Duration
	Due, Accepted, Completed, Failed, Cancelled int
	NotRun, MayHaveRun, Unanswered, InFlight    int
	P50, P99                                    time.Duration
}

func (Progress) effect() {}

// Sample is a duration measured for one arrival and the time at which the
// arrival was due.
type Sample struct {
	Due      time.Duration
	Duration time.Duration
}

// Audit is the reducer that records the outcome of every arrival. It is not
// safe for concurrent use.
type Audit struct {
	arrivals  map[core.JobID]Arrival
	pending   map[core.JobID]bool
	accepted  map[core.JobID]bool
	outcomes  map[core.JobID]Outcome
	snapshot  Snapshot
	latencies *hdrhistogram.Histogram
	reasons   map[core.Reason]int
	// answers and waits hold samples by team and kind.
	answers, waits map[string][]Sample
	findings       *Findings
}

// maxLatency is the upper limit of the histogram.
const maxLatency = time.Hour

// NewAudit returns an empty audit.
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

// recordAnswer records a final answer. The latency counts from when the arrival
// was due and not from when it was sent, so that a tool or host that falls
// behind cannot hide the wait (coordinated omission).
func (a *Audit) recordAnswer(now time.Duration, b Answered) {
	if !a.pending[b.ID] {
		return // Only the first answer counts.
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
		// RecordValue fails only for values beyond the histogram's range.
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

// percentile returns a percentile of the latencies of completed arrivals.
func (a *Audit) percentile(p float64) time.Duration {
	return time.Duration(a.latencies.ValueAtPercentile(p)) * time.Microsecond
}
