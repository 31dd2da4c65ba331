package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// oneCore is a step of one task with a far too long estimate.
var oneCore = Step{Count: 1, Need: Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: 120 * time.Second}

// startedAt returns how long after a time a task of a job has first started, or a very
// long time if none has.
func startedAfter(sim *simulation, id JobID, since int64) time.Duration {
	first := time.Duration(1 << 62)
	for _, at := range sim.jobs[id].firstStart {
		first = min(first, time.Duration(at-since)*msec)
	}
	return first
}

// fillWithLongRunning occupies a number of cores with tasks that do not end.
func fillWithLongRunning(sim *simulation, cores int) {
	step := oneCore
	step.Count, step.LongRunning = cores, true
	sim.submit("00000000000000f1", "urgent", JobSpec{Steps: []Step{step}}, 1)
	sim.run(2 * time.Second)
}

// newTurnSimulation returns a simulation with 40 cores on 5 workers, on which tasks run
// for a given time, or for good if they are the long-running ones.
func newTurnSimulation(t *testing.T, runTime time.Duration) *simulation {
	sim := newSimulation(t, 1, 3, 5)
	sim.faults.adviceAllows = allowShare(100)
	sim.faults.runTime = func(id JobID) time.Duration {
		if id[0] == '0' {
			return time.Hour
		}
		return runTime
	}
	sim.run(2 * time.Second)
	return sim
}

// maxIdleWait is the longest time for which work that fits may wait while less than half
// of the capacity is in use.
const maxIdleWait = 3 * time.Second

// TestWorkRunsBesideGangsThatDoNotFit guards against idle capacity that is kept for a gang
// that cannot fit beside long-running tasks: small jobs behind it waited until three times
// the estimate of the gang had passed.
func TestWorkRunsBesideGangsThatDoNotFit(t *testing.T) {
	for _, gangs := range []int{1, 3, 12} {
		t.Run(fmt.Sprintf("%d gangs", gangs), func(t *testing.T) {
			sim := newTurnSimulation(t, 5*time.Second)
			fillWithLongRunning(sim, 16)
			gang := oneCore
			gang.Count, gang.Gang, gang.Estimate = 30, true, time.Minute
			for i := range gangs {
				sim.submit(JobID(fmt.Sprintf("dddddddddddddd%02x", i)), "batch", JobSpec{Steps: []Step{gang}}, 1)
			}
			for i := range 10 {
				sim.run(5 * time.Second)
				id := JobID(fmt.Sprintf("eeeeeeeeeeeeee%02x", i))
				submitted := sim.wall()
				sim.submit(id, "batch", JobSpec{Steps: []Step{oneCore}}, 1)
				sim.run(maxIdleWait)
				if waited := startedAfter(sim, id, submitted); waited > maxIdleWait {
					t.Errorf("job %s has not started after %v with 24 of 40 cores free", id, maxIdleWait)
				}
			}
		})
	}
}

// TestLongRunningTasksIgnoreReservations guards against a service that is not restarted
// because the capacity is reserved for a gang, however full the workers are.
func TestLongRunningTasksIgnoreReservations(t *testing.T) {
	sim := newTurnSimulation(t, time.Minute)
	fillWithLongRunning(sim, 20)
	step := oneCore
	step.Count = 12
	sim.submit("eeeeeeeeeeeeeee0", "batch", JobSpec{Steps: []Step{step}}, 1)
	sim.run(10 * time.Second)
	gang := oneCore
	gang.Count, gang.Gang = 30, true
	sim.submit("dddddddddddddddd", "batch", JobSpec{Steps: []Step{gang}}, 1)
	sim.run(time.Second)
	id, submitted := JobID("00000000000000f2"), sim.wall()
	service := oneCore
	service.LongRunning = true
	sim.submit(id, "batch", JobSpec{Steps: []Step{service}}, 1)
	sim.run(time.Second)
	if waited := startedAfter(sim, id, submitted); waited > time.Second {
		t.Error("the long-running task has not started with 8 of 40 cores free")
	}
}

