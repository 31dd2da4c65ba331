package worker

import (
	"time"

	"banyanrun.example/banyanrun/core"
)

// nextTransition returns the time of the next state change of t and the
// function that applies it.
func (r *Reducer) nextTransition(t *run) (core.Time, func()) {
	at, act := t.completesAt(r.slowFactor()), func() { r.complete(t) }
	if t.call != nil {
		return at, act
	}
	if t.leaseUntil < at {
		at, act = t.leaseUntil, func() { r.finish(t, core.ReportedStopped, OutcomeLeaseExpired) }
	}
	if reportAt := t.startedAt.Add(r.cfg.UsageLag); !t.usageReported && reportAt < at {
		at, act = reportAt, func() { t.usageReported = true; r.markChanged(t) }
	}
	return at, act
}

// earliestTransition returns the earliest transition of all running tasks and
// calls, or a nil function if there is none.
func (r *Reducer) earliestTransition() (at core.Time, act func()) {
	for _, t := range r.running {
		if due, f := r.nextTransition(t); act == nil || due < at {
			at, act = due, f
		}
	}
	return at, act
}

// advance applies the transitions that are due by now in the order of their
// time, so that the audit log does not depend on when events arrive.
func (r *Reducer) advance(now core.Time) {
	for {
		at, act := r.earliestTransition()
		if act == nil || at > now {
			break
		}
		r.now = max(r.now, at)
		act()
	}
	r.now = now
}

// complete ends a run whose work is done and answers its call.
func (r *Reducer) complete(t *run) {
	state, outcome := core.ReportedSucceeded, OutcomeSucceeded
	if t.program.Fail {
		state, outcome = core.ReportedFailed, OutcomeFailed
	}
	t.usageReported = true
	r.finish(t, state, outcome)
	if t.call != nil {
		r.answer(t.call.Request, CallResult{
			RequestID: t.call.RequestID, Attempt: t.call.Attempt, Failed: t.program.Fail,
			Result: t.program.Result, PadBytes: t.program.PadBytes,
		})
	}
}

// scheduleWake emits WakeAt for the next transition or the end of a sync's wait
// if it differs from the last one requested.
func (r *Reducer) scheduleWake() {
	at, act := r.earliestTransition()
	found := act != nil
	for _, w := range r.waitingSyncs {
		if !found || w.deadline < at {
			at, found = w.deadline, true
		}
	}
	// A transition that is due at the current nanosecond must not request a
	// wake in the past.
	at = max(at, r.now.Add(time.Nanosecond))
	if found && at != r.nextWake {
		r.nextWake = at
		r.effects = append(r.effects, WakeAt{At: at})
	}
}
