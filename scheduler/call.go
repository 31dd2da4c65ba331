package scheduler

import (
	"slices"
	"time"
)

const (
	// workerCallTimeout is the time, beyond the delay that a Hold permits, after which
	// a call to a worker counts as unanswered. The host and the worker's agent give up
	// earlier, so that it expires only for a result that is lost on its way.
	workerCallTimeout = 2 * time.Second
	// storeCallTimeout is the time after which a call to the store counts as
	// unanswered. The host gives up after 2.5 s.
	storeCallTimeout = 4 * time.Second
	// adviceCallMargin is added to the timeout of a call for advice.
	adviceCallMargin = 1 * time.Second
	// callCheckInterval is the interval between checks for unanswered calls.
	callCheckInterval = 200 * msec
)

// CallID identifies a call among all calls of a process. It is never used again, also
// not by a later cell of the process, and has no meaning in other processes.
type CallID uint64

// Call is an effect with exactly one result, which arrives as a CallAnswered.
type Call struct {
	effect
	ID        CallID
	Operation Operation
}

// Operation is what a Call does.
type Operation interface {
	Effect
	// Unanswered returns the result of an operation of which nothing is known: it may
	// or may not have had its effect, and may still have it later.
	Unanswered() Result
}

// CallAnswered delivers the result of a Call.
type CallAnswered struct {
	event
	ID     CallID
	Result Result
}

// Result is the result of an operation.
type Result interface{ isResult() }

type result struct{}

func (result) isResult() {}

// pendingCall is a call whose result is outstanding.
type pendingCall struct {
	operation Operation
	deadline  Time
	// cell is the cell that made the call, or nil for a call of the reducer itself.
	// generation is the generation of the cell at that time.
	cell       *cell
	generation int64
	// worker is the worker that an order goes to, or nil for other calls.
	worker *worker
}

// callTable holds the calls whose results are outstanding.
//
// A result is handled only while its call is in the table, and a call leaves the table
// once: with its result, at its deadline, or when its result no longer matters. A result
// is therefore never taken for that of another call, and no call is waited for without a
// bound.
type callTable struct {
	last      CallID
	pending   map[CallID]pendingCall
	checkedAt Time
}

// call emits a call that is given up after a timeout.
func (r *Reducer) call(op Operation, timeout time.Duration) CallID {
	return r.addCall(pendingCall{operation: op, deadline: r.now.Add(timeout)})
}

// call emits a call of the cell that is given up after a timeout.
func (c *cell) call(op Operation, timeout time.Duration) CallID {
	return c.reducer.addCall(pendingCall{operation: op, deadline: c.now.Add(timeout), cell: c, generation: c.generation})
}

func (r *Reducer) addCall(p pendingCall) CallID {
	r.calls.last++
	r.calls.pending[r.calls.last] = p
	r.emit(Call{ID: r.calls.last, Operation: p.operation})
	return r.calls.last
}

// handleCallAnswered handles the result of a call that is still waited for.
func (r *Reducer) handleCallAnswered(e CallAnswered) {
	p, ok := r.calls.pending[e.ID]
	if !ok {
		r.emit(Decision{Kind: "call", Outcome: "result_ignored", Fields: []Field{{"call", int64(e.ID)}}})
		return
	}
	res := e.Result
	if isFenced(res) && p.cell != nil && p.generation < p.cell.generation {
		// The worker has seen the token that this host got when it regained the
		// ownership, not that of another owner.
		res = p.operation.Unanswered()
	}
	r.settleCall(e.ID, p, res)
}

// settleCall removes a call from the table and handles its result.
func (r *Reducer) settleCall(id CallID, p pendingCall, res Result) {
	delete(r.calls.pending, id)
	if p.worker != nil {
		p.worker.ordersInFlight--
	}
	switch res := res.(type) {
	case LogRead:
		r.handleLogRead(res)
	case ClaimAnswered:
		r.handleClaimAnswered(res)
	case LeaseRenewed:
		r.handleLeaseRenewed(id, res)
	default:
		if p.cell != nil {
			p.cell.handleResult(id, res)
		}
	}
	if p.worker != nil && p.cell == r.cell {
		p.cell.sendQueuedOrders(p.worker)
	}
}

