package bench

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
)

// Fleet sizes and load. The target values are from section 1.3 of the design page.
const (
	targetWorkers            = 3800
	targetAcceleratorWorkers = 1350 // 5,400 accelerators, 4 per worker
	targetTasks              = 29_000
	targetTeams              = 120
	smallWorkers             = 48
	smallTeams               = 3
	targetStartsPerSecond    = 250
	tasksPerReplica          = 5 // one in five tasks is a service replica
	backlogArrivalMS         = 1_000
	// decisionWarmUpMS is the time by which the backlog has arrived and occupies
	// every slot that it can use. Costs are measured from then on.
	decisionWarmUpMS   = 10_000
	decisionMeasuredMS = 20_000
	// baselineMeasuredMS is shorter: a baseline scans all workers and so costs
	// more than the scheduler, and its mean is stable after 500 placements.
	baselineMeasuredMS = 2_000
)

// decisionTrace returns a trace that fills the cell and never empties its queues.
func decisionTrace(workers, accelerated, teams int, seed uint64) *Trace {
	tasks := targetTasks * workers / targetWorkers
	rate := float64(targetStartsPerSecond) * float64(workers) / targetWorkers
	replicas := max(1, tasks/tasksPerReplica/teams)
	jobs := tasks - replicas*teams
	mean := time.Duration(float64(jobs) / rate * float64(time.Second))
	t := &Trace{
		Name: "decision", Seed: seed, HorizonMS: decisionWarmUpMS + decisionMeasuredMS,
		Workers: workerGroups(workers, accelerated),
	}
	kinds := []core.Kind{
		newKind("batch", core.Background, taskRequest(3_000, 8<<10, 0), mean),
		newKind("large", core.Normal, taskRequest(6_000, 24<<10, 0), mean),
		newKind("billed", core.Normal, taskRequest(4_000, 16<<10, 0), mean),
		newKind("model", core.Normal, taskRequest(4_000, 16<<10, 1), mean),
		newKind("small", core.Urgent, taskRequest(1_000, 2<<10, 0), mean),
		newKind("replica", core.Urgent, taskRequest(2_000, 8<<10, 0), time.Hour),
	}
	kinds[2].Idempotent = false
	quota := t.totalCapacity()
	for i := range teams {
		name := core.TeamName(fmt.Sprintf("team-%03d", i))
		share := core.Resources{MilliCPU: quota.MilliCPU / int64(teams), MemoryMB: quota.MemoryMB / int64(teams)}
		t.Documents = append(t.Documents, core.Document{
			Team: name, Weight: int64(1 + i%3), Quota: share, Kinds: kinds,
			Services: []core.Service{{Name: "front", Kind: "replica", Replicas: replicas}},
		})
	}
	t.Jobs = decisionJobs(t, jobs, rate, mean)
	return t
}

// decisionJobs generates the jobs that run from the start, then a backlog, then
// arrivals at the rate at which jobs end.
func decisionJobs(t *Trace, initial int, rate float64, mean time.Duration) []Job {
	const backlog = 1.6 // at 1.3, fast teams ran out of work in the measured interval
	rng := newRand(t.Seed, 1)
	weights := []core.KindName{"batch", "batch", "batch", "large", "large", "billed", "model", "small", "small", "small"}
	arriveAtStart := int(float64(initial) * backlog)
	arriveLater := int(rate * float64(t.HorizonMS) / 1000)
	jobs := make([]Job, 0, arriveAtStart+arriveLater)
	for i := range arriveAtStart + arriveLater {
		arrive := int64(0)
		if i >= initial {
			arrive = backlogArrivalMS
		}
		if i >= arriveAtStart {
			arrive += int64(float64(i-arriveAtStart) * 1000 / rate)
		}
		jobs = append(jobs, Job{
			ID: core.JobID(fmt.Sprintf("job-%06d", i)), AtMS: arrive,
			Team: t.Documents[rng.IntN(len(t.Documents))].Team,
			Kind: weights[rng.IntN(len(weights))], RunMS: exponentialRunMS(rng, mean),
		})
	}
	return jobs
}

// decisionCost holds the CPU time of the reducer in the measured interval.
type decisionCost struct {
	perPlacement []time.Duration
	decisionTime time.Duration
	tickTime     time.Duration
	tickCount    int
	maxTickTime  time.Duration
	totalTime    time.Duration
	starts       int
	// minRunningTasks is the minimum number of running tasks in the interval.
	minRunningTasks int
	// minTeamsWaiting is the minimum number of teams with waiting jobs.
	minTeamsWaiting int
}

// addStep adds one step. The decision time is the whole cost of the steps whose
// events make work ready or free capacity, including steps that placed nothing.
func (d *decisionCost) addStep(body core.EventBody, effects []core.Effect, cost time.Duration) {
	d.totalTime += cost
	starts := 0
	for _, f := range effects {
		if _, ok := f.(core.StartTask); ok {
			starts++
		}
	}
	d.starts += starts
	switch body.(type) {
	case core.Tick:
		d.tickTime += cost
		d.tickCount++
		d.maxTickTime = max(d.maxTickTime, cost)
		return
	case core.WorkerSynced, core.Submitted, core.StoreAnswered, core.Continue:
		d.decisionTime += cost
	}
	for range starts {
		d.perPlacement = append(d.perPlacement, cost/time.Duration(starts))
	}
}

