package core

import "slices"

// onStartAnswered handles the answer to one copy of a start request.
func (r *Reducer) onStartAnswered(a StartAnswered) {
	if a.HighestEpoch > r.owner.epoch && a.Epoch == r.owner.epoch {
		r.onHigherEpoch(a.HighestEpoch)
		return
	}
	j, t := r.findTask(a.Task)
	if t == nil || a.Epoch != r.owner.epoch || t.worker != a.Worker {
		return
	}
	if t.state != taskStarting && t.state != taskUncertain {
		return
	}
	switch {
	case a.Verdict == Ran:
		r.onTaskStarted(j, t)
	case a.Verdict == NotRun && (!t.startUnresolved || (a.Answered && r.earlierStartsExpired(t))):
		r.onStartRefused(j, t, a.Reason)
	case a.Answered:
		r.scheduleResend(j, t, t.unresolvedSince.Add(startWindow+startResendDelay))
	default:
		// This copy may still reach the worker. Sending the same attempt again is
		// safe because a worker starts an attempt at most once.
		if a.Verdict == MayHaveRun {
			t.startUnresolved, t.unresolvedSince = true, t.sentAt
		}
		r.scheduleResend(j, t, r.now.Add(startResendDelay))
	}
}

// earlierStartsExpired reports whether the worker now refuses every earlier copy of
// the start because the latest start time of those copies has passed.
func (r *Reducer) earlierStartsExpired(t *task) bool {
	return t.sentAt.Sub(t.unresolvedSince) >= startWindow+startResendDelay
}

// scheduleResend schedules another copy of t's start request.
func (r *Reducer) scheduleResend(j *job, t *task, at Time) {
	t.state, t.resendAt = taskUncertain, at
	r.jobs.pendingResends = append(r.jobs.pendingResends, taskKey{j.spec.ID, t.index})
}

// tickResends resends or resolves the uncertain starts that are due.
func (r *Reducer) tickResends() {
	keys := r.jobs.pendingResends
	r.jobs.pendingResends = nil
	for _, key := range keys {
		j := r.jobs.get(key.job)
		if j == nil {
			continue
		}
		t := &j.tasks[key.task]
		switch {
		case t.state != taskUncertain || t.resendAt == 0:
		case r.now < t.resendAt:
			r.jobs.pendingResends = append(r.jobs.pendingResends, key)
		default:
			t.resendAt = 0
			r.resolveUncertainStart(j, t)
		}
	}
}

// resolveUncertainStart determines whether a start whose answer was lost has run. A
// task of an idempotent job or of a service is sent again under the same attempt,
// unless its worker is leaving. A non-idempotent task is not, because a worker that
// has restarted since has no record of the first copy and would run the task twice.
// In these cases the worker's full ledger is requested once the worker refuses every
// copy that may still be in flight.
func (r *Reducer) resolveUncertainStart(j *job, t *task) {
	w := r.fleet.get(t.worker)
	if w == nil {
		return
	}
	if (j.kind.Idempotent || j.service != "") && !w.leaving {
		r.sendStart(j, t)
		return
	}
	if since := t.sentAt; r.now.Sub(since) < startWindow+startResendDelay {
		r.scheduleResend(j, t, since.Add(startWindow+startResendDelay))
		return
	}
	t.awaitsFullSync, w.needsFullSync = true, true
}

// findTask returns the task that ref names, or a nil task if the attempt of ref is
// not the current one.
func (r *Reducer) findTask(ref TaskRef) (*job, *task) {
	j := r.jobs.get(ref.Job)
	if j == nil || ref.Task < 0 || ref.Task >= len(j.tasks) || j.tasks[ref.Task].attempt != ref.Attempt {
		return j, nil
	}
	return j, &j.tasks[ref.Task]
}

