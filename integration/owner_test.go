package integration

import (
	"testing"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/integration/cluster"
	"banyanrun.example/banyanrun/integration/faultproxy"
	"banyanrun.example/banyanrun/standin/store"
	"banyanrun.example/banyanrun/wire"
)

// Guards against jobs that are lost or run twice when an owner is killed with jobs
// in every state.
func TestOwnerKillLosesAndDuplicatesNoJob(t *testing.T) {
	c := startCluster(t, 101, 1, 3)
	owner := c.WaitForOwner("a")
	// The workers have 32 slots, so the later jobs are still queued.
	submitJobs(c, c.Hosts, cluster.KindGang, 2, 3*time.Second)
	submitJobs(c, c.Hosts, cluster.KindBilled, 20, 3*time.Second)
	submitJobs(c, c.Hosts, cluster.KindBatch, 20, 2*time.Second)
	c.WaitUntil("jobs run", func() bool { return c.Ledger().Summary.Starts >= 20 })
	owner.Kill()
	c.WaitForOwner("a", owner)
	owner.Start()
	c.ClearFaultsAndCheck()
	waitForReplicas(c)
}

// waitForReplicas waits until exactly the declared replicas of the service run.
func waitForReplicas(c *cluster.Cluster) {
	c.T.Helper()
	c.WaitUntil("two replicas of the service run", func() bool {
		running := 0
		for _, w := range c.Ledger().Workers {
			for _, e := range w.Entries {
				if e.Kind == "replica" && e.EndUnixUS == 0 {
					running++
				}
			}
		}
		return running == 2
	})
}

// Guards against a start that the owner decides before it is paused and sends after
// another host has taken over and started the job elsewhere.
func TestOwnerPausedPastItsLeaseStartsNothingTwice(t *testing.T) {
	c := startCluster(t, 102, 1, 3)
	owner := c.WaitForOwner("a")
	// Responses of the store are delayed, so that the owner is paused between
	// recording the assignment and sending the start.
	owner.StoreLink.SetFaults(faultproxy.Faults{Delay: 300 * time.Millisecond})
	c.SubmitUntilAccepted(c.Hosts, "last", cluster.KindBilled, 300*time.Millisecond)
	c.WaitUntil("the assignment is in the journal", func() bool {
		return c.HasJournalRecord("a", func(r core.Record) bool { return r.Kind == core.RecordAssigned && r.Job == "last" })
	})
	owner.Pause()
	successor := c.WaitForOwner("a", owner)
	c.WaitUntil("the job has ended under the successor", func() bool {
		return c.JobState(successor, "last").Final()
	})
	owner.Resume()
	c.WaitUntil("the paused owner has stepped down", func() bool {
		_, owns := owner.OwnerEpoch()
		return !owns
	})
	c.ClearFaultsAndCheck()
}

// Guards against interactive calls and running jobs that depend on the availability
// of the store.
func TestCallsSucceedDuringStoreOutageLongerThanLeases(t *testing.T) {
	t.Parallel()
	for _, outage := range []store.Outage{store.OutageRefuse, store.OutageHang} {
		t.Run("store outage "+string(outage), func(t *testing.T) {
			c := startCluster(t, 103, 1, 2)
			c.WaitForOwner("a")
			submitJobs(c, c.Hosts, cluster.KindBatch, 8, 12*time.Second)
			c.WaitUntil("jobs run", func() bool { return c.Started("batch-7") })
			c.SetStoreFaults(store.Faults{Outage: outage})
			// Three task leases, which also exceed the owner's lease and the time
			// that a standby waits.
			calls := callFor(c, 12*time.Second)
			c.SetStoreFaults(store.Faults{})
			for _, o := range calls {
				if !o.Answered {
					t.Errorf("call %s failed during the outage: %v", o.ID, o.Err)
				}
			}
			c.ClearFaultsAndCheck()
			for _, e := range c.Ledger().Summary.Repeated {
				if e.Entry == "task" {
					t.Errorf("job %s was started %d times although its worker and owner were alive", e.Job, e.Starts)
				}
			}
		})
	}
}

