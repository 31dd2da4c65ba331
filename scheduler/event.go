package scheduler

import (
	"time"

	"banyanrun.example/banyanrun/core"
)

// Time is a reading of the host's clock that also runs while the host is
// suspended.
type Time = core.Time

// Input is an event with the times at which it happened.
type Input struct {
	// At is the host's clock, which never goes backwards.
	At Time
	// Wall is the time of day in milliseconds since 1970.
	Wall  int64
	Event Event
}

// Event is what the reducer learns.
type Event interface{ isEvent() }

type event struct{}

func (event) isEvent() {}

// Token identifies a caller's request that waits for a Reply.
type Token uint64

// Tick lets time pass.
type Tick struct{ event }

// Woken is the answer to Wake.
type Woken struct{ event }

// ConfigChanged is the newest configuration that the store holds.
type ConfigChanged struct {
	event
	Config *Config
}

// WorkerInfo is what a worker says of itself in the store.
type WorkerInfo struct {
	ID      WorkerID `json:"id"`
	Address string   `json:"addr"`
	// Born is the start of this life of the worker, in milliseconds since 1970.
	// A worker that starts again under the same id knows nothing of before.
	Born     int64     `json:"born,omitempty"`
	Service  string    `json:"svc"`
	Zone     string    `json:"zone"`
	Draining bool      `json:"-"`
	Capacity Resources `json:"cap"`
	Labels   []string  `json:"labels,omitempty"`
	Rack     string    `json:"rack,omitempty"`
}

// WorkersListed is the whole list of workers that the store holds.
type WorkersListed struct {
	event
	Workers []WorkerInfo
}

// WorkerChanged is a changed entry of the list of workers.
type WorkerChanged struct {
	event
	Worker WorkerInfo
}

// WorkerRemoved is an entry that is no longer in the list of workers.
type WorkerRemoved struct {
	event
	ID WorkerID
}

// OwnerRecord says which host owns the cell.
type OwnerRecord struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	// Generation counts the owners of the cell. It is the fencing token of
	// their orders.
	Generation int64 `json:"generation"`
}

// OwnerSeen is the owner record as the store holds it, or its absence.
type OwnerSeen struct {
	event
	Present  bool
	Record   OwnerRecord
	Revision int64
}

// LogRead is the answer to ReadLog.
type LogRead struct {
	event
	Groups []Group
	Err    error
}

// Outcome says what is known of a call that changes the store.
type Outcome uint8

// Outcomes of a call.
const (
	// Done means that the change is in the store.
	Done Outcome = iota
	// Conflict means that a condition of the change did not hold.
	Conflict
	// NotDone means that the change was not made and will not be.
	NotDone
	// InDoubt means that the change may have been made or may be made later.
	InDoubt
)

// ClaimAnswered is the answer to ClaimOwnership.
type ClaimAnswered struct {
	event
	Outcome Outcome
	Lease   int64
	// Sent is when the call that granted the lease was sent.
	Sent Time
	// TTL is the lease's time to live.
	TTL      time.Duration
	Revision int64
	// OwnerExists and LogTaken say which condition of the claim did not hold.
	OwnerExists, LogTaken bool
}

// LeaseRenewed is the answer to RenewLease.
type LeaseRenewed struct {
	event
	Lease   int64
	Sent    Time
	Outcome Outcome
	// Ended means that the store does not know the lease any more.
	Ended bool
	// Via is the host that made the call, empty for this one.
	Via string
}

// GroupWritten is the answer to WriteGroup.
type GroupWritten struct {
	event
	Sequence int64
	Outcome  Outcome
	// Lost means that the owner record is not that of this host any more.
	Lost bool
	// Taken means that another group holds the sequence number.
	Taken bool
	// Ours means that the group that holds the sequence number is this one.
	Ours bool
	// Via is the host that made the call, empty for this one.
	Via string
}

// GroupsDeleted is the answer to DeleteGroups.
type GroupsDeleted struct {
	event
	Through int64
	Outcome Outcome
}

// HelloReceived says that another host is alive.
type HelloReceived struct {
	event
	Host, Address, Zone string
	Power               int64
	Token               Token
}

// HelloAnswered is the owner's answer to Hello.
type HelloAnswered struct {
	event
	// MaxPower is the greatest processor time of all hosts.
	MaxPower int64
}

// SubmitReceived is a caller's job.
type SubmitReceived struct {
	event
	Token Token
	Queue QueueName
	// ConfigVersion is that by which the receiving host found the queue.
	ConfigVersion int64
	Job           JobID
	Spec          JobSpec
	// Deadline is when the caller stops waiting for the answer.
	Deadline Time
	// Forwarded means that another host received the request from the caller.
	Forwarded bool
}

// StatusReceived asks for a job's state.
type StatusReceived struct {
	event
	Token     Token
	Job       JobID
	Deadline  Time
	Forwarded bool
}

