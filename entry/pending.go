package entry

import (
	"sync"

	"banyanrun.example/banyanrun/core"
)

// pending holds the open requests that wait for the reducer.
type pending struct {
	mu      sync.Mutex
	next    core.RequestID
	waiting map[core.RequestID]chan core.Effect
}

func newPending() *pending { return &pending{waiting: map[core.RequestID]chan core.Effect{}} }

// open registers a request. Its channel gets Reply and Forward effects.
func (p *pending) open() (core.RequestID, <-chan core.Effect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	// A request gets one Forward at a time and one Reply in the end.
	ch := make(chan core.Effect, 2)
	p.waiting[p.next] = ch
	return p.next, ch
}

// close forgets a request.
func (p *pending) close(id core.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

// deliver passes an effect to the request. It never blocks: what does not fit
// belongs to a request that has been answered.
func (p *pending) deliver(id core.RequestID, f core.Effect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ch := p.waiting[id]
	if ch == nil {
		return
	}
	select {
	case ch <- f:
	default:
	}
}