// Guards against jobs that are lost or run twice because a write took effect but
// its response was lost.
func TestLostStoreResponsesLoseAndDuplicateNoJob(t *testing.T) {
	c := startCluster(t, 104, 1, 2)
	c.WaitForOwner("a")
	c.SetStoreFaults(store.Faults{LoseEvery: 2})
	submitJobs(c, c.Hosts, cluster.KindBilled, 10, 200*time.Millisecond)
	submitJobs(c, c.Hosts, cluster.KindBatch, 10, 200*time.Millisecond)
	c.WaitForJobs()
	c.ClearFaultsAndCheck()
}

// Guards against jobs that are lost or run twice when the owner is killed while
// responses of the store are lost.
func TestOwnerKillDuringLostStoreResponses(t *testing.T) {
	c := startCluster(t, 105, 1, 3)
	owner := c.WaitForOwner("a")
	c.SetStoreFaults(store.Faults{LoseEvery: 3})
	submitJobs(c, c.Hosts, cluster.KindBilled, 20, 2*time.Second)
	submitJobs(c, c.Hosts, cluster.KindGang, 2, 2*time.Second)
	owner.Kill()
	submitJobs(c, c.Hosts, cluster.KindBatch, 10, 500*time.Millisecond)
	c.WaitForOwner("a", owner)
	c.WaitForJobs()
	owner.Start()
	c.ClearFaultsAndCheck()
}

// Guards against jobs that are lost or run twice, and documents that are reverted,
// when a data centre is partitioned from the platform and comes back.
func TestDataCentrePartitionAndRecovery(t *testing.T) {
	c := startCluster(t, 106, 2, 2)
	c.WaitForOwner("a")
	c.WaitForOwner("b")
	submitJobs(c, c.HostsIn("b"), cluster.KindBatch, 12, 6*time.Second)
	submitJobs(c, c.HostsIn("a"), cluster.KindBilled, 4, time.Second)
	partition := faultproxy.Faults{DropToTarget: true, DropToClient: true}
	for _, h := range c.HostsIn("b") {
		h.StoreLink.SetFaults(partition)
	}
	e, err := c.PutDocument(c.HostsIn("a")[0], c.HostsIn("a")[0].DocumentRevision(), 2)
	if err != nil || e.Status != 200 {
		t.Fatalf("edit during the partition: status %d, error %v", e.Status, err)
	}
	for _, o := range callHostsFor(c, c.HostsIn("b"), 8*time.Second) {
		if !o.Answered {
			t.Errorf("call %s failed in the partitioned data centre: %v", o.ID, o.Err)
		}
	}
	for _, h := range c.HostsIn("b") {
		h.StoreLink.SetFaults(faultproxy.Faults{})
		h.StoreLink.ResetConns()
	}
	c.WaitUntil("every host uses the edited document", func() bool {
		for _, h := range c.Hosts {
			if h.DocumentRevision() != e.Version.Revision {
				return false
			}
		}
		return true
	})
	c.ClearFaultsAndCheck()
}

// Guards against an edit that is lost without notifying its operator.
func TestConcurrentEditsReportConflict(t *testing.T) {
	c := startCluster(t, 107, 2, 2)
	base := c.Hosts[0].DocumentRevision()
	edits := make([]cluster.EditResult, len(c.Hosts))
	runParallel(len(c.Hosts), func(i int) {
		var err error
		if edits[i], err = c.PutDocument(c.Hosts[i], base, 10+i); err != nil {
			t.Errorf("edit at %s: %v", c.Hosts[i].ID, err)
		}
	})
	winner := -1
	for i, e := range edits {
		switch e.Status {
		case 200:
			if winner >= 0 {
				t.Errorf("edits %d and %d both succeeded", winner, i)
			}
			winner = i
		case 409:
			if e.Conflict.Current == nil || len(e.Conflict.Proposed) == 0 {
				t.Errorf("conflict of edit %d does not show both versions: %+v", i, e.Conflict)
			}
		default:
			t.Errorf("edit %d got status %d", i, e.Status)
		}
	}
	if winner < 0 {
		t.Fatalf("no edit succeeded")
	}
	c.WaitUntil("every host uses the document of the successful edit", func() bool {
		for _, h := range c.Hosts {
			if h.DocumentRevision() != edits[winner].Version.Revision {
				return false
			}
		}
		return true
	})
	var history wire.DocumentHistory
	c.GetJSON(c.Hosts[0], wire.PathDocuments+"/"+cluster.Team+"/"+wire.SegmentHistory, &history)
	if len(history.Versions) != 2 {
		t.Errorf("history has %d versions, want the first and that of the successful edit", len(history.Versions))
	}
}
