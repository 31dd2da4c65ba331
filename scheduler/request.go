package scheduler

import (
	"slices"
	"time"
)

const (
	// ownerWaitLimit is how long a request waits for an owner before its caller is
	// told to try again: the duration of a takeover after an owner was killed.
	ownerWaitLimit = 1700 * msec
	// outageRetryAfter is the retry delay that callers are given in an outage, when
	// no host has been able to serve requests for longer than a takeover takes.
	// Outages of the store last several seconds, and callers retry a few times
	// only.
	outageRetryAfter = 2 * time.Second
	// forwardTimeout bounds one call to the owner. If no answer arrives in this time,
	// the connection is assumed to be broken.
	forwardTimeout = 1500 * msec
	// forwardRetryDelay is the delay before a request is forwarded again.
	forwardRetryDelay = 100 * msec
)

// request is a caller's request that has not been answered.
type request struct {
	event     Event
	deadline  Time
	received  Time
	forwarded bool
	// inFlight means that the request was forwarded to the owner, whose answer is
	// outstanding.
	inFlight bool
	// cell is the cell of this host that has accepted the request for processing, or
	// nil.
	cell *cell
	// mayHaveTakenEffect means that an owner may have received the request, so that
	// its caller cannot be told that it failed.
	mayHaveTakenEffect bool
	retryAt            Time
}

// handleRequest registers a caller's request and serves it.
func (r *Reducer) handleRequest(token Token, e Event, deadline Time, forwarded bool) {
	q := &request{event: e, deadline: deadline, received: r.now, forwarded: forwarded}
	r.requests[token] = q
	r.serve(token, q)
}

// serve passes a request to the cell of this host or to the owner, or defers it.
func (r *Reducer) serve(token Token, q *request) {
	o := &r.owner
	switch {
	case r.stopping && r.now >= r.stopAt && q.retryAt != 0:
		// This host has no time left for another attempt.
		r.reply(token, Answer{Status: StatusUnavailable, Reason: ReasonStopping, RetryAfter: forwardRetryDelay})
	case r.cell != nil && r.cell.handingOver && q.forwarded:
		r.reply(token, Answer{Status: StatusUnavailable, Reason: ReasonOwnerLost, RetryAfter: forwardRetryDelay})
	case r.cell != nil && r.cell.handingOver:
		q.retryAt = r.now.Add(forwardRetryDelay)
	case r.cell != nil && (r.leaseValid() || q.forwarded):
		if r.leaseValid() {
			r.outageSince = 0
		}
		q.cell = r.cell
		r.cell.handleRequest(q.event)
	case r.cell != nil && r.cell.canAnswerWithoutLease(q.event):
		q.cell = r.cell
		r.cell.handleRequest(q.event)
	case r.cell != nil && !r.inOutage():
		// The lease may be renewed or reclaimed at any moment.
		q.retryAt = r.now.Add(forwardRetryDelay)
	case r.cell != nil:
		q.cell = r.cell
		r.cell.handleRequest(q.event)
	case q.forwarded:
		// The host that received the request from the caller retries it as soon as it
		// knows the owner.
		r.reply(token, Answer{Status: StatusUnavailable, Reason: ReasonOwnerLost, RetryAfter: forwardRetryDelay})
	case o.known && o.present && o.record.Address != r.self.Address:
		q.inFlight = true
		timeout := min(forwardTimeout, max(msec, q.deadline.Sub(r.now)-answerMargin/2))
		r.emit(Forward{Token: token, Request: q.event, Address: o.record.Address, Timeout: timeout})
	case r.inOutage():
		r.reply(token, Answer{Status: StatusUnavailable, Reason: ReasonNoOwner, RetryAfter: outageRetryAfter})
	default:
		q.retryAt = r.now.Add(forwardRetryDelay)
	}
}

// inOutage reports whether no host has been able to serve requests for longer than a
// takeover takes. Requests are then rejected immediately instead of after a wait.
func (r *Reducer) inOutage() bool {
	if r.outageSince == 0 {
		r.outageSince = r.now
	}
	return r.now.Sub(r.outageSince) >= ownerWaitLimit
}

// canAnswerWithoutLease reports whether a request asks for the state of a job that
// this host knows. It can be answered without a valid lease because the reported
// state is durable.
func (c *cell) canAnswerWithoutLease(e Event) bool {
	s, ok := e.(StatusReceived)
	return ok && c.jobs[s.Job] != nil && c.jobs[s.Job].durable
}

// handleRequest handles a caller's request at the owner.
func (c *cell) handleRequest(e Event) {
	switch e := e.(type) {
	case SubmitReceived:
		if c.reducer.config == nil || c.reducer.queue(e.Queue) == nil {
			c.reply(e.Token, Answer{Status: StatusUnavailable, Reason: ReasonNoConfig, RetryAfter: forwardRetryDelay})
			return
		}
		c.handleSubmit(e)
	case StatusReceived:
		c.handleStatus(e)
	case CancelReceived:
		c.handleCancel(e)
	case PendingReceived:
		if !c.mayStart() {
			c.reply(e.Token, Answer{Status: StatusUnavailable, Reason: ReasonNoLease, RetryAfter: refusalRetryAfter})
			return
		}
		c.reply(e.Token, Answer{Status: StatusOK, Pending: c.pendingJobs(e.Queue)})
	}
}

