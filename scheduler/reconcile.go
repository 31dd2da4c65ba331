package scheduler

// reconcile compares the tasks of open jobs with the runs and the ready list, and
// repairs what does not agree: a task without a run waits, and a stage with waiting
// tasks whose turn has come is in the ready list. The transitions keep this by
// themselves; a repair is logged, since it shows a fault in them.
func (c *cell) reconcile() {
	for _, j := range c.jobList {
		if !j.durable || j.ending() {
			continue
		}
		for _, o := range j.occurrences {
			if !o.opened {
				continue
			}
			for _, s := range o.stages {
				c.reconcileStage(s)
			}
		}
	}
}

// reconcileStage repairs one stage.
func (c *cell) reconcileStage(s *stage) {
	waiting, lost := 0, int64(0)
	for _, t := range s.tasks {
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
	if !s.queued && waiting > 0 && s.unblocked() {
		agrees = false
		c.enqueue(s)
	}
	if !agrees {
		c.decide(Decision{Kind: "job", Outcome: "repaired", Job: s.job.id, Task: s.stepName(), Fields: []Field{
			{"waiting", int64(waiting)}, {"without_run", lost}}})
	}
}
