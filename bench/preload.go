package bench

import (
	"fmt"
	"slices"

	"banyanrun.example/banyanrun/core"
)

// recordsPerGroup keeps the groups of a preloaded journal close to the size of
// real ones, and their number below the one that triggers a journal cleanup.
const recordsPerGroup = 1300

// preloadJobs starts jobs at the workers and records them in the journal as if a
// previous owner had placed them. The reducer recovers them when it takes over, so
// a large cell is full without a decision per task. It returns the jobs that did
// not fit on any worker.
func (c *Cell) preloadJobs(jobs []Job) []Job {
	var records []core.Record
	var unplaced []Job
	// Jobs that need accelerators are placed first, before other jobs fill the
	// workers that have them.
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

// preloadReplicas starts the replicas of every service. They need no journal
// records.
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

// preloadJob starts one job and returns its journal records.
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

// preloadTask starts a task at a worker without a request from the reducer, and
// keeps its report for the first sync.
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

// nextWorkerWithRoom returns the first worker with enough free capacity at or
// after index next. It advances next past that worker to spread the load.
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

// preloadJournal writes records as journal groups of a previous owner.
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
