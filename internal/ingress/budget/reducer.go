// Package budget decides which connections of a listener may hold memory and which
// are closed to make room.
//
// The reducer charges each connection with what it may hold: a fixed amount while it
// is open, and the memory of its current request. It keeps these invariants:
//
//   - The sum of all charges never exceeds Limits.Bytes. A charge is granted only once
//     the memory of evicted connections has been released.
//   - A request that was passed on is never evicted, because it may take effect.
//   - Large requests leave a part of the sum to small ones.
package budget

import (
	"slices"
	"time"
)

// largeRequestShare is the share of the sum that large requests may use.
const largeRequestShare = 7.0 / 8

// Limits are the bounds of a listener.
type Limits struct {
	// Bytes bounds the sum of all charges.
	Bytes int64
	// Connections bounds the number of open connections.
	Connections int
	// HeapBytes and KernelBytes are charged for each open connection: for its
	// goroutine and buffers, and for the buffers of its socket.
	HeapBytes, KernelBytes int64
	// SmallBytes is the greatest memory of a small request.
	SmallBytes int64
}

// holder is a connection, or work that outlives its request.
type holder struct {
	id ID
	// index is the position in Reducer.holders.
	index int
	// base is the granted charge for the connection itself, request the one for its
	// current request.
	base, request int64
	// wanted is the additional charge that the holder waits for, or 0.
	wanted int64
	// since is when the current request began, or when the connection became idle.
	since time.Duration
	// opening is set until the connection is admitted.
	opening bool
	// hasSocket is set until the connection is evicted.
	hasSocket bool
	evicted   bool
	passedOn  bool
}

func (h *holder) bytes() int64 { return h.base + h.request }

// Reducer holds the charges of one listener.
type Reducer struct {
	limits  Limits
	now     time.Duration
	holders []*holder
	byID    map[ID]*holder
	// waiting holds the holders that wait for memory in the order of arrival.
	waiting []*holder
	// sum is the sum of all charges. evictedBytes is the part of it that evicted
	// connections have not released yet.
	sum, evictedBytes int64
	sockets           int
	effects           []Effect
}

// New returns a reducer without holders.
func New(limits Limits) *Reducer { return &Reducer{limits: limits, byID: map[ID]*holder{}} }

// Sum returns the sum of all charges.
func (r *Reducer) Sum() int64 { return r.sum }

// Sockets returns the number of open connections.
func (r *Reducer) Sockets() int { return r.sockets }

// Step handles an event at a time, which never decreases.
func (r *Reducer) Step(now time.Duration, e Event) []Effect {
	r.now, r.effects = now, nil
	switch e := e.(type) {
	case Opened:
		r.open(e.ID)
	case Held:
		r.ask(r.add(&holder{id: e.ID, passedOn: true}), e.Bytes)
	case RequestBegun:
		r.update(e.ID, func(h *holder) { h.since = r.now })
	case Resized:
		if h := r.byID[e.ID]; h != nil {
			r.resize(h, e.Bytes)
		} else {
			// The connection was closed in the meantime.
			r.effects = append(r.effects, Refuse{ID: e.ID})
		}
	case PassedOn:
		r.update(e.ID, func(h *holder) { h.passedOn = true })
	case Answered:
		r.update(e.ID, func(h *holder) { h.passedOn = false })
	case RequestEnded:
		r.update(e.ID, func(h *holder) {
			h.passedOn, h.since = false, r.now
			r.release(h, h.request)
		})
	case Closed:
		r.update(e.ID, r.remove)
	}
	if len(r.waiting) > 0 {
		for _, small := range []bool{true, false} {
			r.makeRoom(small)
		}
		for _, small := range []bool{true, false} {
			r.grantWaiting(small)
		}
	}
	return r.effects
}

// update applies a change to a holder if it is known.
func (r *Reducer) update(id ID, change func(*holder)) {
	if h := r.byID[id]; h != nil {
		change(h)
	}
}

// open admits a connection. If all slots are taken, it replaces the connection that
// holds most for longest. Connections that were opened a moment ago are not exempt:
// clients that come back at once would take each slot before ordinary ones could.
func (r *Reducer) open(id ID) {
	if r.sockets >= r.limits.Connections {
		victim := r.victim()
		if victim == nil {
			r.effects = append(r.effects, Refuse{ID: id})
			return
		}
		r.evict(victim)
	}
	r.sockets++
	r.ask(r.add(&holder{id: id, opening: true, hasSocket: true}), r.limits.HeapBytes+r.limits.KernelBytes)
}

func (r *Reducer) add(h *holder) *holder {
	h.index, h.since = len(r.holders), r.now
	r.holders = append(r.holders, h)
	r.byID[h.id] = h
	return h
}

// resize changes the memory of a connection's request.
func (r *Reducer) resize(h *holder, bytes int64) {
	switch {
	case bytes <= h.request:
		r.release(h, h.request-bytes)
		r.effects = append(r.effects, Grant{h.id})
	case h.evicted:
		r.effects = append(r.effects, Refuse{ID: h.id})
	default:
		r.ask(h, bytes-h.request)
	}
}