// handleResult handles the result of a call of the cell.
func (c *cell) handleResult(id CallID, res Result) {
	switch res := res.(type) {
	case GroupWritten:
		c.handleGroupWritten(res)
	case GroupsDeleted:
		c.handleGroupsDeleted(res)
	case HoldAnswered:
		c.handleHoldAnswered(id, res)
	case StartAnswered:
		c.handleStartAnswered(res)
	case StopAnswered:
		c.handleStopAnswered(id, res)
	case PaceAnswered:
		c.handlePaceAnswered(id, res)
	case AdviceAnswered:
		c.handleAdviceAnswered(id, res)
	}
}

// expireCalls handles the calls whose deadline has passed as unanswered.
func (r *Reducer) expireCalls() {
	if r.now.Sub(r.calls.checkedAt) < callCheckInterval {
		return
	}
	r.calls.checkedAt = r.now
	var expired []CallID
	for id, p := range r.calls.pending {
		if r.now >= p.deadline {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		// Handling an earlier one may have given up the cell and its calls.
		if p, ok := r.calls.pending[id]; ok {
			r.emit(Decision{Kind: "call", Outcome: "unanswered", Fields: []Field{{"call", int64(id)}}})
			r.settleCall(id, p, p.operation.Unanswered())
		}
	}
}

// forgetCalls removes calls whose results no longer matter.
func (r *Reducer) forgetCalls(ids ...CallID) {
	for _, id := range ids {
		delete(r.calls.pending, id)
	}
}

// forgetCallsOf removes the calls of a cell that this host gives up.
func (r *Reducer) forgetCallsOf(c *cell) {
	for id, p := range r.calls.pending {
		if p.cell == c {
			delete(r.calls.pending, id)
		}
	}
}

// isFenced reports whether a worker has rejected a call because of its fencing token.
func isFenced(res Result) bool {
	switch res := res.(type) {
	case HoldAnswered:
		return res.Fenced
	case StartAnswered:
		return res.Result == OrderFenced
	case StopAnswered:
		return res.Result == OrderFenced
	case PaceAnswered:
		return res.Result == OrderFenced
	}
	return false
}

// unansweredError is the error of a read of the log without an answer.
type unansweredError struct{}

// Error implements error.
func (unansweredError) Error() string { return "no answer in time" }

// Unanswered implements Operation.
func (ReadLog) Unanswered() Result { return LogRead{Err: unansweredError{}} }

// Unanswered implements Operation.
func (ClaimOwnership) Unanswered() Result { return ClaimAnswered{Outcome: InDoubt} }

// Unanswered implements Operation.
func (f RenewLease) Unanswered() Result {
	return LeaseRenewed{Lease: f.Lease, Outcome: InDoubt, Via: f.Via}
}

// Unanswered implements Operation.
func (f WriteGroup) Unanswered() Result {
	return GroupWritten{Sequence: f.Group.Sequence, Outcome: InDoubt, Via: f.Via}
}

// Unanswered implements Operation.
func (f DeleteGroups) Unanswered() Result {
	return GroupsDeleted{Through: f.Through, Outcome: InDoubt}
}

// Unanswered implements Operation.
func (f Hold) Unanswered() Result { return HoldAnswered{Worker: f.Worker, Failed: true} }

// Unanswered implements Operation.
func (f StartTask) Unanswered() Result {
	return StartAnswered{Worker: f.Worker, Task: f.Task, Run: f.Run, Result: OrderInDoubt}
}

// Unanswered implements Operation.
func (f StopTask) Unanswered() Result {
	return StopAnswered{Worker: f.Worker, Task: f.Task, Run: f.Run, Result: OrderInDoubt}
}

// Unanswered implements Operation.
func (f PaceTask) Unanswered() Result {
	return PaceAnswered{Worker: f.Worker, Task: f.Task, Run: f.Run, Percent: f.Percent, Result: OrderInDoubt}
}

// Unanswered implements Operation.
func (AskAdvice) Unanswered() Result { return AdviceAnswered{Failed: true} }
