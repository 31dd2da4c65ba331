package virtual

import (
	"maps"
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
)

// link is one direction between two parties.
type link struct{ from, to Party }

// linkFault is what happens to the messages on a link.
type linkFault struct {
	drop     bool
	dropNext int
	delay    time.Duration
	repeat   bool
}

// failure says how an exchange ended.
type failure uint8

const (
	// answered brought a whole answer.
	answered failure = iota
	// notWritten means that the request surely did not arrive.
	notWritten
	// broken means that the request may have arrived and no answer came.
	broken
)

// exchange is a request that waits for its answer.
type exchange struct {
	from, to Party
	done     func(body any, f failure)
	// life is the incarnation of the host that asked; its answer is for
	// nobody after a restart.
	life uint64
}

// delay is the one-way delay between two parties.
func (c *Cluster) delay(a, b Party) time.Duration {
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

// send carries one message over a link; arrive runs for each copy.
func (c *Cluster) send(from, to Party, arrive func()) {
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
	if f.repeat {
		c.After(d+f.delay+2*d, arrive)
	}
}

// ask sends a request. deliver runs at the receiver with the number to answer
// under, and done at the sender, once.
func (c *Cluster) ask(from, to Party, timeout time.Duration, deliver func(id uint64), done func(body any, f failure)) {
	c.last++
	id := c.last
	c.open[id] = &exchange{from: from, to: to, done: done, life: c.lifeOf(from)}
	c.send(from, to, func() {
		if !c.listens(to) {
			c.send(to, from, func() { c.end(id, nil, notWritten) })
			return
		}
		deliver(id)
	})
	c.After(timeout, func() {
		if c.open[id] != nil {
			c.abandon(id)
			c.end(id, nil, broken)
		}
	})
}

// answer sends the answer of an exchange.
func (c *Cluster) answer(id uint64, body any, f failure, hold time.Duration) {
	e := c.open[id]
	if e == nil {
		return
	}
	c.After(hold, func() { c.send(e.to, e.from, func() { c.end(id, body, f) }) })
}

// end closes an exchange and tells the sender if it still runs.
func (c *Cluster) end(id uint64, body any, f failure) {
	e := c.open[id]
	if e == nil {
		return
	}
	delete(c.open, id)
	h := c.hosts[core.HostID(e.from)]
	if h == nil {
		e.done(body, f)
		return
	}
	h.runIn(e.life, func() { e.done(body, f) })
}

// abandon tells the receiver that nobody waits any more.
func (c *Cluster) abandon(id uint64) {
	e := c.open[id]
	if e.to == Store {
		c.store.abandon(c, id)
		return
	}
	if w := c.workers[core.WorkerID(e.to)]; w != nil {
		c.abandonAtWorker(w, id)
	}
}

// breakExchanges ends the exchanges of a party that has died.
func (c *Cluster) breakExchanges(p Party) {
	for _, id := range slices.Sorted(maps.Keys(c.open)) {
		e := c.open[id]
		switch {
		case e.from == p:
			c.abandon(id)
			delete(c.open, id)
		case e.to == p:
			c.After(c.delay(e.to, e.from), func() { c.end(id, nil, broken) })
		}
	}
}

// listens reports whether a party accepts connections.
func (c *Cluster) listens(p Party) bool {
	if h := c.hosts[core.HostID(p)]; h != nil {
		return h.alive
	}
	if w := c.workers[core.WorkerID(p)]; w != nil {
		return w.alive
	}
	return true
}

// lifeOf returns the incarnation of a host, or zero.
func (c *Cluster) lifeOf(p Party) uint64 {
	if h := c.hosts[core.HostID(p)]; h != nil {
		return h.life
	}
	return 0
}
