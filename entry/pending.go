package entry

import (
	"sync"

	"banyanrun.example/banyanrun/core"
)

// pendingRequests holds the channels of requests that wait for the reducer's reply.
type pendingRequests struct {
	mu      sync.Mutex
	lastID  core.RequestID
	replies map[core.RequestID]chan core.Effect
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{replies: map[core.RequestID]chan core.Effect{}}
}

// register adds a request. Its channel receives Reply and Forward effects.
func (p *pendingRequests) register() (core.RequestID, <-chan core.Effect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	// A request gets at most one Forward at a time, and finally one Reply.
	ch := make(chan core.Effect, 2)
	p.replies[p.lastID] = ch
	return p.lastID, ch
}

// remove removes a request. Later effects for it are dropped.
func (p *pendingRequests) remove(id core.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.replies, id)
}

// deliver passes an effect to its request. It never blocks: it drops an effect that
// does not fit in the channel, which belongs to a request that already has its
// reply.
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
