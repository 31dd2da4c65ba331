package core

import "time"

// unreachableGrace is added to the task lease before a worker that never
// answered a new owner counts as lost. The former owner, if it can still reach
// the worker, stops renewing within this time: it hears of the new epoch from a
// peer, or stops because it hears none (see isolated).
const unreachableGrace = 15 * time.Second

// startRecovery reads the journal. Every step can be repeated: nothing is
// deleted before its live records have been written again under this epoch.
func (r *Reducer) startRecovery() {
	prefix := r.dataCentreKey("journal/")
	r.emit(ListValues{Op: r.newStoreOp(PurposeJournalLoad, prefix), Prefix: prefix})
}

// onRecoveryAnswer loads the journal and opens this epoch at its end. If another
// group was added in between, the journal is read again.
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

// retryRecovery reads the journal again after a wait.
func (r *Reducer) retryRecovery() { r.journal.retryAt = r.now.Add(r.jitter(journalRetryDelay)) }

// tickRecovery reads the journal again when it is due.
func (r *Reducer) tickRecovery() {
	if at := r.journal.retryAt; at != 0 && r.now >= at {
		r.journal.retryAt = 0
		r.startRecovery()
	}
}

// onJournalLoaded keeps the groups and writes the opening group behind them,
// unless it is already there.
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

// finishRecovery rebuilds the jobs from the journal and starts fencing workers.
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

// replayRecord applies one journal record of an earlier owner.
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

// restoreJob brings back an accepted job whose tasks may run anywhere.
func (r *Reducer) restoreJob(spec JobSpec) {
	j := r.newJob(spec, r.docs.kind(spec.Team, spec.Kind))
	r.jobs.markJournaled(j)
	// Starts of idempotent tasks are in no record, and a worker that has gone
	// since cannot be asked.
	j.outcomeUnknown = j.kind.Idempotent
	j.state = JobSettling
	r.jobs.add(j)
	r.jobs.scheduleTimer(j)
}

// restoreAssignment notes the one worker that an attempt may run on.
func (r *Reducer) restoreAssignment(j *job, rec *Record) {
	t := &j.tasks[rec.Task.Task]
	if rec.Task.Attempt < t.attempt || j.state.Final() {
		return
	}
	t.attempt, t.checkpoint = rec.Task.Attempt, rec.Checkpoint
	t.state, t.worker, t.incarnation = taskUncertain, rec.Worker, rec.Incarnation
}

// restoreFinished brings back a final outcome, which answers repeated submits.
func (r *Reducer) restoreFinished(j *job, rec *Record) {
	j.state, j.refusal, j.result, j.endedAt = rec.State, rec.Refusal, rec.Result, rec.At
	for i := range j.tasks {
		j.tasks[i].state = taskDone
	}
	r.jobs.scheduleTimer(j)
}

// beginFencing asks every worker for its tasks under the new epoch. No capacity
// of a worker is used before it has answered.
func (r *Reducer) beginFencing() {
	r.fleet.resetUsage()
	r.fleet.takeover = r.now
	for _, w := range r.fleet.workers {
		r.syncWorker(w)
	}
	r.attachRestored()
	r.requeueRestored()
}

// attachRestored links the journal's assignments to their workers.
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
			// The journal says in which incarnation of the worker it may have
			// started; this host may have seen a later one, or none.
			started := t.incarnation
			r.fleet.assign(w, j, t, j.kind.Request)
			t.incarnation = started
		}
	}
}

// settleRestored queues the restored tasks that surely run nowhere: every worker
// has either answered this epoch with its tasks or is lost.
func (r *Reducer) requeueRestored() {
	if !r.owner.active() || !r.fleet.allFencedOrLost() {
		return
	}
	for _, j := range r.jobs.sortedByID() {
		if j.state == JobSettling && !j.hasTaskIn(taskUncertain) {
			if j.hasAllocatedTask() {
				j.state = JobRunning // Its other tasks start again.
			}
			r.requeue(j)
		}
	}
}
