package scheduler

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// submitLoad submits a random mix of jobs for a time.
func (sim *simulation) submitLoad(d time.Duration, perSecond float64) {
	n := 0
	var next func()
	end := sim.now.Add(d)
	next = func() {
		if sim.now >= end {
			return
		}
		n++
		id := JobID(fmt.Sprintf("%016x", n))
		queue, spec := sim.randomJob()
		sim.submit(id, queue, spec, 5)
		if sim.rng.Float64() < 0.08 {
			sim.at(time.Duration(sim.rng.IntN(3000))*msec, func() {
				if j := sim.jobs[id]; j.accepted {
					sim.cancelJob(j)
				}
			})
		}
		sim.at(time.Duration(sim.rng.ExpFloat64()/perSecond*1e9), next)
	}
	sim.at(0, next)
}

// randomJob returns a random job for one of the three queues.
func (sim *simulation) randomJob() (QueueName, JobSpec) {
	duration := func(mean int) time.Duration { return time.Duration(mean/2+sim.rng.IntN(mean)) * msec }
	need := func(cpu int64) Resources { return Resources{MilliCPU: cpu, MemoryMB: 500} }
	switch sim.rng.IntN(10) {
	case 0:
		return "gangs", JobSpec{Payload: "g", Steps: []Step{{Count: 2 + sim.rng.IntN(5), Need: need(2500), Estimate: duration(3000), Gang: true}}}
	case 1, 2:
		steps := []Step{{Count: 1 + sim.rng.IntN(8), Need: need(900), Estimate: duration(1500), MaxPerWorker: sim.rng.IntN(3)}}
		if sim.rng.IntN(2) == 0 {
			steps = append(steps, Step{Count: 1 + sim.rng.IntN(4), Need: need(900), Estimate: duration(1000), After: []int{0}})
		}
		return "batch", JobSpec{Payload: "b", Steps: steps}
	}
	return "urgent", JobSpec{Payload: "u", Steps: []Step{{Count: 1 + sim.rng.IntN(3), Need: need(1200), Estimate: duration(800)}}}
}

// settleTime is the time after the last fault within which every accepted job must
// end. It covers the expiry of a silent worker's lease, failed attempts and the run
// time of the tasks.
const settleTime = 60 * time.Second

// runAndCheck runs the simulation for d and settleTime, and fails the test on any
// violated invariant or unfinished job.
func (sim *simulation) runAndCheck(t *testing.T, d time.Duration) {
	t.Helper()
	sim.run(d + settleTime)
	open := 0
	for _, j := range sim.jobs {
		if j.accepted && !j.complete && !j.cancelSent {
			open++
			sim.addViolation("job %s of queue %s was accepted but has not ended", j.id, j.queue)
		}
	}
	if sim.owner() == nil {
		sim.addViolation("no host owns the cell")
	}
	if len(sim.violations) > 0 {
		if sim.debug {
			t.Log(strings.Join(sim.decisionLog, "\n"))
		}
		t.Fatalf("%d jobs, %d open; violations:\n%s", len(sim.jobs), open, strings.Join(sim.violations[:min(len(sim.violations), 10)], "\n"))
	}
}

// seeds returns the seeds to run: SCHEDULER_SEED alone, the first SCHEDULER_SEEDS
// ones, or the first few.
func seeds(t *testing.T) []uint64 {
	first, n := uint64(1), 6
	if v := os.Getenv("SCHEDULER_SEED"); v != "" {
		s, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return []uint64{s}
	}
	if v := os.Getenv("SCHEDULER_SEEDS"); v != "" {
		var err error
		if n, err = strconv.Atoi(v); err != nil {
			t.Fatal(err)
		}
	}
	var list []uint64
	for i := range uint64(n) {
		list = append(list, first+i)
	}
	return list
}

// runScenario runs a scenario under load with each seed.
func runScenario(t *testing.T, scenario func(sim *simulation)) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 4, 8)
			sim.faults.failureRate = 0.03
			scenario(sim)
			sim.submitLoad(20*time.Second, 4)
			sim.runAndCheck(t, 20*time.Second)
		})
	}
}

// TestNoFaults guards against jobs that are lost or run twice when only tasks
// fail.
func TestNoFaults(t *testing.T) { runScenario(t, func(*simulation) {}) }

// TestLostAnswers guards against second starts of tasks whose start order was
// carried out but whose answer was lost.
func TestLostAnswers(t *testing.T) {
	runScenario(t, func(sim *simulation) { sim.faults.lostAnswerRate = 0.1 })
}

// TestDelayedOrders guards against second starts by orders that a worker carries
// out seconds after the owner's call has failed.
func TestDelayedOrders(t *testing.T) {
	runScenario(t, func(sim *simulation) { sim.faults.lateOrderRate = 0.1 })
}

