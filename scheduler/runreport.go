package scheduler

import "slices"

// handleEnds handles the reported ends that are new, in order of their numbers.
func (c *cell) handleEnds(w *worker, ends []RunEnd) {
	slices.SortFunc(ends, func(a, b RunEnd) int { return int(a.Number - b.Number) })
	changed := false
	for _, e := range ends {
		if e.Number <= w.notedEnd {
			continue
		}
		w.notedEnd = e.Number
		changed = true
		c.handleEnd(w, e)
	}
	if changed {
		id, incarnation, notedEnd := w.info.ID, w.incarnation, w.notedEnd
		c.whenDurable(func() {
			w := c.workers[id]
			if w == nil || w.incarnation != incarnation {
				return
			}
			w.durableEnd = max(w.durableEnd, notedEnd)
			if !w.hold.inFlight && c.now >= w.hold.retryAt && c.mayExtendWorkerLeases() && c.needsHold(w) {
				c.sendHold(w)
			}
		})
	}
}

// handleEnd handles one reported end.
func (c *cell) handleEnd(w *worker, e RunEnd) {
	if j := c.jobs[e.Task.Job]; j != nil {
		c.noteStarted(j)
	}
	if r := w.runs[runKey{e.Task, e.Run}]; r != nil {
		c.handleRunEnd(r, e.Kind, e.Checkpoint)
		return
	}
	t := c.findTask(e.Task)
	if t == nil {
		return
	}
	// A run of an earlier owner, which ended before this owner's first Hold.
	c.taskEnded(t, e.Run, e.Kind, e.Checkpoint, w)
}

// handleActiveRuns compares the runs that a worker reports with those that it
// should have.
func (c *cell) handleActiveRuns(w *worker, e HoldAnswered) {
	reported := make(map[runKey]bool, len(e.Active))
	w.unknownRuns = false
	for i := range e.Active {
		a := &e.Active[i]
		key := runKey{a.Task, a.Run}
		reported[key] = true
		r := w.runs[key]
		if r == nil {
			if r = c.adoptRun(w, a); r == nil {
				continue
			}
		}
		c.updateRun(r, a)
	}
	if len(e.Ended) >= maxReportedEnds {
		return
	}
	for _, r := range w.sortedRuns() {
		if !reported[runKey{r.id, r.number}] {
			c.handleMissingRun(r)
		}
	}
}

// adoptRun takes over a reported run that this owner does not track.
func (c *cell) adoptRun(w *worker, a *ActiveRun) *run {
	t := c.findTask(a.Task)
	r := &run{id: a.Task, number: a.Run, worker: w, state: runActive, orderedAt: c.now, answeredAt: c.now}
	if t == nil {
		// The run's resource needs are unknown, so the worker gets no further
		// tasks until the run has ended.
		r.state = runStopping
		c.addRun(w, r)
		w.unknownRuns = true
		c.sendStop(r)
		return nil
	}
	r.task = t
	r.charge = t.stage.step.charge()
	c.addRun(w, r)
	t.stage.countRun(w, 1)
	t.lastRun = max(t.lastRun, a.Run)
	if t.stage.step.Gang {
		t.stage.gangRun = max(t.stage.gangRun, a.Run)
	}
	if t.state != taskWaiting || t.stage.job.isEnding() {
		c.stopRun(r)
		return r
	}
	t.state = taskAssigned
	t.stage.waiting--
	t.run = r
	r.expectedDuration = c.expectedDuration(t.stage)
	return r
}

// updateRun applies a worker's report of a run.
func (c *cell) updateRun(r *run, a *ActiveRun) {
	r.missingReports = 0
	if r.task != nil {
		c.noteStarted(r.task.stage.job)
	}
	if a.Checkpoint != "" && a.Checkpoint != r.checkpoint {
		r.checkpoint = a.Checkpoint
	}
	if r.state == runInDoubt || r.state == runStarting || r.state == runInherited {
		c.handleRunConfirmed(r)
	}
	if r.state == runStopping && !r.stopSent {
		c.sendStop(r)
	}
}

// handleMissingRun handles a run that the worker does not report.
func (c *cell) handleMissingRun(r *run) {
	if r.state == runPlanned || r.state == runStarting {
		return
	}
	if r.state == runInherited {
		// The worker has answered this owner, so it rejects a late order of an
		// earlier one.
		c.handleRunEnd(r, EndLost, "")
		return
	}
	if r.worker.hold.sentAt <= r.answeredAt {
		return
	}
	switch {
	case r.state == runInDoubt && !r.stopSent:
		// The start may still arrive. After a stop the worker rejects it.
		c.sendStop(r)
	case r.state == runInDoubt:
		if r.stopConfirmed {
			c.handleRunEnd(r, EndLost, "")
		}
	case r.state == runStopping && !r.stopConfirmed:
	default:
		r.missingReports++
		if r.missingReports >= maxMissingReports || r.state == runStopping {
			c.handleRunEnd(r, EndLost, "")
		}
	}
}
