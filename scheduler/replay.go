package scheduler

import "slices"

// replay applies the groups of the log to an empty cell.
func (c *cell) replay(groups []Group) {
	var parts []Group
	for i := range groups {
		g := &groups[i]
		c.log.next = g.Sequence + 1
		c.generation = max(c.generation, g.Generation)
		switch {
		case g.Snapshot == 0:
			parts = nil
			c.applyRecords(g.Records)
			for i := range g.Records {
				c.log.bytes += g.Records[i].logBytes()
			}
			continue
		case g.Snapshot == 1:
			parts = []Group{*g}
		case g.Snapshot == len(parts)+1:
			parts = append(parts, *g)
		default:
			parts = nil
			continue
		}
		if g.SnapshotLast {
			c.jobs, c.jobList, c.workers, c.workersByID = map[JobID]*job{}, nil, map[WorkerID]*worker{}, nil
			c.chargedBytes, c.chargedText, c.log.bytes = 0, 0, 0
			for _, p := range parts {
				c.applyRecords(p.Records)
			}
			parts = nil
		}
	}
}

// TrimLog returns the groups without those that a complete snapshot among them replaces,
// so that a reader of the log does not keep them in memory.
func TrimLog(groups []Group) []Group {
	last := len(groups) - 1
	if last < 0 || !groups[last].SnapshotLast {
		return groups
	}
	first := last - groups[last].Snapshot + 1
	for i := max(first, 0); i <= last; i++ {
		if first < 0 || groups[i].Snapshot != i-first+1 {
			return groups
		}
	}
	return slices.Clone(groups[first:])
}

// applyRecords applies records of an earlier owner.
func (c *cell) applyRecords(records []Record) {
	for i := range records {
		rec := &records[i]
		switch {
		case rec.Worker != nil:
			w := c.addWorker(*rec.Worker)
			w.recorded, w.recordDurable = true, true
			continue
		case rec.WorkerGone != "":
			c.forgetWorker(rec.WorkerGone)
			continue
		}
		j := c.jobs[rec.Job]
		if rec.Policy != nil {
			c.policies[rec.Queue] = rec.Policy
		}
		if rec.Spec != nil && j == nil {
			j = c.addJob(rec.Job, rec.Queue, rec.Spec, rec.Accepted)
			j.durable = true
		}
		if j == nil && rec.Final.isTerminal() {
			j = c.addJob(rec.Job, rec.Queue, &JobSpec{}, rec.Accepted)
			j.durable = true
		}
		if j == nil || j.state.isTerminal() {
			// A snapshot can hold the end of a job before records that were pending then.
			continue
		}
		j.started = j.started || rec.Started || len(rec.Ends) > 0
		c.applyCreated(j, rec)
		for _, s := range rec.Starts {
			c.createThrough(j, s.Occurrence)
			c.applyStart(j, s)
		}
		for _, e := range rec.Ends {
			c.createThrough(j, e.Occurrence)
			c.applyEnd(j, e)
		}
		if rec.Cancelled {
			j.cancelled = true
		}
		if rec.Final.isTerminal() {
			j.state, j.reported, j.endedWall = rec.Final, rec.Final, rec.FinalAt
			c.releaseEndedJob(j)
		}
	}
}

// applyCreated applies which occurrences of a repeated job have been created.
func (c *cell) applyCreated(j *job, rec *Record) {
	if rec.Created > j.created && j.spec.Repeat > 0 {
		j.created = min(rec.Created, j.spec.Repeat)
	}
	for _, index := range rec.Open {
		if index >= 0 && index < j.created {
			c.createOccurrence(j, index)
		}
	}
}

// applyStart applies the recorded start of a run. Whether the run is still active is
// known after the worker's next report.
func (c *cell) applyStart(j *job, s StartRecord) {
	t := c.findTask(TaskID{j.id, s.Occurrence, s.Step, s.Index})
	w := c.workers[s.Worker]
	if t == nil || t.state == taskDone {
		return
	}
	t.lastRun = max(t.lastRun, s.Run)
	t.stage.gangRun = max(t.stage.gangRun, s.Run)
	if w == nil {
		return
	}
	c.dropTaskRuns(t)
	r := c.createRun(t, w, s.Run)
	r.state, r.pace = runInherited, runPace{}
}

// dropTaskRuns drops the runs of a task that have ended according to a later record.
// Runs of speculative tasks are kept: two of them can be active at a time.
func (c *cell) dropTaskRuns(t *task) {
	for _, r := range t.runs() {
		if !t.stage.step.Speculative {
			c.releaseRun(r)
			t.detachRun(r)
		}
	}
	if t.state == taskAssigned && t.run == nil {
		t.state = taskWaiting
		t.stage.waiting++
	}
}

// forgetWorker removes a worker on which no task can run any more.
func (c *cell) forgetWorker(id WorkerID) {
	if w := c.workers[id]; w != nil {
		for _, r := range w.sortedRuns() {
			if t := r.task; t != nil {
				c.dropTaskRuns(t)
			}
		}
		c.removeWorker(w)
	}
}
