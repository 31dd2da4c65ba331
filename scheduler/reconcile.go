package scheduler

import "time"

const (
	// stalledAfter is how long a stage waits before the log says what it waits
	// for. It is longer than the slack of most jobs.
	stallThreshold = 8 * time.Second
	// maxStalled bounds these lines in each round.
	maxStalledLogged = 8
)

// reconcile compares the tasks of open jobs with the runs and the ready list, and
// repairs what does not agree: a task without a run waits, and a stage with waiting
// tasks whose turn has come is in the ready list. The transitions keep this by
// themselves; a repair is logged, since it shows a fault in them.
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

// noteStalled writes down what a stage waits for.
func (c *cell) logStalled(s *stage) {
	places := 0
	for _, w := range c.workersByID {
		if c.usable(s, w) {
			places += c.placesOn(s, w)
		}
	}
	good := 0
	for _, w := range c.allowedWorkers(s) {
		good += c.placesOn(s, w)
	}
	c.logDecision(Decision{Kind: "stage", Outcome: "stalled", Job: s.job.id, Task: s.stepName(), Queue: s.job.queue, Fields: []Field{
		{"waiting", int64(s.waiting)}, {"done", int64(s.done)}, {"queued", boolField(s.queued)},
		{"waited_ms", c.now.Sub(s.readyAt).Milliseconds()}, {"slack_ms", s.latestStart.Sub(c.now).Milliseconds()},
		{"places", int64(places)}, {"places_advised", int64(good)}, {"advice_in_flight", boolField(s.advice.inFlight)},
		{"ready_stages", int64(len(c.ready))},
	}})
}

// reconcileStage repairs one stage.
func (c *cell) reconcileStage(s *stage) {
	waiting, lost := 0, int64(0)
	for _, t := range s.tasks {
		if r := t.run; r != nil && (c.workers[r.worker.info.ID] != r.worker || r.worker.runs[runKey{r.id, r.number}] != r) {
			// The run's worker is forgotten, so nothing can tell its end any more.
			t.detachRun(r)
		}
		if t.state == taskAssigned && t.run == nil {
			t.state = taskWaiting
			lost++
		}
		if t.state == taskWaiting {
			waiting++
		}
	}
	agrees := lost == 0 && waiting == s.waiting
	s.waiting = waiting
	if !s.queued && waiting > 0 && s.dependenciesDone() {
		agrees = false
		c.enqueue(s)
	}
	if !agrees {
		c.logDecision(Decision{Kind: "job", Outcome: "repaired", Job: s.job.id, Task: s.stepName(), Fields: []Field{
			{"waiting", int64(waiting)}, {"without_run", lost}}})
	}
}
