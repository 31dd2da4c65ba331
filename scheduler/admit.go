package scheduler

import "time"

const (
	// refusalRetryAfter is the retry delay that callers are given with a refusal.
	refusalRetryAfter = 1 * time.Second
	// answerMargin is how long before a caller's deadline the request is answered
	// in any case, so that the answer arrives in time.
	answerMargin = 150 * msec
)

// handleSubmit accepts or refuses a job. A job that is already known is accepted again,
// so that callers can repeat the request.
func (c *cell) handleSubmit(e SubmitReceived) {
	if j := c.jobs[e.Job]; j != nil {
		if j.durable {
			c.reply(e.Token, Answer{Status: StatusOK, State: j.reportedState()})
			return
		}
		j.submitWaiters = append(j.submitWaiters, e.Token)
		return
	}
	if refusal := c.admit(e); refusal != nil {
		c.logDecision(Decision{Kind: "submit", Outcome: refusal.Status.String(), Job: e.Job, Queue: e.Queue,
			Reason: string(refusal.Reason), Fields: []Field{
				{"retry_after_ms", refusal.RetryAfter.Milliseconds()}, {"config_version", e.ConfigVersion},
				{"ready_stages", int64(len(c.ready))}, {"charged_bytes", c.chargedBytes}}})
		c.reply(e.Token, *refusal)
		return
	}
	spec := e.Spec
	j := c.addJob(e.Job, e.Queue, &spec, c.wall)
	j.submitWaiters = []Token{e.Token}
	c.record(c.acceptance(e.Job, e.Queue, &spec), true)
	c.policies[j.queue] = c.queue(j.queue)
	c.whenDurable(func() { c.handleJobDurable(j) })
	// The tasks are placed while the job is being written. They start once it is
	// durable.
	c.openJob(j)
}

// acceptance returns the record that accepts a job now.
func (c *cell) acceptance(id JobID, queue QueueName, spec *JobSpec) Record {
	return Record{Job: id, Accepted: c.wall, Queue: queue, Spec: spec, Policy: c.queue(queue)}
}

// handleJobDurable answers the callers of a job whose acceptance is in the store.
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

// admit returns the refusal of a job, or nil if it can be accepted.
func (c *cell) admit(e SubmitReceived) *Answer {
	switch {
	case !c.mayStart():
		return &Answer{Status: StatusUnavailable, Reason: ReasonNoLease, RetryAfter: outageRetryAfter}
	case len(c.workers) > 0 && !c.canEverFit(e.Queue, &e.Spec):
		return &Answer{Status: StatusRefused, Reason: ReasonNeverFits, RetryAfter: refusalRetryAfter}
	}
	if rec := c.acceptance(e.Job, e.Queue, &e.Spec); !c.fitsStore(&rec) {
		return &Answer{Status: StatusInvalid, Reason: ReasonTooLarge}
	}
	return c.refuseForMemory(&e.Spec)
}

// handleStatus answers a request for the state of a job.
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

// reportedState returns the state of the job in answers to callers.
func (j *job) reportedState() JobState {
	if j.reported.isTerminal() {
		return j.reported
	}
	if j.started {
		return JobRunning
	}
	return JobQueued
}

// handleCancel cancels a job. The request is answered once the cancellation is durable.
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

// isPending reports whether the job is accepted and waits for its first start.
func (j *job) isPending() bool {
	return j.durable && !j.isEnding() && j.reportedState() == JobQueued
}

// pendingJobs returns the number of jobs of a queue of which no task has started.
func (c *cell) pendingJobs(queue QueueName) int {
	n := 0
	for _, j := range c.jobList {
		if j.queue == queue && j.isPending() {
			n++
		}
	}
	return n
}
