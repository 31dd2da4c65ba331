package scheduler

import (
	"time"

	"banyanrun.example/banyanrun/core"
)

// Time is a reading of the host's monotonic clock, which also advances while the
// host is suspended.
type Time = core.Time

// Input is an event together with the time at which it occurred.
type Input struct {
	// At is the monotonic time of the host.
	At Time
	// Wall is the wall-clock time in milliseconds since the Unix epoch.
	Wall  int64
	Event Event
}

// Event is an input of the reducer: a request, an observation or the result of a call.
type Event interface{ isEvent() }

type event struct{}

func (event) isEvent() {}

// Token identifies a caller's request until it is answered by a Reply.
type Token uint64

// Tick triggers all work that depends on time. The host sends it periodically.
type Tick struct{ event }

// Woken reports that the time of a Wake has elapsed.
type Woken struct{ event }

// ConfigChanged delivers the newest configuration from the store.
type ConfigChanged struct {
	event
	Config *Config
}

// WorkerInfo is a worker's entry in the store.
type WorkerInfo struct {
	ID      WorkerID `json:"id"`
	Address string   `json:"addr"`
	// Born is the start time of the worker process, in milliseconds since the Unix
	// epoch. It identifies the incarnation: a worker that restarts under the same
	// ID has lost its state.
	Born     int64     `json:"born,omitempty"`
	Service  string    `json:"svc"`
	Zone     string    `json:"zone"`
	Draining bool      `json:"-"`
	Capacity Resources `json:"cap"`
	Labels   []string  `json:"labels,omitempty"`
	Rack     string    `json:"rack,omitempty"`
}

// WorkersListed delivers the complete list of workers from the store.
type WorkersListed struct {
	event
	Workers []WorkerInfo
}

// WorkerChanged reports a new or changed entry in the list of workers.
type WorkerChanged struct {
	event
	Worker WorkerInfo
}

// WorkerRemoved reports that an entry was removed from the list of workers.
type WorkerRemoved struct {
	event
	ID WorkerID
}

// OwnerRecord is the store's record of the host that owns the cell.
type OwnerRecord struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	// Generation increases with each owner of the cell. It is the fencing token
	// of the owner's orders.
	Generation int64 `json:"generation"`
}

// OwnerSeen reports the current owner record, or that there is none.
type OwnerSeen struct {
	event
	Present  bool
	Record   OwnerRecord
	Revision int64
}

// LogRead is the result of ReadLog.
type LogRead struct {
	result
	Groups []Group
	// First is the sequence number of the first group in the store, which may come
	// before Groups.
	First int64
	// LastRevision is the store's revision of the last group, or 0 if the log is
	// empty.
	LastRevision int64
	Err          error
}

// Outcome says what is known about the effect of a write to the store.
type Outcome uint8

// Outcomes of a write.
const (
	// Done means that the write was applied.
	Done Outcome = iota
	// Conflict means that a precondition of the write failed.
	Conflict
	// NotDone means that this write was not applied and never will be. It can be
	// repeated.
	NotDone
	// InDoubt means that the write may have been applied or may be applied later.
	InDoubt
	// Rejected means that the write was not applied and that the store will reject it
	// again if it is repeated, for example because a value is too large.
	Rejected
)

// ClaimAnswered is the result of ClaimOwnership.
type ClaimAnswered struct {
	result
	Outcome Outcome
	Lease   int64
	// Sent is when the call that granted the lease was sent. The lease counts from
	// then.
	Sent Time
	// TTL is the lease's time to live.
	TTL time.Duration
	// Revision is the store's revision of both the owner record and the opening
	// group.
	Revision int64
	// OwnerExists and LogChanged say which precondition failed: there is an owner
	// record, or the log no longer ends with the group that the claimant knows.
	OwnerExists, LogChanged bool
}

// LeaseRenewed is the result of RenewLease.
type LeaseRenewed struct {
	result
	Lease   int64
	Sent    Time
	Outcome Outcome
	// Ended means that the store has expired or revoked the lease.
	Ended bool
	// Via is the address of the host that made the call, or empty for this host.
	Via string
}

// GroupWritten is the result of WriteGroup.
type GroupWritten struct {
	result
	Sequence int64
	Outcome  Outcome
	// Revision is the store's revision of the group if it is in the store.
	Revision int64
	// Lost means that the owner record no longer belongs to this host.
	Lost bool
	// Taken means that a different group has the sequence number.
	Taken bool
	// Ours means that this group already has the sequence number, so an earlier
	// attempt to write it succeeded.
	Ours bool
	// Via is the address of the host that made the call, or empty for this host.
	Via string
}

// GroupsDeleted is the result of DeleteGroups.
type GroupsDeleted struct {
	result
	Through int64
	Outcome Outcome
}

// HelloReceived is another host's announcement that it is alive.
type HelloReceived struct {
	event
	Host, Address, Zone string
	Power               int64
	// MemoryBytes is the memory beyond which the process is killed, or 0 for no limit.
	MemoryBytes int64
	Token       Token
}

// HelloAnswered is the owner's answer to Hello.
type HelloAnswered struct {
	event
	// MaxPower is the CPU capacity of the largest known host, in thousandths of a
	// core.
	MaxPower int64
	// MinMemory is the memory of the smallest known host in bytes, or 0 if none has a
	// limit.
	MinMemory int64
}

