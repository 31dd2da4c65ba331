package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestReclaimAfterAnotherOwnerTruncatedTheLog guards against accepted jobs that are lost
// when an isolated owner returns: another host has owned the cell meanwhile, has
// replaced the log by a snapshot and has handed over, so neither an owner record nor a
// group with the next sequence number shows that it did.
func TestReclaimAfterAnotherOwnerTruncatedTheLog(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 2, 3)
			sim.run(3 * time.Second)
			first := sim.owner()
			second := sim.hosts[1-first.index]
			isolated := true
			sim.faults.hostIsolated = func(host int, _ Time) bool { return isolated && host == first.index }
			for range 200 {
				if sim.run(10 * msec); second.r.cell != nil {
					break
				}
			}
			if second.r.cell == nil {
				t.Fatal("the other host has not taken over")
			}
			sim.submitMany("aaa", 10, "urgent", Step{Count: 1, Need: Resources{MilliCPU: 100}, Estimate: 100 * msec})
			sim.run(300 * msec)
			second.r.cell.beginSnapshot()
			sim.run(200 * msec)
			if _, ok := sim.store.log[first.r.cell.log.next]; ok {
				t.Fatal("the log has not been truncated")
			}
			sim.post(second, second.incarnation, StopRequested{})
			sim.run(100 * msec)
			isolated = false
			sim.run(3 * time.Second)
			sim.killHost(second)
			sim.startHost(second)
			sim.run(3 * time.Second)
			accepted := 0
			for id, j := range sim.jobs {
				if !j.accepted {
					continue
				}
				accepted++
				if c := sim.owner().r.cell; c.jobs[id] == nil {
					t.Errorf("job %s was accepted and is unknown to the owner", id)
				}
			}
			if accepted == 0 {
				t.Error("no job was accepted")
			}
			for _, v := range sim.violations {
				t.Error(v)
			}
		})
	}
}

// TestOutdatedOwnerDeletionIsIgnored guards against an owner that gives up its lease
// because a watch reports the deletion of an earlier owner record late, for example
// after the host was cut off from the store.
func TestOutdatedOwnerDeletionIsIgnored(t *testing.T) {
	sim := newSimulation(t, 1, 1, 1)
	sim.store.revision = 10
	sim.run(3 * time.Second)
	h := sim.owner()
	revision := sim.store.ownerRevision
	sim.post(h, h.incarnation, OwnerSeen{Revision: revision - 1})
	if !h.r.leaseValid() {
		t.Error("the owner gave up its lease after an outdated deletion")
	}
	sim.post(h, h.incarnation, OwnerSeen{Revision: revision + 1})
	if h.r.leaseValid() {
		t.Error("the owner kept its lease after its record was deleted")
	}
}
