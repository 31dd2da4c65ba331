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
func (l *eventLoop[E, F, A]) init(c clock, loop *control.Loop[E, F], newTick func(core.Time) E) {
	l.clock, l.loop, l.newTick = c, loop, newTick
	l.pending = map[uint64]chan A{}
	l.done = make(chan struct{})
}

// run runs the loop until ctx ends.
func (l *eventLoop[E, F, A]) run(ctx context.Context) {
	l.timer = time.AfterFunc(tickPeriod, func() { l.loop.Post(ctx, l.newTick(l.clock.now())) })
	defer l.timer.Stop()
	defer close(l.done)
	l.loop.Run(ctx)
}

// wakeAt replaces the time at which the reducer is told that time has passed. It
// is called on the loop's goroutine.
func (l *eventLoop[E, F, A]) setWake(at core.Time) { l.timer.Reset(at.Sub(l.clock.now())) }

// deliver hands an answer to the request that waits for it, if it still does.
func (l *eventLoop[E, F, A]) deliverAnswer(request uint64, a A) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply := l.pending[request]; reply != nil {
		reply <- a
		delete(l.pending, request)
	}
}

// ask posts the event that build makes for a new request and waits for its
// answer. It returns false if ctx or the loop ends first.
func (l *eventLoop[E, F, A]) roundTrip(ctx context.Context, build func(request uint64, at core.Time) E) (request uint64, a A, ok bool) {
	reply := make(chan A, 1)
	l.mu.Lock()
	l.lastRequest++
	request = l.lastRequest
	l.pending[request] = reply
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pending, request)
		l.mu.Unlock()
	}()
	if ctx.Err() != nil || !l.loop.Post(ctx, build(request, l.clock.now())) {
		return request, a, false
	}
	select {
	case a = <-reply:
		return request, a, true
	case <-l.done:
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
