package integration

import (
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/integration/cluster"
	"banyanrun.example/banyanrun/integration/faultproxy"
	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/standin/worker"
)

// padBytes pads responses so that their connections can break in the middle.
const padBytes = 200_000

// Guards against truncated responses, and against repeated runs of billed calls,
// when connections to a worker break or stall in the middle of a response.
func TestConnectionBrokenMidResponse(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		fault faultproxy.Faults
	}{
		{"a reset after half of the response", faultproxy.Faults{ResetAfterBytes: padBytes / 2}},
		{"dropped responses", faultproxy.Faults{DropToClient: true}},
	} {
		t.Run(c.name, func(t *testing.T) { breakConnectionMidResponse(t, c.fault) })
	}
}

func breakConnectionMidResponse(t *testing.T, fault faultproxy.Faults) {
	c := startCluster(t, 301, 1, 2)
	c.WaitForOwner("a")
	broken := c.Standin.Workers()[0].ID
	var calls conc.WaitGroup
	for i := range 16 {
		calls.Go(func() {
			kind := []string{cluster.KindLookup, cluster.KindBilledLookup}[i%2]
			o := c.Call(c.Hosts, fmt.Sprintf("mid-%d", i), kind, 600*time.Millisecond, padBytes)
			switch {
			case kind == cluster.KindLookup && !o.Answered:
				t.Errorf("idempotent call %s was not retried: %v", o.ID, o.Err)
			case kind == cluster.KindBilledLookup && !o.Answered && o.Verdict != core.MayHaveRun:
				t.Errorf("billed call %s got verdict %s without a response", o.ID, o.Verdict)
			}
		})
	}
	c.WaitUntil("calls run", func() bool { return runningCalls(c, broken) > 0 })
	c.WorkerLinks[broken].SetFaults(fault)
	calls.Wait()
	unanswered := 0
	for _, o := range c.History.Calls() {
		if !o.Answered {
			unanswered++
		}
	}
	if billed := startedCalls(c, broken, cluster.KindBilledLookup); unanswered > billed {
		t.Errorf("%d calls got no response, but only %d billed calls were at the worker with the broken connection", unanswered, billed)
	}
	c.ClearFaultsAndCheck()
}

// runningCalls counts the calls that are in progress at a worker.
func runningCalls(c *cluster.Cluster, id string) int {
	n := 0
	for _, w := range c.Ledger().Workers {
		for _, e := range w.Entries {
			if w.Worker == id && e.Entry == worker.EntryCall && e.EndUnixUS == 0 {
				n++
			}
		}
	}
	return n
}

// startedCalls counts the calls of a kind that a worker has started.
func startedCalls(c *cluster.Cluster, id, kind string) int {
	n := 0
	for _, w := range c.Ledger().Workers {
		for _, e := range w.Entries {
			if w.Worker == id && string(e.Kind) == kind {
				n++
			}
		}
	}
	return n
}

// Guards against responses that reach the wrong caller because they arrive late,
// out of order, truncated or with the id of another request.
func TestLateAndMisdirectedResponsesReachNoOtherCaller(t *testing.T) {
	c := startCluster(t, 302, 1, 2)
	c.WaitForOwner("a")
	for i, w := range c.Standin.Workers() {
		f := worker.Faults{MisdirectNext: 2, TruncateNext: 2}
		if i%2 == 0 {
			f.DelayMS = 700 // Close to the progress timeout of 1 s.
		}
		c.ActOnWorker(w.ID, standin.WorkerAction{Action: standin.ActionFaults, Faults: f})
	}
	outcomes := make([]cluster.CallOutcome, 60)
	runParallel(6, func(k int) {
		for i := k; i < len(outcomes); i += 6 {
			kind := []string{cluster.KindLookup, cluster.KindBilledLookup}[i%2]
			run := time.Duration(1+(i*37)%200) * time.Millisecond
			outcomes[i] = c.Call(c.Hosts, fmt.Sprintf("late-%d", i), kind, run, i*1000)
		}
	})
	answered := 0
	for _, o := range outcomes {
		if o.Answered {
			answered++
		}
	}
	// Each worker sends 4 faulty responses, and only billed calls are not retried.
	if maxFaulty := 4 * len(c.Standin.Workers()); answered < len(outcomes)-maxFaulty {
		t.Errorf("%d of %d calls succeeded, although only %d responses were faulty", answered, len(outcomes), maxFaulty)
	}
	c.ClearFaultsAndCheck()
}

// Guards against new work on a worker that is leaving.
func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	c := startCluster(t, 303, 1, 2)
	c.WaitForOwner("a")
	leaving := c.Standin.Workers()[0].ID
	submitJobs(c, c.Hosts, cluster.KindBatch, 30, 500*time.Millisecond)
	c.ActOnWorker(leaving, standin.WorkerAction{Action: standin.ActionLeave})
	// Three times the 3 s after which a leaving worker must get no more starts.
	callFor(c, 9*time.Second)
	submitJobs(c, c.Hosts, cluster.KindBilled, 30, 100*time.Millisecond)
	c.ClearFaultsAndCheck()
	waitForReplicas(c)
}

// Guards against jobs that are lost or run twice when a worker is partitioned for
// longer than the task lease and comes back.
func TestWorkerSilentPastTheTaskLease(t *testing.T) {
	c := startCluster(t, 304, 1, 2)
	c.WaitForOwner("a")
	c.History.AllowTaskLoss()
	submitJobs(c, c.Hosts, cluster.KindBatch, 10, 7*time.Second)
	submitJobs(c, c.Hosts, cluster.KindBilled, 6, 7*time.Second)
	submitJobs(c, c.Hosts, cluster.KindGang, 2, 7*time.Second)
	silent := c.Standin.Workers()[0].ID
	c.WaitUntil("tasks run at the worker", func() bool { return runningTasks(c, silent) > 0 })
	c.WorkerLinks[silent].SetFaults(faultproxy.Faults{DropToTarget: true, DropToClient: true})
	c.WaitUntil("the leases at the worker have expired", func() bool { return runningTasks(c, silent) == 0 })
	c.WaitUntil("the owner has marked the worker as silent", func() bool { return c.WorkerState(c.Hosts[0], silent) == "silent" })
	c.WorkerLinks[silent].SetFaults(faultproxy.Faults{})
	c.ClearFaultsAndCheck()
}

// runningTasks counts the tasks that run at a worker.
func runningTasks(c *cluster.Cluster, id string) int {
	n := 0
	for _, w := range c.Ledger().Workers {
		for _, e := range w.Entries {
			if w.Worker == id && e.Entry == worker.EntryTask && e.EndUnixUS == 0 {
				n++
			}
		}
	}
	return n
}
