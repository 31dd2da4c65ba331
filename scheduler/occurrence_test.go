package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// repeatedJob returns a job of one short task that is repeated.
func repeatedJob(sim *simulation, count int, firstIn, interval time.Duration) JobSpec {
	return JobSpec{
		Steps:  []Step{{Count: 1, Need: Resources{MilliCPU: 500, MemoryMB: 10}, Estimate: 50 * msec}},
		Repeat: count, First: sim.wall() + firstIn.Milliseconds(), Interval: interval,
	}
}

// TestOccurrencesRunOnTimeAcrossTakeovers guards against occurrences that run early, twice
// or never when owners are killed, with a snapshot between.
func TestOccurrencesRunOnTimeAcrossTakeovers(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			const count, interval = 40, 300 * msec
			sim := newSimulation(t, seed, 3, 3)
			sim.faults.lostAnswerRate = 0.03
			sim.run(2 * time.Second)
			spec := repeatedJob(sim, count, 2*time.Second, interval)
			id := JobID("00000000000000aa")
			sim.submit(id, "urgent", spec, 5)
			for i := range 3 {
				sim.at(time.Duration(4+3*i)*time.Second, func() {
					h := sim.owner()
					if h == nil {
						return
					}
					if i == 1 {
						h.r.cell.beginSnapshot()
						sim.run(300 * msec)
					}
					sim.killHost(h)
					sim.at(time.Second, func() { sim.startHost(h) })
				})
			}
			sim.run(30 * time.Second)
			j := sim.jobs[id]
			for k := range count {
				task := TaskID{Job: id, Occurrence: k}
				if !j.done[task] {
					t.Errorf("occurrence %d has not run", k)
				}
				if due := spec.First + int64(k)*interval.Milliseconds(); j.firstStart[task] < due-250 {
					t.Errorf("occurrence %d started %d ms before it was due", k, due-j.firstStart[task])
				}
			}
			if !j.complete || j.endedIncomplete {
				t.Error("the job is not complete")
			}
			for _, v := range sim.violations {
				t.Error(v)
			}
		})
	}
}

// TestManyDueOccurrencesDoNotStopTheCell guards against an owner that is busy with the
// occurrences of a few jobs that are all long due, and no longer answers other callers.
func TestManyDueOccurrencesDoNotStopTheCell(t *testing.T) {
	const jobs, count = 8, 20000
	sim := newSimulation(t, 1, 3, 4)
	sim.run(2 * time.Second)
	for i := range jobs {
		sim.submit(JobID(fmt.Sprintf("%016x", i)), "batch", repeatedJob(sim, count, -24*time.Hour, time.Second), 5)
	}
	sim.run(2 * time.Second)
	c := sim.owner().r.cell
	if waiting := len(c.ready); waiting > jobs*(maxBacklogTasks+1) {
		t.Errorf("%d stages are ready, want at most %d", waiting, jobs*(maxBacklogTasks+1))
	}
	// Started tasks make room for further occurrences.
	sim.run(10 * time.Second)
	for _, j := range sim.jobs {
		if !j.accepted {
			t.Errorf("job %s was not accepted", j.id)
		}
		if len(j.done) < 200 {
			t.Errorf("%d tasks of job %s are done after 12 s", len(j.done), j.id)
		}
	}
	urgent := JobID("00000000000000ff")
	sim.submit(urgent, "urgent", JobSpec{Steps: []Step{{Count: 1, Need: Resources{MilliCPU: 500, MemoryMB: 10}, Estimate: 50 * msec}}}, 1)
	sim.run(3 * time.Second)
	if !sim.jobs[urgent].complete {
		t.Error("an urgent job is not complete after 3 s")
	}
}

// TestBlockedStepDoesNotHoldBackOthers guards against occurrences that are not opened
// because a step of earlier ones cannot start, although another step could.
func TestBlockedStepDoesNotHoldBackOthers(t *testing.T) {
	sim := newSimulation(t, 1, 1, 2)
	sim.faults.adviceAllows = allowShare(100)
	sim.run(2 * time.Second)
	blocked := sim.workers["w00"]
	blocked.info.Labels = []string{"rare"}
	sim.listWorkers(sim.hosts[0], sim.hosts[0].incarnation)
	spec := repeatedJob(sim, 3*maxBacklogTasks, 0, 20*msec)
	spec.Steps = append(spec.Steps, Step{Count: 1, Need: Resources{MilliCPU: 500, MemoryMB: 10}, Estimate: 50 * msec, Label: "rare"})
	id := JobID("00000000000000aa")
	sim.submit(id, "batch", spec, 5)
	blocked.info.Draining = true
	sim.run(100 * msec)
	sim.post(sim.hosts[0], sim.hosts[0].incarnation, WorkerChanged{Worker: blocked.info})
	sim.run(15 * time.Second)
	done := 0
	for task := range sim.jobs[id].done {
		if task.Step == 0 {
			done++
		}
	}
	if done < 3*maxBacklogTasks-5 {
		t.Errorf("%d of %d occurrences of the step that can run are done", done, 3*maxBacklogTasks)
	}
}