// SubmitReceived is a caller's request to run a job.
type SubmitReceived struct {
	event
	Token Token
	Queue QueueName
	// ConfigVersion is the configuration version in which the receiving host found
	// the queue.
	ConfigVersion int64
	Job           JobID
	Spec          JobSpec
	// Deadline is when the caller stops waiting for an answer.
	Deadline Time
	// Forwarded means that another host received the request and passed it on.
	Forwarded bool
}

// StatusReceived is a caller's request for the state of a job.
type StatusReceived struct {
	event
	Token     Token
	Job       JobID
	Deadline  Time
	Forwarded bool
}

// CancelReceived is a caller's request to cancel a job.
type CancelReceived struct {
	event
	Token     Token
	Job       JobID
	Deadline  Time
	Forwarded bool
}

// PendingReceived is a caller's request for the number of jobs of a queue that
// have not started.
type PendingReceived struct {
	event
	Token     Token
	Queue     QueueName
	Deadline  Time
	Forwarded bool
}

// ForwardAnswered is the owner's answer to a forwarded request.
type ForwardAnswered struct {
	event
	Token  Token
	Answer Answer
	// Failed means that no answer arrived. Written is false only if no byte of the
	// request can have reached the owner.
	Failed, Written bool
}

// ActiveRun is a run that a worker reports as active.
type ActiveRun struct {
	Task       TaskID
	Run        int64
	Checkpoint string
	// Percent is the progress of a task, or the CPU share at which a long-running
	// task currently runs.
	Percent int
	// Usage is the tail latency in milliseconds for a task that serves users, and
	// the CPU usage for any other task.
	Usage int64
}

// EndKind is the way in which a run ended.
type EndKind uint8

// Kinds of ends of a run.
const (
	EndDone EndKind = iota
	// EndFailed means that the task or its worker failed.
	EndFailed
	EndStopped
	// EndLeaseExpired means that the worker's lease expired.
	EndLeaseExpired
	// EndGangBroken means that another member of the gang ended first.
	EndGangBroken
	// EndGangTimeout means that the other members of the gang did not start in time.
	EndGangTimeout
	// EndLost means that no worker reported the end, because the run's worker is
	// gone or no longer knows the run.
	EndLost
)

var endNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}

// String returns the end's name in logs and metrics.
func (k EndKind) String() string { return endNames[k] }

// RunEnd is an ended run that a worker reports.
type RunEnd struct {
	// Number is the position of the end among those of the worker's incarnation.
	Number     int64
	Task       TaskID
	Run        int64
	Kind       EndKind
	Checkpoint string
}

// HoldAnswered is the result of Hold.
type HoldAnswered struct {
	result
	Worker WorkerID
	// Failed means that there is no usable answer. OtherLife means that the address
	// now belongs to another worker.
	Failed, OtherLife bool
	// Fenced means that the worker has seen a higher fencing token.
	Fenced bool
	Born   int64
	// Clock is the worker's clock in milliseconds.
	Clock int64
	// Remaining is the minimum time for which a draining worker still runs tasks.
	Remaining time.Duration
	Active    []ActiveRun
	Ended     []RunEnd
}

// OrderResult is the result of an order that was sent to a worker.
type OrderResult uint8

// Results of an order.
const (
	// OrderAccepted means that the worker carries out the order.
	OrderAccepted OrderResult = iota
	// OrderInDoubt means that the order may have been carried out or may be carried
	// out later.
	OrderInDoubt
	// OrderNotSent means that no byte of the order can have reached the worker.
	OrderNotSent
	// OrderFenced means that the worker has seen a higher fencing token.
	OrderFenced
	// OrderStaleRun means that the worker already knows a run of the task with the
	// same or a higher number.
	OrderStaleRun
	// OrderLeaseExpired means that the order arrived after its lease had expired.
	OrderLeaseExpired
	// OrderNoCapacity means that the worker lacks the resources for the task.
	OrderNoCapacity
	// OrderInvalidTicket means that the worker rejected the ticket.
	OrderInvalidTicket
	// OrderOtherIncarnation means that the address belongs to another incarnation
	// of the worker.
	OrderOtherIncarnation
	// OrderUnhealthy means that the worker refuses all work.
	OrderUnhealthy
	// OrderInvalid means that the worker could not decode the order.
	OrderInvalid
)

var orderResultNames = [...]string{
	"accepted", "in_doubt", "not_sent", "fenced", "old_run", "late", "no_room",
	"no_ticket", "other_life", "unhealthy", "invalid",
}

// String returns the result's name in logs and metrics.
func (r OrderResult) String() string { return orderResultNames[r] }

// StartAnswered is the result of StartTask.
type StartAnswered struct {
	result
	Worker WorkerID
	Task   TaskID
	Run    int64
	Result OrderResult
	Clock  int64
}

// StopAnswered is the result of StopTask.
type StopAnswered struct {
	result
	Worker WorkerID
	Task   TaskID
	Run    int64
	Result OrderResult
}

// PaceAnswered is the result of PaceTask.
type PaceAnswered struct {
	result
	Worker  WorkerID
	Task    TaskID
	Run     int64
	Percent int
	Result  OrderResult
}

// Ticket permits the tasks of a step to start on a worker. The advice service
// issues it.
type Ticket struct {
	Worker WorkerID `json:"worker"`
	Ticket string   `json:"ticket"`
}

// AdviceAnswered is the result of AskAdvice.
type AdviceAnswered struct {
	result
	Failed bool
	// Refused means that the service rejected the call because of overload.
	Refused bool
	// Good has a ticket for each worker that may run the step, and Valid is how long
	// the tickets are valid.
	Good  []Ticket
	Valid time.Duration
}

// StopRequested starts the graceful shutdown of this host.
type StopRequested struct{ event }
