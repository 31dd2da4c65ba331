package scheduler

// isEnding reports whether no task of the job may start any more.
func (j *job) isEnding() bool { return j.cancelled || j.state.isTerminal() }

// taskEnded applies the end of a task's run to the job and records it.
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
	if j.isComplete() || kind == EndFailed {
		c.endJobIfDecided(j)
	}
}

// applyEnd updates the state of a job for the end of a run. It is also used to replay
// the log.
func (c *cell) applyEnd(j *job, e EndRecord) {
	t := c.findTask(TaskID{j.id, e.Occurrence, e.Step, e.Index})
	if t == nil {
		return
	}
	s := t.stage
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
		// A worker repeats an end until it is acknowledged, also to a later owner.
		// Each run counts once.
		if s.step.LongRunning {
			// There is no limit to the attempts, so they need not be remembered.
			return
		}
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

// applyCheckpoint stores a checkpoint. That of any member is valid for the whole gang.
func (c *cell) applyCheckpoint(s *stage, t *task, checkpoint string) {
	if !s.step.Gang {
		t.checkpoint = checkpoint
		return
	}
	for _, member := range s.tasks {
		member.checkpoint = checkpoint
	}
}

// markDone marks a task as successful.
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
		c.releaseAdvice(t.stage)
		o := t.stage.occ
		if o.openStages--; o.openStages == 0 {
			c.dropOccurrence(t.stage.job, o.index)
		}
	}
}

// stopRuns stops the remaining runs of a task.
func (c *cell) stopRuns(t *task) {
	if t.stage.step.Gang {
		// The other members end by themselves.
		return
	}
	for _, r := range t.runs() {
		c.stopRun(r)
	}
}

// stageComplete opens the stages that depended on this one.
func (c *cell) stageComplete(s *stage) {
	c.openStages(s.occ)
}

// openStages adds the stages of an occurrence whose dependencies are done to the ready
// list.
func (c *cell) openStages(o *occurrence) {
	o.opened = true
	for _, s := range o.stages {
		if s.done < len(s.tasks) && !s.queued && s.waiting > 0 && s.dependenciesDone() {
			c.enqueue(s)
		}
	}
}

// dependenciesDone reports whether all stages that this one depends on are complete.
func (s *stage) dependenciesDone() bool {
	for _, earlier := range s.step.After {
		before := s.occ.stages[earlier]
		if before.done < len(before.tasks) {
			return false
		}
	}
	return true
}

// endJobIfDecided ends a job that was cancelled, is complete or has used up the
// attempts of a task.
func (c *cell) endJobIfDecided(j *job) {
	switch {
	case j.state.isTerminal():
	case j.cancelled:
		c.endJob(j, JobCancelled)
	case j.isComplete():
		c.endJob(j, JobComplete)
	case c.attemptsExhausted(j):
		c.endJob(j, JobFailed)
	}
}

// attemptsExhausted reports whether an unfinished task or gang of the job has used up
// its attempts.
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

// attempts returns the number of failed runs after which a job of a queue fails.
func (c *cell) attempts(name QueueName) int {
	if q := c.queue(name); q != nil && q.Attempts > 0 {
		return q.Attempts
	}
	return defaultAttempts
}

// defaultAttempts applies if the queue's configuration is unknown or sets no number.
const defaultAttempts = 3

// endJob sets the terminal state of a job. The state is reported to callers once it is
// durable.
func (c *cell) endJob(j *job, state JobState) {
	j.state = state
	j.endedWall = c.wall
	c.record(Record{Job: j.id, Final: state, FinalAt: c.wall}, false)
	c.whenDurable(func() {
		j.reported = state
		c.releaseEndedJob(j)
		c.logDecision(Decision{Kind: "job", Outcome: state.String(), Job: j.id, Queue: j.queue,
			Fields: []Field{{"age_ms", c.now.Sub(j.acceptedAt).Milliseconds()}}})
	})
	c.stopJob(j)
}

// stopJob stops all runs of a job.
func (c *cell) stopJob(j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.stages {
			c.releaseAdvice(s)
			if s.step.Gang && s.done == len(s.tasks) {
				// The members end by themselves.
				continue
			}
			for _, t := range s.tasks {
				for _, r := range t.runs() {
					c.stopRun(r)
				}
			}
		}
	}
	c.dirty = true
}
