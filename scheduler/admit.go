package scheduler

import "time"

const (
	// refuseRetry is when a refused caller should come back at the earliest.
	refusalRetryAfter = 1 * time.Second
	// answerMargin is the time before a caller's deadline at which it gets an
	// answer in any case, so that the answer still reaches it.
	answerMargin = 150 * msec
)

// submit handles a job at the owner.
func (c *cell) handleSubmit(e SubmitReceived) {
	if j := c.jobs[e.Job]; j != nil {
		if j.durable {
			c.reply(e.Token, Answer{Status: StatusOK, State: j.reported})
			return
		}
		j.submitWaiters = append(j.submitWaiters, e.Token)
		return
	}
	if refusal := c.admit(e); refusal != nil {
		c.logDecision(Decision{Kind: "submit", Outcome: refusal.Status.String(), Job: e.Job, Queue: e.Queue,
			Reason: string(refusal.Reason), Fields: []Field{
				{"retry_after_ms", refusal.RetryAfter.Milliseconds()}, {"config_version", e.ConfigVersion},
				{"ready_stages", int64(len(c.ready))}}})
		c.reply(e.Token, *refusal)
		return
	}
	spec := e.Spec
	j := c.addJob(e.Job, e.Queue, &spec, c.wall)
	j.submitWaiters = []Token{e.Token}
	c.record(Record{Job: j.id, Accepted: j.acceptedWall, Queue: j.queue, Spec: j.spec, Policy: c.queue(j.queue)}, true)
	c.policies[j.queue] = c.queue(j.queue)
	c.whenDurable(func() { c.handleJobDurable(j) })
	// Its tasks are placed while the job is being written, and start once it is
	// accepted.
	c.openJob(j)
}

// accepted continues once a job is in the store.
func (c *cell) handleJobDurable(j *job) {
	j.durable = true
	for _, token := range j.submitWaiters {
		c.reply(token, Answer{Status: StatusOK, State: j.reported})
	}
	c.logDecision(Decision{Kind: "submit", Outcome: "accepted", Job: j.id, Queue: j.queue, Fields: []Field{
		{"took_ms", c.now.Sub(j.acceptedAt).Milliseconds()}, {"generation", c.generation}}})
	j.submitWaiters = nil
	c.dirty = true
	if j.cancelled {
		c.endJobIfDecided(j)
	}
}

// openJob puts the stages of a job into the ready list, or waits until they are
// due.
func (c *cell) openJob(j *job) {
	for _, o := range j.occurrences {
		if j.spec.Repeat > 0 && o.due > c.wall {
			c.scheduledOccurrences = append(c.scheduledOccurrences, o)
			continue
		}
		c.openStages(o)
	}
}

// openTimed opens the occurrences that have become due.
func (c *cell) openDueOccurrences() {
	keep := c.scheduledOccurrences[:0]
	for _, o := range c.scheduledOccurrences {
		switch {
		case o.job().isEnding():
		case o.due <= c.wall:
			c.openStages(o)
		default:
			keep = append(keep, o)
		}
	}
	clear(c.scheduledOccurrences[len(keep):])
	c.scheduledOccurrences = keep
}

// admit decides whether a job is accepted.
func (c *cell) admit(e SubmitReceived) *Answer {
	switch {
	case !c.mayStart():
		return &Answer{Status: StatusUnavailable, Reason: ReasonNoLease, RetryAfter: outageRetryAfter}
	case len(c.workers) > 0 && !c.canEverFit(e.Queue, &e.Spec):
		return &Answer{Status: StatusRefused, Reason: ReasonNeverFits, RetryAfter: refusalRetryAfter}
	}
	return nil
}

// status answers with the state of a job.
func (c *cell) handleStatus(e StatusReceived) {
	j := c.jobs[e.Job]
	switch {
	case j != nil && j.durable:
		c.reply(e.Token, Answer{Status: StatusOK, State: j.reportedState()})
	case !c.mayStart():
		c.reply(e.Token, Answer{Status: StatusUnavailable, Reason: ReasonNoLease, RetryAfter: refusalRetryAfter})
	default:
		c.reply(e.Token, Answer{Status: StatusGone, Reason: ReasonUnknownJob})
	}
}

// visibleState is the state that callers are told.
func (j *job) reportedState() JobState {
	if j.reported.isTerminal() {
		return j.reported
	}
	if j.started {
		return JobRunning
	}
	return JobQueued
}

// cancel ends a job on its caller's wish.
func (c *cell) handleCancel(e CancelReceived) {
	j := c.jobs[e.Job]
	switch {
	case j == nil && !c.mayStart():
		c.reply(e.Token, Answer{Status: StatusUnavailable, Reason: ReasonNoLease, RetryAfter: refusalRetryAfter})
		return
	case j == nil:
		c.reply(e.Token, Answer{Status: StatusGone, Reason: ReasonUnknownJob})
		return
	case j.reported.isTerminal():
		c.reply(e.Token, Answer{Status: StatusOK, State: j.reported})
		return
	}
	j.cancelWaiters = append(j.cancelWaiters, e.Token)
	if !j.state.isTerminal() && !j.cancelled {
		j.cancelled = true
		c.record(Record{Job: j.id, Cancelled: true}, true)
		c.logDecision(Decision{Kind: "cancel", Outcome: "requested", Job: j.id, Queue: j.queue})
		if j.durable {
			c.endJobIfDecided(j)
		}
	}
	c.whenDurable(func() {
		for _, token := range j.cancelWaiters {
			c.reply(token, Answer{Status: StatusOK, State: j.reported})
		}
		j.cancelWaiters = nil
	})
}

// pendingJobs counts the jobs of a queue of which no task has started.
func (c *cell) pendingJobs(queue QueueName) int {
	n := 0
	for _, j := range c.jobList {
		if j.queue == queue && j.durable && !j.started && !j.isEnding() {
			n++
		}
	}
	return n
}
