package core

import "time"

const (
	// callBackoffBase is the base of the jittered exponential delay between two
	// attempts.
	callBackoffBase = 5 * time.Millisecond
	// staleEpochBackoff is the delay after a refusal because of a stale epoch.
	// Grants of the new owner arrive within this time.
	staleEpochBackoff = 200 * time.Millisecond
)

// CallAction is the next action for an interactive request.
type CallAction uint8

// Actions of a CallStep.
const (
	// CallAttempt acquires a slot and makes an attempt after Wait.
	CallAttempt CallAction = iota
	// CallForward forwards the request to a host of another data centre.
	CallForward
	// CallRefuse answers the caller with the refusal.
	CallRefuse
)

// CallStep is the result of one step of a CallPlan.
type CallStep struct {
	Act     CallAction
	Wait    time.Duration
	Attempt int
	Avoid   []WorkerID
	Address string
	Refusal *Refusal
}

// CallPlan is the state machine of one interactive request. It decides after each
// attempt whether another one is allowed. The goroutine that serves the request
// steps it.
type CallPlan struct {
	Rules InteractiveKind
	Began Time
	// attempts counts all attempts, countedAttempts those that were not refused
	// because of a stale epoch.
	attempts        int
	countedAttempts int
	avoid           []WorkerID
	// strongestVerdict is the strongest verdict of all attempts. Once one attempt
	// may have run, no refusal may claim that the request has not.
	strongestVerdict Verdict
}

// AttemptResult is the outcome of one attempt.
type AttemptResult struct {
	Worker  WorkerID
	Verdict Verdict
	Reason  Reason
	// SpendRetry takes one retry from the kind's budget and reports whether the
	// budget allowed it. It is called only for a retry that is otherwise allowed.
	SpendRetry func() bool
	// Jitter is a random number in [0, 1).
	Jitter float64
}

// First returns the first step. If this data centre has no usable worker, elsewhere
// is the address of a host of another data centre, unless the request has already
// been forwarded once.
func (p *CallPlan) First(elsewhere string) CallStep {
	if elsewhere != "" {
		return CallStep{Act: CallForward, Address: elsewhere}
	}
	return p.attemptAfter(0)
}

// ForwardFailed decides what follows a forwarded request that was not answered.
func (p *CallPlan) ForwardFailed(v Verdict) CallStep {
	p.strongestVerdict = max(p.strongestVerdict, v)
	if v.Retryable(p.Rules.Idempotent) {
		return p.attemptAfter(0)
	}
	return p.refuse(ReasonPeer, "the other data centre did not return a complete answer")
}

// Deadline returns the time by which the caller gets a response in any case.
func (p *CallPlan) Deadline() Time { return p.Began.Add(p.Rules.Deadline) }

func (p *CallPlan) attemptAfter(wait time.Duration) CallStep {
	p.attempts++
	return CallStep{Act: CallAttempt, Wait: wait, Attempt: p.attempts, Avoid: p.avoid}
}

// Failed decides what follows an attempt that was not answered.
func (p *CallPlan) Failed(now Time, a AttemptResult) CallStep {
	p.strongestVerdict = max(p.strongestVerdict, a.Verdict)
	p.avoid = append(p.avoid, a.Worker)
	stale := a.Verdict == NotRun && a.Reason == ReasonStaleEpoch
	if !stale {
		p.countedAttempts++
	}
	wait := time.Duration(float64(callBackoffBase<<min(p.countedAttempts, 6)) * (0.5 + a.Jitter))
	if stale {
		wait = staleEpochBackoff
	}
	switch {
	case !a.Verdict.Retryable(p.Rules.Idempotent):
		return p.refuse(a.Reason, "the worker did not return a complete answer")
	case now.Add(wait) >= p.Deadline():
		return p.refuse(ReasonDeadline, "no answer within the deadline")
	case p.countedAttempts >= max(1, p.Rules.MaxAttempts):
		return p.refuse(ReasonAttempts, "no attempt was answered")
	case !stale && !a.SpendRetry():
		return p.refuse(ReasonRetryBudget, "the retry budget of the kind is exhausted")
	}
	return p.attemptAfter(wait)
}

// NoSlot decides what follows when no slot became free in time.
func (p *CallPlan) NoSlot(reason Reason) CallStep {
	return p.refuse(reason, "no worker had free capacity for the request in time")
}

// refuse ends the request with the strongest verdict of all attempts.
func (p *CallPlan) refuse(reason Reason, message string) CallStep {
	ref := refuse(reason, "%s", message)
	ref.Verdict = p.strongestVerdict
	ref.RetryAfter = time.Second
	return CallStep{Act: CallRefuse, Refusal: ref}
}
