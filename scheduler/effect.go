package scheduler

import "time"

// Effect is an action that the reducer requests. The caller of Step carries it out. An
// action with a result is the operation of a Call.
type Effect interface{ isEffect() }

type effect struct{}

func (effect) isEffect() {}

// Status is the outcome of a caller's request.
type Status uint8

// Outcomes of a request.
const (
	// StatusOK means that the request succeeded.
	StatusOK Status = iota
	// StatusRefused means that the job was rejected and never runs.
	StatusRefused
	// StatusUnavailable means that the request could not be served and had no
	// effect.
	StatusUnavailable
	// StatusUnknown means that the request may have taken effect.
	StatusUnknown
	// StatusGone means that no such job exists.
	StatusGone
	// StatusNoQueue means that no such queue exists.
	StatusNoQueue
	// StatusInvalid means that the job can never be accepted.
	StatusInvalid
)

var statusNames = [...]string{"ok", "refused", "unavailable", "unknown", "gone", "no_queue", "invalid"}

// String returns the status's name in logs and metrics.
func (s Status) String() string { return statusNames[s] }

// Reason says why a request was not served, or why a host is not ready.
type Reason string

// Reasons of answers and of readiness.
const (
	ReasonNone      Reason = ""
	ReasonNoConfig  Reason = "no_config"
	ReasonNoOwner   Reason = "no_owner"
	ReasonOwnerLost Reason = "ownership_lost"
	ReasonNoLease   Reason = "no_lease"
	ReasonDeadline  Reason = "deadline"
	ReasonStore     Reason = "store_unavailable"
	ReasonOverload  Reason = "overload"
	ReasonTooLate   Reason = "cannot_end_in_time"
	ReasonNeverFits Reason = "fits_no_worker"
	ReasonTooLarge  Reason = "too_large_for_store"
	// ReasonTooLargeForMemory means that a job never fits into the memory of a host,
	// ReasonMemory that it does not fit beside the jobs that are accepted now.
	ReasonTooLargeForMemory Reason = "too_large_for_memory"
	ReasonMemory            Reason = "memory"
	ReasonNoWorkers         Reason = "no_workers"
	ReasonQueueRemoved      Reason = "queue_removed"
	ReasonUnknownJob        Reason = "unknown_job"
	ReasonStopping          Reason = "stopping"
	ReasonForward           Reason = "owner_unreachable"
)

// Answer is the answer to a request of a caller or of another host.
type Answer struct {
	Status Status   `json:"status"`
	Reason Reason   `json:"reason,omitempty"`
	State  JobState `json:"state,omitempty"`
	// Pending is set in answers to PendingReceived.
	Pending int `json:"pending,omitempty"`
	// RetryAfter is the time after which a caller that was not served should try
	// again, or 0 if there is no advice.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// MaxPower is set in answers to HelloReceived: the CPU capacity of the largest
	// known host, in thousandths of a core.
	MaxPower int64 `json:"max_power,omitempty"`
	// MinMemory is set in answers to HelloReceived: the memory of the smallest known
	// host in bytes, or 0 if none has a limit.
	MinMemory int64 `json:"min_memory,omitempty"`
}

// Reply answers a caller's request.
type Reply struct {
	effect
	Token  Token
	Answer Answer
}

// Forward sends a caller's request to the owner.
type Forward struct {
	effect
	Token Token
	// Request is a SubmitReceived, StatusReceived, CancelReceived or
	// PendingReceived.
	Request Event
	Address string
	// Timeout bounds the call.
	Timeout time.Duration
}

// ReadLog reads the groups of the cell's log, starting at a sequence number.
type ReadLog struct {
	effect
	From int64
}

