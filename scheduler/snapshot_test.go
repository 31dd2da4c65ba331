package scheduler

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestOwnersKilledAfterSnapshots guards against complete jobs that run again because a
// snapshot holds them as new ones: they had ended in memory, and the owner was killed
// before it wrote their last records.
func TestOwnersKilledAfterSnapshots(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 4, 16)
			sim.snapshotEvery, sim.faults.storeDelay = 20, 40*msec
			kills := 0
			sim.onGroupStored = func(g Group) {
				if h := sim.owner(); g.SnapshotLast && h != nil && kills < 6 {
					kills++
					sim.killHost(h)
					sim.at(time.Second, func() { sim.startHost(h) })
				}
			}
			sim.submitLoad(20*time.Second, 30)
			sim.runAndCheck(t, 20*time.Second)
		})
	}
}

// TestSnapshotHoldsEndedJobsAsEnded guards against a job that a snapshot holds as one that
// has not begun, because its tasks have left the memory and its final record is pending.
func TestSnapshotHoldsEndedJobsAsEnded(t *testing.T) {
	for _, want := range []JobState{JobComplete, JobFailed, JobCancelled} {
		t.Run(want.String(), func(t *testing.T) {
			sim := newSimulation(t, 5, 1, 1)
			sim.run(time.Second)
			c := sim.owner().r.cell
			j := c.addJob("00000000000000aa", "batch", &JobSpec{Steps: []Step{{Count: 1}}}, sim.wall())
			j.durable = true
			switch want {
			case JobComplete:
				c.taskEnded(j.occurrences[0].stages[0].tasks[0], 1, EndDone, "", c.workers["w00"])
			case JobFailed:
				for run := range int64(c.attempts("batch")) {
					c.taskEnded(j.occurrences[0].stages[0].tasks[0], run+1, EndFailed, "", c.workers["w00"])
				}
			case JobCancelled:
				c.handleCancel(CancelReceived{Job: j.id})
			}
			pending := slices.Clone(c.log.pending)
			for _, tail := range [][]Record{nil, pending} {
				restored := sim.restore([]Group{{Sequence: 1, Snapshot: 1, SnapshotLast: true, Records: c.snapshotRecords()}, {Sequence: 2, Records: tail}})
				if got := restored.jobs[j.id]; got == nil || got.state != want || len(got.occurrences) > 0 || got.endedWall != j.endedWall {
					t.Errorf("with %d records after the snapshot, the job is restored as %+v, want state %v", len(tail), got, want)
				}
			}
		})
	}
}

// restore returns the cell that a successor restores from groups.
func (sim *simulation) restore(groups []Group) *cell {
	c := newCell(New(Self{Host: "successor"}, sim.limits))
	c.now, c.wall = sim.now, sim.wall()
	c.replay(groups)
	return c
}

// TestSnapshotsRestoreTheState guards against state that a snapshot leaves out or
// holds as it was: a successor restores the same from the snapshot as the owner has in
// memory, and no less than from all groups that were ever written.
func TestSnapshotsRestoreTheState(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 3, 12)
			sim.snapshotEvery, sim.faults.storeDelay = 15, 30*msec
			sim.faults.failureRate, sim.faults.lostAnswerRate = 0.15, 0.05
			var written []Group
			sim.onGroupStored = func(g Group) {
				if g.Snapshot == 0 {
					written = append(written, decodeGroup(t, encodeForStore(t, g)))
				}
				if h := sim.owner(); h != nil && h.r.cell.generation == g.Generation {
					sim.checkSnapshot(h.r.cell)
				}
				if g.Snapshot == 0 || g.SnapshotLast {
					sim.checkRestored(sim.restore(sim.storedGroups()), sim.restore(written))
				}
			}
			sim.submitVariedJobs(12*time.Second, 8)
			for i := range 3 {
				sim.at(time.Duration(3+3*i)*time.Second, func() {
					sim.crashWorker()
					if h := sim.owner(); h != nil {
						sim.killHost(h)
						sim.at(time.Second, func() { sim.startHost(h) })
					}
				})
			}
			sim.runAndCheck(t, 12*time.Second)
		})
	}
}