// onTaskStarted handles the report that a worker runs the task.
func (r *Reducer) onTaskStarted(j *job, t *task) {
	if t.state == taskRunning {
		return
	}
	t.state, t.startedAt, t.startUnresolved, t.resendAt = taskRunning, r.now, false, 0
	j.hasStarted = true
	// A worker that has not answered yet may be running the other tasks of a
	// restored gang, so the job stays in JobSettling until those tasks are found or
	// queued.
	settling := j.state == JobSettling && j.hasTaskIn(taskWaiting)
	if !j.state.Final() && !settling && !j.hasTaskIn(taskStarting) && !j.hasTaskIn(taskUncertain) {
		j.state = JobRunning
		r.jobs.addStep(j, r.now, "running", t.worker)
	}
	if j.cancelled {
		r.signalTask(j, t, SignalStop)
	}
}

// onStartRefused releases the capacity of a task that is known not to have started
// and queues its job again.
func (r *Reducer) onStartRefused(j *job, t *task, reason Reason) {
	r.releaseTask(j, t, taskWaiting)
	r.count(MetricRetries, reason, j.spec.Team, j.spec.Kind)
	if j.cancelled {
		r.endInactive(j)
		return
	}
	r.requeue(j)
}

// releaseTask releases the capacity allocated to a task and sets its state.
func (r *Reducer) releaseTask(j *job, t *task, state taskState) {
	r.fleet.unassign(j, t)
	t.state, t.worker, t.startUnresolved, t.awaitsFullSync, t.resendAt, t.stopping = state, "", false, false, 0, false
}

// hasTaskIn reports whether any task of j is in state s.
func (j *job) hasTaskIn(s taskState) bool {
	return slices.ContainsFunc(j.tasks, func(t task) bool { return t.state == s })
}

// requeue puts a job with waiting tasks back into its queue, or ends it if it is
// cancelled or expired and has no task on a worker.
func (r *Reducer) requeue(j *job) {
	if j.state.Final() || !j.hasTaskIn(taskWaiting) {
		return
	}
	if (j.cancelled || r.now >= j.deadline()) && !j.hasAllocatedTask() {
		r.endInactive(j)
		return
	}
	if j.kind.RestartGang && j.hasAllocatedTask() {
		// The gang is restarted as a whole after its other members have stopped.
		r.stopJobTasks(j)
		return
	}
	if !j.hasAllocatedTask() {
		j.state = JobQueued
	}
	if j.notBefore > r.now {
		r.queues.delayed.add(j.notBefore, j.spec.ID)
		return
	}
	r.queues.push(j)
}

// hasAllocatedTask reports whether any task of j has capacity allocated.
func (j *job) hasAllocatedTask() bool {
	return slices.ContainsFunc(j.tasks, func(t task) bool { return t.holdsCapacity() })
}

// onTaskReport applies a worker's report about one task.
func (r *Reducer) onTaskReport(w *worker, rep *TaskReport) {
	r.recordAttempt(rep.Task)
	j, t := r.findTask(rep.Task)
	if t == nil || t.state == taskDone || (t.holdsCapacity() && t.worker != w.id) {
		r.onOrphanReport(w, rep)
		return
	}
	if !t.holdsCapacity() {
		if j.state != JobSettling {
			r.onOrphanReport(w, rep)
			return
		}
		// A restored idempotent task that was found on the worker that runs or ran
		// it.
		r.fleet.assign(w, j, t, rep.Requested)
	}
	if rep.State == ReportedRunning {
		r.onThrottled(j, t, rep.Throttled)
	}
	if rep.Checkpoint != "" {
		t.checkpoint = rep.Checkpoint
	}
	if rep.State == ReportedRunning {
		r.onTaskStarted(j, t)
		r.estimates.recordUsage(j, rep.Used)
		return
	}
	r.onTaskEnded(w, j, t, rep)
}

// onOrphanReport handles a report about a task that belongs to no live job. While
// the task runs, its request counts as assigned and an owner tells the worker to
// stop it. A standby has not loaded the journal and cannot tell whether the task is
// wanted, so it leaves the task running.
func (r *Reducer) onOrphanReport(w *worker, rep *TaskReport) {
	if r.adoptReportedAttempt(w, rep) {
		return
	}
	if rep.State != ReportedRunning {
		r.fleet.removeOrphan(w, rep.Task)
		return
	}
	r.fleet.addOrphan(w, rep.Task, rep.Requested)
	if r.owner.role == roleOwner {
		r.emit(SignalTask{
			Worker: w.id, Address: w.address, Epoch: r.owner.epoch, Task: rep.Task, Signal: SignalStop,
		})
	}
}

