package scheduler

import "time"

const (
	// relayRest is how long only the direct way is tried after every host has
	// failed to reach the store.
	relayCooldown = 1 * time.Second
	// handoverAfter is how long an owner may depend on a relay before it hands
	// the ownership to a host that reaches the store itself: it learns of
	// changed workers and configurations late.
	maxRelayTime = 800 * msec
)

// relay is the way to the store through another host. The store can turn single
// hosts away, or be cut off from them, while it serves the others.
type relay struct {
	// via is the host that is used, empty for the direct way.
	via string
	// since is when the direct way failed first.
	directFailedAt Time
	// works means that the last call through the relay was answered.
	confirmed bool
	nextPeer  int
	// tried counts the hosts that failed in a row. After all of them only the
	// direct way is tried until restUntil.
	failedInRow   int
	cooldownUntil Time
}

// storeFailed reacts to a call to the store that was refused or not answered.
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

// storeAnswered notes that a call to the store was answered.
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

// nextRelay picks the next live host, or the direct way after the last one.
func (c *cell) nextRelay() string {
	l := &c.relay
	for range len(c.peers) {
		l.nextPeer = (l.nextPeer + 1) % len(c.peers)
		a := c.peers[l.nextPeer]
		if a.address == "" || c.now.Sub(a.lastHeard) <= helloTTL {
			return a.address
		}
	}
	return ""
}

// advanceRelay hands the ownership over if the direct way stays closed.
func (c *cell) advanceRelay() {
	l := &c.relay
	if l.via == "" || !l.confirmed || l.directFailedAt == 0 || c.now.Sub(l.directFailedAt) < maxRelayTime {
		return
	}
	c.handOver("this host reaches the store through another one only")
}