// CancelReceived cancels a job.
type CancelReceived struct {
	event
	Token     Token
	Job       JobID
	Deadline  Time
	Forwarded bool
}

// PendingReceived asks for the number of jobs of a queue that have not begun.
type PendingReceived struct {
	event
	Token     Token
	Queue     QueueName
	Deadline  Time
	Forwarded bool
}

// ForwardAnswered is the answer of the owner to a forwarded request.
type ForwardAnswered struct {
	event
	Token  Token
	Answer Answer
	// Failed means that there is no answer. Written is false only if no byte of
	// the request has reached the owner.
	Failed, Written bool
}

// ActiveRun is a run that a worker lists.
type ActiveRun struct {
	Task       TaskID
	Run        int64
	Checkpoint string
	// Percent is the progress of a task, or the share at which a long-running
	// task works.
	Percent int
	// Usage is the tail latency in milliseconds of a task that serves users, or
	// the processors in use of any other task.
	Usage int64
}

// EndKind says how a run ended.
type EndKind uint8

// Ends of a run.
const (
	EndDone EndKind = iota
	// EndFailed is a failure of the task or of its worker.
	EndFailed
	EndStopped
	// EndLapsed means that the worker's lease expired.
	EndLeaseExpired
	// EndBroken means that another member of the gang ended.
	EndGangBroken
	// EndAlone means that the other members of the gang did not arrive in time.
	EndGangTimeout
	// EndLost is an end that no worker listed: its worker is gone.
	EndLost
)

var endNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}

// String names the end.
func (k EndKind) String() string { return endNames[k] }

// RunEnd is an ended run that a worker lists.
type RunEnd struct {
	// Number counts the ends of this life of the worker.
	Number     int64
	Task       TaskID
	Run        int64
	Kind       EndKind
	Checkpoint string
}

// HoldAnswered is the answer to Hold.
type HoldAnswered struct {
	event
	Worker WorkerID
	// Call is the number of the Hold that is answered.
	Call uint64
	// Failed means that there is no usable answer. OtherLife means that the
	// address belongs to another worker now.
	Failed, OtherLife bool
	// Fenced means that the worker has seen a higher fencing token.
	Fenced bool
	Born   int64
	// Clock is the worker's clock in milliseconds.
	Clock int64
	// Remaining is the least time for which a draining worker still runs tasks.
	Remaining time.Duration
	Active    []ActiveRun
	Ended     []RunEnd
}

// OrderResult is what a worker answered to an order.
type OrderResult uint8

// Results of an order.
const (
	// OrderAccepted means that the order is carried out.
	OrderAccepted OrderResult = iota
	// OrderInDoubt means that the order may have been carried out, or may be
	// later.
	OrderInDoubt
	// OrderNotSent means that no byte has reached the worker.
	OrderNotSent
	// OrderFenced means that the worker has seen a higher fencing token.
	OrderFenced
	// OrderOldRun means that the run is not higher than one that has ended.
	OrderStaleRun
	// OrderLate means that the order came after its lease had expired.
	OrderLeaseExpired
	// OrderNoRoom means that the task does not fit.
	OrderNoCapacity
	// OrderNoTicket means that the ticket is not valid.
	OrderInvalidTicket
	// OrderOtherLife means that another life of the worker has the address.
	OrderOtherIncarnation
	// OrderUnhealthy means that the worker refuses all work.
	OrderUnhealthy
	// OrderInvalid means that the worker could not read the order.
	OrderInvalid
)

var orderResultNames = [...]string{
	"accepted", "in_doubt", "not_sent", "fenced", "old_run", "late", "no_room",
	"no_ticket", "other_life", "unhealthy", "invalid",
}

// String names the result.
func (r OrderResult) String() string { return orderResultNames[r] }

// StartAnswered is the answer to StartTask.
type StartAnswered struct {
	event
	Worker WorkerID
	Task   TaskID
	Run    int64
	Result OrderResult
	Clock  int64
}

// StopAnswered is the answer to StopTask.
type StopAnswered struct {
	event
	Worker WorkerID
	Task   TaskID
	Run    int64
	Result OrderResult
}

// PaceAnswered is the answer to PaceTask.
type PaceAnswered struct {
	event
	Worker  WorkerID
	Task    TaskID
	Run     int64
	Percent int
	Result  OrderResult
}

// Ticket allows the tasks of a step to start on a worker.
type Ticket struct {
	Worker WorkerID `json:"worker"`
	Ticket string   `json:"ticket"`
}

// AdviceAnswered is the answer to AskAdvice.
type AdviceAnswered struct {
	event
	Call   uint64
	Failed bool
	// Refused means that the service was too busy to take the call.
	Refused bool
	Good    []Ticket
	Valid   time.Duration
}

// StopRequested begins the graceful shutdown of this host.
type StopRequested struct{ event }