// recordAttempt records the highest attempt of a task in any worker's ledger. A
// worker starts an attempt at most once, so the next attempt must be higher even if
// an earlier owner used the number.
func (r *Reducer) recordAttempt(ref TaskRef) {
	j := r.jobs.get(ref.Job)
	if j == nil || ref.Task < 0 || ref.Task >= len(j.tasks) {
		return
	}
	t := &j.tasks[ref.Task]
	t.highestAttempt = max(t.highestAttempt, ref.Attempt)
}

// adoptReportedAttempt raises the attempt of a restored task to the one in a
// worker's ledger. An owner that crashed may have used attempts that it never wrote
// to the journal. It reports whether it raised the attempt.
func (r *Reducer) adoptReportedAttempt(w *worker, rep *TaskReport) bool {
	j := r.jobs.get(rep.Task.Job)
	if j == nil || j.state != JobSettling || rep.Task.Task >= len(j.tasks) {
		return false
	}
	t := &j.tasks[rep.Task.Task]
	if t.holdsCapacity() || rep.Task.Attempt <= t.attempt || t.state == taskDone {
		return false
	}
	t.attempt = rep.Task.Attempt
	j.hasStarted = true
	switch rep.State {
	case ReportedRunning:
		t.state = taskStarting
		r.fleet.assign(w, j, t, rep.Requested)
		r.onTaskStarted(j, t)
	case ReportedSucceeded:
		t.state, t.endedOn, t.incarnation = taskDone, w.id, w.incarnation
		j.result = rep.Result
		r.finishIfComplete(j)
	case ReportedFailed:
		t.failedOn = append(t.failedOn, w.id)
		j.failures++
	default:
		if rep.Checkpoint != "" {
			t.checkpoint = rep.Checkpoint
		}
	}
	return true
}

// onTaskEnded handles the end of an attempt.
func (r *Reducer) onTaskEnded(w *worker, j *job, t *task, rep *TaskReport) {
	wasStopping := t.stopping
	j.hasStarted = true
	r.releaseTask(j, t, taskWaiting)
	r.estimates.recordOutcome(j, rep)
	switch rep.State {
	case ReportedSucceeded:
		r.recordSuccess(w)
		t.state, t.endedOn = taskDone, w.id
		j.result = rep.Result
		r.finishIfComplete(j)
	case ReportedFailed:
		r.recordFailure(w, j)
		t.failedOn = append(t.failedOn, w.id)
		j.failures++
		r.onTaskFailed(j, rep)
	default:
		r.onTaskStopped(j, t, wasStopping, rep)
	}
}

// finishIfComplete finishes a job whose tasks have all succeeded.
func (r *Reducer) finishIfComplete(j *job) {
	for i := range j.tasks {
		if j.tasks[i].state != taskDone {
			return
		}
	}
	if j.service != "" {
		// A service replica that exits is started again.
		j.tasks[0].state = taskWaiting
		r.scheduleRetry(j)
		return
	}
	r.finishJob(j, JobSucceeded, nil)
}

// finishJob moves a job to a final state.
func (r *Reducer) finishJob(j *job, state JobState, ref *Refusal) {
	if j.state.Final() {
		return
	}
	r.jobs.endAccepting(j)
	r.queues.remove(j)
	r.reservations.drop(r, j.spec.ID)
	j.state, j.refusal, j.endedAt = state, ref, r.now
	for i := range j.tasks {
		if t := &j.tasks[i]; !t.holdsCapacity() {
			t.state = taskDone
		}
	}
	r.jobs.unfinished--
	if j.team != nil && j.service == "" {
		j.team.queued--
	}
	r.jobs.addStep(j, r.now, state.String(), "")
	if j.journaled {
		r.appendRecord(j.finishedRecord())
		// A success is also recorded in the worker's ledger, from which the next
		// owner recovers it.
		j.unconfirmed = state != JobSucceeded
	}
	reason := Reason(state.String())
	if ref != nil {
		reason = ref.Reason
	}
	r.count(MetricFinished, reason, j.spec.Team, j.spec.Kind)
	if !j.unconfirmed {
		r.answerWaiters(j)
	}
	r.jobs.scheduleTimer(j)
}

