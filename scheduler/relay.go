package scheduler

import "time"

const (
	// relayCooldown is how long the store is only called directly after the calls
	// through all hosts have failed.
	relayCooldown = 1 * time.Second
	// maxRelayTime is how long an owner may depend on a relay before it hands over
	// the ownership to a host that reaches the store directly. An owner without
	// direct access learns late of changes to workers and configuration.
	maxRelayTime = 800 * msec
)

// relay is the state of calls to the store through another host. The store can reject
// single hosts, or be unreachable for them, while it serves the others.
type relay struct {
	// via is the address of the host in use, or empty for direct calls.
	via string
	// directFailedAt is when the current series of failed direct calls began, or 0 if
	// direct calls are answered.
	directFailedAt Time
	// confirmed means that the last call through the relay was answered.
	confirmed bool
	// nextPeer is the index of the last peer that was chosen.
	nextPeer int
	// failedInRow counts the consecutive failures. Once they outnumber the hosts, the
	// store is only called directly until cooldownUntil.
	failedInRow   int
	cooldownUntil Time
}

// storeFailed chooses another path to the store after a call was rejected or not
// answered.
func (c *cell) storeFailed(via string) {
	l := &c.relay
	if via != l.via {
		return
	}
	if l.via == "" && l.directFailedAt == 0 {
		l.directFailedAt = c.now
	}
	l.confirmed = false
	if c.now < l.cooldownUntil {
		l.via = ""
		return
	}
	l.via = c.nextRelay()
	if l.failedInRow++; l.failedInRow > len(c.peers) {
		// No host reaches the store.
		l.failedInRow, l.cooldownUntil, l.via = 0, c.now.Add(relayCooldown), ""
	}
	c.logDecision(Decision{Kind: "store", Outcome: "relay_chosen", Reason: l.via})
}

// storeAnswered records that a call to the store was answered.
func (c *cell) storeAnswered(via string) {
	l := &c.relay
	if via == "" && l.via == "" {
		l.directFailedAt = 0
	}
	l.failedInRow = 0
	if via == l.via && via != "" {
		l.confirmed = true
	}
}

// nextRelay returns the address of the next live host in turn. The owner itself is one
// of them, with an empty address, which stands for direct calls.
func (c *cell) nextRelay() string {
	l := &c.relay
	for range len(c.peers) {
		l.nextPeer = (l.nextPeer + 1) % len(c.peers)
		p := c.peers[l.nextPeer]
		if p.address == "" || c.now.Sub(p.lastHeard) <= helloTTL {
			return p.address
		}
	}
	return ""
}

// advanceRelay hands over the ownership if direct calls keep failing while a relay
// works.
func (c *cell) advanceRelay() {
	l := &c.relay
	if l.via == "" || !l.confirmed || l.directFailedAt == 0 || c.now.Sub(l.directFailedAt) < maxRelayTime {
		return
	}
	c.handOver("this host can reach the store only through another host")
}
