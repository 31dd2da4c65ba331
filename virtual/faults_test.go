package virtual

import (
	"fmt"
	"testing"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/store"
	"banyanrun.example/banyanrun/standin/worker"
)

// mixedLoad submits jobs of every kind, some of which run long and some of
// which wait in the queues, and starts calls, so that there are jobs in every
// state when it returns.
func mixedLoad(c *Cluster, host core.HostID) {
	for _, kind := range []core.KindName{"batch", "billed", "gang"} {
		submit(c, host, kind, 6, 12000)
		submit(c, host, kind, 6, 1000)
	}
	c.RunFor(3 * time.Second)
	for _, kind := range []core.KindName{"batch", "billed", "gang"} {
		submit(c, host, kind, 4, 2000)
	}
	for i := range 20 {
		c.Call(Call{ID: fmt.Sprintf("call-%d", i), Team: "red", Kind: "lookup", Host: host, Program: worker.Program{RunMS: 200}})
	}
	c.RunFor(5 * time.Millisecond)
}

// otherHost returns a live host other than id.
func (c *Cluster) otherHost(id core.HostID) core.HostID {
	for _, h := range c.hostList {
		if h.id != id && h.alive {
			return h.id
		}
	}
	return ""
}

// endpointsExcept returns all endpoints other than a host and the callers.
func (c *Cluster) endpointsExcept(except core.HostID) []Endpoint {
	out := []Endpoint{Store}
	for _, h := range c.hostList {
		if h.id != except {
			out = append(out, Endpoint(h.id))
		}
	}
	for _, w := range c.workerList {
		out = append(out, Endpoint(w.id))
	}
	return out
}

// killOwnerLosingAnswers returns a fault that kills the owner and loses two
// answers with a purpose during the takeover.
func killOwnerLosingAnswers(p core.Purpose) func(*Cluster, core.HostID) {
	return func(c *Cluster, owner core.HostID) {
		c.LoseStoreAnswers(p, 2)
		c.KillHost(owner)
		c.RunFor(30 * time.Second)
		c.RestartHost(owner)
	}
}

// stopTakeoverAt returns a fault that kills the owner and stops each host that
// takes over before its first effect for which match returns true. All hosts
// are restarted later.
func stopTakeoverAt(match func(core.Effect) bool) func(*Cluster, core.HostID) {
	return func(c *Cluster, owner core.HostID) {
		c.KillHost(owner)
		for _, h := range c.hostList {
			if h.alive {
				c.PauseHostAt(h.id, time.Hour, match)
			}
		}
		c.RunFor(40 * time.Second)
		for _, h := range c.hostList {
			c.RestartHost(h.id)
		}
	}
}

func isPut(p core.Purpose) func(core.Effect) bool {
	return func(f core.Effect) bool {
		put, ok := f.(core.PutValue)
		return ok && put.Op.Purpose == p
	}
}

func isA[E core.Effect](f core.Effect) bool {
	_, ok := f.(E)
	return ok
}

