package scheduler

import "time"

// submit submits a job and repeats the request until the job is accepted or the tries
// are used up.
func (sim *simulation) submit(id JobID, queue QueueName, spec JobSpec, tries int) {
	j := sim.jobs[id]
	if j == nil {
		j = &fakeJob{id: id, spec: spec, queue: queue, acknowledgedDone: map[TaskID]bool{}, done: map[TaskID]bool{}, refused: true}
		sim.jobs[id] = j
	}
	sim.ask(func(t Token) Event {
		return SubmitReceived{Token: t, Queue: queue, Job: id, Spec: spec, ConfigVersion: 1, Deadline: sim.now.Add(callerTimeout)}
	}, func(a Answer) {
		switch a.Status {
		case StatusOK:
			j.accepted, j.refused = true, false
		case StatusUnknown:
			j.inDoubt, j.refused = true, false
		}
		if a.Status != StatusOK && tries > 1 {
			sim.at(300*msec+time.Duration(sim.rng.IntN(700))*msec, func() { sim.submit(id, queue, spec, tries-1) })
		}
		if a.Status == StatusOK {
			sim.poll(j)
			if sim.rng.Float64() < 0.1 {
				// A duplicate of the request arrives after the answer.
				sim.at(2*time.Second, func() { sim.submitOnce(id, queue, spec) })
			}
		}
	})
}

func (sim *simulation) submitOnce(id JobID, queue QueueName, spec JobSpec) {
	sim.ask(func(t Token) Event {
		return SubmitReceived{Token: t, Queue: queue, Job: id, Spec: spec, ConfigVersion: 1, Deadline: sim.now.Add(callerTimeout)}
	}, func(Answer) {})
}

// poll requests a job's state until the job has ended.
func (sim *simulation) poll(j *fakeJob) {
	if j.complete {
		return
	}
	sim.at(700*msec, func() {
		sim.ask(func(t Token) Event {
			return StatusReceived{Token: t, Job: j.id, Deadline: sim.now.Add(callerTimeout)}
		}, func(a Answer) {
			switch {
			case a.Status == StatusGone:
				sim.addViolation("job %s was accepted and is unknown now", j.id)
			case a.Status == StatusOK && a.State == JobComplete:
				j.complete = true
				sim.checkComplete(j)
			case a.Status == StatusOK && a.State.isTerminal():
				j.endedIncomplete, j.complete = true, true
				if a.State == JobCancelled && !j.cancelSent {
					sim.addViolation("job %s is reported as cancelled without a request to cancel it", j.id)
				}
			}
			if !j.complete {
				sim.poll(j)
			}
		})
	})
}

// checkComplete checks that all tasks of a job that is reported as complete are done.
func (sim *simulation) checkComplete(j *fakeJob) {
	for k := range j.spec.occurrences() {
		for s := range j.spec.Steps {
			for i := range j.spec.Steps[s].Count {
				id := TaskID{j.id, k, s, i}
				if !j.done[id] && !(j.spec.Steps[s].Gang && j.done[TaskID{j.id, k, s, 0}]) {
					sim.addViolation("job %s is reported as complete although task %s is not done", j.id, id)
					return
				}
			}
		}
	}
}

func (sim *simulation) cancelJob(j *fakeJob) {
	j.cancelSent = true
	sim.ask(func(t Token) Event {
		return CancelReceived{Token: t, Job: j.id, Deadline: sim.now.Add(callerTimeout)}
	}, func(a Answer) {
		if a.Status == StatusOK && j.cancelledAt == 0 {
			j.cancelledAt = sim.now
		}
	})
}

func (sim *simulation) owner() *fakeHost {
	for _, h := range sim.hosts {
		if h.alive && h.r.cell != nil {
			return h
		}
	}
	return nil
}
