// Package wire holds the JSON forms of the messages between processes and their
// conversion to and from the types of package core.
package wire

import (
	"time"

	"banyanrun.example/banyanrun/core"
)

// Paths of the worker protocol. Each is a POST with a JSON body, except
// PathCall, whose body belongs to the caller.
const (
	PathSync   = "/v1/sync"
	PathStart  = "/v1/start"
	PathSignal = "/v1/signal"
	PathCall   = "/v1/call"
)

// Headers of the worker's and the callers' protocol.
const (
	HeaderEpoch     = "Banyanrun-Epoch"
	HeaderRequestID = "Banyanrun-Request-Id"
	HeaderAttempt   = "Banyanrun-Attempt"
	HeaderTeam      = "Banyanrun-Team"
	HeaderKind      = "Banyanrun-Kind"
	HeaderVerdict   = "Banyanrun-Verdict"
	HeaderReason    = "Banyanrun-Reason"
	HeaderWorker    = "Banyanrun-Worker"
	HeaderForwarded = "Banyanrun-Forwarded"
	// HeaderMovedFrom names the data centre that has moved a job to this one. It
	// stands in every request about the job that this data centre passes on.
	HeaderMovedFrom = "Banyanrun-Moved-From"
	// HeaderForwardedFor is the JSON form of the core.Identity whose request
	// an entry host forwards.
	HeaderForwardedFor = "Banyanrun-Forwarded-For"
	// HeaderDigest is the xxhash64 of the whole answer body, in hexadecimal.
	HeaderDigest = "Banyanrun-Digest"
)

// Resources is the JSON form of core.Resources.
type Resources struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
	Slots        int64 `json:"slots"`
	Connections  int64 `json:"connections"`
}

// Core converts r.
func (r Resources) ToCore() core.Resources { return core.Resources(r) }

// FromResources converts to the JSON form.
func FromResources(r core.Resources) Resources { return Resources(r) }

// TaskRef is the JSON form of core.TaskRef.
type TaskRef struct {
	Job     core.JobID `json:"job"`
	Task    int        `json:"task"`
	Attempt int        `json:"attempt"`
}

// Core converts t.
func (t TaskRef) ToCore() core.TaskRef { return core.TaskRef(t) }

// SyncRequest renews the leases of all tasks of an owner on a worker, fences
// older epochs, and waits until something has changed after Since.
type SyncRequest struct {
	Epoch   core.Epoch  `json:"epoch"`
	Owner   core.HostID `json:"owner"`
	Since   uint64      `json:"since"`
	LeaseMS int64       `json:"lease_ms"`
	WaitMS  int64       `json:"wait_ms"`
}

// SyncResponse reports a worker's tasks. Full is set when Tasks is the whole
// ledger, which is the case when Since was 0 or too old.
type SyncResponse struct {
	Epoch           core.Epoch   `json:"epoch"`
	Incarnation     uint64       `json:"incarnation"`
	Sequence        uint64       `json:"sequence"`
	Full            bool         `json:"full"`
	Leaving         bool         `json:"leaving"`
	Tasks           []TaskReport `json:"tasks,omitempty"`
	CallsInProgress []CallCount  `json:"calls_in_progress,omitempty"`
}

// TaskReport is the state of one attempt of one task at a worker.
type TaskReport struct {
	TaskRef
	State      core.ReportedState `json:"state"`
	Requested  Resources          `json:"requested"`
	Used       Resources          `json:"used"`
	RunTimeMS  int64              `json:"run_time_ms"`
	Checkpoint string             `json:"checkpoint,omitempty"`
	Result     []byte             `json:"result,omitempty"`
	Throttled  bool               `json:"throttled,omitempty"`
}

// CallCount counts interactive calls in progress by kind.
type CallCount struct {
	Team  core.TeamName `json:"team"`
	Kind  core.KindName `json:"kind"`
	Count int           `json:"count"`
}

// StartRequest starts one attempt of one task. The worker refuses it when Epoch
// is below the highest it has seen or LatestStartUnixMS has passed. An attempt
// that is already in its ledger is answered as started and not started again.
type StartRequest struct {
	TaskRef
	Epoch             core.Epoch    `json:"epoch"`
	Team              core.TeamName `json:"team"`
	Kind              core.KindName `json:"kind"`
	Request           Resources     `json:"request"`
	LeaseMS           int64         `json:"lease_ms"`
	LatestStartUnixMS int64         `json:"latest_start_unix_ms"`
	Checkpoint        string        `json:"checkpoint,omitempty"`
	Payload           []byte        `json:"payload,omitempty"`
}

// SignalRequest acts on one running task.
type SignalRequest struct {
	TaskRef
	Epoch  core.Epoch  `json:"epoch"`
	Signal core.Signal `json:"signal"`
}

// WorkerRefusal is the body of a worker's answer with status 409: the request
// took no effect. Reason is stale_epoch, start_deadline, no_capacity, draining,
// or unknown_job.
type WorkerRefusal struct {
	Reason       core.Reason `json:"reason"`
	HighestEpoch core.Epoch  `json:"highest_epoch"`
	Message      string      `json:"message"`
}

// Synced converts a worker's answer to a sync that was sent with an epoch.
func ToWorkerSynced(w core.WorkerID, epoch core.Epoch, r *SyncResponse) core.WorkerSynced {
	out := core.WorkerSynced{
		Worker: w, Epoch: epoch, Incarnation: r.Incarnation, Sequence: r.Sequence,
		Full: r.Full, Leaving: r.Leaving,
	}
	for _, t := range r.Tasks {
		out.Tasks = append(out.Tasks, core.TaskReport{
			Task: t.ToCore(), State: t.State, Requested: t.Requested.ToCore(), Used: t.Used.ToCore(),
			RunTime: time.Duration(t.RunTimeMS) * time.Millisecond, Checkpoint: t.Checkpoint,
			Result: t.Result, Throttled: t.Throttled,
		})
	}
	for _, c := range r.CallsInProgress {
		out.CallsInProgress = append(out.CallsInProgress, core.CallCount(c))
	}
	return out
}
