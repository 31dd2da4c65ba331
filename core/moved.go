package core

import "time"

// move appends a record that a job is moved to another data centre. Nothing is
// sent there before the record is durable, so that neither this owner nor a
// successor accepts a repeated submission of the job here.
func (r *Reducer) move(s Submitted, kind *Kind, to DataCentre) {
	j := r.newJob(s.Spec, kind)
	j.movedTo = to
	j.submitters = []RequestID{s.Request}
	r.jobs.add(j)
	r.jobs.waitingRequests[s.Request] = j.spec.ID
	r.jobs.scheduleTimer(j)
	j.team.queued++
	r.jobs.beginAccepting(j, r.appendRecord(j.movedRecord(r.now)))
}

// movedRecord returns the journal record of a job that is moved to another data
// centre. It omits the payload, which a repeated submission contains.
func (j *job) movedRecord(now Time) Record {
	spec := j.spec
	spec.Payload = nil
	return Record{Kind: RecordMoved, Job: spec.ID, Spec: &spec, To: j.movedTo, At: now}
}

// onMoveDurable forwards all requests that wait for a job whose move has become
// durable. If the job was cancelled before, it ends here, since nothing was sent.
func (r *Reducer) onMoveDurable(j *job) {
	if j.journaled {
		return
	}
	r.jobs.markJournaled(j)
	r.jobs.endAccepting(j)
	if j.cancelled {
		r.endInactive(j)
		return
	}
	r.markMoved(j)
	r.jobs.addStep(j, r.now, "moved to data centre "+string(j.movedTo), "")
	requests := append(j.submitters, j.waiters...)
	j.submitters, j.waiters = nil, nil
	for _, id := range requests {
		delete(r.jobs.waitingRequests, id)
		r.forwardMoved(j, id)
	}
}

// markMoved leaves the job to another data centre. No task of it runs here.
func (r *Reducer) markMoved(j *job) {
	j.state, j.spec.Payload = JobMoved, nil
	for i := range j.tasks {
		j.tasks[i].state = taskDone
	}
	r.extendMovedRetention(j)
}

// extendMovedRetention keeps a moved job until a submission forwarded now can no
// longer be known in its data centre.
func (r *Reducer) extendMovedRetention(j *job) {
	j.movedUntil = r.now.Add(deferTimeout + j.kind.Deadline + finishedRetention)
}

// restoreMoved restores a job that an earlier owner moved.
func (r *Reducer) restoreMoved(rec *Record) {
	j := r.newJob(*rec.Spec, r.docs.kind(rec.Spec.Team, rec.Spec.Kind))
	j.journaled, j.movedTo = true, rec.To
	j.forwardsSent = 1 // the earlier owner may have sent one
	r.jobs.add(j)
	r.markMoved(j)
	r.jobs.timers.add(j.movedUntil, j.spec.ID)
}

// expireMoved removes a moved job when its retention has ended.
func (r *Reducer) expireMoved(j *job) {
	if r.now < j.movedUntil {
		r.jobs.timers.add(j.movedUntil, j.spec.ID)
		return
	}
	r.jobs.unfinished--
	if j.team != nil {
		j.team.queued--
	}
	r.jobs.remove(j)
}

// forwardMoved forwards a request about a moved job to the job's data centre.
func (r *Reducer) forwardMoved(j *job, id RequestID) {
	r.extendMovedRetention(j)
	r.sendMoved(deferredRequest{id: id, reason: ReasonPeer, moved: j.spec.ID, since: r.now}, j)
}

// sendMoved forwards a request if the owner of the job's data centre is known, and
// defers it otherwise.
func (r *Reducer) sendMoved(p deferredRequest, j *job) {
	m := r.remoteOwnerOf(j.movedTo)
	if m == nil || r.now.Sub(m.lastHeard) > remoteSummaryTTL {
		r.deferMoved(p)
		return
	}
	j.forwardsSent++
	r.emit(Forward{
		Request: p.id, Host: m.summary.From, Address: m.summary.Address,
		Moved: p.moved, Since: p.since,
	})
}

// deferMoved defers a request until the owner of the job's data centre is known.
func (r *Reducer) deferMoved(p deferredRequest) {
	if len(r.deferred) >= maxDeferred {
		r.refuseDeferred(&p)
		return
	}
	r.deferred = append(r.deferred, p)
}

// onForwardFailed defers a request that the other host did not answer.
func (r *Reducer) onForwardFailed(f ForwardFailed) {
	if f.Moved == "" {
		r.deferRequest(f.Request, f.Verdict, ReasonPeer)
		return
	}
	if j := r.movedJob(f.Moved); j != nil && f.Verdict == NotRun {
		j.forwardsSent--
	}
	r.deferMoved(deferredRequest{
		id: f.Request, verdict: MayHaveRun, reason: ReasonPeer, moved: f.Moved, since: f.Since,
	})
}

// movedJob returns the job if it has been moved, or nil.
func (r *Reducer) movedJob(id JobID) *job {
	if j := r.jobs.get(id); j != nil && j.state == JobMoved {
		return j
	}
	return nil
}

// refuseDeferred refuses a request whose wait has timed out. For a moved job the
// verdict covers all requests about the job, since another one may have reached
// its data centre.
func (r *Reducer) refuseDeferred(p *deferredRequest) {
	ref := refuse(p.reason, "no host schedules %s at the moment; ask again", r.cfg.DataCentre)
	ref.Verdict, ref.RetryAfter = p.verdict, time.Second
	if j := r.movedJob(p.moved); j != nil {
		ref = refuse(p.reason, "job %q was moved to data centre %s, which cannot be reached; ask again",
			j.spec.ID, j.movedTo)
		ref.RetryAfter = time.Second
		if j.forwardsSent > 0 {
			ref.Verdict = MayHaveRun
		}
	}
	r.refuse(p.id, ref, "", "")
}

// refuseMovedBack refuses a request that was forwarded by another data centre
// about a job that this one has moved away. Forwarding it would create a loop.
func (r *Reducer) refuseMovedBack(request RequestID, j *job) {
	ref := refuse(ReasonDuplicateID, "job %q was submitted in two data centres; this one moved it to %s",
		j.spec.ID, j.movedTo)
	ref.Verdict = MayHaveRun
	r.refuse(request, ref, j.spec.Team, j.spec.Kind)
}

// answerMoved handles a request if it is about a moved job, and reports whether it
// was.
func (r *Reducer) answerMoved(request RequestID, j *job, fromOther bool) bool {
	if j == nil || j.state != JobMoved {
		return false
	}
	if fromOther {
		r.refuseMovedBack(request, j)
	} else {
		r.forwardMoved(j, request)
	}
	return true
}

// movedHere reports whether another data centre moved the job here.
func (r *Reducer) movedHere(spec *JobSpec) bool {
	return spec.Origin != "" && spec.Origin != r.cfg.DataCentre
}