// ask lets a holder wait for more memory.
func (r *Reducer) ask(h *holder, bytes int64) {
	h.wanted = bytes
	r.waiting = append(r.waiting, h)
	if h.bytes()+bytes > r.bound(h) {
		r.refuse(h, true)
	}
}

// makeRoom evicts connections until the small or the large requests that wait will get
// their memory. If that is not enough, or only the latest of them could be evicted, that
// one is refused at once, so that its client gets an answer.
func (r *Reducer) makeRoom(small bool) {
	for {
		h := r.latestWaiting(small)
		if h == nil || r.missing(h) <= 0 {
			return
		}
		if victim := r.victim(); victim != nil && victim != h {
			r.evict(victim)
		} else {
			r.refuse(h, false)
		}
	}
}

// latestWaiting returns the small or large request that has waited least, or nil.
func (r *Reducer) latestWaiting(small bool) *holder {
	for _, h := range slices.Backward(r.waiting) {
		if r.isSmall(h) == small {
			return h
		}
	}
	return nil
}

// isSmall reports whether the request of a holder is small, with what it waits for.
func (r *Reducer) isSmall(h *holder) bool { return h.request+h.wanted <= r.limits.SmallBytes }

// bound returns the greatest sum with which a waiting holder gets its memory.
func (r *Reducer) bound(h *holder) int64 {
	if r.isSmall(h) {
		return r.limits.Bytes
	}
	return int64(largeRequestShare * float64(r.limits.Bytes))
}

// missing returns by how much the memory that is free or being released falls short of
// what a waiting holder and those that are served before it need.
func (r *Reducer) missing(h *holder) int64 {
	needed := r.sum - r.evictedBytes
	for _, w := range r.waiting {
		if r.isSmall(w) || !r.isSmall(h) {
			needed += w.wanted
		}
	}
	return needed - r.bound(h)
}

// victim returns the connection that holds most for longest, or nil. Requests that were
// passed on are exempt.
func (r *Reducer) victim() *holder {
	var worst *holder
	worstScore := 0.0
	for _, h := range r.holders {
		if h.passedOn || h.opening || !h.hasSocket {
			continue
		}
		age := r.now - h.since
		// With the added millisecond, the larger one of two new connections goes first.
		score := float64(h.bytes()) * float64(age+time.Millisecond)
		if score > worstScore {
			worst, worstScore = h, score
		}
	}
	return worst
}

// evict closes a connection. The memory of its socket is free at once.
func (r *Reducer) evict(h *holder) {
	r.effects = append(r.effects, Evict{ID: h.id, Bytes: h.bytes(), Age: r.now - h.since})
	r.dropSocket(h)
	h.evicted = true
	r.evictedBytes += h.bytes()
	if h.wanted > 0 {
		r.refuse(h, false)
	}
}

// dropSocket releases the slot of a connection and the memory of its socket.
func (r *Reducer) dropSocket(h *holder) {
	if !h.hasSocket {
		return
	}
	h.hasSocket = false
	r.sockets--
	if !h.opening {
		h.base -= r.limits.KernelBytes
		r.sum -= r.limits.KernelBytes
	}
}

// refuse ends the wait of a holder, and removes it if it has nothing yet.
func (r *Reducer) refuse(h *holder, tooLarge bool) {
	r.effects = append(r.effects, Refuse{ID: h.id, TooLarge: tooLarge})
	r.stopWaiting(h)
	if h.bytes() == 0 {
		r.remove(h)
	}
}

func (r *Reducer) stopWaiting(h *holder) {
	if h.wanted > 0 {
		h.wanted = 0
		r.waiting = slices.DeleteFunc(r.waiting, func(w *holder) bool { return w == h })
	}
}

// release gives back memory of the current request.
func (r *Reducer) release(h *holder, bytes int64) {
	h.request -= bytes
	r.sum -= bytes
	if h.evicted {
		r.evictedBytes -= bytes
	}
}

// remove releases everything that a holder has.
func (r *Reducer) remove(h *holder) {
	if h.wanted > 0 {
		r.effects = append(r.effects, Refuse{ID: h.id})
		r.stopWaiting(h)
	}
	r.dropSocket(h)
	r.sum -= h.bytes()
	if h.evicted {
		r.evictedBytes -= h.bytes()
	}
	delete(r.byID, h.id)
	last := len(r.holders) - 1
	r.holders[h.index] = r.holders[last]
	r.holders[h.index].index = h.index
	r.holders[last] = nil
	r.holders = r.holders[:last]
}

// grantWaiting grants memory to the small or large requests that wait, in the order of
// arrival, until one of them does not fit.
func (r *Reducer) grantWaiting(small bool) {
	fits := true
	r.waiting = slices.DeleteFunc(r.waiting, func(h *holder) bool {
		if r.isSmall(h) != small {
			return false
		}
		fits = fits && r.sum+h.wanted <= r.bound(h)
		if fits {
			r.grant(h)
		}
		return fits
	})
}

// grant gives a holder the memory that it waits for.
func (r *Reducer) grant(h *holder) {
	r.sum += h.wanted
	if h.opening {
		h.base, h.opening = h.wanted, false
	} else {
		h.request += h.wanted
	}
	h.wanted = 0
	r.effects = append(r.effects, Grant{h.id})
}
