package core

import (
	"testing"
	"time"
)

// TestWaitingHostGetsAShare guards against a host that keeps every slot allowed by
// the workers' limits while calls at another host wait until their deadline.
func TestWaitingHostGetsAShare(t *testing.T) {
	cases := []struct {
		name string
		// inUse is the number of slots that the first host reports as in use.
		inUse int
	}{
		{"the other host keeps its slots unused", 0},
		{"the other host uses all of its slots", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newTestOwner(t)
			key := queueKey{"red", "call"}
			o.step(DocumentsRead{Versions: []DocumentVersion{{Revision: 2, Document: Document{
				Team: "red", Weight: 1, Kinds: []Kind{{
					Name: "call", Urgency: Interactive, GangSize: 1, Request: Resources{Slots: 1}, Deadline: 20 * time.Second,
				}},
			}}}})
			o.fleet.update([]ListedWorker{{ID: "w", DataCentre: "home", Capacity: Resources{Slots: 8}}})
			w := o.fleet.get("w")
			w.fenced = true
			w.callLimitOf(key).limit = 2
			o.fleet.refreshIndex(w)
			first, second := o.grants.forHost("first"), o.grants.forHost("second")
			for range 100 {
				o.at = o.at.Add(grantInterval)
				// Every change of the grants is confirmed at once, and a slot in
				// use is free again by the next report.
				target := first.totalTarget(key)
				o.applyCallReports(first, first.version, o.owner.epoch, []CallReport{
					{Team: "red", Kind: "call", Worker: "w", InUse: min(c.inUse, target)},
					{Team: "red", Kind: "call", Waiting: c.inUse},
				})
				o.applyCallReports(second, second.version, o.owner.epoch, []CallReport{{Team: "red", Kind: "call", Waiting: 1}})
				o.step(Tick{})
				if second.totalTarget(key) > 0 {
					return
				}
			}
			t.Errorf("after 20 s the waiting host has no slot; the other has %d", first.totalTarget(key))
		})
	}
}
