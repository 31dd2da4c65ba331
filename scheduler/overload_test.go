package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// comparisonsPerStart runs a load of twice the workers' capacity and returns the
// number of comparisons of a stage with a worker per start.
func comparisonsPerStart(t *testing.T, workers int) float64 {
	t.Helper()
	sim := newSimulation(t, 5, workers/12, workers)
	starts := 0
	sim.onDecision = func(d Decision) {
		if d.Kind == "start" && d.Outcome == "ordered" {
			starts++
		}
	}
	sim.run(2 * time.Second)
	sim.submitLoad(7*time.Second, 2*float64(workers))
	sim.run(8 * time.Second)
	if starts < 10*workers {
		t.Fatalf("%d starts on %d workers, too few for an overload", starts, workers)
	}
	return float64(sim.owner().r.cell.comparisons) / float64(starts)
}

// TestDecisionCostDoesNotGrowWithFleet guards against a cost per decision that
// grows with the fleet: comparing each waiting stage with each worker in each pass
// saturated the processor of an owner with 350 workers after a burst. The bound is
// the one of the acceptance criteria.
func TestDecisionCostDoesNotGrowWithFleet(t *testing.T) {
	small, large := comparisonsPerStart(t, 48), comparisonsPerStart(t, 480)
	t.Logf("comparisons per start: %.1f with 48 workers, %.1f with 480", small, large)
	if large > 2*small {
		t.Errorf("%.1f comparisons per start with 480 workers, %.1f with 48; want at most twice as many", large, small)
	}
}

// TestOwnerRequestsOneWakeAtATime guards against Wakes that multiply: a Woken for
// the log's timer made the next pass request another Wake, until an owner received
// 60,000 of them a second.
func TestOwnerRequestsOneWakeAtATime(t *testing.T) {
	sim := newSimulation(t, 6, 4, 48)
	sim.run(2 * time.Second)
	sim.submitLoad(5*time.Second, 100)
	wakes := sim.wakes
	sim.run(5 * time.Second)
	// One wake for each pass and one for each write to the log.
	maxWakes := int(5*time.Second/passInterval + 5*time.Second/urgentFlushDelay)
	if got := sim.wakes - wakes; got > maxWakes {
		t.Errorf("%d wakes in 5 s, want at most %d", got, maxWakes)
	}
}

// submitMany submits n jobs of one step.
func (sim *simulation) submitMany(prefix string, n int, queue QueueName, step Step) {
	for i := range n {
		id := JobID(fmt.Sprintf("%s%013x", prefix, i))
		sim.submit(id, queue, JobSpec{Payload: "x", Steps: []Step{step}}, 1)
	}
}

// TestBatchLeavesHeadroomForUrgentTasks guards against a cell that is full of batch
// work when urgent work arrives. Batch work with slack leaves a share of the
// processors free, so that an urgent job starts at once.
func TestBatchLeavesHeadroomForUrgentTasks(t *testing.T) {
	sim := newSimulation(t, 7, 4, 48)
	waited := map[QueueName]int64{}
	sim.onDecision = func(d Decision) {
		if d.Kind == "start" && d.Outcome == "ordered" {
			waited[d.Queue] = max(waited[d.Queue], d.Fields[0].Value)
		}
	}
	sim.run(2 * time.Second)
	// Three times the capacity of the cell.
	sim.submitMany("bbb", 150, "batch", Step{Count: 8, Need: Resources{MilliCPU: 900, MemoryMB: 10}, Estimate: 9 * time.Second})
	sim.run(2 * time.Second)
	c := sim.owner().r.cell
	c.refreshFleet()
	if free := float64(c.freeCPU) / float64(c.capacityCPU); free < headroomShare-0.02 {
		t.Errorf("%.3f of the processors are free, want about %.2f", free, headroomShare)
	}
	sim.submitMany("aaa", 10, "urgent", Step{Count: 2, Need: Resources{MilliCPU: 1200, MemoryMB: 10}, Estimate: 500 * msec})
	sim.run(300 * msec)
	if ms, started := waited["urgent"]; !started || ms > 200 {
		t.Errorf("urgent tasks waited %d ms (started: %v), want at most 200", ms, started)
	}
}

// TestGangStartsAmongManyNarrowTasks guards against starvation of wide gangs by many
// narrow tasks, which take each processor as soon as it becomes free.
func TestGangStartsAmongManyNarrowTasks(t *testing.T) {
	const gangs = 6
	sim := newSimulation(t, 8, 4, 48)
	started := map[JobID]bool{}
	sim.onDecision = func(d Decision) {
		if d.Kind == "start" && d.Outcome == "ordered" {
			started[d.Job] = true
		}
	}
	sim.run(2 * time.Second)
	sim.submitMany("bbb", 300, "batch", Step{Count: 8, Need: Resources{MilliCPU: 900, MemoryMB: 10}, Estimate: 2 * time.Second})
	sim.run(time.Second)
	sim.submitMany("ccc", gangs, "gangs", Step{Count: 12, Need: Resources{MilliCPU: 2500, MemoryMB: 10}, Estimate: 3 * time.Second, Gang: true})
	sim.run(4 * time.Second)
	for i := range gangs {
		if id := JobID(fmt.Sprintf("ccc%013x", i)); !started[id] {
			t.Errorf("gang %s has not started after 4 s", id)
		}
	}
}

// TestHeadroomIsUsedWhenSlackRunsOut guards against tasks that never start although there
// is room: a stage that the headroom kept from starting looked only at workers that had
// changed since, also once its slack had run out and it might use the headroom. In a cell
// whose other tasks are long-running, no worker changes.
func TestHeadroomIsUsedWhenSlackRunsOut(t *testing.T) {
	sim := newSimulation(t, 1, 1, 4)
	sim.config.Queues["batch"].Advice = nil
	sim.run(2 * time.Second)
	// Three workers are full, and little more than the headroom is free on the fourth one.
	for i, cpu := range []int64{fakeMilliCPU, fakeMilliCPU, fakeMilliCPU, fakeMilliCPU / 8} {
		sim.submitMany(fmt.Sprintf("aa%d", i), 1, "batch", Step{Count: 1, Need: Resources{MilliCPU: cpu}, Estimate: time.Hour})
		sim.run(time.Second)
	}
	started := false
	sim.onDecision = func(d Decision) {
		started = started || d.Kind == "start" && d.Outcome == "ordered" && strings.HasPrefix(string(d.Job), "bbb")
	}
	sim.submitMany("bbb", 1, "batch", Step{Count: 1, Need: Resources{MilliCPU: fakeMilliCPU / 2}, Estimate: 3 * time.Second})
	sim.run(2 * time.Second)
	if started {
		t.Fatal("the task used the headroom although it has slack")
	}
	sim.run(20 * time.Second)
	if !started {
		t.Error("the task has not started 20 s later, with half of a worker free")
	}
}
