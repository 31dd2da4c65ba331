package scheduler

import "time"

// submit submits a job and repeats the request until the job is accepted or the tries
// are used up.
func (w *simulation) submit(id JobID, queue QueueName, spec JobSpec, tries int) {
	j := w.jobs[id]
	if j == nil {
		j = &fakeJob{id: id, spec: spec, queue: queue, acknowledgedDone: map[TaskID]bool{}, done: map[TaskID]bool{}, refused: true}
		w.jobs[id] = j
	}
	w.ask(func(t Token) Event {
		return SubmitReceived{Token: t, Queue: queue, Job: id, Spec: spec, ConfigVersion: 1, Deadline: w.now.Add(callerTimeout)}
	}, func(a Answer) {
		switch a.Status {
		case StatusOK:
			j.accepted, j.refused = true, false
		case StatusUnknown:
			j.inDoubt, j.refused = true, false
		}
		if a.Status != StatusOK && tries > 1 {
			w.at(300*msec+time.Duration(w.rng.IntN(700))*msec, func() { w.submit(id, queue, spec, tries-1) })
		}
		if a.Status == StatusOK {
			w.poll(j)
			if w.rng.Float64() < 0.1 {
				// A duplicate of the request arrives after the answer.
				w.at(2*time.Second, func() { w.submitOnce(id, queue, spec) })
			}
		}
	})
}

func (w *simulation) submitOnce(id JobID, queue QueueName, spec JobSpec) {
	w.ask(func(t Token) Event {
		return SubmitReceived{Token: t, Queue: queue, Job: id, Spec: spec, ConfigVersion: 1, Deadline: w.now.Add(callerTimeout)}
	}, func(Answer) {})
}

// poll requests a job's state until the job has ended.
func (w *simulation) poll(j *fakeJob) {
	if j.complete {
		return
	}
	w.at(700*msec, func() {
		w.ask(func(t Token) Event {
			return StatusReceived{Token: t, Job: j.id, Deadline: w.now.Add(callerTimeout)}
		}, func(a Answer) {
			switch {
			case a.Status == StatusGone:
				w.addViolation("job %s was accepted and is unknown now", j.id)
			case a.Status == StatusOK && a.State == JobComplete:
				j.complete = true
				w.checkComplete(j)
			case a.Status == StatusOK && a.State.isTerminal():
				j.endedIncomplete, j.complete = true, true
				if a.State == JobCancelled && !j.cancelSent {
					w.addViolation("job %s is reported as cancelled without a request to cancel it", j.id)
				}
			}
			if !j.complete {
				w.poll(j)
			}
		})
	})
}

// checkComplete checks that all tasks of a job that is reported as complete are done.
func (w *simulation) checkComplete(j *fakeJob) {
	for s := range j.spec.Steps {
		for i := range j.spec.Steps[s].Count {
			id := TaskID{j.id, 0, s, i}
			if !j.done[id] && !(j.spec.Steps[s].Gang && j.done[TaskID{j.id, 0, s, 0}]) {
				w.addViolation("job %s is reported as complete although task %s is not done", j.id, id)
				return
			}
		}
	}
}

func (w *simulation) cancelJob(j *fakeJob) {
	j.cancelSent = true
	w.ask(func(t Token) Event {
		return CancelReceived{Token: t, Job: j.id, Deadline: w.now.Add(callerTimeout)}
	}, func(a Answer) {
		if a.Status == StatusOK && j.cancelledAt == 0 {
			j.cancelledAt = w.now
		}
	})
}

func (w *simulation) owner() *fakeHost {
	for _, h := range w.hosts {
		if h.alive && h.r.cell != nil {
			return h
		}
	}
	return nil
}
