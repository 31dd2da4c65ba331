package core

import "time"

const (
	// placementsPerStep bounds the work of one step, so that an event behind
	// it in the mailbox is not held up; the rest follows in the next step.
	placementsPerStep = 64
	// startWindow is how long a worker may take a start. Later the worker
	// refuses it, which is a true "not run".
	startWindow = 10 * time.Second
	// backfillPercentile of the run times seen must fit before the room that
	// is gathered for another job is expected.
	backfillPercentile = 95
	// startResend is the wait before a start without an answer is sent again
	// under the same attempt, which a worker starts only once.
	startResend = 2 * time.Second
)

// schedule places waiting jobs until none fits or the step has done enough.
func (r *Reducer) schedule() {
	if !r.owner.active() || r.resuming {
		return
	}
	if !r.dirty && !r.queues.changed && r.fleet.scheduled == r.fleet.released {
		return
	}
	r.dirty, r.queues.changed = false, false
	for n := 0; ; n++ {
		r.fleet.scheduled = r.fleet.released
		k := r.nextQueue()
		if k == nil {
			return
		}
		if n == placementsPerStep {
			r.resuming = true
			r.emit(Resume{})
			return
		}
		r.placeHead(k)
	}
}

// placeHead places the oldest job of a queue, or marks the queue as blocked.
func (r *Reducer) placeHead(k *kindQueue) {
	j := k.first()
	if r.placeJob(j) {
		r.queues.remove(j)
		k.starts.add(r.now)
		r.reserve.drop(r, j.spec.ID)
		r.startAssigned(j)
		return
	}
	k.blocked, k.blockedAt = true, r.fleet.released
	r.onBlocked(k, j)
}

// placeJob assigns all waiting tasks of a job to workers, or none of them.
func (r *Reducer) placeJob(j *job) bool {
	released := r.fleet.released
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskWaiting {
			continue
		}
		w := r.pickWorker(j, t)
		if w == nil {
			r.undoPlacement(j, i)
			// Undoing frees nothing that was not free before.
			r.fleet.released = released
			return false
		}
		r.fleet.assign(w, j, t, j.kind.Request)
		t.state = taskAssigned
	}
	return true
}

// undoPlacement returns what the first n tasks were assigned in this step.
func (r *Reducer) undoPlacement(j *job, n int) {
	for i := range j.tasks[:n] {
		t := &j.tasks[i]
		if t.state == taskAssigned {
			r.fleet.unassign(j, t)
			t.state, t.worker = taskWaiting, ""
		}
	}
}

// pickWorker filters and ranks workers for one task.
func (r *Reducer) pickWorker(j *job, t *task) *worker {
	c := constraint{
		need: j.kind.Request, job: j.spec.ID, avoid: t.failedOn,
		endsBy: r.now.Add(r.kinds.runTime(j, backfillPercentile)),
	}
	if !c.need.Fits(r.fleet.index.largest()) {
		return nil
	}
	if j.service != "" {
		return r.fleet.pickSpread(&c, func(rack string) int { return r.jobs.siblings(j, rack) })
	}
	return r.fleet.pick(&c)
}

// startAssigned starts the tasks that were just assigned. A non-idempotent task
// starts once the journal names its worker, so that a successor knows the one
// place to ask.
func (r *Reducer) startAssigned(j *job) {
	if !j.everStarted() {
		defer r.jobs.schedule(j)
	}
	j.state = JobStarting
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskAssigned {
			continue
		}
		if t.attempt == 0 {
			r.retries.earn(queueKey{j.spec.Team, j.spec.Kind})
		}
		t.attempt = max(t.attempt, t.highest) + 1
		t.throttled, t.stopping = false, false
		if !j.kind.Idempotent && j.service == "" {
			r.appendRecord(r.assignedRecord(j, t))
			continue
		}
		r.sendStart(j, t)
	}
	if w := r.fleet.get(j.tasks[0].worker); w != nil {
		j.rack = w.rack
	}
	r.jobs.note(j, r.now, "assigned", j.tasks[0].worker)
}

// assignedRecord is the journal record of a task's assignment.
func (r *Reducer) assignedRecord(j *job, t *task) Record {
	return Record{
		Kind: RecordAssigned, Job: j.spec.ID, Task: j.ref(t), Worker: t.worker,
		Incarnation: t.incarnation, Checkpoint: t.checkpoint, At: r.now,
	}
}

// onAssignmentDurable starts a non-idempotent task.
func (r *Reducer) onAssignmentDurable(j *job, ref TaskRef) {
	if ref.Task >= len(j.tasks) {
		return
	}
	t := &j.tasks[ref.Task]
	if t.state != taskAssigned || t.attempt != ref.Attempt {
		return
	}
	if j.cancelled || r.now >= j.deadline() {
		r.releaseTask(j, t, taskWaiting)
		r.endUnstarted(j)
		return
	}
	if !r.leaseValid() {
		r.held = append(r.held, ref)
		return
	}
	r.sendStart(j, t)
}

// sendStart sends a task to its worker.
func (r *Reducer) sendStart(j *job, t *task) {
	w := r.fleet.get(t.worker)
	if w == nil {
		return
	}
	t.state, t.sent = taskStarting, r.now
	r.count(MetricStarts, "", j.spec.Team, j.spec.Kind)
	r.emit(StartTask{
		Worker: w.id, Address: w.address, Epoch: r.owner.epoch, Task: j.ref(t),
		Team: j.spec.Team, Kind: j.spec.Kind, Request: j.kind.Request,
		Payload: j.spec.Payload, Lease: r.cfg.TaskLease,
		LatestStart: min(r.now.Add(startWindow), j.deadline()), Checkpoint: t.checkpoint,
	})
}

// onBlocked looks for ways to make room for a head that does not fit.
func (r *Reducer) onBlocked(k *kindQueue, j *job) {
	if r.reserve.of(j.spec.ID) != nil {
		return
	}
	if k.urgency <= Urgent && r.entitled(k.team, j.demand()) && r.preemptFor(j) {
		return
	}
	r.reserveFor(k, j)
}
