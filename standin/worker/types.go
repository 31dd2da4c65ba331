// Package worker is the stand-in's reducer for one worker: its epoch check, its
// task leases and ledger, its interactive calls and its fault switches.
//
// Reducer.Step takes an Event with its time and returns Effects. The package
// performs no I/O and reads no clock. The worker does not guard its capacity; it
// records each start that exceeds it.
package worker

import (
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// RequestID names an open request; its Answer carries it back.
type RequestID uint64

// Program is what a task or call does. It is the content of its payload.
type Program struct {
	// RunMS is the run time at full speed.
	RunMS int64 `json:"run_ms"`
	Fail  bool  `json:"fail"`
	// Result is the task's result or the call's answer.
	Result string `json:"result"`
	// Use is the measured use; zero means that it equals the request.
	Usage wire.Resources `json:"use"`
	// Request is what a call takes; zero means one slot and one connection.
	// Tasks state it in their start.
	Request wire.Resources `json:"request"`
	// PadBytes lengthens a call's answer.
	PadBytes int `json:"pad_bytes"`
}

// Event is one input of the reducer.
type Event struct {
	At   core.Time
	Body EventBody
}

// EventBody is one of the event types of this package.
type EventBody interface{ eventBody() }

// The events.
type (
	// SyncAsked is an owner's sync.
	SyncReceived struct {
		Request RequestID
		Sync    wire.SyncRequest
	}
	// StartAsked starts a task.
	StartReceived struct {
		Request RequestID
		Start   wire.StartRequest
		Program Program
	}
	// SignalAsked acts on a task.
	SignalReceived struct {
		Request RequestID
		Signal  wire.SignalRequest
	}
	// CallAsked is one attempt of an interactive request.
	CallReceived struct {
		Request   RequestID
		Epoch     core.Epoch
		RequestID string
		Attempt   int
		Team      core.TeamName
		Kind      core.KindName
		Program   Program
	}
	// Abandoned says that a caller no longer waits.
	RequestAbandoned struct{ Request RequestID }
	// Elapsed says that time has passed.
	Tick struct{}
	// FaultsSet replaces the fault switches.
	FaultsSet struct{ Faults Faults }
	// Shown says how the platform's list now shows the worker.
	ListingChanged struct{ Leaving bool }
	// Killed ends the worker.
	Killed struct{}
	// Restarted begins a new incarnation, which knows nothing of earlier ones.
	// Its number is greater than all sequence numbers given out before.
	Restarted struct{ Incarnation uint64 }
	// ReportAsked asks for the account of all incarnations.
	ReportRequested struct{ Request RequestID }
)

// Faults are the switches of one worker.
type Faults struct {
	// FailAll fails every task and call as soon as it starts.
	FailAll bool `json:"fail_all"`
	// Silent accepts requests, does nothing and never answers.
	Silent bool `json:"silent"`
	// Mute carries requests out and never answers.
	Mute bool `json:"mute"`
	// SlowFactor multiplies run times, if it is greater than 1.
	SlowFactor float64 `json:"slow_factor"`
	// DelayMS holds every answer back.
	DelayMS int64 `json:"delay_ms"`
	// TruncateNext cuts this many answers of calls in the middle.
	TruncateNext int `json:"truncate_next"`
	// MisdirectNext gives this many answers of calls a wrong request id.
	MisdirectNext int `json:"misdirect_next"`
}

// Effect is one of the effect types of this package.
type Effect interface{ effect() }

// The effects.
type (
	// Answer answers a request.
	Answer struct {
		Request RequestID
		// Body is a wire.SyncResponse, wire.TaskReport, wire.WorkerRefusal,
		// CallResult or Report.
		Body     any
		Delay    time.Duration
		Truncate bool
	}
	// WakeAt asks for Elapsed at a time, instead of the time asked for before.
	WakeAt struct{ At core.Time }
)

// CallResult is the answer to a call that has run.
type CallResult struct {
	RequestID string
	Attempt   int
	Failed    bool
	Result    string
	PadBytes  int
}

// EntryKind tells tasks from calls.
type EntryKind string

// The kinds of entry.
const (
	EntryTask EntryKind = "task"
	EntryCall EntryKind = "call"
)

// Outcome says how a task or call ended.
type Outcome string

// The outcomes.
const (
	OutcomeRunning      Outcome = "running"
	OutcomeSucceeded    Outcome = "succeeded"
	OutcomeFailed       Outcome = "failed"
	OutcomeStopped      Outcome = "stopped"
	OutcomeCheckpointed Outcome = "checkpointed"
	// OutcomeLapsed was stopped because its lease was not renewed.
	OutcomeLeaseExpired Outcome = "lapsed"
	// OutcomeLost ended with its worker's incarnation.
	OutcomeLost Outcome = "lost"
)

// Entry is one start in the account of a worker.
type Entry struct {
	Worker      string        `json:"worker"`
	Incarnation uint64        `json:"incarnation"`
	Entry       EntryKind     `json:"entry"`
	Epoch       core.Epoch    `json:"epoch"`
	Job         string        `json:"job"` // the request id of a call
	Task        int           `json:"task"`
	Attempt     int           `json:"attempt"`
	Team        core.TeamName `json:"team"`
	Kind        core.KindName `json:"kind"`
	// Requested is what the start asked for.
	Requested   wire.Resources `json:"requested"`
	StartUnixUS int64          `json:"start_unix_us"`
	// EndUnixUS is zero while the entry runs.
	EndUnixUS int64   `json:"end_unix_us"`
	Outcome   Outcome `json:"outcome"`
	// LeavingMS is how long the platform's list had shown the worker as
	// leaving at the start, or -1.
	LeavingMS int64 `json:"leaving_ms"`
	// OverAssigned is set if the start, or the end of throttling, exceeded the
	// worker's capacity.
	OverAssigned bool `json:"over_assigned,omitempty"`
}

// Report is the account of a worker over all its incarnations.
type Report struct {
	Worker      string         `json:"worker"`
	Incarnation uint64         `json:"incarnation"`
	Epoch       core.Epoch     `json:"epoch"`
	Dead        bool           `json:"dead"`
	Faults      Faults         `json:"faults"`
	InUse       wire.Resources `json:"in_use"`
	Entries     []Entry        `json:"entries"`
	Refusals    map[string]int `json:"refusals"`
}

func (SyncReceived) eventBody()     {}
func (StartReceived) eventBody()    {}
func (SignalReceived) eventBody()   {}
func (CallReceived) eventBody()     {}
func (RequestAbandoned) eventBody() {}
func (Tick) eventBody()             {}
func (FaultsSet) eventBody()        {}
func (ListingChanged) eventBody()   {}
func (Killed) eventBody()           {}
func (Restarted) eventBody()        {}
func (ReportRequested) eventBody()  {}

func (Answer) effect() {}
func (WakeAt) effect() {}