// TestOwnersKilled guards against jobs that are lost or run twice in a takeover.
func TestOwnersKilled(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		for i := range 4 {
			sim.at(time.Duration(4+4*i)*time.Second+time.Duration(sim.rng.IntN(2000))*msec, func() {
				if h := sim.owner(); h != nil {
					sim.killHost(h)
					sim.at(time.Duration(sim.rng.IntN(4000))*msec, func() { sim.startHost(h) })
				}
			})
		}
	})
}

// TestAllHostsKilled guards against state that exists only in the memory of hosts.
func TestAllHostsKilled(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		sim.at(9*time.Second+time.Duration(sim.rng.IntN(3000))*msec, func() {
			for _, h := range sim.hosts {
				sim.killHost(h)
				sim.at(time.Duration(500+sim.rng.IntN(2000))*msec, func() { sim.startHost(h) })
			}
		})
	})
}

// TestStoreOutages guards against decisions of an owner that cannot know whether
// it still holds the ownership.
func TestStoreOutages(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		first := sim.now.Add(time.Duration(3000+sim.rng.IntN(3000)) * msec)
		second := first.Add(8 * time.Second)
		sim.faults.lostWriteRate = 0.1
		sim.faults.storeDown = func(at Time) bool {
			return at >= first && at < first.Add(5*time.Second) || at >= second && at < second.Add(time.Second)
		}
	})
}

// TestOwnerPartitionedFromStore guards against two owners that start tasks at the
// same time.
func TestOwnerPartitionedFromStore(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		cutHost := -1
		sim.faults.hostPartitioned = func(host int, _ Time) bool { return host == cutHost }
		for i := range 2 {
			sim.at(time.Duration(4+8*i)*time.Second, func() {
				if h := sim.owner(); h != nil {
					cutHost = h.index
				}
			})
			sim.at(time.Duration(9+8*i)*time.Second, func() { cutHost = -1 })
		}
	})
}

// TestOwnerHandsOverWhenPartitionedFromStore guards against an outage of seconds
// when the store rejects the calls of the owner but serves the other hosts.
func TestOwnerHandsOverWhenPartitionedFromStore(t *testing.T) {
	sim := newSimulation(t, 3, 3, 4)
	sim.run(3 * time.Second)
	first := sim.owner()
	sim.faults.hostPartitioned = func(host int, _ Time) bool { return host == first.index }
	for i := range 30 {
		sim.at(time.Duration(i)*100*msec, func() {
			for _, h := range sim.hosts {
				if h.r.leaseValid() {
					return
				}
			}
			sim.addViolation("no host has a valid lease")
		})
	}
	sim.run(3 * time.Second)
	if o := sim.owner(); o == nil || o == first {
		t.Errorf("the cell has no owner, or the host that is cut off from the store still owns it")
	}
	if len(sim.violations) > 2 {
		t.Errorf("the cell was without an owner for %d tenths of a second: %v", len(sim.violations), sim.violations)
	}
}

// TestOwnersIsolated guards against jobs that are lost or run twice when an owner that was
// cut off from the store, the other hosts and the workers returns, while owners are also
// stopped as planned.
func TestOwnersIsolated(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		sim.faults.lostWriteRate = 0.05
		until := map[int]Time{}
		sim.faults.hostIsolated = func(host int, at Time) bool { return at < until[host] }
		for i := range 8 {
			sim.at(time.Duration(2000+2000*i+sim.rng.IntN(2000))*msec, func() {
				h := sim.owner()
				if h == nil {
					return
				}
				if sim.rng.IntN(3) > 0 {
					until[h.index] = sim.now.Add(time.Duration(500+sim.rng.IntN(5000)) * msec)
					return
				}
				sim.post(h, h.incarnation, StopRequested{})
				sim.at(3*time.Second, func() { sim.killHost(h); sim.startHost(h) })
			})
		}
	})
}

// TestWorkersRestart guards against tasks that are lost with a crashed worker, and
// against ends of an earlier incarnation that are applied to the new one.
func TestWorkersRestart(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		for i := range 6 {
			sim.at(time.Duration(2+3*i)*time.Second, func() { sim.crashWorker() })
		}
	})
}

// crashWorker crashes a random worker, which restarts under the same ID.
func (sim *simulation) crashWorker() {
	fw := sim.workers[sim.workerIDs()[sim.rng.IntN(len(sim.workers))]]
	if !fw.up {
		return
	}
	fw.crash(sim)
	sim.at(time.Duration(500+sim.rng.IntN(6000))*msec, func() {
		fw.restart(sim)
		for _, h := range sim.hosts {
			info, incarnation := fw.info, h.incarnation
			sim.at(time.Duration(sim.rng.IntN(1500))*msec, func() { sim.post(h, incarnation, WorkerChanged{Worker: info}) })
		}
	})
}

