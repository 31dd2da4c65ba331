package scheduler

import (
	"testing"
	"time"
)

// TestReconcileRequeuesTasksWithoutRuns guards against an assigned task without a
// run that no state transition requeues. One such task was left for 33 s in
// scenario scale-2 of the deployment ptu-ops.
func TestReconcileRequeuesTasksWithoutRuns(t *testing.T) {
	sim := newSimulation(t, 4, 1, 3)
	sim.run(time.Second)
	spec := JobSpec{Steps: []Step{{Count: 2, Need: Resources{MilliCPU: 100}, Estimate: 100 * msec}}}
	id := JobID("00000000000000aa")
	cut := true
	sim.faults.workerPartitioned = func(WorkerID, Time) bool { return cut }
	sim.submit(id, "batch", spec, 5)
	sim.run(50 * time.Millisecond)
	c := sim.owner().r.cell
	s := c.jobs[id].occurrences[0].stages[0]
	for _, task := range s.tasks {
		if task.run != nil {
			c.releaseRun(task.run)
			task.run = nil
		}
		task.state = taskAssigned
	}
	s.waiting, s.queued, c.ready = 0, false, nil
	sim.run(time.Second)
	cut = false
	sim.run(20 * time.Second)
	if c.jobs[id] == nil || s.done != 2 || !sim.jobs[id].complete {
		t.Error("the job was not completed")
	}
}

// TestFaultsNeedNoRepairs guards against state transitions that leave a task
// without a run or a place in the ready list, which reconciliation would hide.
func TestFaultsNeedNoRepairs(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		sim.faults.lostAnswerRate, sim.faults.lateOrderRate = 0.05, 0.05
		sim.onDecision = func(d Decision) {
			if d.Outcome == "repaired" {
				sim.addViolation("job %s was repaired: %+v", d.Job, d)
			}
		}
		for i := range 3 {
			sim.at(time.Duration(5+4*i)*time.Second, func() {
				sim.crashWorker()
				for _, h := range sim.hosts {
					sim.killHost(h)
					sim.at(time.Duration(300+sim.rng.IntN(1500))*msec, func() { sim.startHost(h) })
				}
			})
		}
	})
}

// TestAnswersToAnEarlierOwnerAreIgnored guards against a worker's answer to a Hold
// of an earlier generation of this host that counts as contact in the current one:
// runs that it does not report would be started again.
func TestAnswersToAnEarlierOwnerAreIgnored(t *testing.T) {
	sim := newSimulation(t, 4, 1, 1)
	sim.run(time.Second)
	h := sim.owner()
	earlier := h.r.calls.last
	h.r.stepDown("test")
	sim.store.owner = nil
	sim.store.revision++
	sim.store.ownerRevision = sim.store.revision
	sim.faults.workerPartitioned = func(WorkerID, Time) bool { return true }
	sim.run(300 * time.Millisecond)
	worker := h.r.cell.workers["w00"]
	if !worker.hold.inFlight {
		t.Fatal("no Hold to the worker is in flight")
	}
	for id := CallID(1); id <= earlier; id++ {
		sim.post(h, h.incarnation, CallAnswered{ID: id, Result: HoldAnswered{Worker: "w00", Born: worker.info.Born, Clock: 1}})
	}
	if h.r.cell.generation < 2 || worker.contacted {
		t.Errorf("generation %d, contacted %v; want generation 2 or later and no contact", h.r.cell.generation, worker.contacted)
	}
}
