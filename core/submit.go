package core

import "time"

// MaxPayloadBytes is the maximum payload size of a job.
const MaxPayloadBytes = 64 << 10

// maxRetryAfter limits the retry delay suggested in a refusal.
const maxRetryAfter = 30 * time.Second

// onSubmitted accepts, refuses or forwards a job.
func (r *Reducer) onSubmitted(s Submitted) {
	if !r.owner.active() {
		r.forward(s.Request, s.Forwarded)
		return
	}
	if j := r.jobs.get(s.Spec.ID); j != nil {
		r.onDuplicateSubmit(s, j)
		return
	}
	if r.draining {
		// The request is forwarded to the next owner once it is known.
		r.deferRequest(s.Request, NotRun, ReasonDraining)
		return
	}
	kind, ref := r.admit(&s.Spec)
	if ref != nil {
		r.refuse(s.Request, ref, s.Spec.Team, s.Spec.Kind)
		return
	}
	if !s.Forwarded && !r.movedHere(&s.Spec) && r.tryMove(s, kind) {
		return
	}
	if ref := r.admitQueue(r.docs.team(s.Spec.Team), kind); ref != nil {
		r.refuse(s.Request, ref, s.Spec.Team, s.Spec.Kind)
		return
	}
	j := r.newJob(s.Spec, kind)
	j.submitters = []RequestID{s.Request}
	r.jobs.add(j)
	r.jobs.waitingRequests[s.Request] = j.spec.ID
	r.jobs.scheduleTimer(j)
	j.team.queued++
	spec := j.spec
	r.jobs.beginAccepting(j, r.appendRecord(
		Record{Kind: RecordAccepted, Job: spec.ID, Spec: &spec, At: r.now}))
}

// onDuplicateSubmit replies to a submission with a known ID.
func (r *Reducer) onDuplicateSubmit(s Submitted, j *job) {
	if j.spec.Digest != s.Spec.Digest {
		r.refuse(s.Request, refuse(ReasonDuplicateID,
			"job %q was submitted before with other content", s.Spec.ID), s.Spec.Team, s.Spec.Kind)
		return
	}
	if r.answerMoved(s.Request, j, r.movedHere(&s.Spec)) {
		return
	}
	if j.state == JobAccepting {
		j.submitters = append(j.submitters, s.Request)
		r.jobs.waitingRequests[s.Request] = j.spec.ID
		return
	}
	r.emit(Reply{Request: s.Request, Status: j.status(r.now)})
}

// admit validates a new job. Its refusals have verdict NotRun, except for those
// of a standby.
func (r *Reducer) admit(spec *JobSpec) (*Kind, *Refusal) {
	t := r.docs.team(spec.Team)
	if t == nil {
		return nil, refuse(ReasonUnknownTeam, "team %q has no document", spec.Team)
	}
	kind, ok := t.doc().Kind(spec.Kind)
	switch {
	case !ok:
		return nil, refuse(ReasonUnknownKind, "team %q declares no kind %q", spec.Team, spec.Kind)
	case kind.Urgency == Interactive:
		return nil, refuse(ReasonInvalid, "kind %q is interactive; use a call", spec.Kind)
	case len(spec.Payload) > MaxPayloadBytes:
		return nil, refuse(ReasonTooLarge, "payload of %d bytes exceeds %d", len(spec.Payload), MaxPayloadBytes)
	case r.owner.role == roleStandby:
		return nil, standbyRefusal()
	}
	return kind, r.admitSize(kind)
}

// standbyRefusal is the refusal of a standby, which cannot read the journal. The
// former owner may have accepted the job.
func standbyRefusal() *Refusal {
	ref := refuse(ReasonStoreUnavailable, "the store cannot be reached; no job can be read or made durable")
	ref.Verdict, ref.RetryAfter = MayHaveRun, maxRetryAfter
	return ref
}

// refuseUnknownJob refuses a request about an unknown job. If another data centre
// moves the job here, its submission may not have arrived yet.
func (r *Reducer) refuseUnknownJob(request RequestID, id JobID, moved bool) {
	ref := refuse(ReasonUnknownJob, "job %q is not known", id)
	if moved {
		ref.Verdict = MayHaveRun
	}
	if r.owner.role == roleStandby {
		ref = standbyRefusal()
	}
	r.refuse(request, ref, "", "")
}

// admitSize refuses a kind whose gang would not fit even if all workers were
// empty.
func (r *Reducer) admitSize(kind *Kind) *Refusal {
	if len(r.fleet.workers) == 0 {
		return nil
	}
	size := int64(max(1, kind.GangSize))
	if n := r.fleet.copiesWhenEmpty(kind.Request, size); n < size {
		return refuse(ReasonNeverFits,
			"kind %q needs %d times (%s); the workers of %s could hold %d",
			kind.Name, size, kind.Request, r.cfg.DataCentre, n)
	}
	return nil
}

