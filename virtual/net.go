package virtual

import (
	"maps"
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
)

// link is one direction between two endpoints.
type link struct{ from, to Endpoint }

// linkFault contains the faults of a link.
type linkFault struct {
	drop      bool
	dropNext  int
	delay     time.Duration
	duplicate bool
}

// exchangeResult says how an exchange ended.
type exchangeResult uint8

const (
	// answered means that a complete answer arrived.
	answered exchangeResult = iota
	// notDelivered means that the request certainly did not arrive.
	notDelivered
	// connectionBroken means that the request may have arrived but no
	// answer came.
	connectionBroken
)

// exchange is a request that waits for its answer.
type exchange struct {
	from, to Endpoint
	done     func(body any, result exchangeResult)
	// incarnation is that of the requesting host; after a restart the
	// answer is discarded.
	incarnation uint64
}

// delay returns the one-way delay between two endpoints.
func (c *Cluster) delay(a, b Endpoint) time.Duration {
	d := c.cfg.HostDelay
	switch {
	case a == Store || b == Store:
		d = c.cfg.StoreDelay
	case c.workers[core.WorkerID(a)] != nil || c.workers[core.WorkerID(b)] != nil:
		d = c.cfg.WorkerDelay
	}
	if c.cfg.Jitter > 0 {
		d += time.Duration(c.rng.Int64N(int64(c.cfg.Jitter)))
	}
	return d
}

// send schedules the delivery of a message over a link. arrive runs for each
// copy that arrives.
func (c *Cluster) send(from, to Endpoint, arrive func()) {
	d := c.delay(from, to)
	f := c.links[link{from, to}]
	if f == nil {
		c.After(d, arrive)
		return
	}
	if f.drop {
		return
	}
	if f.dropNext > 0 {
		f.dropNext--
		return
	}
	c.After(d+f.delay, arrive)
	if f.duplicate {
		c.After(d+f.delay+2*d, arrive)
	}
}

// sendRequest sends a request. deliver runs at the receiver, with the id for
// its answer, each time the request arrives; done runs once at the sender.
func (c *Cluster) sendRequest(from, to Endpoint, timeout time.Duration, deliver func(id uint64), done func(body any, result exchangeResult)) {
	c.lastExchange++
	id := c.lastExchange
	c.pending[id] = &exchange{from: from, to: to, done: done, incarnation: c.incarnationOf(from)}
	c.send(from, to, func() {
		if !c.accepts(to) {
			c.send(to, from, func() { c.finishExchange(id, nil, notDelivered) })
			return
		}
		deliver(id)
	})
	c.After(timeout, func() {
		if c.pending[id] != nil {
			c.abandonExchange(id)
			c.finishExchange(id, nil, connectionBroken)
		}
	})
}

// sendAnswer sends the answer of an exchange after the delay hold.
func (c *Cluster) sendAnswer(id uint64, body any, result exchangeResult, hold time.Duration) {
	e := c.pending[id]
	if e == nil {
		return
	}
	c.After(hold, func() { c.send(e.to, e.from, func() { c.finishExchange(id, body, result) }) })
}

// finishExchange closes an exchange and reports the result if the sender still
// runs.
func (c *Cluster) finishExchange(id uint64, body any, result exchangeResult) {
	e := c.pending[id]
	if e == nil {
		return
	}
	delete(c.pending, id)
	h := c.hosts[core.HostID(e.from)]
	if h == nil {
		e.done(body, result)
		return
	}
	h.runInIncarnation(e.incarnation, func() { e.done(body, result) })
}

// abandonExchange tells the receiver that the sender no longer waits.
func (c *Cluster) abandonExchange(id uint64) {
	e := c.pending[id]
	if e.to == Store {
		c.store.abandon(c, id)
		return
	}
	if w := c.workers[core.WorkerID(e.to)]; w != nil {
		c.abandonAtWorker(w, id)
	}
}

// breakExchanges ends the exchanges of an endpoint that has died.
func (c *Cluster) breakExchanges(endpoint Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(c.pending)) {
		e := c.pending[id]
		switch {
		case e.from == endpoint:
			c.abandonExchange(id)
			delete(c.pending, id)
		case e.to == endpoint:
			c.After(c.delay(e.to, e.from), func() { c.finishExchange(id, nil, connectionBroken) })
		}
	}
}

// accepts reports whether an endpoint accepts connections.
func (c *Cluster) accepts(endpoint Endpoint) bool {
	if h := c.hosts[core.HostID(endpoint)]; h != nil {
		return h.alive
	}
	if w := c.workers[core.WorkerID(endpoint)]; w != nil {
		return w.alive
	}
	return true
}

// incarnationOf returns the incarnation of a host, or zero for other endpoints.
func (c *Cluster) incarnationOf(endpoint Endpoint) uint64 {
	if h := c.hosts[core.HostID(endpoint)]; h != nil {
		return h.incarnation
	}
	return 0
}
