package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestScavengingTasksYieldToServingTasks guards against scavenging tasks that keep
// a serving task on the same worker above its latency target for seconds, and
// against ones that stay throttled afterwards.
func TestScavengingTasksYieldToServingTasks(t *testing.T) {
	sim := newSimulation(t, 30, 2, 1)
	sim.faults.baseLatency, sim.faults.interference = 20, 10
	sim.run(2 * time.Second)
	serving := "aaa"
	for _, prefix := range []string{"aab", "aac", "aad", "aae"} {
		if !adviceGood(fmt.Sprintf("%s%013x.0.0", serving, 0), "w00") {
			serving = prefix
		}
	}
	sim.submitMany(serving, 1, "urgent", Step{Count: 1, Need: Resources{MilliCPU: 1000, MemoryMB: 10}, LongRunning: true, LatencyTarget: 50 * msec, Estimate: time.Hour})
	sim.submitMany("bbb", 4, "batch", Step{Count: 1, Need: Resources{MilliCPU: 1000, MemoryMB: 10}, Scavenging: true, Estimate: time.Hour})
	sim.run(3 * time.Second)
	fw := sim.workers["w00"]
	if len(fw.runs) < 2 {
		t.Fatalf("%d runs, want a serving and a scavenging task on the worker", len(fw.runs))
	}
	latency := func() int64 {
		for _, r := range fw.sortedRuns() {
			if ms := fw.tailLatency(sim, r); ms > 0 {
				return ms
			}
		}
		t.Fatal("no serving task is running")
		return 0
	}
	// The interference of a single scavenging task exceeds the target.
	sim.faults.interference = 60
	sim.run(3 * time.Second)
	if ms := latency(); ms > 50 {
		t.Errorf("tail latency of %d ms after 3 s of interference, the target is 50 ms", ms)
	}
	sim.faults.interference = 1
	sim.run(15 * time.Second)
	for _, r := range fw.sortedRuns() {
		if r.throttlePercent > 0 {
			t.Errorf("task %s is still throttled by %d%% 15 s after the interference has ended", r.id, r.throttlePercent)
		}
	}
}

// paceTarget is the latency target of the serving task, maxHarm the longest time for which
// a serving task may stay over its target on end because of scavenging tasks.
const (
	paceTarget = 50 * msec
	maxHarm    = 4 * time.Second
)

// newMixedWorker returns a simulation of two hosts and one worker, on which a serving task
// and two scavenging ones run. The scavenging ones disturb it at any pace above 0.
func newMixedWorker(t *testing.T) *simulation {
	t.Helper()
	sim := newSimulation(t, 30, 2, 1)
	sim.faults.adviceAllows = func(string, WorkerID) bool { return true }
	sim.faults.baseLatency, sim.faults.interference = 20, 400
	sim.run(2 * time.Second)
	need := Resources{MilliCPU: 1000, MemoryMB: 10}
	sim.submitMany("aaa", 1, "urgent", Step{Count: 1, Need: need, LongRunning: true, LatencyTarget: paceTarget, Estimate: time.Hour})
	sim.submitMany("bbb", 2, "batch", Step{Count: 1, Need: need, Scavenging: true, Estimate: time.Hour})
	sim.run(5 * time.Second)
	if n := len(sim.workers["w00"].runs); n != 3 {
		t.Fatalf("%d runs, want a serving and two scavenging tasks on the worker", n)
	}
	return sim
}

// longestHarm advances the simulation and returns the longest time for which the serving
// task was over its target on end.
func (sim *simulation) longestHarm(d time.Duration) time.Duration {
	const sample = 50 * msec
	harm, longest := time.Duration(0), time.Duration(0)
	for passed := time.Duration(0); passed < d; passed += sample {
		sim.run(sample)
		harm += sample
		fw := sim.workers["w00"]
		over := false
		for _, r := range fw.sortedRuns() {
			over = over || fw.tailLatency(sim, r) > paceTarget.Milliseconds()
		}
		if !over {
			harm = 0
		}
		longest = max(longest, harm)
	}
	return longest
}

// TestPaceOrdersInDoubtAreCorrected guards against scavenging tasks that keep a serving
// task over its target, because the owner believes that they are paused: the answer to an
// order was lost, or the worker carried an order out late, after newer ones.
func TestPaceOrdersInDoubtAreCorrected(t *testing.T) {
	cases := map[string]struct {
		lost bool
		late time.Duration
	}{
		"the answer is lost":                        {true, 0},
		"the order is late":                         {false, 6 * time.Second},
		"the order is late beyond all expectations": {false, 40 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newMixedWorker(t)
			var disturbed *PaceTask
			sim.faults.paceOrder = func(p PaceTask) (bool, time.Duration) {
				if disturbed == nil && p.Percent > 0 {
					disturbed = &p
					return tc.lost, tc.late
				}
				return false, 0
			}
			harm := sim.longestHarm(80 * time.Second)
			if disturbed == nil {
				t.Fatal("no order to speed a task up was sent")
			}
			if harm >= maxHarm {
				t.Errorf("the serving task was over its target for %v on end, want less than %v", harm, maxHarm)
			}
		})
	}
}

// TestLatePauseIsCorrected guards against a scavenging task that stays paused because the
// worker carried a pause out after the newer order that ended it.
func TestLatePauseIsCorrected(t *testing.T) {
	sim := newMixedWorker(t)
	disturbed := false
	sim.faults.paceOrder = func(p PaceTask) (bool, time.Duration) {
		if !disturbed && p.Percent == 0 {
			disturbed = true
			return false, 12 * time.Second
		}
		return false, 0
	}
	sim.run(6 * time.Second)
	if !disturbed {
		t.Fatal("no pause was ordered")
	}
	sim.faults.interference = 1
	sim.run(30 * time.Second)
	sim.expectFullPace(t)
}

// TestPausedRunsAreInheritedWithUnknownPace guards against a scavenging task that stays
// paused for good because its owner was killed: the next owner took it for one that works
// at full speed.
func TestPausedRunsAreInheritedWithUnknownPace(t *testing.T) {
	sim := newMixedWorker(t)
	paused := func() bool {
		for _, r := range sim.workers["w00"].sortedRuns() {
			if r.throttlePercent == fullPacePercent {
				return true
			}
		}
		return false
	}
	for range 200 {
		if sim.run(20 * msec); paused() {
			break
		}
	}
	if !paused() {
		t.Fatal("no task was paused")
	}
	sim.killHost(sim.owner())
	if harm := sim.longestHarm(20 * time.Second); harm >= maxHarm {
		t.Errorf("the serving task was over its target for %v on end after a takeover, want less than %v", harm, maxHarm)
	}
	sim.faults.interference = 1
	sim.run(20 * time.Second)
	sim.expectFullPace(t)
}

// expectFullPace checks that no run of the worker is throttled.
func (sim *simulation) expectFullPace(t *testing.T) {
	t.Helper()
	for _, r := range sim.workers["w00"].sortedRuns() {
		if r.throttlePercent > 0 {
			t.Errorf("task %s is still throttled by %d%%", r.id, r.throttlePercent)
		}
	}
}
