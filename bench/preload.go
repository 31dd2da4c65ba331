package bench

import (
	"fmt"
	"slices"

	"banyanrun.example/banyanrun/core"
)

// recordsPerGroup keeps the groups of a prepared journal near the size of real
// ones and their number below the one at which the journal is cleaned.
const recordsPerGroup = 1300

// adopt makes jobs run at the workers and records them in the journal, as an
// earlier owner left them. The reducer finds them when it takes over, so a large
// cell is full without a decision for each task. It returns the jobs for which no
// worker had room.
func (c *Cell) preloadJobs(jobs []Job) []Job {
	var records []core.Record
	var unplaced []Job
	// Work that needs accelerators is placed first, as long as such workers
	// have room.
	order := make([]*Job, 0, len(jobs))
	for i := range jobs {
		order = append(order, &jobs[i])
	}
	slices.SortStableFunc(order, func(a, b *Job) int {
		return int(c.trace.kind(b).Request.Accelerators - c.trace.kind(a).Request.Accelerators)
	})
	next := 0
	for _, j := range order {
		kind := c.trace.kind(j)
		w := c.nextWorkerWithRoom(&next, kind.Request)
		if w == nil {
			unplaced = append(unplaced, *j)
			continue
		}
		records = append(records, c.preloadJob(w, j, kind)...)
	}
	c.preloadJournal(records)
	return unplaced
}

// adoptReplicas makes the replicas of every service run. They need no records.
func (c *Cell) preloadReplicas() {
	next := 0
	for i := range c.trace.Documents {
		d := &c.trace.Documents[i]
		for _, s := range d.Services {
			kind, ok := d.Kind(s.Kind)
			for n := range s.Replicas {
				if !ok {
					break
				}
				if w := c.nextWorkerWithRoom(&next, kind.Request); w != nil {
					id := fmt.Sprintf("%s%s/%s/%s/%d", core.ServicePrefix, dataCentre, d.Team, s.Name, n)
					c.preloadTask(w, core.TaskRef{Job: core.JobID(id), Attempt: 1}, kind.Request)
				}
			}
		}
	}
}

// adoptOne starts one job and returns its records.
func (c *Cell) preloadJob(w *fakeWorker, j *Job, kind *core.Kind) []core.Record {
	c.jobs[j.ID] = j
	ref := core.TaskRef{Job: j.ID, Attempt: 1}
	c.preloadTask(w, ref, kind.Request)
	records := []core.Record{{Kind: core.RecordAccepted, Job: j.ID, Spec: &core.JobSpec{
		ID: j.ID, Team: j.Team, Kind: j.Kind, Digest: 1, Origin: dataCentre, Submitted: c.now,
	}}}
	if !kind.Idempotent {
		records = append(records, core.Record{
			Kind: core.RecordAssigned, Job: j.ID, Task: ref, Worker: w.listed.ID, Incarnation: w.incarnation, At: c.now,
		})
	}
	return records
}

// begin runs a task at a worker without a request of the reducer, and keeps the
// news of it for the first sync.
func (c *Cell) preloadTask(w *fakeWorker, ref core.TaskRef, request core.Resources) {
	run := &fakeRun{request: request, started: c.now, lastResumed: c.now, remaining: c.runTime(ref.Job), slowdown: 1}
	w.running[ref], w.inUse = run, w.inUse.Add(request)
	c.recordStart(core.StartTask{Task: ref})
	c.scheduleEnd(w, ref, run)
	w.sequence++
	w.unconfirmed = append(w.unconfirmed, numberedReport{w.sequence, core.TaskReport{
		Task: ref, State: core.ReportedRunning, Requested: request, Used: request,
	}})
}

// roomAfter returns the first worker with room at or after place next, and moves
// next behind it so that the load spreads.
func (c *Cell) nextWorkerWithRoom(next *int, need core.Resources) *fakeWorker {
	for range c.listed {
		w := c.workers[c.listed[*next%len(c.listed)].ID]
		*next++
		if w.inUse.Add(need).Fits(w.listed.Capacity) {
			return w
		}
	}
	return nil
}

// prepareJournal writes records as the groups of an earlier owner.
func (c *Cell) preloadJournal(records []core.Record) {
	sequence := uint64(0)
	for group := range slices.Chunk(records, recordsPerGroup) {
		sequence++
		c.store.revision++
		key := fmt.Sprintf("cells/%s/journal/%012d", dataCentre, sequence)
		c.store.items[key] = core.StoreItem{Key: key, Revision: c.store.revision, Value: core.JournalGroup{
			Epoch: 1, Sequence: sequence, ID: sequence, Records: group,
		}}
	}
}
