package core

import "time"

const (
	// retryBaseDelay is the delay before the first retry of a failed job. It
	// doubles with each failure up to maxRetryDelay.
	retryBaseDelay = 200 * time.Millisecond
	maxRetryDelay  = 30 * time.Second
	// retryRatio is the number of retries that each first attempt adds to the
	// budget.
	retryRatio = 0.10
	// retryBurst is the capacity of the retry budget, which is full at the start.
	retryBurst = 10
	// retryBudgetDelay is the additional delay of a retry when the budget is
	// exhausted.
	retryBudgetDelay = 5 * time.Second
)

// retryBudgets limits the retries of each kind to a fraction of its first attempts,
// so that retries cannot multiply the load during a widespread failure.
type retryBudgets struct{ byKind map[queueKey]*float64 }

func newRetryBudgets() retryBudgets { return retryBudgets{byKind: map[queueKey]*float64{}} }

func (b *retryBudgets) tokens(key queueKey) *float64 {
	tokens := b.byKind[key]
	if tokens == nil {
		tokens = new(float64)
		*tokens = retryBurst
		b.byKind[key] = tokens
	}
	return tokens
}

// earn credits the budget for a first attempt.
func (b *retryBudgets) earn(key queueKey) {
	tokens := b.tokens(key)
	*tokens = min(retryBurst, *tokens+retryRatio)
}

// spend takes one retry from the budget and reports whether the budget allowed it.
func (b *retryBudgets) spend(key queueKey) bool {
	tokens := b.tokens(key)
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}

// backoff returns the jittered delay before the nth retry, counted from 1.
func (r *Reducer) backoff(n int) time.Duration {
	d := retryBaseDelay
	for i := 1; i < n && d < maxRetryDelay; i++ {
		d *= 2
	}
	return r.jitter(min(d, maxRetryDelay))
}

// scheduleRetry queues an idempotent job or a service replica again after a
// jittered delay, which is longer if the retry budget of its kind is exhausted.
func (r *Reducer) scheduleRetry(j *job) {
	wait := r.backoff(j.failures)
	if !r.retries.spend(queueKey{j.spec.Team, j.spec.Kind}) {
		r.count(MetricRetries, ReasonRetryBudget, j.spec.Team, j.spec.Kind)
		wait += r.jitter(retryBudgetDelay)
	}
	j.notBefore = r.now.Add(wait)
	r.requeue(j)
}

// onTaskFailed decides what follows a task that ran and failed. A non-idempotent
// task is never started again.
func (r *Reducer) onTaskFailed(j *job, rep *TaskReport) {
	switch {
	case j.state.Final():
	case j.cancelled:
		r.endInactive(j)
	case j.service != "":
		r.count(MetricRetries, ReasonUpstream, j.spec.Team, j.spec.Kind)
		r.scheduleRetry(j)
	case !j.kind.Idempotent:
		j.result = rep.Result
		r.failJob(j, ReasonUpstream, "a task failed on its worker")
	case j.distinctFailures() >= workersToFailJob:
		r.failJob(j, ReasonJobFault, "failed on several different workers")
	case j.maxAttemptsReached():
		r.failJob(j, ReasonAttempts, "every allowed attempt failed")
	default:
		r.count(MetricRetries, ReasonUpstream, j.spec.Team, j.spec.Kind)
		r.scheduleRetry(j)
	}
}

// failJob ends a job that ran without success and stops the tasks that still run.
func (r *Reducer) failJob(j *job, reason Reason, message string) {
	ref := refuse(reason, "job %q: %s", j.spec.ID, message)
	ref.Verdict = Ran
	r.finishJob(j, JobFailed, ref)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskRunning {
			r.signalTask(j, t, SignalStop)
		}
	}
}

// distinctFailures returns the number of workers on which any task of j has failed.
func (j *job) distinctFailures() int {
	seen := map[WorkerID]bool{}
	for i := range j.tasks {
		for _, w := range j.tasks[i].failedOn {
			seen[w] = true
		}
	}
	return len(seen)
}

// maxAttemptsReached reports whether a task has failed as often as its kind allows.
// Preempted or refused starts do not count.
func (j *job) maxAttemptsReached() bool {
	for i := range j.tasks {
		if len(j.tasks[i].failedOn) >= max(1, j.kind.MaxAttempts) {
			return true
		}
	}
	return false
}

// onTaskStopped decides what follows a task that was stopped or checkpointed.
func (r *Reducer) onTaskStopped(j *job, t *task, wasStopping bool, rep *TaskReport) {
	switch {
	case j.state.Final():
		t.state = taskDone
	case j.cancelled || (r.now >= j.deadline() && j.service == ""):
		r.endInactive(j)
	case rep.State == ReportedCheckpointed || j.kind.Idempotent || j.service != "":
		r.count(MetricRetries, ReasonPreempted, j.spec.Team, j.spec.Kind)
		if !wasStopping {
			r.scheduleRetry(j) // The worker stopped it because its lease expired.
			return
		}
		r.requeue(j)
	default:
		r.failJob(j, ReasonWorkerLost, "stopped on its worker before its end")
	}
}
