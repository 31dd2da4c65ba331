package standin

import (
	"context"
	"sync"
	"time"

	"banyanrun.example/banyanrun/control"
	"banyanrun.example/banyanrun/core"
)

const (
	// tickPeriod is the longest time between ticks. Reducers request
	// earlier ones with WakeAt.
	tickPeriod = time.Second
	// mailboxCapacity limits the events that wait for a reducer.
	mailboxCapacity = 256
)

// clock returns the wall time at start plus the monotonic time since then, so
// that it never goes back.
type clock struct{ start time.Time }

func (c clock) now() core.Time {
	return core.Time(c.start.UnixNano() + int64(time.Since(c.start)))
}

// eventLoop runs a reducer with events E and effects F, and passes its answers
// A to the goroutines that wait for them.
type eventLoop[E, F, A any] struct {
	loop    *control.Loop[E, F]
	clock   clock
	newTick func(at core.Time) E

	mu          sync.Mutex
	lastRequest uint64
	pending     map[uint64]chan A
	timer       *time.Timer
	done        chan struct{} // closed when the loop has ended
}

// init prepares the loop. It must be called before any other method.
func (l *eventLoop[E, F, A]) init(c clock, loop *control.Loop[E, F], newTick func(core.Time) E) {
	l.clock, l.loop, l.newTick = c, loop, newTick
	l.pending = map[uint64]chan A{}
	l.done = make(chan struct{})
}

// run runs the loop until ctx is done.
func (l *eventLoop[E, F, A]) run(ctx context.Context) {
	l.timer = time.AfterFunc(tickPeriod, func() { l.loop.Post(ctx, l.newTick(l.clock.now())) })
	defer l.timer.Stop()
	defer close(l.done)
	l.loop.Run(ctx)
}

// setWake sets the time of the next tick. It must be called on the loop's
// goroutine.
func (l *eventLoop[E, F, A]) setWake(at core.Time) { l.timer.Reset(at.Sub(l.clock.now())) }

// deliverAnswer passes an answer to the caller that waits for it, if any.
func (l *eventLoop[E, F, A]) deliverAnswer(request uint64, a A) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply := l.pending[request]; reply != nil {
		reply <- a
		delete(l.pending, request)
	}
}

// roundTrip posts the event that build returns for a new request id and waits
// for the answer. It returns false if ctx or the loop ends first.
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

// sleep waits for d or until ctx is done.
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
