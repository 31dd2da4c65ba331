package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// newRackSimulation returns a simulation with four workers on each of four racks.
func newRackSimulation(t *testing.T, seed uint64) *simulation {
	sim := newSimulation(t, seed, 2, 0)
	for i := range 16 {
		sim.addWorker(i).info.Rack = fmt.Sprintf("r%d", i/4)
	}
	return sim
}

// recordRacks returns a map that records the rack on which each task is started.
func (sim *simulation) recordRacks() map[string]string {
	racks := map[string]string{}
	sim.onDecision = func(d Decision) {
		if d.Kind == "start" && d.Outcome == "ordered" {
			racks[d.Task] = sim.workers[d.Worker].info.Rack
		}
	}
	return racks
}

// TestTasksStartNearTheirData guards against tasks that start away from their data
// while its rack has room, and against tasks that wait forever for a full rack.
func TestTasksStartNearTheirData(t *testing.T) {
	sim := newRackSimulation(t, 20)
	racks := sim.recordRacks()
	sim.run(2 * time.Second)
	step := Step{Count: 4, Need: Resources{MilliCPU: 2000, MemoryMB: 10}, Estimate: 2 * time.Second, DataRack: "r2"}
	sim.submitMany("aaa", 2, "batch", step)
	sim.run(time.Second)
	if len(racks) != 8 {
		t.Fatalf("%d of 8 tasks have started", len(racks))
	}
	for task, rack := range racks {
		if rack != "r2" {
			t.Errorf("task %s was started on rack %s, its data is on r2, which has room", task, rack)
		}
	}
	// More than the rack has room for, so some go elsewhere after a while.
	sim.submitMany("bbb", 6, "batch", Step{Count: 4, Need: Resources{MilliCPU: 4000, MemoryMB: 10}, Estimate: 6 * time.Second, DataRack: "r2"})
	sim.run(5 * time.Second)
	if len(racks) != 32 {
		t.Errorf("%d of 32 tasks have started 5 s after they were submitted", len(racks))
	}
}

// TestSameRackGangStartsOnOneRack guards against a gang that is spread over racks
// although it fits on one.
func TestSameRackGangStartsOnOneRack(t *testing.T) {
	sim := newRackSimulation(t, 21)
	racks := sim.recordRacks()
	sim.run(2 * time.Second)
	sim.submitMany("aaa", 2, "gangs", Step{Count: 5, Need: Resources{MilliCPU: 2500, MemoryMB: 10}, Estimate: 2 * time.Second, Gang: true, SameRack: true})
	sim.run(2 * time.Second)
	used := map[string]map[string]bool{}
	for task, rack := range racks {
		job := task[:16]
		if used[job] == nil {
			used[job] = map[string]bool{}
		}
		used[job][rack] = true
	}
	if len(used) != 2 {
		t.Fatalf("%d of 2 gangs have started", len(used))
	}
	for job, r := range used {
		if len(r) != 1 {
			t.Errorf("gang %s was started on %d racks, want 1", job, len(r))
		}
	}
}
