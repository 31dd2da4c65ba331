package scheduler

import "time"

const (
	// relayRest is how long only the direct way is tried after every host has
	// failed to reach the store.
	relayRest = 1 * time.Second
	// handoverAfter is how long an owner may depend on a relay before it hands
	// the ownership to a host that reaches the store itself: it learns of
	// changed workers and configurations late.
	handoverAfter = 800 * msec
)

// relay is the way to the store through another host. The store can turn single
// hosts away, or be cut off from them, while it serves the others.
type relay struct {
	// via is the host that is used, empty for the direct way.
	via string
	// since is when the direct way failed first.
	since Time
	// works means that the last call through the relay was answered.
	works bool
	next  int
	// tried counts the hosts that failed in a row. After all of them only the
	// direct way is tried until restUntil.
	tried     int
	restUntil Time
}

// storeFailed reacts to a call to the store that was refused or not answered.
func (c *cell) storeFailed(via string) {
	l := &c.relay
	if via != l.via {
		return
	}
	if l.via == "" && l.since == 0 {
		l.since = c.now
	}
	l.works = false
	if c.now < l.restUntil {
		l.via = ""
		return
	}
	l.via = c.nextRelay()
	if l.tried++; l.tried > len(c.peers) {
		// No host reaches the store.
		l.tried, l.restUntil, l.via = 0, c.now.Add(relayRest), ""
	}
	c.logDecision(Decision{Kind: "store", Outcome: "relay_chosen", Reason: l.via})
}

// storeAnswered notes that a call to the store was answered.
func (c *cell) storeAnswered(via string) {
	l := &c.relay
	if via == "" && l.via == "" {
		l.since = 0
	}
	l.tried = 0
	if via == l.via && via != "" {
		l.works = true
	}
}

// nextRelay picks the next live host, or the direct way after the last one.
func (c *cell) nextRelay() string {
	l := &c.relay
	for range len(c.peers) {
		l.next = (l.next + 1) % len(c.peers)
		a := c.peers[l.next]
		if a.address == "" || c.now.Sub(a.heard) <= helloTTL {
			return a.address
		}
	}
	return ""
}

// advanceRelay hands the ownership over if the direct way stays closed.
func (c *cell) advanceRelay() {
	l := &c.relay
	if l.via == "" || !l.works || l.since == 0 || c.now.Sub(l.since) < handoverAfter {
		return
	}
	c.handOver("this host reaches the store through another one only")
}
