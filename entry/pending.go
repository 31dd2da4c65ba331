package entry

import (
	"sync"

	"banyanrun.example/banyanrun/core"
)

// pending holds the open requests that wait for the reducer.
type pendingRequests struct {
	mu      sync.Mutex
	lastID  core.RequestID
	replies map[core.RequestID]chan core.Effect
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{replies: map[core.RequestID]chan core.Effect{}}
}

// open registers a request. Its channel gets Reply and Forward effects.
func (p *pendingRequests) register() (core.RequestID, <-chan core.Effect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	// A request gets one Forward at a time and one Reply in the end.
	ch := make(chan core.Effect, 2)
	p.replies[p.lastID] = ch
	return p.lastID, ch
}

// close forgets a request.
func (p *pendingRequests) remove(id core.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.replies, id)
}

// deliver passes an effect to the request. It never blocks: what does not fit
// belongs to a request that has been answered.
func (p *pendingRequests) deliver(id core.RequestID, f core.Effect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ch := p.replies[id]
	if ch == nil {
		return
	}
	select {
	case ch <- f:
	default:
	}
}
