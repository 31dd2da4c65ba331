package scheduler

// ending reports whether nothing of the job may start any more.
func (j *job) isEnding() bool { return j.cancelled || j.state.isTerminal() }

// taskEnded takes the end of a task's run into account and records it.
func (c *cell) taskEnded(t *task, number int64, kind EndKind, checkpoint string, w *worker) {
	j := t.stage.job
	e := EndRecord{Occurrence: t.stage.occ.index, Step: t.stage.index, Index: t.index, Run: number, Kind: kind}
	if checkpoint != "" && (kind != EndDone || t.stage.step.Gang) {
		e.Checkpoint = checkpoint
	}
	c.logDecision(Decision{Kind: "end", Outcome: kind.String(), Job: j.id, Task: t.id().String(), Run: number, Worker: w.info.ID})
	if j.state.isTerminal() {
		return
	}
	wasOpen := t.stage.done < len(t.stage.tasks)
	c.applyEnd(j, e)
	durable := kind == EndDone || kind == EndFailed || e.Checkpoint != ""
	if durable {
		c.record(Record{Job: j.id, Ends: []EndRecord{e}}, false)
	}
	if t.state == taskDone {
		c.stopRuns(t)
	}
	if wasOpen && t.stage.done == len(t.stage.tasks) {
		c.stageComplete(t.stage)
	}
	if j.openOccurrences == 0 || kind == EndFailed {
		c.endJobIfDecided(j)
	}
}

// applyEnd changes the durable state of a job by the end of a run. It is also
// used when the log is read.
func (c *cell) applyEnd(j *job, e EndRecord) {
	if e.Occurrence >= len(j.occurrences) || e.Step >= len(j.occurrences[e.Occurrence].stages) {
		return
	}
	s := j.occurrences[e.Occurrence].stages[e.Step]
	if e.Index >= len(s.tasks) {
		return
	}
	t := s.tasks[e.Index]
	t.lastRun = max(t.lastRun, e.Run)
	if t.run != nil && t.run.state == runInherited && t.run.number <= e.Run {
		c.dropTaskRuns(t)
		c.enqueue(s)
	}
	if e.Checkpoint != "" && s.step.Checkpointing {
		c.applyCheckpoint(s, t, e.Checkpoint)
	}
	switch e.Kind {
	case EndDone:
		if s.step.LongRunning {
			return
		}
		if s.step.Gang {
			for _, member := range s.tasks {
				c.markDone(member)
			}
			return
		}
		c.markDone(t)
	case EndFailed:
		// A worker lists an end again until it is acknowledged, also to a
		// later owner; each run counts once.
		if e.Run > t.failedRun {
			t.failedRun = e.Run
			t.failures++
		}
		if s.step.Gang && e.Run > s.failedRun {
			s.failedRun = e.Run
			s.gangFailures++
		}
	}
}

// applyCheckpoint keeps a checkpoint. Any member's is valid for the whole gang.
func (c *cell) applyCheckpoint(s *stage, t *task, checkpoint string) {
	if !s.step.Gang {
		t.checkpoint = checkpoint
		return
	}
	for _, member := range s.tasks {
		member.checkpoint = checkpoint
	}
}

// markDone notes that a task has ended successfully.
func (c *cell) markDone(t *task) {
	if t.state == taskDone {
		return
	}
	if t.state == taskWaiting {
		t.stage.waiting--
	}
	if t.run != nil && t.run.state == runInherited {
		c.releaseRun(t.run)
		t.detachRun(t.run)
	}
	t.state = taskDone
	t.checkpoint = ""
	t.stage.done++
	if t.stage.done == len(t.stage.tasks) {
		o := t.stage.occ
		if o.openStages--; o.openStages == 0 {
			t.stage.job.openOccurrences--
		}
	}
}

// stopRuns stops what still runs of a task, and of its gang.
func (c *cell) stopRuns(t *task) {
	if t.stage.step.Gang {
		// All members end by themselves together with the one that is done.
		return
	}
	if t.run != nil {
		c.stopRun(t.run)
	}
	if t.speculativeRun != nil {
		c.stopRun(t.speculativeRun)
	}
}

// stageComplete opens the stages that waited for this one.
func (c *cell) stageComplete(s *stage) {
	c.openStages(s.occ)
}

// openStages puts the stages of an occurrence whose turn has come into the ready
// list.
func (c *cell) openStages(o *occurrence) {
	o.opened = true
	for _, s := range o.stages {
		if s.done < len(s.tasks) && !s.queued && s.waiting > 0 && s.dependenciesDone() {
			c.enqueue(s)
		}
	}
}

// unblocked reports whether every stage before this one is complete.
func (s *stage) dependenciesDone() bool {
	for _, earlier := range s.step.After {
		before := s.occ.stages[earlier]
		if before.done < len(before.tasks) {
			return false
		}
	}
	return true
}

// settle ends a job that is complete, or one of whose tasks has failed too often.
func (c *cell) endJobIfDecided(j *job) {
	switch {
	case j.state.isTerminal():
	case j.cancelled:
		c.endJob(j, JobCancelled)
	case j.openOccurrences == 0:
		c.endJob(j, JobComplete)
	case c.attemptsExhausted(j):
		c.endJob(j, JobFailed)
	}
}

// exhausted reports whether a task or gang of the job has failed as often as its
// queue allows.
func (c *cell) attemptsExhausted(j *job) bool {
	attempts := c.attempts(j.queue)
	for _, o := range j.occurrences {
		for _, s := range o.stages {
			if s.step.LongRunning || s.done == len(s.tasks) {
				continue
			}
			if s.step.Gang {
				if s.gangFailures >= attempts {
					return true
				}
				continue
			}
			for _, t := range s.tasks {
				if t.state != taskDone && t.failures >= attempts {
					return true
				}
			}
		}
	}
	return false
}

// attempts is the number of failures that a queue allows.
func (c *cell) attempts(name QueueName) int {
	if q := c.queue(name); q != nil && q.Attempts > 0 {
		return q.Attempts
	}
	return defaultAttempts
}

// defaultAttempts applies to queues that are no longer in the configuration.
const defaultAttempts = 3

// endJob gives a job its last state. Callers are told once it is durable.
func (c *cell) endJob(j *job, state JobState) {
	j.state = state
	j.endedWall = c.wall
	c.record(Record{Job: j.id, Final: state, FinalAt: c.wall}, false)
	c.whenDurable(func() {
		j.reported = state
		c.logDecision(Decision{Kind: "job", Outcome: state.String(), Job: j.id, Queue: j.queue,
			Fields: []Field{{"age_ms", c.now.Sub(j.acceptedAt).Milliseconds()}}})
	})
	c.stopJob(j)
}

// stopJob stops everything that runs for a job.
func (c *cell) stopJob(j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.stages {
			if s.step.Gang && s.done == len(s.tasks) {
				// The members end by themselves.
				continue
			}
			for _, t := range s.tasks {
				if t.run != nil {
					c.stopRun(t.run)
				}
				if t.speculativeRun != nil {
					c.stopRun(t.speculativeRun)
				}
			}
		}
	}
	c.dirty = true
}
