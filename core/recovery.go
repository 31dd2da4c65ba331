package core

import "time"

// unreachableGrace is added to the task lease before a worker that has not
// responded to a new owner is considered lost. A former owner that can still
// reach the worker stops renewing within this time: it either learns the new
// epoch from a peer, or stops because it hears no peer (see isolated).
const unreachableGrace = 15 * time.Second

// startRecovery reads the journal. Recovery can be repeated at any point, because
// groups are deleted only after their live records were rewritten in this epoch.
func (r *Reducer) startRecovery() {
	prefix := r.dataCentreKey("journal/")
	r.emit(ListValues{Op: r.newStoreOp(PurposeJournalLoad, prefix), Prefix: prefix})
}

// onRecoveryResult loads the journal and appends the opening group of this epoch.
// If another group was appended in the meantime, the journal is read again.
func (r *Reducer) onRecoveryResult(a StoreAnswered) {
	if r.owner.role != roleRecovering {
		return
	}
	if a.Op.Purpose == PurposeJournalOpen {
		if a.Outcome == StoreOK {
			r.finishRecovery()
			return
		}
		r.retryRecovery()
		return
	}
	switch a.Outcome {
	case StoreOK, StoreNotFound:
		r.onJournalLoaded(a.Items)
	case StoreUnreadable:
		r.emit(Log{Level: LogError, Message: "journal has a value that this version cannot read"})
		r.stepDown(ReasonConflict)
	default:
		r.retryRecovery()
	}
}

// retryRecovery schedules another read of the journal.
func (r *Reducer) retryRecovery() { r.journal.retryAt = r.now.Add(r.jitter(journalRetryDelay)) }

// tickRecovery reads the journal again when a retry is due.
func (r *Reducer) tickRecovery() {
	if at := r.journal.retryAt; at != 0 && r.now >= at {
		r.journal.retryAt = 0
		r.startRecovery()
	}
}

// onJournalLoaded keeps the loaded groups and appends the opening group unless it
// already exists.
func (r *Reducer) onJournalLoaded(items []StoreItem) {
	groups := make([]JournalGroup, 0, len(items))
	for _, item := range items {
		if g, ok := item.Value.(JournalGroup); ok {
			groups = append(groups, g)
		}
	}
	r.journal.loaded = groups
	var last JournalGroup
	if len(groups) > 0 {
		last = groups[len(groups)-1]
	}
	if last.Epoch > r.owner.epoch {
		r.stepDown(ReasonStaleEpoch)
		return
	}
	if last.Epoch == r.owner.epoch && last.Opening {
		r.journal.loaded = groups[:len(groups)-1]
		r.journal.sequence = last.Sequence - 1
		r.finishRecovery()
		return
	}
	r.journal.sequence = last.Sequence
	key := r.journalKey(last.Sequence + 1)
	r.emit(PutValue{
		Op: r.newStoreOp(PurposeJournalOpen, key), Key: key,
		Value: JournalGroup{
			Epoch: r.owner.epoch, Sequence: last.Sequence + 1, ID: r.rng.Uint64(), Opening: true,
		},
	})
}

// finishRecovery restores the jobs from the journal and starts fencing workers.
func (r *Reducer) finishRecovery() {
	j := &r.journal
	for _, g := range j.loaded {
		for i := range g.Records {
			r.replayRecord(&g.Records[i])
		}
		j.addGroup(&g)
	}
	j.loaded = nil
	j.sequence++
	j.groups = append(j.groups, writtenGroup{sequence: j.sequence, opening: true})
	r.owner.role = roleOwner
	r.count(MetricTakeovers, "", "", "")
	r.emit(Log{Level: LogInfo, Message: "owner of the data centre", Epoch: r.owner.epoch})
	r.beginFencing()
	r.tickServices()
}

// replayRecord applies a journal record of an earlier owner.
func (r *Reducer) replayRecord(rec *Record) {
	j := r.jobs.get(rec.Job)
	switch rec.Kind {
	case RecordAccepted:
		if j == nil && rec.Spec != nil {
			r.restoreJob(*rec.Spec)
		}
	case RecordMoved:
		if j == nil && rec.Spec != nil {
			r.restoreMoved(rec)
		}
	case RecordAssigned:
		if j != nil && rec.Task.Task < len(j.tasks) {
			r.restoreAssignment(j, rec)
		}
	case RecordFinished:
		if j != nil {
			r.restoreFinished(j, rec)
		}
	}
}

// restoreJob restores an accepted job whose tasks may be running on any worker.
func (r *Reducer) restoreJob(spec JobSpec) {
	j := r.newJob(spec, r.docs.kind(spec.Team, spec.Kind))
	r.jobs.markJournaled(j)
	// Starts of idempotent tasks are not journaled, and a worker that has been
	// removed since cannot be queried.
	j.outcomeUnknown = j.kind.Idempotent
	j.state = JobSettling
	r.jobs.add(j)
	r.jobs.scheduleTimer(j)
}

// restoreAssignment restores the only worker on which an attempt may run.
func (r *Reducer) restoreAssignment(j *job, rec *Record) {
	t := &j.tasks[rec.Task.Task]
	if rec.Task.Attempt < t.attempt || j.state.Final() {
		return
	}
	t.attempt, t.checkpoint = rec.Task.Attempt, rec.Checkpoint
	t.state, t.worker, t.incarnation = taskUncertain, rec.Worker, rec.Incarnation
}

// restoreFinished restores a final outcome, which answers repeated submissions.
func (r *Reducer) restoreFinished(j *job, rec *Record) {
	j.state, j.refusal, j.result, j.endedAt = rec.State, rec.Refusal, rec.Result, rec.At
	for i := range j.tasks {
		j.tasks[i].state = taskDone
	}
	r.jobs.scheduleTimer(j)
}

// beginFencing queries the tasks of every worker under the new epoch. A worker's
// capacity is not used before it has responded.
func (r *Reducer) beginFencing() {
	r.fleet.resetUsage()
	r.fleet.takeover = r.now
	for _, w := range r.fleet.workers {
		r.syncWorker(w)
	}
	r.attachRestored()
	r.requeueRestored()
}

// attachRestored links restored assignments to their workers.
func (r *Reducer) attachRestored() {
	for _, j := range r.jobs.sortedByID() {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state != taskUncertain {
				continue
			}
			w := r.fleet.get(t.worker)
			if w == nil {
				// The platform no longer lists the worker.
				r.onTaskLost(j, t)
				continue
			}
			// The record contains the incarnation of the worker at the time of
			// the assignment; this host may have seen a later one or none.
			startedIncarnation := t.incarnation
			r.fleet.assign(w, j, t, j.kind.Request)
			t.incarnation = startedIncarnation
		}
	}
}

// requeueRestored queues the restored tasks that definitely run on no worker:
// every worker has either reported its tasks in this epoch or is lost.
func (r *Reducer) requeueRestored() {
	if !r.owner.active() || !r.fleet.allFencedOrLost() {
		return
	}
	for _, j := range r.jobs.sortedByID() {
		if j.state == JobSettling && !j.hasTaskIn(taskUncertain) {
			if j.hasAllocatedTask() {
				j.state = JobRunning // the remaining tasks are started again
			}
			r.requeue(j)
		}
	}
}
