package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// Guards against scavenging tasks that keep a serving task beside them over its
// latency target for seconds, and against ones that stay held back afterwards.
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
		t.Fatalf("%d runs, want a serving task and others beside it", len(fw.runs))
	}
	latency := func() int64 {
		for _, r := range fw.sortedRuns() {
			if ms := fw.tailLatency(w, r); ms > 0 {
				return ms
			}
		}
		t.Fatal("the serving task does not run")
		return 0
	}
	// Each of them adds more than the target leaves.
	w.faults.interference = 60
	w.run(3 * time.Second)
	if ms := latency(); ms > 50 {
		t.Errorf("tail latency of %d ms after 3 s of interference, the target is 50 ms", ms)
	}
	w.faults.interference = 1
	w.run(15 * time.Second)
	for _, r := range fw.sortedRuns() {
		if r.throttlePercent > 0 {
			t.Errorf("task %s is still held back by %d%% long after the interference has ended", r.id, r.throttlePercent)
		}
	}
}