// ClaimOwnership obtains a lease and writes the owner record under it, together
// with the first group of the new owner. The write succeeds only if there is no
// owner record, or the one that Replaces names, and if the log ends with the group
// before Opening: that group has the revision Preceding, and the sequence number of
// Opening is unused.
//
// The unused sequence number alone does not show that the log is unchanged: an owner
// in between deletes its groups once a snapshot has replaced them. Groups are deleted
// in ascending order, so the preceding group is then gone too.
type ClaimOwnership struct {
	effect
	Record  OwnerRecord
	Opening Group
	// Preceding is the store's revision of the group before Opening, or 0 if there is
	// none.
	Preceding int64
	TTL       time.Duration
	// Replaces is the revision of the owner record of an earlier process of this
	// host, which is known to have ended, or 0 if there must be no record.
	Replaces int64
}

// RenewLease renews the owner's lease.
type RenewLease struct {
	effect
	Lease int64
	// Via is the address of the host that makes the call, or empty for this host.
	Via string
}

// EndLease revokes the owner's lease, which releases the ownership.
type EndLease struct {
	effect
	Lease int64
	// Via is the address of the host that makes the call, or empty for this host.
	Via string
}

// ReadOwner reads the owner record without waiting for the watch to report it. The
// result is an OwnerSeen.
type ReadOwner struct{ effect }

// WriteGroup appends a group to the log. The write succeeds only if the owner
// record has the given revision and the sequence number is unused.
type WriteGroup struct {
	effect
	Group         Group
	OwnerRevision int64
	// Via is the address of the host that makes the call, or empty for this host.
	Via string
}

// DeleteGroups removes a range of groups from the log, both ends included. It
// succeeds only if the owner record has the given revision.
type DeleteGroups struct {
	effect
	From, Through int64
	OwnerRevision int64
}

// Hold is a long poll of a worker: it extends the worker's lease and asks for its
// active and ended runs.
type Hold struct {
	effect
	Worker  WorkerID
	Address string
	Token   int64
	// Deadline is the new end of the lease on the worker's clock, or 0 to leave the
	// lease unchanged.
	Deadline int64
	// Acknowledged is the number of the last end that the worker may forget.
	Acknowledged int64
	// Wait is how long the worker may delay the answer until a run ends.
	Wait time.Duration
	// Via is the address of the host that makes the call, or empty for this host.
	Via string
}

// StartTask orders a worker to start a run.
type StartTask struct {
	effect
	Worker     WorkerID
	Address    string
	Task       TaskID
	Run        int64
	Payload    string
	Deadline   int64
	Token      int64
	Checkpoint string
	Ticket     string
	// Via is the address of the host that makes the call, or empty for this host.
	Via string
}

// StopTask orders a worker to stop a run, and to reject a start of it that arrives
// later.
type StopTask struct {
	effect
	Worker  WorkerID
	Address string
	Task    TaskID
	Run     int64
	Token   int64
	// Via is the address of the host that makes the call, or empty for this host.
	Via string
}

// PaceTask orders a worker to throttle a run to a share of its CPUs.
type PaceTask struct {
	effect
	Worker  WorkerID
	Address string
	Task    TaskID
	Run     int64
	// Percent is from 0 to 100. A run starts at 100.
	Percent int
	Token   int64
	// Via is the address of the host that makes the call, or empty for this host.
	Via string
}

// AskAdvice asks the advice service which workers may run a step.
type AskAdvice struct {
	effect
	// Host is the address of the host that makes the call, or empty for this host.
	Host    string
	Step    string
	Workers []WorkerID
	Timeout time.Duration
}

// Hello announces to the owner that this host is alive.
type Hello struct {
	effect
	Address string
}

// Wake requests a Woken event after a delay.
type Wake struct {
	effect
	After time.Duration
}

// Ready sets whether this host reports itself as ready to receive requests.
type Ready struct {
	effect
	Ready  bool
	Reason Reason
}

// Stopped reports that the shutdown is complete and the process may exit.
type Stopped struct{ effect }

// Decision is a log entry: a decision with its inputs and its outcome.
type Decision struct {
	effect
	// Kind is the kind of decision, Outcome its result.
	Kind, Outcome string
	Job           JobID
	Task          string
	Worker        WorkerID
	Queue         QueueName
	Reason        string
	Run           int64
	// Fields are numeric inputs, such as ages, counts and versions.
	Fields []Field
}

// Field is a named number in a decision.
type Field struct {
	Name  string
	Value int64
}
