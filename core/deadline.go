package core

import "time"

// settlingRecheckInterval is the time between checks of a job that is past its
// deadline or being stopped and whose outcome is still unknown.
const settlingRecheckInterval = 2 * time.Second

// tickJobs requeues delayed retries and handles the job timers that are due.
func (r *Reducer) tickJobs() {
	if !r.owner.active() {
		return
	}
	for {
		id, ok := r.queues.delayed.due(r.now)
		if !ok {
			break
		}
		if j := r.jobs.get(id); j != nil && !j.state.Final() && j.hasTaskIn(taskWaiting) {
			r.requeue(j)
		}
	}
	for {
		id, ok := r.jobs.timers.due(r.now)
		if !ok {
			break
		}
		if j := r.jobs.get(id); j != nil {
			r.onTimer(j)
		}
	}
	r.tickAwaitingLease()
}

// onTimer handles the timer of a job.
func (r *Reducer) onTimer(j *job) {
	switch {
	case j.state.Final():
		if r.now >= j.endedAt.Add(finishedRetention) {
			r.jobs.remove(j)
		}
	case j.state == JobMoved:
		r.expireMoved(j)
	case j.state == JobAccepting:
		r.onAcceptTimeout(j)
	case j.state == JobQueued && !j.wasDispatched() && r.now >= j.startBy():
		r.endInactive(j)
	case j.cancelled && j.hasAllocatedTask():
		r.stopJobTasks(j)
		r.jobs.timers.add(r.now.Add(settlingRecheckInterval), j.spec.ID)
	case r.now >= j.deadline():
		r.onDeadlinePassed(j)
	default:
		r.jobs.timers.add(min(j.deadline(), max(j.startBy(), r.now.Add(settlingRecheckInterval))), j.spec.ID)
	}
}

// onAcceptTimeout answers a submit whose journal record was not durable in time.
func (r *Reducer) onAcceptTimeout(j *job) {
	if r.dropAcceptRecord(j) {
		r.endInactiveWithReason(j, ReasonStoreUnavailable, "could not be made durable in time")
		return
	}
	// The record has been sent to the store, where a later owner may find it, so
	// the job may still run.
	ref := refuse(ReasonStoreUnavailable, "it is not known whether job %q was accepted", j.spec.ID)
	ref.Verdict = MayHaveRun
	for _, id := range j.submitters {
		delete(r.jobs.waitingRequests, id)
		r.refuse(id, ref, j.spec.Team, j.spec.Kind)
	}
	j.submitters = nil
	r.jobs.timers.add(r.now.Add(settlingRecheckInterval), j.spec.ID)
}

// onDeadlinePassed stops a job that has not ended by its deadline.
func (r *Reducer) onDeadlinePassed(j *job) {
	switch {
	case j.state == JobSettling && !j.hasTaskIn(taskUncertain):
		// The job ends once every worker has reported whether it runs the job.
	case r.waitsOnLostWorker(j):
		ref := refuse(ReasonWorkerLost, "the worker of job %q does not answer", j.spec.ID)
		ref.Verdict = MayHaveRun
		r.finishJob(j, JobFailed, ref)
		return
	case !j.hasAllocatedTask():
		r.endInactive(j)
		return
	default:
		r.stopJobTasks(j)
	}
	r.jobs.timers.add(r.now.Add(settlingRecheckInterval), j.spec.ID)
}

// waitsOnLostWorker reports whether an uncertain task of j is on a lost or removed
// worker.
func (r *Reducer) waitsOnLostWorker(j *job) bool {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskUncertain {
			continue
		}
		if w := r.fleet.get(t.worker); w == nil || w.lost {
			return true
		}
	}
	return false
}
