package standin

import (
	"context"
	"sync"
	"time"

	"banyanrun.example/banyanrun/control"
	"banyanrun.example/banyanrun/core"
)

const (
	// tickPeriod is a fallback; reducers ask for the moments they need.
	tickPeriod = time.Second
	// mailboxSize bounds the events that wait for a reducer.
	mailboxCapacity = 256
)

// clock reads the wall clock once and goes on monotonically.
type clock struct{ start time.Time }

func (c clock) now() core.Time {
	return core.Time(c.start.UnixNano() + int64(time.Since(c.start)))
}

// node runs one reducer over events E and effects F, with answers A.
type eventLoop[E, F, A any] struct {
	loop    *control.Loop[E, F]
	clock   clock
	newTick func(at core.Time) E // builds the event that says time has passed

	mu          sync.Mutex
	lastRequest uint64
	pending     map[uint64]chan A
	timer       *time.Timer
	done        chan struct{} // closed once the loop has ended
}

// init prepares n before run.
func (n *eventLoop[E, F, A]) init(c clock, loop *control.Loop[E, F], event func(core.Time) E) {
	n.clock, n.loop, n.newTick = c, loop, event
	n.pending = map[uint64]chan A{}
	n.done = make(chan struct{})
}

// run runs the loop until ctx ends.
func (n *eventLoop[E, F, A]) run(ctx context.Context) {
	n.timer = time.AfterFunc(tickPeriod, func() { n.loop.Post(ctx, n.newTick(n.clock.now())) })
	defer n.timer.Stop()
	defer close(n.done)
	n.loop.Run(ctx)
}

// wakeAt replaces the time at which the reducer is told that time has passed. It
// is called on the loop's goroutine.
func (n *eventLoop[E, F, A]) setWake(at core.Time) { n.timer.Reset(at.Sub(n.clock.now())) }

// deliver hands an answer to the request that waits for it, if it still does.
func (n *eventLoop[E, F, A]) deliverAnswer(request uint64, a A) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if reply := n.pending[request]; reply != nil {
		reply <- a
		delete(n.pending, request)
	}
}

// ask posts the event that build makes for a new request and waits for its
// answer. It returns false if ctx or the loop ends first.
func (n *eventLoop[E, F, A]) roundTrip(ctx context.Context, build func(request uint64, at core.Time) E) (request uint64, a A, ok bool) {
	reply := make(chan A, 1)
	n.mu.Lock()
	n.lastRequest++
	request = n.lastRequest
	n.pending[request] = reply
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.pending, request)
		n.mu.Unlock()
	}()
	if ctx.Err() != nil || !n.loop.Post(ctx, build(request, n.clock.now())) {
		return request, a, false
	}
	select {
	case a = <-reply:
		return request, a, true
	case <-n.done:
	case <-ctx.Done():
	}
	return request, a, false
}

// pause waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
