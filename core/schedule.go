package core

import (
	"cmp"
	"time"
)

const (
	// maxPlacementsPerStep bounds the work of one step so that events queued behind
	// it are not delayed. The remaining placements follow in the next step.
	maxPlacementsPerStep = 64
	// startWindow is how long a worker may accept a start. It refuses a later one,
	// which reliably means "not run". A worker that is listed as leaving must get
	// no new work after 3 s and the list is read every second, so a start that was
	// decided earlier must not take effect more than 2 s later.
	startWindow = 2 * time.Second
	// backfillPercentile is the percentile of a kind's run times by which a
	// backfilled task must end before the reserved capacity is needed.
	backfillPercentile = 95
	// startResendDelay is the wait before an unanswered start is sent again under
	// the same attempt, which a worker starts at most once.
	startResendDelay = 2 * time.Second
	// maxBackfillCandidates bounds the reserved workers examined for one task.
	maxBackfillCandidates = 64
)

// schedule places waiting jobs until none fits or the step has reached its limit.
func (r *Reducer) schedule() {
	if !r.owner.active() || r.resumePending || !r.placementMayHaveChanged() {
		return
	}
	r.placementDirty = false
	r.unblockShapes()
	for n := 0; ; n++ {
		k := r.nextQueue()
		if k == nil {
			break
		}
		if n == maxPlacementsPerStep {
			r.resumePending = true
			r.emit(Resume{})
			return
		}
		r.placeHead(k)
	}
	r.unblockHeads()
}

// placementMayHaveChanged reports whether anything has happened that may allow
// another placement.
func (r *Reducer) placementMayHaveChanged() bool {
	f := &r.fleet
	return r.placementDirty || f.freedAll || len(f.freed) > 0 || len(r.queues.stale) > 0
}

// unblockShapes unblocks the shapes that may fit after the recent releases of
// capacity.
func (r *Reducer) unblockShapes() {
	f, shapes := &r.fleet, &r.queues.shapes
	if f.freedAll {
		f.freedAll = false
		r.markAllStale()
		shapes.unblockAll()
	}
	for _, w := range f.freed {
		w.inFreedList = false
		if w.isUsable() {
			shapes.unblockFitting(w.free())
		}
	}
	f.freed = f.freed[:0]
}

// placeHead places the oldest job of a queue, or marks its shape as blocked if it
// does not fit.
func (r *Reducer) placeHead(k *kindQueue) {
	j := k.first()
	if !r.placeJob(k, j) {
		r.queues.shapes.blocked[k.rank.shape] = true
		return
	}
	k.startRate.add(r.now)
	r.queues.remove(j)
	r.reservations.drop(r, j.spec.ID)
	r.startAssigned(j)
}

// placeJob assigns all waiting tasks of a job to workers, or none of them.
func (r *Reducer) placeJob(k *kindQueue, j *job) bool {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskWaiting {
			continue
		}
		w := r.selectWorkerForTask(k, j, t)
		if w == nil {
			r.undoPlacement(j, i)
			return false
		}
		r.fleet.assign(w, j, t, j.kind.Request)
		t.state = taskAssigned
	}
	for i := range j.tasks {
		r.reservations.dropWorker(r, k.reservationID, r.fleet.get(j.tasks[i].worker))
	}
	return true
}

// undoPlacement reverts the assignments of the first n tasks made in this step.
// Their workers are not marked as freed, because they offer no capacity that was
// not free before.
func (r *Reducer) undoPlacement(j *job, n int) {
	numFreed := len(r.fleet.freed)
	for i := range j.tasks[:n] {
		t := &j.tasks[i]
		if t.state == taskAssigned {
			r.fleet.unassign(j, t)
			t.state, t.worker = taskWaiting, ""
		}
	}
	for _, w := range r.fleet.freed[numFreed:] {
		w.inFreedList = false
	}
	r.fleet.freed = r.fleet.freed[:numFreed]
}

// selectWorkerForTask selects a worker for one task.
func (r *Reducer) selectWorkerForTask(k *kindQueue, j *job, t *task) *worker {
	c := constraint{
		need: j.kind.Request, job: j.spec.ID, queue: k.reservationID, avoid: t.failedOn,
		endsBy: r.now.Add(r.estimates.runTime(j, backfillPercentile)),
	}
	if j.service != "" {
		return r.selectWorker(&c, func(rack string) int { return r.jobs.placedReplicasInRack(j, rack) })
	}
	return r.selectWorker(&c, nil)
}

// startAssigned starts the newly assigned tasks. A non-idempotent task starts only
// after the journal has a durable record of its worker, so that the next owner
// knows which worker to ask about it.
func (r *Reducer) startAssigned(j *job) {
	if !j.wasDispatched() {
		defer r.jobs.scheduleTimer(j)
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
		t.attempt = max(t.attempt, t.highestAttempt) + 1
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
	r.jobs.addStep(j, r.now, "assigned", j.tasks[0].worker)
}

// assignedRecord returns the journal record of a task's assignment.
func (r *Reducer) assignedRecord(j *job, t *task) Record {
	return Record{
		Kind: RecordAssigned, Job: j.spec.ID, Task: j.ref(t), Worker: cmp.Or(t.worker, t.endedOn),
		Incarnation: t.incarnation, Checkpoint: t.checkpoint, At: r.now,
	}
}

// onAssignmentDurable starts a non-idempotent task whose assignment record is
// durable.
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
		r.endInactive(j)
		return
	}
	if !r.leaseValid() {
		r.awaitingLease = append(r.awaitingLease, ref)
		return
	}
	r.sendStart(j, t)
}

// sendStart sends the start of a task to its worker.
func (r *Reducer) sendStart(j *job, t *task) {
	w := r.fleet.get(t.worker)
	if w == nil {
		return
	}
	t.state, t.sentAt = taskStarting, r.now
	r.count(MetricStarts, "", j.spec.Team, j.spec.Kind)
	r.emit(StartTask{
		Worker: w.id, Address: w.address, Epoch: r.owner.epoch, Task: j.ref(t),
		Team: j.spec.Team, Kind: j.spec.Kind, Request: j.kind.Request,
		Payload: j.spec.Payload, Lease: r.cfg.TaskLease,
		LatestStart: min(r.now.Add(startWindow), j.deadline()), Checkpoint: t.checkpoint,
	})
}
