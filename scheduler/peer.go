package scheduler

import (
	"slices"
	"time"
)

// peerForget is how long after its last greeting a host is dropped when a new one
// comes. Hosts are replaced at other addresses hundreds of times a day.
const peerExpiry = time.Minute

// peer is a host of the system as the owner knows it, the owner itself included,
// whose address is empty. It asks the advice service, relays calls to the store and
// makes calls to the workers of its data centre.
type peer struct {
	address string
	zone    string
	// workers counts the workers for which the host was chosen as the agent.
	assignedWorkers int
	lastHeard       Time
	power           int64
	backlog         time.Duration
	longCalls       int
	// overhead is the mean time of a call beyond what the service takes.
	overhead time.Duration
	// restUntil is until when the host is not asked, rest how long it was not
	// after the last failure.
	backoffUntil Time
	backoff      time.Duration
}

// greeted notes that a host is alive and can ask for advice.
func (c *cell) handleHello(e HelloReceived) {
	c.emit(Reply{Token: e.Token, Answer: Answer{MaxPower: c.maxPower()}})
	for _, a := range c.peers {
		if a.address == e.Address {
			a.lastHeard, a.power, a.zone = c.now, e.Power, e.Zone
			return
		}
	}
	c.peers = slices.DeleteFunc(c.peers, func(p *peer) bool {
		return p.address != "" && p.backlog == 0 && c.now.Sub(p.lastHeard) > peerExpiry
	})
	c.peers = append(c.peers, &peer{address: e.Address, lastHeard: c.now, power: e.Power, zone: e.Zone})
}

// live reports whether a host has greeted this one lately.
func (c *cell) isAlive(a *peer) bool {
	return a.address == "" || c.now.Sub(a.lastHeard) <= helloTTL
}

// maxPower is the greatest processor time of the hosts that are known.
func (c *cell) maxPower() int64 {
	most := c.reducer.self.Power
	for _, a := range c.peers {
		if c.now.Sub(a.lastHeard) <= helloTTL {
			most = max(most, a.power)
		}
	}
	return most
}