// TestSnapshotKeepsActiveRuns guards against runs that a snapshot leaves out, so that a
// successor does not count them: those of the members of a gang that are still active
// after another member has failed, and the second run of a speculative task.
func TestSnapshotKeepsActiveRuns(t *testing.T) {
	cases := map[string]struct {
		step  Step
		setUp func(c *cell, tasks []*task)
	}{
		"members of a gang after another member has failed": {
			step: Step{Count: 3, Gang: true},
			setUp: func(c *cell, tasks []*task) {
				for _, member := range tasks {
					c.createRun(member, c.workers["w00"], 1)
				}
				c.handleEnd(c.workers["w00"], RunEnd{Task: tasks[2].id(), Run: 1, Kind: EndFailed})
			},
		},
		"second run of a speculative task": {
			step: Step{Count: 1, Speculative: true},
			setUp: func(c *cell, tasks []*task) {
				c.createRun(tasks[0], c.workers["w00"], 1)
				c.createRun(tasks[0], c.workers["w01"], 2)
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 5, 1, 2)
			sim.run(time.Second)
			c := sim.owner().r.cell
			j := c.addJob("00000000000000aa", "batch", &JobSpec{Steps: []Step{tc.step}}, sim.wall())
			j.durable = true
			tc.setUp(c, j.occurrences[0].stages[0].tasks)
			if sim.checkSnapshot(c); len(sim.violations) > 0 {
				t.Error(strings.Join(sim.violations, "\n"))
			}
		})
	}
}

func decodeGroup(t testing.TB, value []byte) Group {
	var g Group
	if err := json.Unmarshal(value, &g); err != nil {
		t.Fatal(err)
	}
	return g
}

// storedGroups returns the groups that the store holds.
func (sim *simulation) storedGroups() []Group {
	var groups []Group
	for _, seq := range sortedKeys(sim.store.log) {
		groups = append(groups, decodeGroup(sim.t, sim.store.log[seq]))
	}
	return groups
}

// submitVariedJobs submits jobs of all kinds for a time.
func (sim *simulation) submitVariedJobs(d time.Duration, perSecond int) {
	for i := range int(d.Seconds()) * perSecond {
		sim.at(time.Duration(i)*time.Second/time.Duration(perSecond), func() {
			id := JobID(fmt.Sprintf("%016x", i))
			queue, spec := sim.randomJob()
			step := Step{Count: 2 + sim.rng.IntN(3), Need: Resources{MilliCPU: 700, MemoryMB: 100}, Estimate: 400 * msec, Checkpointing: true}
			switch i % 5 {
			case 0:
				step.Gang = true
				queue, spec = "gangs", JobSpec{Steps: []Step{step}}
			case 1:
				step.Speculative = true
				queue, spec = "batch", JobSpec{Steps: []Step{step, {Count: 1, Need: step.Need, Estimate: step.Estimate, After: []int{0}}}}
			case 2:
				queue, spec = "urgent", JobSpec{Steps: []Step{step}, Repeat: 4, First: sim.wall(), Interval: 300 * msec}
			}
			sim.submit(id, queue, spec, 5)
			if sim.rng.IntN(8) == 0 {
				sim.at(time.Duration(sim.rng.IntN(1500))*msec, func() { sim.cancelJob(sim.jobs[id]) })
			}
		})
	}
}

// checkSnapshot compares what a snapshot of a cell would restore with the cell.
func (sim *simulation) checkSnapshot(c *cell) {
	groups := []Group{decodeGroup(sim.t, encodeForStore(sim.t, Group{Sequence: 1, Snapshot: 1, SnapshotLast: true, Records: c.snapshotRecords()}))}
	restored := sim.restore(groups)
	for _, j := range c.jobList {
		if !j.durable {
			continue
		}
		got, want := "unknown", describeJob(j)
		if r := restored.jobs[j.id]; r != nil {
			got = describeJob(r)
		}
		if got != want {
			sim.addViolation("a snapshot restores job %s as\n%s\nwant\n%s", j.id, got, want)
		}
	}
	for _, w := range c.workersByID {
		if w.recorded && restored.workers[w.info.ID] == nil {
			sim.addViolation("a snapshot leaves out worker %s", w.info.ID)
		}
	}
}