// faultCases are faults that are injected while there are jobs in every state.
var faultCases = []struct {
	name   string
	inject func(c *Cluster, owner core.HostID)
}{
	{"the owner is killed with jobs in every state", func(c *Cluster, owner core.HostID) {
		c.KillHost(owner)
	}},
	{"the owner is killed and restarted at once", func(c *Cluster, owner core.HostID) {
		c.RestartHost(owner)
	}},
	{"every host is killed and replaced", func(c *Cluster, _ core.HostID) {
		for _, h := range c.hostList {
			c.RestartHost(h.id)
		}
	}},
	{"the owner pauses past its lease with a start decided and not sent", func(c *Cluster, owner core.HostID) {
		c.PauseHostAt(owner, 20*time.Second, isA[core.StartTask])
		submit(c, owner, "billed", 3, 1000)
		submit(c, owner, "batch", 3, 1000)
	}},
	{"the owner pauses past its lease with a journal write decided and not sent", func(c *Cluster, owner core.HostID) {
		c.PauseHostAt(owner, 20*time.Second, isPut(core.PurposeJournalWrite))
		submit(c, owner, "billed", 3, 1000)
	}},
	{"the store refuses for longer than every lease", func(c *Cluster, _ core.HostID) {
		c.SetOutage(store.OutageRefuse)
		c.RunFor(50 * time.Second)
		c.SetOutage(store.OutageNone)
	}},
	{"the store hangs for longer than every lease", func(c *Cluster, _ core.HostID) {
		c.SetOutage(store.OutageHang)
		c.RunFor(50 * time.Second)
		c.SetOutage(store.OutageNone)
	}},
	{"answers to journal writes are lost", func(c *Cluster, owner core.HostID) {
		c.LoseStoreAnswers(core.PurposeJournalWrite, 5)
		submit(c, owner, "billed", 5, 1000)
	}},
	{"answers to journal writes are lost and then the owner dies", func(c *Cluster, owner core.HostID) {
		c.LoseStoreAnswers(core.PurposeJournalWrite, 5)
		submit(c, owner, "billed", 5, 1000)
		c.RunFor(8 * time.Millisecond)
		c.KillHost(owner)
	}},
	{"the answer to the swap of the owner record is lost", killOwnerLosingAnswers(core.PurposeOwnerSwap)},
	{"the answer to the creation of the lease key is lost", killOwnerLosingAnswers(core.PurposeLeaseKey)},
	{"the answer to the grant of a lease is lost", killOwnerLosingAnswers(core.PurposeLeaseGrant)},
	{"the answer to the opening of the journal is lost", killOwnerLosingAnswers(core.PurposeJournalOpen)},
	{"the answer to the read of the journal is lost", killOwnerLosingAnswers(core.PurposeJournalLoad)},
	{"the host that takes over stops before it creates the lease key", stopTakeoverAt(isPut(core.PurposeLeaseKey))},
	{"the host that takes over stops before it swaps the owner record", stopTakeoverAt(isPut(core.PurposeOwnerSwap))},
	{"the host that takes over stops before it reads the journal", stopTakeoverAt(func(f core.Effect) bool {
		list, ok := f.(core.ListValues)
		return ok && list.Op.Purpose == core.PurposeJournalLoad
	})},
	{"the host that takes over stops before it opens the journal", stopTakeoverAt(isPut(core.PurposeJournalOpen))},
	{"the host that takes over stops before it fences the workers", stopTakeoverAt(isA[core.SyncWorker])},
	{"the host that takes over stops before its first start", stopTakeoverAt(isA[core.StartTask])},
	{"the owner is isolated for a time", func(c *Cluster, owner core.HostID) {
		c.Partition([]Endpoint{Endpoint(owner)}, c.endpointsExcept(owner), true)
		c.RunFor(40 * time.Second)
		c.Partition([]Endpoint{Endpoint(owner)}, c.endpointsExcept(owner), false)
	}},
	{"the owner reaches only the workers for a time", func(c *Cluster, owner core.HostID) {
		rest := []Endpoint{Store}
		for _, h := range c.hostList {
			rest = append(rest, Endpoint(h.id))
		}
		c.Partition([]Endpoint{Endpoint(owner)}, rest, true)
		c.RunFor(40 * time.Second)
		c.Partition([]Endpoint{Endpoint(owner)}, rest, false)
	}},
	{"two hosts act as the owner, each with its own half of the workers", func(c *Cluster, owner core.HostID) {
		half := []Endpoint{Endpoint(c.workerList[0].id), Endpoint(c.workerList[1].id)}
		c.Partition([]Endpoint{Endpoint(owner)}, append([]Endpoint{Store}, half...), true)
		for _, h := range c.hostList {
			if h.id != owner {
				c.Partition([]Endpoint{Endpoint(h.id)}, []Endpoint{Endpoint(owner), Endpoint(c.workerList[2].id), Endpoint(c.workerList[3].id)}, true)
			}
		}
		submit(c, owner, "batch", 4, 1000)
		submit(c, c.otherHost(owner), "batch", 4, 1000)
		c.RunFor(40 * time.Second)
		for l := range c.links {
			c.Drop(l.from, l.to, false)
		}
	}},
	{"a worker is silent and recovers before its leases expire", func(c *Cluster, _ core.HostID) {
		c.SilenceWorker("a-w1", true)
		c.RunFor(15 * time.Second)
		c.SilenceWorker("a-w1", false)
	}},
	{"a worker is silent and recovers after it was declared lost", func(c *Cluster, _ core.HostID) {
		c.SilenceWorker("a-w1", true)
		c.RunFor(60 * time.Second)
		c.SilenceWorker("a-w1", false)
	}},
	{"the answers to starts are lost", func(c *Cluster, owner core.HostID) {
		for _, w := range c.workerList {
			c.DropNext(Endpoint(w.id), Endpoint(owner), 3)
		}
		submit(c, owner, "billed", 4, 1000)
		submit(c, owner, "batch", 4, 1000)
	}},
	{"every worker restarts", func(c *Cluster, _ core.HostID) {
		for _, w := range c.workerList {
			c.RestartWorker(w.id)
		}
	}},
	{"the owner and a worker die together", func(c *Cluster, owner core.HostID) {
		c.KillHost(owner)
		c.KillWorker("a-w1")
		c.RunFor(30 * time.Second)
		c.RestartWorker("a-w1")
	}},
	{"the owner dies while the store is down and the standby takes over", func(c *Cluster, owner core.HostID) {
		c.SetOutage(store.OutageRefuse)
		c.RunFor(5 * time.Second)
		c.KillHost(owner)
		c.RunFor(40 * time.Second)
		if c.Owner("a") == "" {
			panic("no standby took over")
		}
		c.SetOutage(store.OutageNone)
	}},
	{"the owner pauses while the store is down and the standby takes over", func(c *Cluster, owner core.HostID) {
		c.SetOutage(store.OutageHang)
		c.PauseHost(owner)
		c.RunFor(30 * time.Second)
		c.ResumeHost(owner)
		c.RunFor(10 * time.Second)
		c.SetOutage(store.OutageNone)
	}},
	{"the owner drains under load", func(c *Cluster, owner core.HostID) {
		c.LeaveHost(owner, false)
		c.Drain(owner)
		c.RunFor(15 * time.Second)
		c.KillHost(owner)
		c.LeaveHost(owner, true)
	}},
	{"the owner drains while the store is down", func(c *Cluster, owner core.HostID) {
		c.SetOutage(store.OutageRefuse)
		c.Drain(owner)
		c.RunFor(20 * time.Second)
		c.SetOutage(store.OutageNone)
	}},
	{"workers leave after the owner died, while calls use its grants", func(c *Cluster, owner core.HostID) {
		c.KillHost(owner)
		c.RunFor(500 * time.Millisecond)
		for _, w := range c.workerList[1:] {
			c.LeaveWorker(w.id, false)
		}
		for i := range 60 {
			c.After(time.Duration(i)*200*time.Millisecond, func() {
				c.Call(Call{ID: fmt.Sprintf("late-%d", i), Team: "red", Kind: "lookup", Host: c.otherHost(owner), Program: worker.Program{RunMS: 50}})
			})
		}
	}},
	{"a worker leaves under load", func(c *Cluster, _ core.HostID) {
		c.LeaveWorker("a-w1", false)
	}},
}

