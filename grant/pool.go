// Package grant gives traffic goroutines synchronized access to grants and to
// call outcomes. A grant lets a host start calls on a worker without asking the
// reducer for each one. The package adds only locking and waiting; the decisions
// are made by core.GrantPool and core.CallMemory.
package grant

import (
	"context"
	"slices"
	"sync"
	"time"

	"banyanrun.example/banyanrun/core"
)

// Pool is a core.GrantPool for concurrent use, with a queue of requests that wait
// for a slot.
type Pool struct {
	now func() core.Time

	mu      sync.Mutex
	state   *core.GrantPool
	waiters []*waiter
	// activity holds a signal if grants were used since it was last read.
	activity chan struct{}
}

// waiter is a request that waits for a slot of one kind.
type waiter struct {
	team  core.TeamName
	kind  core.KindName
	avoid []core.WorkerID
	ready chan core.Ticket
}

// NewPool returns a pool without grants. now returns the current time.
func NewPool(now func() core.Time) *Pool {
	return &Pool{now: now, state: core.NewGrantPool(), activity: make(chan struct{}, 1)}
}

// Set replaces the grants and assigns free slots to waiting requests.
func (p *Pool) Set(s core.SetGrants) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Set(s)
	p.serveWaiters()
}

// Rules returns the rules of an interactive kind, if the kind is known.
func (p *Pool) Rules(team core.TeamName, kind core.KindName) (core.InteractiveKind, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Rules(team, kind)
}

// RemoteHost returns a host of another data centre for calls that this data
// centre cannot serve, or an empty string.
func (p *Pool) RemoteHost() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.RemoteHost()
}

// SpendRetry takes one retry from the retry budget of a kind. It returns false if
// the budget is used up.
func (p *Pool) SpendRetry(team core.TeamName, kind core.KindName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.SpendRetry(team, kind)
}

// Acquire takes a slot, waiting for one until ctx ends. It prefers workers that
// are not in avoid. The reason is empty on success.
func (p *Pool) Acquire(ctx context.Context, team core.TeamName, kind core.KindName, avoid []core.WorkerID) (core.Ticket, core.Reason) {
	w := &waiter{team: team, kind: kind, avoid: avoid, ready: make(chan core.Ticket, 1)}
	p.mu.Lock()
	if t, ok := p.state.Acquire(p.now(), team, kind, avoid); ok {
		p.notifyActivity()
		p.mu.Unlock()
		return t, ""
	}
	if !p.state.AddWaiting(team, kind, 1) {
		p.mu.Unlock()
		return core.Ticket{}, core.ReasonQueueFull
	}
	p.waiters = append(p.waiters, w)
	p.notifyActivity()
	p.mu.Unlock()

	select {
	case t := <-w.ready:
		return t, ""
	case <-ctx.Done():
		return p.cancelWait(w)
	}
}

// cancelWait removes a waiter. If the waiter got a slot in the meantime, it
// returns that slot.
func (p *Pool) cancelWait(w *waiter) (core.Ticket, core.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case t := <-w.ready:
		return t, ""
	default:
	}
	p.waiters = slices.DeleteFunc(p.waiters, func(o *waiter) bool { return o == w })
	p.state.AddWaiting(w.team, w.kind, -1)
	return core.Ticket{}, core.ReasonNoCapacity
}

// Release frees the slot of a finished call and assigns it to the next waiting
// request.
func (p *Pool) Release(t core.Ticket, ok bool, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Release(t, ok, took)
	p.notifyActivity()
	p.serveWaiters()
}

// HoldUncertain ends a call of unknown outcome. Its slot stays in use for another
// full deadline of the kind, because the worker may still run the call.
func (p *Pool) HoldUncertain(t core.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.HoldUncertain(p.now(), t)
	p.notifyActivity()
}

// serveWaiters assigns free slots to waiting requests in order of arrival. The
// caller holds mu.
func (p *Pool) serveWaiters() {
	now := p.now()
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		t, ok := p.state.Acquire(now, w.team, w.kind, w.avoid)
		if ok {
			p.state.AddWaiting(w.team, w.kind, -1)
			w.ready <- t
		}
		return ok
	})
}

// Waiting returns the number of requests that wait for a slot.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiters)
}

// notifyActivity makes Activity readable.
func (p *Pool) notifyActivity() {
	select {
	case p.activity <- struct{}{}:
	default:
	}
}

// Activity returns a channel that is readable if grants were used since it was
// last read.
func (p *Pool) Activity() <-chan struct{} { return p.activity }

// Report expires held slots and returns the use of grants since the last report.
func (p *Pool) Report() core.CallsReported {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Expire(p.now())
	return p.state.Report()
}
