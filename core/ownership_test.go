package core

import (
	"testing"
	"time"
)

// TestFollowerPollsLeaseAfterOwnerTimeout guards against a follower that keeps the
// slow poll schedule, set while the owner was alive, after the owner has died.
func TestFollowerPollsLeaseAfterOwnerTimeout(t *testing.T) {
	for seed := range uint64(20) {
		r := New(Config{Host: "b", DataCentre: "a", Region: "r", Incarnation: 1, Seed: seed})
		at := Time(time.Hour)
		reads := func(until Time, heard bool) (last Time) {
			for ; at < until; at = at.Add(TickPeriod) {
				if heard {
					r.Step(Event{At: at, Body: PeerHeard{Heartbeat{From: "c", Owner: true, Epoch: 64, HighestEpoch: 64}}})
				}
				for _, f := range r.Step(Event{At: at, Body: Tick{}}) {
					if get, ok := f.(GetValue); ok && get.Op.Purpose == PurposeOwnerRead {
						last = at
					}
				}
			}
			return last
		}
		lastHeard := at.Add(30 * time.Second)
		reads(lastHeard, true)
		if last := reads(lastHeard.Add(ownerHeartbeatTimeout+leasePollInterval), false); last < lastHeard.Add(ownerHeartbeatTimeout) {
			t.Errorf("seed %d: the lease was last read %s after the owner's last heartbeat, want once after %s",
				seed, last.Sub(lastHeard), ownerHeartbeatTimeout)
		}
	}
}