// reply answers a request and removes it. A request that may have taken effect is
// never reported as unavailable or refused, but as unknown.
func (r *Reducer) reply(token Token, a Answer) {
	q := r.requests[token]
	if q == nil {
		return
	}
	delete(r.requests, token)
	if q.mayHaveTakenEffect && (a.Status == StatusUnavailable || a.Status == StatusRefused) {
		a = Answer{Status: StatusUnknown, Reason: a.Reason}
	}
	r.emit(Reply{Token: token, Answer: a})
	if a.Status != StatusOK && !q.forwarded {
		r.logRefusal(q, a)
	}
}

// logRefusal logs why a request did not succeed.
func (r *Reducer) logRefusal(q *request, a Answer) {
	d := Decision{Kind: "request", Outcome: a.Status.String(), Reason: string(a.Reason), Fields: []Field{
		{"waited_ms", r.now.Sub(q.received).Milliseconds()}, {"retry_after_ms", a.RetryAfter.Milliseconds()},
		{"owner_generation", r.owner.record.Generation}, {"owner_known", boolField(r.owner.known && r.owner.present)}}}
	switch e := q.event.(type) {
	case SubmitReceived:
		d.Job, d.Queue = e.Job, e.Queue
	case StatusReceived:
		d.Job = e.Job
	case CancelReceived:
		d.Job = e.Job
	case PendingReceived:
		d.Queue = e.Queue
	}
	r.emit(d)
}

// handleForwardAnswered processes the owner's answer to a forwarded request. It passes
// the answer on to the caller, or retries the request if another attempt can succeed.
func (r *Reducer) handleForwardAnswered(e ForwardAnswered) {
	q := r.requests[e.Token]
	if q == nil {
		return
	}
	q.inFlight = false
	if e.Failed && e.Written {
		q.mayHaveTakenEffect = true
	}
	if e.Answer.Status == StatusUnknown {
		q.mayHaveTakenEffect = true
	}
	retry := e.Failed || e.Answer.Reason == ReasonOwnerLost || e.Answer.Reason == ReasonNoLease ||
		e.Answer.Reason == ReasonNoConfig || e.Answer.Status == StatusUnknown
	if !retry {
		r.outageSince = 0
		r.reply(e.Token, e.Answer)
		return
	}
	if r.inOutage() && !q.mayHaveTakenEffect {
		reason := e.Answer.Reason
		if e.Failed {
			reason = ReasonForward
		}
		r.reply(e.Token, Answer{Status: StatusUnavailable, Reason: reason, RetryAfter: outageRetryAfter})
		return
	}
	if e.Failed {
		r.emit(ReadOwner{})
	}
	q.retryAt = r.now.Add(forwardRetryDelay)
	r.expire(e.Token, q)
}

// retryWaiting serves the requests that wait for an owner, and takes back those of a
// cell that this host no longer has.
func (r *Reducer) retryWaiting() {
	for _, token := range r.requestOrder() {
		q := r.requests[token]
		if q.cell != nil && q.cell != r.cell {
			// The cell is gone, so it will not answer. A job may have been written.
			if _, ok := q.event.(SubmitReceived); ok {
				q.mayHaveTakenEffect = true
			}
			q.cell = nil
			if q.forwarded {
				r.reply(token, Answer{Status: StatusUnavailable, Reason: ReasonOwnerLost})
				continue
			}
		}
		if q.cell == nil && !q.inFlight {
			r.serve(token, q)
		}
	}
}

// expireRequests answers the requests whose time has expired and serves the other
// waiting ones again.
func (r *Reducer) expireRequests() {
	for _, token := range r.requestOrder() {
		q := r.requests[token]
		if r.expire(token, q) || q.cell != nil || q.inFlight || r.now < q.retryAt {
			continue
		}
		r.serve(token, q)
	}
}

// expire answers a request that is close to its deadline or has waited too long for an
// owner, and reports whether it did.
func (r *Reducer) expire(token Token, q *request) bool {
	deadlineNear := r.now.Add(answerMargin) >= q.deadline
	noOwner := q.cell == nil && !q.inFlight && r.now.Sub(q.received) >= ownerWaitLimit
	if !deadlineNear && !noOwner {
		return false
	}
	if _, ok := q.event.(SubmitReceived); ok && (q.cell != nil || q.inFlight) {
		// The job has reached an owner or is on its way there, so it may be accepted.
		q.mayHaveTakenEffect = true
	}
	reason := ReasonNoOwner
	switch {
	case r.config == nil:
		reason = ReasonNoConfig
	case q.cell != nil:
		reason = ReasonStore
	case r.owner.known && r.owner.present:
		reason = ReasonForward
	}
	r.reply(token, Answer{Status: StatusUnavailable, Reason: reason, RetryAfter: refusalRetryAfter})
	return true
}

// requestOrder returns the tokens of all requests in the order of arrival.
func (r *Reducer) requestOrder() []Token {
	tokens := make([]Token, 0, len(r.requests))
	for t := range r.requests {
		tokens = append(tokens, t)
	}
	slices.Sort(tokens)
	return tokens
}
