package scheduler

import (
	"fmt"
	"slices"
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
