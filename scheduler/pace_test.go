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
	w := newSimulation(t, 30, 2, 1)
	w.faults.baseLatency, w.faults.interference = 20, 10
	w.run(2 * time.Second)
	serving := "aaa"
	for _, prefix := range []string{"aab", "aac", "aad", "aae"} {
		if !adviceGood(fmt.Sprintf("%s%013x.0.0", serving, 0), "w00") {
			serving = prefix
		}
	}
	w.submitMany(serving, 1, "urgent", Step{Count: 1, Need: Resources{MilliCPU: 1000, MemoryMB: 10}, LongRunning: true, LatencyTarget: 50 * msec, Estimate: time.Hour})
	w.submitMany("bbb", 4, "batch", Step{Count: 1, Need: Resources{MilliCPU: 1000, MemoryMB: 10}, Scavenging: true, Estimate: time.Hour})
	w.run(3 * time.Second)
	fw := w.workers["w00"]
	if len(fw.runs) < 2 {
		t.Fatalf("%d runs, want a serving and a scavenging task on the worker", len(fw.runs))
	}
	latency := func() int64 {
		for _, r := range fw.sortedRuns() {
			if ms := fw.tailLatency(w, r); ms > 0 {
				return ms
			}
		}
		t.Fatal("no serving task is running")
		return 0
	}
	// The interference of a single scavenging task exceeds the target.
	w.faults.interference = 60
	w.run(3 * time.Second)
	if ms := latency(); ms > 50 {
		t.Errorf("tail latency of %d ms after 3 s of interference, the target is 50 ms", ms)
	}
	w.faults.interference = 1
	w.run(15 * time.Second)
	for _, r := range fw.sortedRuns() {
		if r.throttlePercent > 0 {
			t.Errorf("task %s is still throttled by %d%% 15 s after the interference has ended", r.id, r.throttlePercent)
		}
	}
}
