// Package control runs a reducer on a single goroutine.
//
// Traffic goroutines post events. The loop passes them to the reducer one at a
// time and hands each resulting effect to an executor. Only the loop's goroutine
// accesses control state, so the state needs no lock.
package control

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// Config configures a loop over events E and effects F.
type Config[E, F any] struct {
	// Step is the reducer. Only the loop's goroutine calls it.
	Step func(E) []F
	// Execute executes one effect. Each call runs on its own goroutine.
	Execute func(context.Context, F)
	// ExecuteInline, if set, is called for each effect on the loop's goroutine
	// and must not block. If it returns true, the effect is complete and
	// Execute is not called for it.
	ExecuteInline func(F) bool
	// Tick returns the event that the loop handles every TickPeriod.
	Tick       func() E
	TickPeriod time.Duration
	// MailboxSize is the number of events that may be queued. Post blocks
	// while the mailbox is full.
	MailboxSize int
	// Observe, if set, is called after each step with its duration and the
	// number of queued events.
	Observe func(step time.Duration, backlog int)
}

// Loop passes events to a reducer and executes its effects.
type Loop[E, F any] struct {
	cfg     Config[E, F]
	mailbox chan E
	done    chan struct{}
}

// New returns a loop. Call Run to start it.
func New[E, F any](cfg Config[E, F]) *Loop[E, F] {
	return &Loop[E, F]{cfg: cfg, mailbox: make(chan E, cfg.MailboxSize), done: make(chan struct{})}
}

// Post queues an event. It blocks while the mailbox is full and returns false if
// ctx or the loop ends first.
func (l *Loop[E, F]) Post(ctx context.Context, e E) bool {
	select {
	case l.mailbox <- e:
		return true
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// Run handles events until ctx ends. It returns after all effects in progress
// have completed.
func (l *Loop[E, F]) Run(ctx context.Context) {
	var effects conc.WaitGroup
	defer effects.Wait()
	defer close(l.done)
	ticker := time.NewTicker(l.cfg.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.mailbox:
			l.step(ctx, &effects, e)
		case <-ticker.C:
			l.step(ctx, &effects, l.cfg.Tick())
		}
	}
}

// step passes e to the reducer and starts the resulting effects.
func (l *Loop[E, F]) step(ctx context.Context, effects *conc.WaitGroup, e E) {
	began := time.Now()
	out := l.cfg.Step(e)
	if l.cfg.Observe != nil {
		l.cfg.Observe(time.Since(began), len(l.mailbox))
	}
	for _, f := range out {
		if l.cfg.ExecuteInline != nil && l.cfg.ExecuteInline(f) {
			continue
		}
		effects.Go(func() { l.cfg.Execute(ctx, f) })
	}
}