// TestWideGangStartsUnderSmallJobs guards against a gang that never gets its capacity,
// because small jobs with less slack take each core that becomes free.
func TestWideGangStartsUnderSmallJobs(t *testing.T) {
	for _, test := range []struct {
		name    string
		queue   QueueName
		runTime time.Duration
		within  time.Duration
	}{
		{"urgent jobs of one second", "urgent", time.Second, time.Minute},
		{"urgent jobs of five seconds", "urgent", 5 * time.Second, 2 * time.Minute},
		{"batch jobs of three seconds", "batch", 3 * time.Second, time.Minute},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := newTurnSimulation(t, test.runTime)
			small := Step{Count: 1, Need: oneCore.Need, Estimate: test.runTime}
			// Each second a tenth more work arrives than the workers can do.
			interval := test.runTime / 44
			n := 0
			var submit func()
			submit = func() {
				n++
				sim.submit(JobID(fmt.Sprintf("e%015x", n)), test.queue, JobSpec{Steps: []Step{small}}, 1)
				sim.at(interval, submit)
			}
			submit()
			sim.run(10 * time.Second)
			gang := oneCore
			gang.Count, gang.Gang = 30, true
			id, submitted := JobID("dddddddddddddddd"), sim.wall()
			sim.submit(id, "gangs", JobSpec{Steps: []Step{gang}}, 1)
			sim.run(test.within)
			waited := startedAfter(sim, id, submitted)
			t.Logf("the gang started after %v", waited)
			if waited > test.within {
				t.Errorf("the gang has not started after %v", test.within)
			}
			for _, v := range sim.violations {
				t.Error(v)
			}
		})
	}
}

// TestBlockedStagesDoNotHideOthers guards against a job that is never compared with the
// workers, because more stages than one pass examines come before it and cannot start.
func TestBlockedStagesDoNotHideOthers(t *testing.T) {
	sim := newTurnSimulation(t, time.Second)
	rare := sim.workers["w00"]
	rare.info.Labels = []string{"rare"}
	for _, h := range sim.hosts {
		sim.listWorkers(h, h.incarnation)
	}
	blocked := oneCore
	blocked.Label, blocked.Estimate = "rare", 100*msec
	sim.submitMany("bbb", 2*maxStagesPerPass, "urgent", blocked)
	rare.info.Draining = true
	sim.run(100 * msec)
	for _, h := range sim.hosts {
		sim.post(h, h.incarnation, WorkerChanged{Worker: rare.info})
	}
	sim.run(2 * time.Second)
	id, submitted := JobID("eeeeeeeeeeeeeeee"), sim.wall()
	sim.submit(id, "batch", JobSpec{Steps: []Step{oneCore}}, 1)
	sim.run(maxIdleWait)
	if waited := startedAfter(sim, id, submitted); waited > maxIdleWait {
		t.Errorf("the job has not started after %v with 32 of 40 cores free", maxIdleWait)
	}
}

// TestEstimatesDoNotBoundWaits guards against work that is held back for a part of its
// estimate, which may be any number: by the headroom, or while it waits for a rack.
func TestEstimatesDoNotBoundWaits(t *testing.T) {
	const maxWait = maxHeadroomWait + time.Second
	sim := newTurnSimulation(t, time.Minute)
	for i, id := range sim.workerIDs() {
		sim.workers[id].info.Rack = fmt.Sprintf("r%d", i)
	}
	for _, h := range sim.hosts {
		sim.listWorkers(h, h.incarnation)
	}
	fillWithLongRunning(sim, 34)
	full := sim.owner().r.cell.workersByID[0].info.Rack
	for name, change := range map[string]func(*Step){
		"headroom": func(*Step) {},
		"rack":     func(s *Step) { s.DataRack = full },
	} {
		step := oneCore
		step.Estimate = 24 * time.Hour
		change(&step)
		id, submitted := JobID(fmt.Sprintf("e%015s", name)), sim.wall()
		sim.submit(id, "batch", JobSpec{Steps: []Step{step}}, 1)
		sim.run(maxWait)
		if waited := startedAfter(sim, id, submitted); waited > maxWait {
			t.Errorf("%s: the task has not started after %v with 6 of 40 cores free", name, maxWait)
		}
	}
}
