package scheduler

import (
	"slices"
	"time"
)

// peerExpiry is the time after a host's last Hello from which it is removed when a new
// host appears. Hosts are replaced at other addresses hundreds of times a day.
const peerExpiry = time.Minute

// peer is the owner's record of a host. Peers call the advice service, relay calls to
// the store and call the workers of their data centre on behalf of the owner. The
// owner itself is a peer with an empty address.
type peer struct {
	address string
	zone    string
	// assignedWorkers is the number of workers for which the host was chosen as the
	// agent.
	assignedWorkers int
	lastHeard       Time
	// power is the host's CPU capacity in thousandths of a core.
	power int64
	// memory is the memory of the host in bytes, or 0 if it has no limit.
	memory int64
	// backlog is the expected total duration of the host's calls for advice in
	// flight, longCalls the number of long ones among them.
	backlog   time.Duration
	longCalls int
	// overhead is the mean duration of a call for advice beyond the time that the
	// service takes.
	overhead time.Duration
	// backoffUntil is the time before which the host is not used for calls for
	// advice, backoff the delay after the last failure.
	backoffUntil Time
	backoff      time.Duration
}

// handleHello records that a host is alive.
func (c *cell) handleHello(e HelloReceived) {
	p := c.peerAt(e.Address)
	p.lastHeard, p.power, p.memory, p.zone = c.now, e.Power, e.MemoryBytes, e.Zone
	c.refreshBudget()
	c.emit(Reply{Token: e.Token, Answer: Answer{MaxPower: c.maxPower(), MinMemory: c.minMemory()}})
}

// peerAt returns the peer with an address. It adds one if there is none.
func (c *cell) peerAt(address string) *peer {
	for _, p := range c.peers {
		if p.address == address {
			return p
		}
	}
	c.peers = slices.DeleteFunc(c.peers, func(p *peer) bool {
		return p.address != "" && p.backlog == 0 && c.now.Sub(p.lastHeard) > peerExpiry
	})
	p := &peer{address: address}
	c.peers = append(c.peers, p)
	return p
}

// isAlive reports whether a host has sent a Hello recently. The owner itself is always
// alive.
func (c *cell) isAlive(p *peer) bool {
	return p.address == "" || c.now.Sub(p.lastHeard) <= helloTTL
}

// maxPower returns the CPU capacity of the largest host that is alive.
func (c *cell) maxPower() int64 {
	maxPower := c.reducer.self.Power
	for _, p := range c.peers {
		if c.now.Sub(p.lastHeard) <= helloTTL {
			maxPower = max(maxPower, p.power)
		}
	}
	return maxPower
}
