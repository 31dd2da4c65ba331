package scheduler

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"
)

// allowShare returns an advice policy that allows about the given percentage of the
// workers for each step.
func allowShare(percent uint32) func(string, WorkerID) bool {
	return func(step string, id WorkerID) bool {
		h := fnv.New32a()
		// Writing to a hash never fails.
		_, _ = fmt.Fprint(h, step, id)
		return h.Sum32()%100 < percent
	}
}

// submitGangs submits gangs with anti-affinity at the given interval, and returns those
// that have not completed 15 s after the last one.
func submitGangs(sim *simulation, gangs, width int, interval time.Duration) (unfinished []JobID) {
	step := Step{Count: width, Need: Resources{MilliCPU: 1000, MemoryMB: 500}, Estimate: 800 * msec, Gang: true, MaxPerWorker: 1}
	var ids []JobID
	for i := range gangs {
		ids = append(ids, JobID(fmt.Sprintf("%016x", i)))
		sim.at(time.Duration(i)*interval, func() { sim.submit(ids[i], "gangs", JobSpec{Payload: "x", Steps: []Step{step}}, 5) })
	}
	sim.run(time.Duration(gangs)*interval + 15*time.Second)
	for _, v := range sim.violations {
		sim.t.Error(v)
	}
	for _, id := range ids {
		if !sim.jobs[id].complete {
			unfinished = append(unfinished, id)
		}
	}
	return unfinished
}

// TestGangsWithAntiAffinityStart guards against a gang that never starts in an idle
// cell, because places that are reserved for it on allowed workers count twice against
// its limit per worker, so that no further workers are asked about.
func TestGangsWithAntiAffinityStart(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 4, 48)
			sim.faults.adviceAllows = allowShare(45)
			sim.run(2 * time.Second)
			if unfinished := submitGangs(sim, 60, 6, 330*msec); len(unfinished) > 0 {
				t.Errorf("%d of 60 gangs have not completed: %v", len(unfinished), unfinished)
			}
		})
	}
}

// TestGangWiderThanOneCallStarts guards against a gang that never starts because it needs
// tickets for more workers than one call for advice may name, and each call names the
// same ones.
func TestGangWiderThanOneCallStarts(t *testing.T) {
	sim := newSimulation(t, 1, 4, 350)
	sim.faults.adviceAllows = allowShare(45)
	sim.run(2 * time.Second)
	if unfinished := submitGangs(sim, 2, maxAdviceWorkers+20, 5*time.Second); len(unfinished) > 0 {
		t.Errorf("gangs %v have not completed", unfinished)
	}
}
