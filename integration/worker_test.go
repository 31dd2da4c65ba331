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

// padBytes lengthens answers so that they can break in the middle.
const padBytes = 200_000

// Guards against cut answers, and against second runs of billed calls, when
// connections to the workers break or go silent in the middle of an answer.
func TestConnectionBrokenMidResponse(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		fault faultproxy.Faults
	}{
		{"a reset after half of the answer", faultproxy.Faults{ResetAfterBytes: padBytes / 2}},
		{"silence of the answers", faultproxy.Faults{DropToClient: true}},
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
				t.Errorf("billed call %s got verdict %s", o.ID, o.Verdict)
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
		t.Errorf("%d calls got no answer, but only %d billed ones were at the broken worker", unanswered, billed)
	}
	c.ClearFaultsAndCheck()
}

// callsAt counts the calls that run at a worker.
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

// callsOf counts all calls of a kind that a worker started.
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

// Guards against answers that reach another caller when they come late, out of
// order, cut or with the id of another request.
func TestLateAndMisdirectedResponsesReachNoOtherCaller(t *testing.T) {
	c := startCluster(t, 302, 1, 2)
	c.WaitForOwner("a")
	for i, w := range c.Standin.Workers() {
		f := worker.Faults{MisdirectNext: 2, TruncateNext: 2}
		if i%2 == 0 {
			f.DelayMS = 700 // Close to the progress limit of 1 s.
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
	// Each worker spoils 4 answers, and only billed calls are not retried.
	if maxFaulty := 4 * len(c.Standin.Workers()); answered < len(outcomes)-maxFaulty {
		t.Errorf("%d of %d calls were answered, although only %d answers were spoiled", answered, len(outcomes), maxFaulty)
	}
	c.ClearFaultsAndCheck()
}

// Guards against new work on a worker that leaves.
func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	c := startCluster(t, 303, 1, 2)
	c.WaitForOwner("a")
	leaving := c.Standin.Workers()[0].ID
	submitJobs(c, c.Hosts, cluster.KindBatch, 30, 500*time.Millisecond)
	c.ActOnWorker(leaving, standin.WorkerAction{Action: standin.ActionLeave})
	// The 3 s that are allowed, and twice as long again.
	callFor(c, 9*time.Second)
	submitJobs(c, c.Hosts, cluster.KindBilled, 30, 100*time.Millisecond)
	c.ClearFaultsAndCheck()
	waitForReplicas(c)
}

// Guards against jobs that are lost or doubled when a worker is cut off past the
// task lease and comes back.
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
	c.WaitUntil("the leases at the worker have lapsed", func() bool { return runningTasks(c, silent) == 0 })
	c.WaitUntil("the owner finds the worker silent", func() bool { return c.WorkerState(c.Hosts[0], silent) == "silent" })
	c.WorkerLinks[silent].SetFaults(faultproxy.Faults{})
	c.ClearFaultsAndCheck()
}

// tasksAt counts the tasks that run at a worker.
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
