package core

import "time"

const (
	// callBackoff is the base of the jittered wait between two attempts.
	callBackoffBase = 5 * time.Millisecond
	// staleBackoff is the wait after a refusal for a stale epoch, within
	// which grants of the new owner arrive.
	staleEpochBackoff = 200 * time.Millisecond
)

// CallAct is what is to be done next for an interactive request.
type CallAction uint8

// The acts.
const (
	// CallTry takes a slot and makes an attempt after Wait.
	CallAttempt CallAction = iota
	// CallForward passes the request on to a host of another data centre.
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

// CallPlan is the reducer of one interactive request: it decides after each
// attempt whether another one is allowed. The goroutine that carries the request
// steps it.
type CallPlan struct {
	Rules InteractiveKind
	Began Time
	// attempt counts every copy sent, tries only those that may have reached
	// a worker.
	sent  int
	tries int
	avoid []WorkerID
	// worst is the strongest verdict of all attempts: once one may have run,
	// no refusal may say that the request has not.
	strongestVerdict Verdict
}

// AttemptResult is what became of one attempt.
type AttemptResult struct {
	Worker  WorkerID
	Verdict Verdict
	Reason  Reason
	// SpendRetry takes one retry from the kind's budget and reports whether there
	// was room for it. It is called only for a retry that is allowed otherwise.
	SpendRetry func() bool
	// Jitter is a random number from 0 up to 1.
	Jitter float64
}

// First returns the first step. While this data centre has no usable worker,
// elsewhere is the address of a host of another one, unless another host has
// already passed the request on.
func (p *CallPlan) First(elsewhere string) CallStep {
	if elsewhere != "" {
		return CallStep{Act: CallForward, Address: elsewhere}
	}
	return p.try(0)
}

// ForwardFailed decides what follows a forwarded request without an answer.
func (p *CallPlan) ForwardFailed(v Verdict) CallStep {
	p.strongestVerdict = max(p.strongestVerdict, v)
	if v.Retryable(p.Rules.Idempotent) {
		return p.try(0)
	}
	return p.refuse(ReasonPeer, "another data centre gave no whole answer")
}

// Deadline is the time at which the caller is answered in any case.
func (p *CallPlan) Deadline() Time { return p.Began.Add(p.Rules.Deadline) }

func (p *CallPlan) try(wait time.Duration) CallStep {
	p.sent++
	return CallStep{Act: CallAttempt, Wait: wait, Attempt: p.sent, Avoid: p.avoid}
}

// Failed decides what follows an attempt without an answer.
func (p *CallPlan) Failed(now Time, a AttemptResult) CallStep {
	p.strongestVerdict = max(p.strongestVerdict, a.Verdict)
	p.avoid = append(p.avoid, a.Worker)
	stale := a.Verdict == NotRun && a.Reason == ReasonStaleEpoch
	if !stale {
		p.tries++
	}
	wait := time.Duration(float64(callBackoffBase<<min(p.tries, 6)) * (0.5 + a.Jitter))
	if stale {
		wait = staleEpochBackoff
	}
	switch {
	case !a.Verdict.Retryable(p.Rules.Idempotent):
		return p.refuse(a.Reason, "the worker gave no whole answer")
	case now.Add(wait) >= p.Deadline():
		return p.refuse(ReasonDeadline, "no answer within the deadline")
	case p.tries >= max(1, p.Rules.MaxAttempts):
		return p.refuse(ReasonAttempts, "no attempt was answered")
	case !stale && !a.SpendRetry():
		return p.refuse(ReasonRetryBudget, "the retry budget of the kind is used up")
	}
	return p.try(wait)
}

// NoSlot decides what follows when no slot was free in time.
func (p *CallPlan) NoSlot(reason Reason) CallStep {
	return p.refuse(reason, "no worker had room for the request in time")
}

// refuse ends the request. Its verdict covers all attempts.
func (p *CallPlan) refuse(reason Reason, message string) CallStep {
	ref := refuse(reason, "%s", message)
	ref.Verdict = p.strongestVerdict
	ref.RetryAfter = time.Second
	return CallStep{Act: CallRefuse, Refusal: ref}
}