// meanPerPlacement returns the mean decision time per placement.
func (d *decisionCost) meanPerPlacement() time.Duration {
	return d.decisionTime / time.Duration(max(1, d.starts))
}

// p99PerPlacement returns the 99th percentile of the decision time per placement.
func (d *decisionCost) p99PerPlacement() time.Duration {
	slices.Sort(d.perPlacement)
	if len(d.perPlacement) == 0 {
		return 0
	}
	return d.perPlacement[len(d.perPlacement)*99/100]
}

// measureDecision runs a trace and measures costs once the cell is full.
func measureDecision(t *Trace) *decisionCost {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	d := &decisionCost{}
	measuring := false
	c := newFullCell(t, func(body core.EventBody, effects []core.Effect, cost time.Duration) {
		if measuring {
			d.addStep(body, effects, cost)
		}
	})
	c.Run(decisionWarmUpMS)
	measuring, d.minRunningTasks, d.minTeamsWaiting = true, c.runningTasks(), c.teamsWaiting()
	for c.now < traceTime(t.HorizonMS) {
		c.run(c.now.Add(time.Second))
		d.minRunningTasks, d.minTeamsWaiting = min(d.minRunningTasks, c.runningTasks()), min(d.minTeamsWaiting, c.teamsWaiting())
	}
	return d
}

// newFullCell returns a cell in which the jobs that arrive at time zero already run.
func newFullCell(t *Trace, observer StepObserver) *Cell {
	initial, _ := slices.BinarySearchFunc(t.Jobs, backlogArrivalMS, func(j Job, ms int64) int { return int(j.AtMS - ms) })
	rest := *t
	rest.Jobs = t.Jobs[initial:]
	c := newUnstartedCell(&rest, observer)
	c.preloadReplicas()
	rest.Jobs = append(c.preloadJobs(t.Jobs[:initial]), rest.Jobs...)
	c.runWarmUp()
	return c
}

// runningTasks returns the number of tasks that run at the workers.
func (c *Cell) runningTasks() int {
	n := 0
	for _, w := range c.workers {
		n += len(w.running)
	}
	return n
}

// teamsWaiting returns the number of teams with a job that has never started.
func (c *Cell) teamsWaiting() int {
	teams := map[core.TeamName]bool{}
	for id, j := range c.jobs {
		if _, ok := c.Stats.Started[id]; !ok {
			teams[j.Team] = true
		}
	}
	return len(teams)
}

// decisionRows measures the cost of placements and how it grows with the fleet.
func decisionRows(seed uint64) []Row {
	const (
		meanBound, p99Bound = 20.0, 1000.0 // microseconds
		growthBound         = 2.0
		shareBound          = 0.043
	)
	targetTrace := decisionTrace(targetWorkers, targetAcceleratorWorkers, targetTeams, seed)
	target := measureDecision(targetTrace)
	// With the same number of queues, only the size of the fleet differs.
	smallFleet := measureDecision(decisionTrace(smallWorkers, smallWorkers*targetAcceleratorWorkers/targetWorkers, targetTeams, seed))
	smallFleetFewTeams := measureDecision(decisionTrace(smallWorkers, smallWorkers*targetAcceleratorWorkers/targetWorkers, smallTeams, seed))
	firstFitMean, randomFitMean := baselineDecisionMicros(targetTrace, firstFit), baselineDecisionMicros(targetTrace, randomFit(newRand(seed, 2)))
	mean := micros(target.meanPerPlacement())
	return []Row{
		AtMost("placement_decision_mean", mean, "us", meanBound).WithBaseline(firstFitMean),
		AtMost("placement_decision_p99", micros(target.p99PerPlacement()), "us", p99Bound),
		Unbounded("placement_decision_mean_to_first_fit", mean/firstFitMean, "ratio"),
		Unbounded("placement_decision_mean_to_random", mean/randomFitMean, "ratio").WithBaseline(randomFitMean),
		AtMost("placement_growth", mean/micros(smallFleet.meanPerPlacement()), "ratio", growthBound),
		Unbounded("placement_growth_with_teams", mean/micros(smallFleetFewTeams.meanPerPlacement()), "ratio"),
		AtLeast("placement_running_tasks_min", float64(target.minRunningTasks), "tasks", targetTasks),
		AtLeast("placement_teams_waiting_min", float64(target.minTeamsWaiting), "teams", targetTeams),
		Unbounded("step_time_per_placed_task", micros(target.totalTime)/float64(max(1, target.starts)), "us"),
		Unbounded("placement_starts_per_second", float64(target.starts)/(decisionMeasuredMS/1000), "starts/s"),
		Unbounded("tick_mean", micros(target.tickTime)/float64(max(1, target.tickCount)), "us"),
		Unbounded("tick_max", micros(target.maxTickTime), "us"),
		AtMost("control_share_of_core", target.totalTime.Seconds()/(decisionMeasuredMS/1000), "cores", shareBound),
	}
}

// baselineDecisionMicros returns the CPU time per placement of a baseline, in
// microseconds.
func baselineDecisionMicros(t *Trace, pick placementPolicy) float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	b := runBaseline(t, pick, decisionWarmUpMS, decisionWarmUpMS+baselineMeasuredMS)
	return micros(b.placementTime) / float64(max(1, b.placements))
}

// micros converts to microseconds.
func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
