// Package grant lets traffic goroutines share the grants that the reducer hands
// out ahead of need. It holds no decision: those are in core.GrantPool.
package grant

import (
	"context"
	"slices"
	"sync"
	"time"

	"banyanrun.example/banyanrun/core"
)

// Pool guards a core.GrantPool and queues those who wait for a slot.
type Pool struct {
	now func() core.Time

	mu      sync.Mutex
	state   *core.GrantPool
	waiters []*waiter
	// activity tells Changed of the first use since the last report.
	activity chan struct{}
}

// waiter waits for a slot of one kind.
type waiter struct {
	team  core.TeamName
	kind  core.KindName
	avoid []core.WorkerID
	ready chan core.Ticket
}

// New returns a pool without grants. now reads the clock.
func NewPool(now func() core.Time) *Pool {
	return &Pool{now: now, state: core.NewGrantPool(), activity: make(chan struct{}, 1)}
}

// Set replaces the grants and serves waiting requests from them.
func (p *Pool) Set(s core.SetGrants) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Set(s)
	p.serveWaiters()
}

// Rules returns the rules of an interactive kind.
func (p *Pool) Rules(team core.TeamName, kind core.KindName) (core.InteractiveKind, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Rules(team, kind)
}

// Elsewhere returns a host of another data centre for calls that this one cannot
// serve, or an empty string.
func (p *Pool) RemoteHost() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.RemoteHost()
}

// SpendRetry takes one retry from the budget of a kind.
func (p *Pool) SpendRetry(team core.TeamName, kind core.KindName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.SpendRetry(team, kind)
}

// Take uses a slot, waiting for one until ctx ends. The reason is empty on
// success.
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

// stopWaiting removes a waiter, which may have been served meanwhile.
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

// Return gives a slot back after a call and serves the next waiting request.
func (p *Pool) Release(t core.Ticket, ok bool, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Release(t, ok, took)
	p.notifyActivity()
	p.serveWaiters()
}

// Doubt keeps the slot of a call of unknown fate in use for a time.
func (p *Pool) HoldUncertain(t core.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.HoldUncertain(p.now(), t)
	p.notifyActivity()
}

// serve hands free slots to waiting requests in the order of their arrival.
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

// notify wakes whoever waits for Activity.
func (p *Pool) notifyActivity() {
	select {
	case p.activity <- struct{}{}:
	default:
	}
}

// Activity is readable when grants were used since it was last read.
func (p *Pool) Activity() <-chan struct{} { return p.activity }

// Report returns the use of grants since the last report.
func (p *Pool) Report() core.CallsReported {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Expire(p.now())
	return p.state.Report()
}
