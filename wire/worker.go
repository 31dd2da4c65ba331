// Package wire defines the JSON messages that processes exchange and converts
// them to and from the types of package core.
package wire

import (
	"time"

	"banyanrun.example/banyanrun/core"
)

// Paths of the worker protocol. Each takes a POST with a JSON body, except
// PathCall, whose body is the caller's and is passed through as is.
const (
	PathSync   = "/v1/sync"
	PathStart  = "/v1/start"
	PathSignal = "/v1/signal"
	PathCall   = "/v1/call"
)

// Headers of the worker protocol and of the callers' API.
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
	// HeaderMovedFrom names the data centre that moved a job to the receiving
	// one. That data centre sets it in every request about the job that it
	// forwards.
	HeaderMovedFrom = "Banyanrun-Moved-From"
	// HeaderForwardedFor holds, in JSON, the core.Identity on whose behalf an
	// entry host forwards a request.
	HeaderForwardedFor = "Banyanrun-Forwarded-For"
	// HeaderDigest holds the xxhash64 of the response body in hexadecimal.
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

// ToCore converts r to the type of package core.
func (r Resources) ToCore() core.Resources { return core.Resources(r) }

// FromResources converts r to its JSON form.
func FromResources(r core.Resources) Resources { return Resources(r) }

// TaskRef is the JSON form of core.TaskRef.
type TaskRef struct {
	Job     core.JobID `json:"job"`
	Task    int        `json:"task"`
	Attempt int        `json:"attempt"`
}

// ToCore converts t to the type of package core.
func (t TaskRef) ToCore() core.TaskRef { return core.TaskRef(t) }

// SyncRequest renews the leases of all the owner's tasks on a worker, fences off
// earlier epochs, and waits until the worker has changes after sequence Since.
type SyncRequest struct {
	Epoch   core.Epoch  `json:"epoch"`
	Owner   core.HostID `json:"owner"`
	Since   uint64      `json:"since"`
	LeaseMS int64       `json:"lease_ms"`
	WaitMS  int64       `json:"wait_ms"`
}

// SyncResponse reports the tasks of a worker. Full is set when Tasks lists all
// tasks in the worker's ledger and not only changes, because Since was 0 or
// too old.
type SyncResponse struct {
	Epoch           core.Epoch   `json:"epoch"`
	Incarnation     uint64       `json:"incarnation"`
	Sequence        uint64       `json:"sequence"`
	Full            bool         `json:"full"`
	Leaving         bool         `json:"leaving"`
	Tasks           []TaskReport `json:"tasks,omitempty"`
	CallsInProgress []CallCount  `json:"calls_in_progress,omitempty"`
}

// TaskReport is the state of one task attempt on a worker.
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

// CallCount is the number of interactive calls of one kind in progress.
type CallCount struct {
	Team  core.TeamName `json:"team"`
	Kind  core.KindName `json:"kind"`
	Count int           `json:"count"`
}

// StartRequest starts one attempt of a task. The worker refuses it if Epoch is
// below the highest epoch it has seen or if LatestStartUnixMS has passed. The
// request is idempotent: an attempt already in the worker's ledger is reported
// as started and not started again.
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

// SignalRequest sends a signal to one running task.
type SignalRequest struct {
	TaskRef
	Epoch  core.Epoch  `json:"epoch"`
	Signal core.Signal `json:"signal"`
}

// WorkerRefusal is the body of a worker's response with status 409, which means
// that the request had no effect. Reason is stale_epoch, start_deadline,
// no_capacity, draining or unknown_job.
type WorkerRefusal struct {
	Reason       core.Reason `json:"reason"`
	HighestEpoch core.Epoch  `json:"highest_epoch"`
	Message      string      `json:"message"`
}

// ToWorkerSynced converts the response of worker w to a sync sent with epoch.
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