// describeJob returns what a successor has to know of a job. Runs of tasks that are done
// are left out, because nothing depends on them but the capacity of workers that have to
// report before they are used.
func describeJob(j *job) string {
	var b strings.Builder
	fmt.Fprintf(&b, "state %v", j.state)
	if j.state.isTerminal() {
		return b.String()
	}
	fmt.Fprintf(&b, " started %v cancelled %v created %d", j.started, j.cancelled, j.created)
	for _, o := range j.occurrences {
		for _, s := range o.stages {
			fmt.Fprintf(&b, "\n  stage %d.%d: done %d, waiting %d, gang failures %d", o.index, s.index, s.done, s.waiting, s.gangFailures)
			for _, t := range s.tasks {
				if t.state != taskDone {
					fmt.Fprintf(&b, "\n    task %d: checkpoint %q, runs %v", t.index, t.checkpoint, describeRuns(t))
				}
				if !s.step.Gang && t.state != taskDone {
					fmt.Fprintf(&b, ", failures %d, last %d", t.failures, t.failedRun)
				}
			}
		}
	}
	return b.String()
}

func describeRuns(t *task) []string {
	var runs []string
	for _, r := range t.runs() {
		runs = append(runs, fmt.Sprintf("%d on %s", r.number, r.worker.info.ID))
	}
	slices.Sort(runs)
	return runs
}

// checkRestored checks that a cell that was restored from the log knows all that is in
// the whole log, and every run that is active at a worker.
func (sim *simulation) checkRestored(c, whole *cell) {
	for _, want := range whole.jobList {
		got := c.jobs[want.id]
		switch {
		case got == nil:
			sim.addViolation("job %s is in the whole log and is not restored", want.id)
		case want.state.isTerminal() && got.state != want.state:
			sim.addViolation("job %s ended as %v in the whole log and is restored as %v", want.id, want.state, got.state)
		case !got.state.isTerminal():
			sim.checkRestoredJob(got, want)
		}
	}
	for _, id := range sim.workerIDs() {
		for _, r := range sim.workers[id].sortedRuns() {
			t := c.findTask(r.id)
			if t != nil && t.state != taskDone && !slices.Contains(describeRuns(t), fmt.Sprintf("%d on %s", r.number, id)) {
				sim.addViolation("run %d of task %s is active on %s and is not restored: %v", r.number, r.id, id, describeRuns(t))
			}
		}
	}
}

func (sim *simulation) checkRestoredJob(got, want *job) {
	if want.started && !got.started || want.cancelled && !got.cancelled || got.created < want.created {
		sim.addViolation("job %s is restored with less than the whole log holds:\n%s\nwant\n%s", want.id, describeJob(got), describeJob(want))
	}
	for _, o := range got.occurrences {
		wantOccurrence := want.occurrence(o.index)
		if wantOccurrence == nil && o.index < want.created {
			sim.addViolation("occurrence %d of job %s is complete in the whole log and is restored as open", o.index, want.id)
		}
		if wantOccurrence == nil {
			continue
		}
		for i, s := range o.stages {
			for n, t := range s.tasks {
				wantStage := wantOccurrence.stages[i]
				w := wantStage.tasks[n]
				less := t.failures < w.failures && !s.step.Gang || s.gangFailures < wantStage.gangFailures || t.checkpoint == "" && w.checkpoint != ""
				if t.state != taskDone && (w.state == taskDone || less) {
					sim.addViolation("task %s is restored with less than the whole log holds:\n%s\nwant\n%s", t.id(), describeJob(got), describeJob(want))
				}
			}
		}
	}
}
