package scheduler

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

// heapBytes returns the memory of the reachable objects.
func heapBytes() int64 {
	var m runtime.MemStats
	// The second collection frees what the finalizers of the first one have released.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// extremeJobs returns jobs of different shapes, each near a limit of what is accepted.
func extremeJobs(sim *simulation) map[string]JobSpec {
	small := Step{Count: 1, Need: Resources{MilliCPU: 100 * fakeMilliCPU}, Estimate: time.Second}
	steps := func(n int, change func(i int, s *Step)) []Step {
		list := make([]Step, n)
		for i := range list {
			list[i] = small
			change(i, &list[i])
		}
		return list
	}
	unchanged := func(int, *Step) {}
	one := func(change func(*Step)) []Step { return steps(1, func(_ int, s *Step) { change(s) }) }
	return map[string]JobSpec{
		"one step of many tasks":           {Steps: one(func(s *Step) { s.Count = 20000 })},
		"a gang of many tasks":             {Steps: one(func(s *Step) { s.Count, s.Gang, s.Need = 20000, true, Resources{} })},
		"many steps":                       {Steps: steps(5000, unchanged)},
		"steps that depend on all earlier": {Steps: steps(250, func(i int, s *Step) { s.After = earlierSteps(i) })},
		"a long payload":                   {Payload: strings.Repeat("x", 4000), Steps: steps(1, unchanged)},
		"many occurrences later":           {Steps: steps(1, unchanged), Repeat: 20000, First: sim.wall() + time.Hour.Milliseconds(), Interval: time.Minute},
		"many occurrences now":             {Steps: steps(1, unchanged), Repeat: 20000, First: sim.wall(), Interval: 0},
		"occurrences of many steps now":    {Steps: steps(100, unchanged), Repeat: 200, First: sim.wall(), Interval: 0},
	}
}

func earlierSteps(i int) []int {
	after := make([]int, i)
	for k := range after {
		after[k] = k
	}
	return after
}

// submitUntilRefused submits a job under different names until it is refused or limit
// jobs have been accepted. It returns the accepted jobs and the refusal.
func submitUntilRefused(sim *simulation, spec JobSpec, limit int) (accepted []JobID, refusal Answer) {
	for i := range limit {
		id := JobID(fmt.Sprintf("%016x", i))
		sim.jobs[id] = &fakeJob{id: id, spec: spec, queue: "batch", acknowledgedDone: map[TaskID]bool{}, done: map[TaskID]bool{}}
		var answer Answer
		sim.ask(func(t Token) Event {
			own := spec
			own.Steps = append([]Step(nil), spec.Steps...)
			return SubmitReceived{Token: t, Queue: "batch", Job: id, Spec: own, ConfigVersion: 1, Deadline: sim.now.Add(callerTimeout)}
		}, func(a Answer) { answer = a })
		sim.run(300 * msec)
		if answer.Status != StatusOK {
			return accepted, answer
		}
		accepted = append(accepted, id)
	}
	return accepted, Answer{}
}

// TestChargesCoverMemory guards against accepted jobs that take more memory than the host
// has, at the owner that accepts them or at the next one: jobs of 20,000 occurrences took
// 9 MB each and ended one owner after the other. The heap must stay within the budget,
// and whatever does not fit must be refused.
func TestChargesCoverMemory(t *testing.T) {
	const memory = 160 << 20 // the smallest hosts of the deployments
	names := extremeJobs(newSimulation(t, 1, 1, 1))
	for name := range names {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1, 2)
			sim.limits.MemoryBytes = memory
			// No task starts on a draining worker, so the jobs stay as they are. They would
			// be refused if they did not fit on any worker.
			for _, fw := range sim.workers {
				fw.info.Capacity.MilliCPU *= 101
				fw.info.Draining = true
			}
			sim.killHost(sim.hosts[0])
			sim.startHost(sim.hosts[0])
			sim.run(3 * time.Second)
			before := heapBytes()
			accepted, refusal := submitUntilRefused(sim, extremeJobs(sim)[name], 60)
			used := heapBytes() - before
			c := sim.owner().r.cell
			t.Logf("%d jobs accepted, %d bytes charged, %d bytes used, then %v", len(accepted), c.chargedBytes, used, refusal)
			if len(accepted) == 0 {
				t.Errorf("no job was accepted: %+v", refusal)
			}
			if len(accepted) < 60 && (refusal.Status != StatusRefused || refusal.Reason != ReasonMemory || refusal.RetryAfter == 0) {
				t.Errorf("the refusal is %+v, want one because of the memory with a retry delay", refusal)
			}
			// The store of the simulation is part of the heap.
			stored := int64(0)
			for _, value := range sim.store.log {
				stored += int64(len(value))
			}
			if used-stored > c.chargedBytes+c.log.bytes {
				t.Errorf("the jobs take %d bytes, charged are %d and %d for the log", used-stored, c.chargedBytes, c.log.bytes)
			}
			charged := c.chargedBytes
			c = nil
			sim.killHost(sim.hosts[0])
			sim.startHost(sim.hosts[0])
			sim.run(5 * time.Second)
			successor := sim.owner().r.cell
			used = heapBytes() - before - stored
			t.Logf("the successor has charged %d bytes and uses %d", successor.chargedBytes, used)
			if len(successor.jobs) != len(accepted) || successor.chargedBytes > charged+charged/10 {
				t.Errorf("the successor has %d jobs and %d bytes charged, want %d and %d", len(successor.jobs), successor.chargedBytes, len(accepted), charged)
			}
			if used > successor.chargedBytes+successor.log.bytes {
				t.Errorf("the successor uses %d bytes, charged are %d and %d for the log", used, successor.chargedBytes, successor.log.bytes)
			}
			runtime.KeepAlive(sim)
		})
	}
}

