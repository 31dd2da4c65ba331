package scheduler

import (
	"slices"
	"time"
)

const (
	// ownerWait is how long a request waits for an owner before its caller is
	// told to come back: the time of a takeover after an owner was killed.
	ownerWaitLimit = 1700 * msec
	// outageRetry is when a caller should come back that is refused because nobody
	// has been able to serve for longer than a takeover takes. Outages of the
	// store last several seconds, and callers try a few times only.
	outageRetryAfter = 2 * time.Second
	// forwardTimeout bounds one exchange with the owner; a longer silence means
	// that the connection is dead.
	forwardTimeout = 1500 * msec
	// forwardRetry is the wait before a request is passed on again.
	forwardRetryDelay = 100 * msec
)

// request is a caller's request that has no answer yet.
type request struct {
	event     Event
	deadline  Time
	received  Time
	forwarded bool
	// inFlight means that the owner has been asked and has not answered.
	inFlight bool
	// atCell means that the cell of this host has the request.
	cell *cell
	// mayHaveRun means that some owner may have received a job.
	mayHaveTakenEffect bool
	retryAt            Time
}

// request takes a caller's request in.
func (r *Reducer) handleRequest(token Token, e Event, deadline Time, forwarded bool) {
	q := &request{event: e, deadline: deadline, received: r.now, forwarded: forwarded}
	r.requests[token] = q
	r.serve(token, q)
}

// serve passes a request to the cell of this host or to the owner.
func (r *Reducer) serve(token Token, q *request) {
	o := &r.owner
	switch {
	case r.stopping && r.now >= r.stopAt && q.retryAt != 0:
		// This host has no time left for another try.
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
		// The lease may be regained at any moment.
		q.retryAt = r.now.Add(forwardRetryDelay)
	case r.cell != nil:
		q.cell = r.cell
		r.cell.handleRequest(q.event)
	case q.forwarded:
		// The host that received the request knows the owner sooner.
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

// inOutage reports whether nobody has been able to serve for longer than a takeover
// takes. Callers are then refused at once instead of waiting for nothing.
func (r *Reducer) inOutage() bool {
	if r.outageSince == 0 {
		r.outageSince = r.now
	}
	return r.now.Sub(r.outageSince) >= ownerWaitLimit
}

// knows reports whether a request asks for the state of a job that this host knows.
// That is answered without the lease: what is shown is in the store.
func (c *cell) canAnswerWithoutLease(e Event) bool {
	s, ok := e.(StatusReceived)
	return ok && c.jobs[s.Job] != nil && c.jobs[s.Job].durable
}

// request handles a caller's request at the owner.
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

// reply answers a request once.
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

// logRefusal writes down why a caller did not get what it asked for.
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

// forwardAnswered takes the owner's answer to a request.
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
	again := e.Failed || e.Answer.Reason == ReasonOwnerLost || e.Answer.Reason == ReasonNoLease ||
		e.Answer.Reason == ReasonNoConfig || e.Answer.Status == StatusUnknown
	if !again {
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

// retryWaiting serves the requests that wait for an owner.
func (r *Reducer) retryWaiting() {
	for _, token := range r.requestOrder() {
		q := r.requests[token]
		if q.cell != nil && q.cell != r.cell {
			// The cell that had it is gone, and with it all it was about to do.
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

// expireRequests serves waiting requests again and answers those whose time is up.
func (r *Reducer) expireRequests() {
	for _, token := range r.requestOrder() {
		q := r.requests[token]
		if r.expire(token, q) || q.cell != nil || q.inFlight || r.now < q.retryAt {
			continue
		}
		r.serve(token, q)
	}
}

// expire answers a request whose time is up, and reports whether it did.
func (r *Reducer) expire(token Token, q *request) bool {
	late := r.now.Add(answerMargin) >= q.deadline
	noOwner := q.cell == nil && !q.inFlight && r.now.Sub(q.received) >= ownerWaitLimit
	if !late && !noOwner {
		return false
	}
	if _, ok := q.event.(SubmitReceived); ok && (q.cell != nil || q.inFlight) {
		// The job, or the write of it, is on its way.
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

// requestOrder returns the tokens of all requests in the order of their arrival.
func (r *Reducer) requestOrder() []Token {
	tokens := make([]Token, 0, len(r.requests))
	for t := range r.requests {
		tokens = append(tokens, t)
	}
	slices.Sort(tokens)
	return tokens
}
