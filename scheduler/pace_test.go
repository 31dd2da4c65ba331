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
