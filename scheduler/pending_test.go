package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestJobsWithoutStartStayPending guards against a number of pending jobs and a job state
// that take a start which is planned, refused or in doubt for one that a worker has made:
// jobs that wait were left out of pending and shown as running.
func TestJobsWithoutStartStayPending(t *testing.T) {
	cases := map[string]struct {
		// disturb changes the results of orders.
		disturb func(sim *simulation)
		// running means that the worker starts the task.
		running bool
	}{
		"the start is accepted": {func(*simulation) {}, true},
		"the start is carried out without an answer": {func(sim *simulation) {
			sim.faults.lostAnswerRate = 1
			sim.at(300*msec, func() { sim.faults.lostAnswerRate = 0 })
		}, true},
		"the start reaches nothing": {func(sim *simulation) {
			sim.faults.workerPartitioned = func(WorkerID, Time) bool { return true }
		}, false},
		"the start is refused": {func(sim *simulation) { sim.faults.refuseStarts = true }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 5, 2, 3)
			sim.run(2 * time.Second)
			// The owner learns of the faults by its orders only.
			tc.disturb(sim)
			sim.submitMany("aaa", 6, "urgent", Step{Count: 1, Need: Resources{MilliCPU: 100}, Estimate: time.Hour})
			// A Hold whose answer is lost can be in flight when the start is carried out.
			sim.run(4 * time.Second)
			sim.expectState(t, "before a takeover", tc.running)
			h := sim.owner()
			sim.killHost(h)
			sim.startHost(h)
			sim.run(4 * time.Second)
			sim.expectState(t, "after a takeover", tc.running)
			c := sim.owner().r.cell
			restored := sim.restore([]Group{{Sequence: 1, Snapshot: 1, SnapshotLast: true, Records: c.snapshotRecords()}})
			if got, want := restored.pendingJobs("urgent"), c.pendingJobs("urgent"); got != want {
				t.Errorf("a snapshot restores %d pending jobs, want %d", got, want)
			}
		})
	}
}

// expectState checks the number of pending jobs and the state of the jobs that were
// submitted to the queue urgent.
func (sim *simulation) expectState(t *testing.T, when string, running bool) {
	t.Helper()
	accepted, started := 0, 0
	for _, j := range sim.jobs {
		if !j.accepted {
			continue
		}
		accepted++
		want := JobQueued
		if len(j.firstStart) > 0 {
			started++
			want = JobRunning
		}
		sim.ask(func(token Token) Event {
			return StatusReceived{Token: token, Job: j.id, Deadline: sim.now.Add(callerTimeout)}
		}, func(a Answer) {
			if a.Status != StatusOK || a.State != want {
				t.Errorf("%s: job %s is %v (%v), want %v", when, j.id, a.State, a.Status, want)
			}
		})
	}
	if accepted == 0 || running && started < accepted || !running && started > 0 {
		t.Fatalf("%s: %d of %d accepted jobs have started, want running %v", when, started, accepted, running)
	}
	sim.ask(func(token Token) Event {
		return PendingReceived{Token: token, Queue: "urgent", Deadline: sim.now.Add(callerTimeout)}
	}, func(a Answer) {
		if a.Status != StatusOK || a.Pending != accepted-started {
			t.Errorf("%s: %d jobs pending (%v), want %d", when, a.Pending, a.Status, accepted-started)
		}
	})
	sim.run(100 * msec)
}

// TestPendingAgreesWithWorkers guards against a number of pending jobs that differs from
// what the workers have started, under faults and across takeovers.
func TestPendingAgreesWithWorkers(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 3, 6)
			sim.snapshotEvery = 20
			sim.faults.lostAnswerRate, sim.faults.lateOrderRate, sim.faults.failureRate = 0.1, 0.15, 0.05
			sim.at(20*time.Second, func() { sim.faults.lostAnswerRate, sim.faults.lateOrderRate = 0, 0 })
			for i := range 3 {
				sim.at(time.Duration(4+5*i)*time.Second, func() {
					sim.crashWorker()
					if h := sim.owner(); h != nil {
						sim.killHost(h)
						sim.at(time.Second, func() { sim.startHost(h) })
					}
				})
			}
			for i := range 60 {
				sim.at(time.Duration(i)*400*msec, sim.checkPending)
			}
			sim.submitLoad(20*time.Second, 8)
			sim.runAndCheck(t, 20*time.Second)
		})
	}
}

// pendingLag is how long the owner may take to learn of an accepted job's first start
// from a worker: a takeover, or an order in doubt and the report after it.
const pendingLag = 3 * time.Second

// checkPending asks for the pending jobs of each queue and compares them with the jobs
// that no worker has started.
func (sim *simulation) checkPending() {
	for _, queue := range []QueueName{"urgent", "gangs", "batch"} {
		var waiting []*fakeJob
		most := -len(sim.jobs)
		for _, j := range sim.jobs {
			if j.accepted && j.waits(queue) {
				waiting = append(waiting, j)
			}
			if j.queue == queue && sim.sinceFirstStart(j) < pendingLag {
				most++
			}
		}
		sim.ask(func(token Token) Event {
			return PendingReceived{Token: token, Queue: queue, Deadline: sim.now.Add(callerTimeout)}
		}, func(a Answer) {
			least := 0
			for _, j := range waiting {
				if j.waits(queue) {
					least++
				}
			}
			if a.Status == StatusOK && (a.Pending < least || a.Pending > most+len(sim.jobs)) {
				sim.addViolation("queue %s: %d jobs pending, want %d to %d", queue, a.Pending, least, most+len(sim.jobs))
			}
		})
	}
}

// waits reports whether no task of a job of the queue has started, and its caller still
// wants it.
func (j *fakeJob) waits(queue QueueName) bool {
	return j.queue == queue && len(j.firstStart) == 0 && !j.cancelSent && !j.complete
}

// sinceFirstStart returns the time since the first start of a job, or 0.
func (sim *simulation) sinceFirstStart(j *fakeJob) time.Duration {
	first := sim.wall()
	for _, at := range j.firstStart {
		first = min(first, at)
	}
	return time.Duration(sim.wall()-first) * msec
}
