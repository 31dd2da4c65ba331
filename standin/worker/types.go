// Package worker implements one worker of the stand-in as a reducer: its epoch
// check, its tasks with their leases, its interactive calls and its fault
// switches.
//
// Reducer.Step takes an Event with its time and returns Effects. The package
// performs no I/O and reads no clock. The worker accepts starts beyond its
// capacity and records them in its audit log.
package worker

import (
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// RequestID identifies an open request; the Answer to it carries the same id.
type RequestID uint64

// Program is the payload of a task or call and says what it does.
type Program struct {
	// RunMS is the run time at full speed.
	RunMS int64 `json:"run_ms"`
	Fail  bool  `json:"fail"`
	// Result is the task's result or the call's answer.
	Result string `json:"result"`
	// Usage is the measured usage; zero means that it equals the request.
	Usage wire.Resources `json:"use"`
	// Request is the allocation of a call; zero means one slot and one
	// connection. The request of a task is part of its start.
	Request wire.Resources `json:"request"`
	// PadBytes lengthens a call's answer.
	PadBytes int `json:"pad_bytes"`
}

// Event is one input of the reducer.
type Event struct {
	At   core.Time
	Body EventBody
}

// EventBody is implemented by the event types of this package.
type EventBody interface{ eventBody() }

// The event types.
type (
	// SyncReceived is a sync of an owner.
	SyncReceived struct {
		Request RequestID
		Sync    wire.SyncRequest
	}
	// StartReceived requests the start of a task.
	StartReceived struct {
		Request RequestID
		Start   wire.StartRequest
		Program Program
	}
	// SignalReceived requests a signal to a task.
	SignalReceived struct {
		Request RequestID
		Signal  wire.SignalRequest
	}
	// CallReceived is one attempt of an interactive call.
	CallReceived struct {
		Request   RequestID
		Epoch     core.Epoch
		RequestID string
		Attempt   int
		Team      core.TeamName
		Kind      core.KindName
		Program   Program
	}
	// RequestAbandoned says that the caller no longer waits for its answer.
	RequestAbandoned struct{ Request RequestID }
	// Tick applies the transitions that are due and ends the waits that are
	// over.
	Tick struct{}
	// FaultsSet replaces the fault switches.
	FaultsSet struct{ Faults Faults }
	// ListingChanged says whether the host list now shows the worker as
	// leaving.
	ListingChanged struct{ Leaving bool }
	// Killed ends the worker until Restarted.
	Killed struct{}
	// Restarted begins a new incarnation without the state of the earlier
	// ones. Its number must exceed every sequence number used so far.
	Restarted struct{ Incarnation uint64 }
	// ReportRequested requests the audit log of all incarnations.
	ReportRequested struct{ Request RequestID }
)

// Faults are the fault switches of one worker.
type Faults struct {
	// FailAll fails every task and call as soon as it starts.
	FailAll bool `json:"fail_all"`
	// Silent accepts requests but neither executes nor answers them.
	Silent bool `json:"silent"`
	// Mute executes requests but does not answer them.
	Mute bool `json:"mute"`
	// SlowFactor multiplies run times if it is greater than 1.
	SlowFactor float64 `json:"slow_factor"`
	// DelayMS delays every answer.
	DelayMS int64 `json:"delay_ms"`
	// TruncateNext truncates the next n answers to calls in the middle of
	// the body.
	TruncateNext int `json:"truncate_next"`
	// MisdirectNext gives the next n answers to calls a wrong request id.
	MisdirectNext int `json:"misdirect_next"`
}

// Effect is implemented by the effect types of this package.
type Effect interface{ effect() }

// The effect types.
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
	// WakeAt requests a Tick at a time. It replaces the WakeAt before it.
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

// EntryKind distinguishes tasks from calls.
type EntryKind string

// The kinds of audit log entry.
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
	// OutcomeLeaseExpired is a task that was stopped because its lease was
	// not renewed.
	OutcomeLeaseExpired Outcome = "lapsed"
	// OutcomeLost is a task or call that ended with the worker's
	// incarnation.
	OutcomeLost Outcome = "lost"
)

// Entry is one start in a worker's audit log.
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
	// Requested is the allocation that the start requested.
	Requested   wire.Resources `json:"requested"`
	StartUnixUS int64          `json:"start_unix_us"`
	// EndUnixUS is zero while the task or call runs.
	EndUnixUS int64   `json:"end_unix_us"`
	Outcome   Outcome `json:"outcome"`
	// LeavingMS is how long the host list had shown the worker as leaving
	// at the start, or -1 if it had not.
	LeavingMS int64 `json:"leaving_ms"`
	// OverAssigned is set if the allocations exceeded the worker's capacity
	// after the start, or after the end of throttling.
	OverAssigned bool `json:"over_assigned,omitempty"`
}

// Report is the state and the audit log of a worker over all its incarnations.
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
