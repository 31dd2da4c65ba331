// Package control runs a reducer on one goroutine.
//
// Traffic goroutines post events; the loop hands them to the reducer one at a
// time and passes each effect to an executor. Control state is touched by the
// loop's goroutine alone, so it needs no lock.
package control

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// Config describes a loop over events E and effects F.
type Config[E, F any] struct {
	// Step is the reducer. Only the loop's goroutine calls it.
	Step func(E) []F
	// Execute carries out one effect on a goroutine of its own.
	Execute func(context.Context, F)
	// Immediate, if set, is called on the loop's goroutine before Execute. It
	// must not block. An effect for which it returns true is done.
	ExecuteInline func(F) bool
	// Tick builds the event that is posted every Period.
	Tick       func() E
	TickPeriod time.Duration
	// Mailbox is the number of events that may wait. Post blocks beyond it.
	MailboxSize int
	// Observe, if set, is called with the time that each step took.
	Observe func(step time.Duration, backlog int)
}

// Loop runs one reducer.
type Loop[E, F any] struct {
	cfg     Config[E, F]
	mailbox chan E
	done    chan struct{}
}

// New returns a loop that does not run yet.
func New[E, F any](cfg Config[E, F]) *Loop[E, F] {
	return &Loop[E, F]{cfg: cfg, mailbox: make(chan E, cfg.MailboxSize), done: make(chan struct{})}
}

// Post hands an event to the loop. It blocks while the mailbox is full and
// returns false if ctx or the loop has ended.
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

// Run steps the reducer until ctx ends. It returns once every effect in
// progress has returned.
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

// step runs the reducer on e and starts its effects.
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