// answerWaiters answers every request that is waiting for the job.
func (r *Reducer) answerWaiters(j *job) {
	for _, id := range append(j.submitters, j.waiters...) {
		delete(r.jobs.waitingRequests, id)
		r.emit(Reply{Request: id, Status: j.status(r.now)})
	}
	j.submitters, j.waiters = nil, nil
}

// finishedRecord returns the journal record of j's final outcome.
func (j *job) finishedRecord() Record {
	return Record{
		Kind: RecordFinished, Job: j.spec.ID, State: j.state, Refusal: j.refusal,
		Result: j.result, At: j.endedAt,
	}
}

// endInactive ends a cancelled or expired job that has no task on a worker.
func (r *Reducer) endInactive(j *job) {
	switch {
	case j.cancelled:
		r.endInactiveWithReason(j, ReasonCancelled, "cancelled by its caller")
	case r.now >= j.deadline():
		r.endInactiveWithReason(j, ReasonDeadline, "did not end in time")
	default:
		r.endInactiveWithReason(j, ReasonStartDeadline, "did not start in time")
	}
}

// endInactiveWithReason ends a job that has no task on a worker. The verdict is that
// the job has not run, unless an earlier attempt started or its outcome is unknown.
func (r *Reducer) endInactiveWithReason(j *job, reason Reason, message string) {
	if j.hasAllocatedTask() {
		r.stopJobTasks(j)
		return
	}
	ref := refuse(reason, "job %q: %s", j.spec.ID, message)
	state := JobRefused
	switch {
	case j.hasStarted:
		ref.Verdict, state = Ran, JobFailed
	case j.outcomeUnknown:
		ref.Verdict, state = MayHaveRun, JobFailed
	}
	if reason == ReasonCancelled {
		state = JobCancelled
	}
	r.finishJob(j, state, ref)
}

// stopJobTasks sends a stop to the workers of all running tasks of j. Tasks that
// wait for their journal record have not been sent to a worker and are released
// immediately.
func (r *Reducer) stopJobTasks(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		switch t.state {
		case taskAssigned:
			r.releaseTask(j, t, taskWaiting)
		case taskRunning:
			if !t.stopping {
				r.signalTask(j, t, SignalStop)
			}
		}
	}
	if !j.hasAllocatedTask() {
		r.requeue(j)
	}
}

// signalTask sends a signal to the worker that runs t.
func (r *Reducer) signalTask(j *job, t *task, s Signal) {
	w := r.fleet.get(t.worker)
	if w == nil {
		return
	}
	if s == SignalStop || s == SignalCheckpoint {
		t.stopping = true
	}
	r.emit(SignalTask{
		Worker: w.id, Address: w.address, Epoch: r.owner.epoch, Task: j.ref(t), Signal: s,
	})
}

// onSignalFailed queues an undelivered signal for resending.
func (r *Reducer) onSignalFailed(f SignalFailed) {
	if f.Epoch != r.owner.epoch {
		return
	}
	if f.HighestEpoch > r.owner.epoch {
		r.onHigherEpoch(f.HighestEpoch)
		return
	}
	r.failedSignals = append(r.failedSignals, f)
}

// tickSignals resends undelivered signals whose task still runs.
func (r *Reducer) tickSignals() {
	failed := r.failedSignals
	r.failedSignals = nil
	for _, f := range failed {
		w := r.fleet.get(f.Worker)
		if w == nil || w.lost {
			continue
		}
		_, t := r.findTask(f.Task)
		running := t != nil && t.state == taskRunning && t.worker == w.id
		if _, orphan := w.orphans[f.Task]; running || orphan {
			r.emit(SignalTask{
				Worker: w.id, Address: w.address, Epoch: r.owner.epoch, Task: f.Task, Signal: f.Signal,
			})
		}
	}
}
