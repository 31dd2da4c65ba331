package budget

import "time"

// ID identifies a holder of memory. It is never reused.
type ID uint64

// Event is an input of the reducer.
type Event interface{ isEvent() }

// Opened asks for a connection to be served.
type Opened struct{ ID ID }

// Held asks for memory for work that outlives its request. It is never evicted, and
// Closed ends it.
type Held struct {
	ID    ID
	Bytes int64
}

// RequestBegun reports the first byte of a request.
type RequestBegun struct{ ID ID }

// Resized asks for the memory of the current request to become Bytes. A smaller
// amount than before is always granted.
type Resized struct {
	ID    ID
	Bytes int64
}

// PassedOn reports that the request may take effect from now on.
type PassedOn struct{ ID ID }

// Answered reports that the outcome of the request is known.
type Answered struct{ ID ID }

// RequestEnded reports that the request has been answered and holds no memory.
type RequestEnded struct{ ID ID }

// Closed reports that a holder has released everything.
type Closed struct{ ID ID }

func (Opened) isEvent()       {}
func (Held) isEvent()         {}
func (RequestBegun) isEvent() {}
func (Resized) isEvent()      {}
func (PassedOn) isEvent()     {}
func (Answered) isEvent()     {}
func (RequestEnded) isEvent() {}
func (Closed) isEvent()       {}

// Effect is an output of the reducer. Effects are executed in order.
type Effect interface{ isEffect() }

// Grant grants the latest Opened, Held or Resized event of a holder.
type Grant struct{ ID ID }

// Refuse refuses it. The holder keeps what it had before.
type Refuse struct {
	ID ID
	// TooLarge means that the memory would not be granted to a single holder either.
	TooLarge bool
}

// Evict closes a connection. Its socket is gone once the effect is executed; its other
// memory is charged until Closed.
type Evict struct {
	ID ID
	// Bytes is the memory that the connection holds, Age for how long it has held it.
	Bytes int64
	Age   time.Duration
}

func (Grant) isEffect()  {}
func (Refuse) isEffect() {}
func (Evict) isEffect()  {}
