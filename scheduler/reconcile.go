package scheduler

import "time"

const (
	// stallThreshold is how long a stage waits before its state is logged. It is
	// longer than the slack of most jobs.
	stallThreshold = 8 * time.Second
	// maxStalledLogged bounds the number of stalled stages that are logged each
	// time.
	maxStalledLogged = 8
)

// reconcile checks the tasks of open jobs against the runs and the ready list, and
// repairs differences: an assigned task without a run waits again, and an unblocked
// stage with waiting tasks is in the ready list. The state transitions maintain
// this, so each repair is logged as evidence of a fault in them.
func (c *cell) reconcile() {
	stalled := 0
	for _, j := range c.jobList {
		if !j.durable || j.isEnding() {
			continue
		}
		for _, o := range j.occurrences {
			if !o.opened {
				continue
			}
			for _, s := range o.stages {
				c.reconcileStage(s)
				if stalled < maxStalledLogged && s.dependenciesDone() && s.done < len(s.tasks) && c.now.Sub(s.readyAt) > stallThreshold && s.waiting > 0 {
					stalled++
					c.logStalled(s)
				}
			}
		}
	}
}

// logStalled logs what a stage may be waiting for.
func (c *cell) logStalled(s *stage) {
	places := 0
	for _, w := range c.workersByID {
		if c.usable(s, w) {
			places += c.placesOn(s, w)
		}
	}
	allowedPlaces := 0
	for _, w := range c.allowedWorkers(s) {
		allowedPlaces += c.placesOn(s, w)
	}
	c.logDecision(Decision{Kind: "stage", Outcome: "stalled", Job: s.job.id, Task: s.stepName(), Queue: s.job.queue, Fields: []Field{
		{"waiting", int64(s.waiting)}, {"done", int64(s.done)}, {"queued", boolField(s.queued)},
		{"waited_ms", c.now.Sub(s.readyAt).Milliseconds()}, {"slack_ms", s.latestStart.Sub(c.now).Milliseconds()},
		{"places", int64(places)}, {"places_advised", int64(allowedPlaces)}, {"advice_in_flight", boolField(s.advice.inFlight)},
		{"ready_stages", int64(len(c.ready))},
	}})
}

// reconcileStage checks and repairs one stage.
func (c *cell) reconcileStage(s *stage) {
	waiting, withoutRun := 0, int64(0)
	for _, t := range s.tasks {
		if r := t.run; r != nil && (c.workers[r.worker.info.ID] != r.worker || r.worker.runs[runKey{r.id, r.number}] != r) {
			// The run's worker has been removed, so its end will not be reported.
			t.detachRun(r)
		}
		if t.state == taskAssigned && t.run == nil {
			t.state = taskWaiting
			withoutRun++
		}
		if t.state == taskWaiting {
			waiting++
		}
	}
	agrees := withoutRun == 0 && waiting == s.waiting
	s.waiting = waiting
	if !s.queued && waiting > 0 && s.dependenciesDone() {
		agrees = false
		c.enqueue(s)
	}
	if !agrees {
		c.logDecision(Decision{Kind: "job", Outcome: "repaired", Job: s.job.id, Task: s.stepName(), Fields: []Field{
			{"waiting", int64(waiting)}, {"without_run", withoutRun}}})
	}
}
