package grant

import (
	"context"
	"sync"

	"banyanrun.example/banyanrun/core"
)

// Memory guards a core.CallMemory and lets copies of a call wait for the first.
type CallDeduplicator struct {
	now func() core.Time

	mu         sync.Mutex
	state      *core.CallMemory
	inProgress map[core.CallKey]chan struct{}
}

// NewMemory returns an empty memory. now reads the clock.
func NewCallDeduplicator(now func() core.Time) *CallDeduplicator {
	return &CallDeduplicator{now: now, state: core.NewCallMemory(), inProgress: map[core.CallKey]chan struct{}{}}
}

// Begin reports true if the call may run. Otherwise it returns the outcome of
// the first call with the key, waiting for it until ctx ends.
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

// End notes the outcome of a call that Begin let run.
func (d *CallDeduplicator) End(key core.CallKey, answer *core.CallAnswer, ref *core.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.End(d.now(), key, answer, ref)
	close(d.inProgress[key])
	delete(d.inProgress, key)
}
