package grant

import (
	"context"
	"sync"

	"banyanrun.example/banyanrun/core"
)

// CallDeduplicator is a core.CallMemory for concurrent use. Repeated requests for
// a call wait for the outcome of the first one.
type CallDeduplicator struct {
	now func() core.Time

	mu         sync.Mutex
	state      *core.CallMemory
	inProgress map[core.CallKey]chan struct{}
}

// NewCallDeduplicator returns a deduplicator without any calls. now returns the
// current time.
func NewCallDeduplicator(now func() core.Time) *CallDeduplicator {
	return &CallDeduplicator{now: now, state: core.NewCallMemory(), inProgress: map[core.CallKey]chan struct{}{}}
}

// Begin returns true if the call may run; the caller must then call End.
// Otherwise it returns the outcome of the first call with the same key, waiting
// for it until ctx ends.
func (d *CallDeduplicator) Begin(ctx context.Context, key core.CallKey, digest uint64) (core.RememberedCall, bool) {
	for {
		d.mu.Lock()
		known, first := d.state.Begin(d.now(), key, digest)
		if first {
			d.inProgress[key] = make(chan struct{})
		}
		done := d.inProgress[key]
		d.mu.Unlock()
		if first || !known.Running {
			return known, first
		}
		select {
		case <-done:
		case <-ctx.Done():
			return known, false
		}
	}
}

// End records the outcome of a call that Begin allowed and wakes the requests
// that wait for it.
func (d *CallDeduplicator) End(key core.CallKey, answer *core.CallAnswer, ref *core.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.End(d.now(), key, answer, ref)
	close(d.inProgress[key])
	delete(d.inProgress, key)
}