// TestJobLargerThanMemoryIsInvalid guards against callers that are told to come again with
// a job that no host can hold.
func TestJobLargerThanMemoryIsInvalid(t *testing.T) {
	sim := newSimulation(t, 1, 1, 2)
	sim.limits.MemoryBytes = 8 << 20
	sim.killHost(sim.hosts[0])
	sim.startHost(sim.hosts[0])
	sim.run(3 * time.Second)
	spec := JobSpec{Steps: []Step{{Count: 20000, Need: Resources{MilliCPU: 1}}}}
	accepted, refusal := submitUntilRefused(sim, spec, 1)
	if len(accepted) > 0 || refusal.Status != StatusInvalid || refusal.RetryAfter != 0 {
		t.Errorf("%d jobs accepted, the answer is %+v; want an invalid job without a retry delay", len(accepted), refusal)
	}
	if len(sim.owner().r.cell.jobs) != 0 {
		t.Error("the refused job is known")
	}
}

// TestSmallestHostSetsTheBudget guards against jobs that a large owner accepts and a small
// successor cannot hold.
func TestSmallestHostSetsTheBudget(t *testing.T) {
	sim, h, c := newOwner(t)
	c.limits.MemoryBytes = 1 << 30
	sim.post(h, h.incarnation, HelloReceived{Host: "small", Address: "small", MemoryBytes: 100 << 20})
	if want := newMemoryBudget(100 << 20); c.budget != want {
		t.Errorf("budget %+v, want %+v", c.budget, want)
	}
	sim.run(2 * peerExpiry)
	if want := newMemoryBudget(1 << 30); c.budget != want {
		t.Errorf("budget %+v after the small host has gone, want %+v", c.budget, want)
	}
}

// TestEndedJobsReleaseTheirMemory guards against a budget that shrinks with each job
// until nothing is accepted any more.
func TestEndedJobsReleaseTheirMemory(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		sim.faults.lostAnswerRate = 0.03
		sim.at(15*time.Second, sim.crashWorker)
		sim.at(70*time.Second, func() {
			c := sim.owner().r.cell
			want := int64(0)
			for _, j := range c.jobList {
				want += endedJobBytes
				if !j.reported.isTerminal() {
					sim.addViolation("job %s has not ended", j.id)
				}
			}
			for _, w := range c.workersByID {
				want += runBytes * int64(len(w.runs))
			}
			if c.chargedBytes != want || c.tickets != 0 {
				sim.addViolation("%d bytes and %d tickets are charged, want %d and 0", c.chargedBytes, c.tickets, want)
			}
		})
	})
}

// TestLogIsTruncatedByMemory guards against a log that its reader cannot hold although it
// has few groups.
func TestLogIsTruncatedByMemory(t *testing.T) {
	sim := newSimulation(t, 1, 1, 4)
	sim.limits.MemoryBytes = 16 << 20
	sim.killHost(sim.hosts[0])
	sim.startHost(sim.hosts[0])
	sim.run(3 * time.Second)
	step := Step{Count: 1, Need: Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: 50 * msec}
	for i := range 800 {
		sim.at(time.Duration(i)*10*msec, func() {
			sim.submit(JobID(fmt.Sprintf("%016x", i)), "urgent", JobSpec{Payload: strings.Repeat("x", 4000), Steps: []Step{step}}, 5)
		})
	}
	largest := int64(0)
	for range 120 {
		sim.run(100 * msec)
		largest = max(largest, sim.owner().r.cell.log.bytes)
	}
	budget := sim.owner().r.cell.budget.log
	if largest < budget/2 || largest > 2*budget {
		t.Errorf("the log reached %d bytes, want about %d", largest, budget)
	}
}