// TestWorkerRemovedPermanently guards against tasks that wait forever for a worker
// that is gone, because each attempt to reach it extends its lease.
func TestWorkerRemovedPermanently(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		for i := range 2 {
			sim.at(time.Duration(5+5*i)*time.Second, func() {
				fw := sim.workers[sim.workerIDs()[i]]
				fw.crash(sim)
				for _, h := range sim.hosts {
					sim.post(h, h.incarnation, WorkerRemoved{ID: fw.info.ID})
				}
			})
		}
	})
}

// TestWorkersPartitioned guards against second runs of tasks that still run on a
// worker that the owner cannot reach.
func TestWorkersPartitioned(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		until := map[WorkerID]Time{}
		sim.faults.workerPartitioned = func(id WorkerID, at Time) bool { return at < until[id] }
		for i := range 6 {
			sim.at(time.Duration(2+3*i)*time.Second, func() {
				id := sim.workerIDs()[sim.rng.IntN(len(sim.workers))]
				until[id] = sim.now.Add(time.Duration(1000+sim.rng.IntN(9000)) * msec)
			})
		}
	})
}

// TestCombinedFaults guards against errors that only a combination of faults
// causes.
func TestCombinedFaults(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		sim.faults.lostAnswerRate, sim.faults.lateOrderRate, sim.faults.lostWriteRate = 0.03, 0.03, 0.03
		workerCutUntil, hostCutUntil := map[WorkerID]Time{}, map[int]Time{}
		sim.faults.workerPartitioned = func(id WorkerID, at Time) bool { return at < workerCutUntil[id] }
		sim.faults.hostPartitioned = func(host int, at Time) bool { return at < hostCutUntil[host] }
		down := Time(0)
		sim.faults.storeDown = func(at Time) bool { return at < down }
		for range 10 {
			sim.at(time.Duration(1000+sim.rng.IntN(18000))*msec, func() {
				switch sim.rng.IntN(6) {
				case 0:
					sim.crashWorker()
				case 1:
					workerCutUntil[sim.workerIDs()[sim.rng.IntN(len(sim.workers))]] = sim.now.Add(time.Duration(sim.rng.IntN(9000)) * msec)
				case 2:
					hostCutUntil[sim.rng.IntN(len(sim.hosts))] = sim.now.Add(time.Duration(sim.rng.IntN(7000)) * msec)
				case 3:
					down = sim.now.Add(time.Duration(sim.rng.IntN(5000)) * msec)
				case 4:
					if h := sim.owner(); h != nil {
						sim.killHost(h)
						sim.at(time.Duration(sim.rng.IntN(3000))*msec, func() { sim.startHost(h) })
					}
				case 5:
					if h := sim.owner(); h != nil {
						incarnation := h.incarnation
						sim.post(h, incarnation, StopRequested{})
						sim.at(3*time.Second, func() { sim.killHost(h); sim.startHost(h) })
					}
				}
			})
		}
	})
}

// TestIdleWorkerKeepsPlannedRuns guards against runs that are dropped while their
// start is being written to the log, because the lease of the idle worker expired
// before.
func TestIdleWorkerKeepsPlannedRuns(t *testing.T) {
	sim := newSimulation(t, 3, 1, 1)
	sim.run(30 * time.Second)
	c := sim.owner().r.cell
	j := c.addJob("00000000000000aa", "batch", &JobSpec{Steps: []Step{{Count: 1, Need: Resources{MilliCPU: 100}}}}, sim.wall())
	j.durable = true
	worker := c.workers["w00"]
	worker.clockAt = c.now.Add(-7 * time.Second)
	c.now = sim.now
	c.planStart(j.occurrences[0].stages[0].tasks[0], worker, 1, "")
	c.sendDueHolds()
	if len(worker.runs) != 1 {
		t.Error("the planned run was dropped")
	}
}

// TestJobsOfRemovedQueuesComplete guards against accepted jobs that an owner cannot
// place because their queue was removed from the configuration before it started.
func TestJobsOfRemovedQueuesComplete(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		sim.at(8*time.Second, func() {
			removed := *sim.config
			removed.Version++
			removed.Queues = map[QueueName]*Queue{"urgent": sim.config.Queues["urgent"], "gangs": sim.config.Queues["gangs"]}
			sim.config = &removed
			for _, h := range sim.hosts {
				sim.killHost(h)
				sim.at(time.Second, func() { sim.startHost(h) })
			}
		})
	})
}