// Guards against a fault that violates a guarantee or leaves a job without an
// outcome.
func TestEachFaultKeepsTheGuarantees(t *testing.T) {
	for _, tc := range faultCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				c := testCluster(seed)
				owner := waitForOwner(t, c)
				mixedLoad(c, owner)
				tc.inject(c, owner)
				c.RunFor(4 * time.Minute)
				checkGuarantees(t, c)
				if c.Owner("a") == "" {
					t.Error("data centre has no owner after the fault")
				}
			}
		})
	}
}

// Guards against an edit that is lost or reverted when operators edit the same
// document at the same time.
func TestConcurrentEditsConflict(t *testing.T) {
	c := testCluster(1)
	waitForOwner(t, c)
	base := c.hostList[0].revisions["red"]
	var edits []*Edit
	for i, h := range c.hostList {
		d := testDocument("red")
		d.Weight = int64(10 + i)
		edits = append(edits, c.Edit(Edit{Document: d, Base: base, Author: string(h.id), Host: h.id}))
	}
	c.RunFor(4 * time.Second)
	applied := 0
	for _, e := range edits {
		switch {
		case e.Applied != nil:
			applied++
		case e.Conflict == nil:
			t.Errorf("edit of %s: neither applied nor refused with the conflicting version: %v", e.Author, e.Refusal)
		}
	}
	if applied != 1 {
		t.Errorf("%d edits of the same base were applied, want 1", applied)
	}
	for _, h := range c.hostList {
		if h.revisions["red"] <= base {
			t.Errorf("host %s still uses revision %d", h.id, h.revisions["red"])
		}
	}
	checkGuarantees(t, c)
}

// Guards against an edit that took effect but is reported as failed because the
// answer to its write was lost.
func TestEditWithLostAnswerIsReadBack(t *testing.T) {
	c := testCluster(1)
	owner := waitForOwner(t, c)
	c.LoseStoreAnswers(core.PurposeDocumentWrite, 1)
	e := c.Edit(Edit{Document: testDocument("red"), Base: c.hosts[owner].revisions["red"], Author: "op", Host: owner})
	c.RunFor(5 * time.Second)
	if e.Applied == nil {
		t.Errorf("edit was not reported as applied: %+v", e)
	}
	checkGuarantees(t, c)
}