// admitQueue enforces the queue limit of a kind and refuses jobs that are not
// expected to start in time. Jobs without a durable record count as waiting;
// otherwise they could exhaust the memory during a store outage.
func (r *Reducer) admitQueue(t *team, kind *Kind) *Refusal {
	key := queueKey{t.name, kind.Name}
	waiting, wait := r.jobs.accepting[key], time.Duration(0)
	if k := r.queues.byKey[key]; k != nil {
		waiting += k.size
		wait = k.expectedWait(r.now)
	}
	if kind.QueueLimit > 0 && waiting >= kind.QueueLimit && !r.shedFor(t, kind) {
		ref := refuse(ReasonQueueFull, "kind %q of team %q has %d jobs waiting, which is its limit",
			kind.Name, t.name, waiting)
		ref.RetryAfter = min(max(wait, time.Second), maxRetryAfter)
		return ref
	}
	if kind.StartWithin > 0 && wait > kind.StartWithin && !r.shedFor(t, kind) {
		ref := refuse(ReasonNoCapacity, "kind %q would wait about %s, longer than its limit of %s",
			kind.Name, wait.Round(time.Second), kind.StartWithin)
		ref.RetryAfter = min(wait-kind.StartWithin+time.Second, maxRetryAfter)
		return ref
	}
	return nil
}

// shedFor drops one waiting job of the first kind that the team's document sheds
// before kind, and reports whether there was one.
func (r *Reducer) shedFor(t *team, kind *Kind) bool {
	for _, name := range t.doc().GiveUpFirst {
		if name == kind.Name {
			return false
		}
		k := r.queues.byKey[queueKey{t.name, name}]
		if k == nil || k.size == 0 {
			continue
		}
		if j := k.newest(); j != nil && !j.wasDispatched() {
			r.endInactiveWithReason(j, ReasonShed, "given up for more urgent work of the team")
			return true
		}
	}
	return false
}

// newest returns the job that joined the queue last, or nil.
func (k *kindQueue) newest() *job {
	for i := len(k.jobs) - 1; i >= k.head; i-- {
		if j := k.jobs[i]; j != nil && j.inQueue {
			return j
		}
	}
	return nil
}

// onAccepted continues with a job whose accept record has become durable.
func (r *Reducer) onAccepted(j *job) {
	if j.journaled {
		return
	}
	r.jobs.markJournaled(j)
	r.jobs.endAccepting(j)
	if j.cancelled {
		r.endInactive(j)
	} else if !j.state.Final() {
		j.state = JobQueued
		r.queues.push(j)
		r.jobs.addStep(j, r.now, "accepted", "")
	} else {
		r.appendRecord(j.finishedRecord())
	}
	for _, id := range j.submitters {
		delete(r.jobs.waitingRequests, id)
		r.emit(Reply{Request: id, Status: j.status(r.now)})
	}
	j.submitters = nil
}

// onCancelRequested cancels a job. The reply is sent once the outcome of the job
// is known.
func (r *Reducer) onCancelRequested(c CancelRequested) {
	if !r.owner.active() {
		r.forward(c.Request, c.Forwarded)
		return
	}
	j := r.jobs.get(c.Job)
	if j == nil || j.service != "" {
		r.refuseUnknownJob(c.Request, c.Job, c.Moved)
		return
	}
	if r.answerMoved(c.Request, j, c.Moved) {
		return
	}
	if j.hasConfirmedOutcome() {
		r.emit(Reply{Request: c.Request, Status: j.status(r.now)})
		return
	}
	r.jobs.addWaiter(j, c.Request)
	if j.state.Final() {
		return
	}
	j.cancelled = true
	switch j.state {
	case JobAccepting:
		if r.dropAcceptRecord(j) {
			r.endInactive(j)
		}
	case JobQueued:
		r.endInactive(j)
	case JobSettling:
		// The job ends once every worker has reported whether it runs it.
	default:
		r.stopJobTasks(j)
	}
}

// onStatusRequested replies with the status of a job, immediately or when the job
// has ended.
func (r *Reducer) onStatusRequested(s StatusRequested) {
	if !r.owner.active() {
		r.forward(s.Request, s.Forwarded)
		return
	}
	j := r.jobs.get(s.Job)
	switch {
	case j == nil:
		r.refuseUnknownJob(s.Request, s.Job, s.Moved)
	case r.answerMoved(s.Request, j, s.Moved):
	case s.Explain:
		r.emit(Reply{Request: s.Request, Explain: r.explain(j)})
	case s.Wait && !j.hasConfirmedOutcome():
		r.jobs.addWaiter(j, s.Request)
	default:
		r.emit(Reply{Request: s.Request, Status: j.status(r.now)})
	}
}
