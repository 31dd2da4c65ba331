package core

import "time"

const (
	// syncRetryDelay is the wait after a failed sync.
	syncRetryDelay = time.Second
	// syncTimeout is how much longer than its requested wait a sync may take.
	syncTimeout = 5 * time.Second
	// leaseExpiryMargin is added to the task lease before the tasks of a silent
	// worker count as ended. It covers the drift between the two clocks over one
	// lease.
	leaseExpiryMargin = 5 * time.Second
	// suspectAfter is how long syncs with a worker may fail before its task leases
	// are no longer renewed. From then on, the time by which its tasks must have
	// ended is known.
	suspectAfter = 5 * time.Second
	// peerSilenceLimit is how long an owner without a valid lease may hear from no
	// peer before it stops renewing task leases.
	peerSilenceLimit = 5 * time.Second
)

// syncState is the state of the long poll to one worker.
type syncState struct {
	inFlight bool
	sentAt   Time
	nextAt   Time
	// leaseRenewedAt is when a sync that renews task leases was last sent.
	leaseRenewedAt Time
	// failingSince is when syncs began to fail, or zero.
	failingSince Time
}

// syncWorker sends the next sync to a worker.
func (r *Reducer) syncWorker(w *worker) {
	s := &w.sync
	s.inFlight, s.sentAt = true, r.now
	lease := r.cfg.TaskLease
	suspect := s.failingSince != 0 && r.now.Sub(s.failingSince) >= suspectAfter
	if suspect || r.isolated() {
		lease = 0
	} else {
		s.leaseRenewedAt = r.now
	}
	if w.needsFullSync {
		r.requestFullSync(w)
	}
	wait := r.cfg.SyncWait
	if !w.fenced || suspect {
		wait = 0
	}
	r.emit(SyncWorker{
		Worker: w.id, Address: w.address, Epoch: r.owner.epoch, Since: w.lastSequence,
		Lease: lease, Wait: wait,
	})
}

// requestFullSync makes the sync that is about to be sent request the full ledger.
// Tasks that await it and are missing from the response have not run; see
// resolveUnreported.
func (r *Reducer) requestFullSync(w *worker) {
	w.needsFullSync, w.lastSequence = false, 0
	for _, p := range w.placements { // the order does not matter
		if p.task.awaitsFullSync {
			p.task.awaitsFullSync, p.task.sentAt = false, 0
		}
	}
}

// isolated reports whether another host may have taken over without this owner
// having heard of it. An isolated owner stops renewing task leases. When only the
// store is down, the peers are still heard and work continues.
func (r *Reducer) isolated() bool {
	return r.owner.role == roleOwner && !r.leaseValid() && r.peers.peersListed &&
		r.now.Sub(r.peers.lastHeard) > peerSilenceLimit
}

// tickWorkers sends the syncs that are due and marks workers as lost whose task
// leases have expired.
func (r *Reducer) tickWorkers() {
	r.tickHostList()
	if !r.owner.active() {
		return
	}
	for _, w := range r.fleet.workers {
		s := &w.sync
		if s.inFlight && r.now.Sub(s.sentAt) > r.cfg.SyncWait+syncTimeout {
			s.inFlight = false // The result of the effect was lost.
		}
		if !s.inFlight && r.now >= s.nextAt && w.listed {
			r.syncWorker(w)
		}
		if !w.lost && r.leasesLapsed(w) {
			r.onWorkerLost(w)
		}
	}
	r.tickHealth()
	r.tickResends()
	r.tickSignals()
}

// leasesLapsed reports whether all tasks on w have ended because their leases have
// expired.
func (r *Reducer) leasesLapsed(w *worker) bool {
	if w.sync.failingSince == 0 {
		return false
	}
	if !w.fenced {
		return r.now.Sub(r.fleet.takeover) > r.cfg.TaskLease+unreachableGrace
	}
	return r.now.Sub(w.sync.failingSince) > suspectAfter &&
		r.now.Sub(w.sync.leaseRenewedAt) > r.cfg.TaskLease+leaseExpiryMargin
}

// onWorkerSynced applies a worker's response and sends the next sync.
func (r *Reducer) onWorkerSynced(s WorkerSynced) {
	w := r.fleet.get(s.Worker)
	if w == nil || !r.owner.active() || s.Epoch != r.owner.epoch {
		return
	}
	restarted := w.incarnation != 0 && w.incarnation != s.Incarnation
	first := !w.fenced || w.lost
	w.sync.inFlight, w.sync.failingSince, w.sync.nextAt = false, 0, 0
	w.incarnation, w.fenced, w.lost = s.Incarnation, true, false
	w.leaving = w.leaving || s.Leaving
	if restarted {
		r.resolveLostTasks(w, false)
	}
	w.lastSequence = s.Sequence
	for i := range s.Tasks {
		r.onTaskReport(w, &s.Tasks[i])
	}
	if s.Full {
		r.resolveUnreported(w, s.Tasks)
	}
	r.grants.inheritCalls(r, w, s.CallsInProgress, first)
	r.fleet.refreshIndex(w)
	if first {
		r.fleet.markFreed(w)
		r.requeueRestored()
	}
	r.syncWorker(w)
}

// resolveUnreported resolves the uncertain tasks that are placed on w but missing
// from its ledger. They will never run, because w now refuses earlier epochs and
// expired starts.
func (r *Reducer) resolveUnreported(w *worker, tasks []TaskReport) {
	known := map[TaskRef]bool{}
	for i := range tasks {
		known[tasks[i].Task] = true
	}
	for _, p := range w.sortedPlacements() {
		unresolved := p.task.state == taskUncertain && p.task.sentAt == 0
		if !unresolved || known[p.job.ref(p.task)] {
			continue
		}
		if p.task.incarnation != 0 && p.task.incarnation != w.incarnation {
			// The worker has restarted since, which emptied its ledger.
			r.onTaskLost(p.job, p.task)
			continue
		}
		r.onStartRefused(p.job, p.task, ReasonNoOwner)
	}
}

// onWorkerFailed handles a failed request to a worker.
func (r *Reducer) onWorkerFailed(f WorkerFailed) {
	w := r.fleet.get(f.Worker)
	if w == nil || !r.owner.active() || f.Epoch != r.owner.epoch {
		return
	}
	if f.HighestEpoch > r.owner.epoch {
		r.onHigherEpoch(f.HighestEpoch)
		return
	}
	s := &w.sync
	s.inFlight = false
	s.nextAt = r.now.Add(r.jitter(syncRetryDelay))
	if s.failingSince == 0 {
		s.failingSince = r.now
	}
}

// onHigherEpoch steps down because a worker has accepted the epoch of a later owner.
func (r *Reducer) onHigherEpoch(e Epoch) {
	r.owner.ownerEpoch = max(r.owner.ownerEpoch, e)
	r.stepDown(ReasonStaleEpoch)
}

// onWorkerLost marks a worker as lost and resolves its tasks, whose leases have
// expired.
func (r *Reducer) onWorkerLost(w *worker) {
	w.lost, w.lastSequence = true, 0
	r.count(MetricWorkerLost, "", "", "")
	r.emit(Log{Level: LogWarn, Message: "worker lost", Worker: w.id})
	r.resolveLostTasks(w, true)
	r.fleet.refreshIndex(w)
	r.requeueRestored()
}

// resolveLostTasks resolves every task on a worker that no longer runs it.
func (r *Reducer) resolveLostTasks(w *worker, silent bool) {
	for _, p := range w.sortedPlacements() {
		if silent && !p.job.kind.Idempotent && p.job.service == "" && w.listed {
			// The worker may return and report the outcome.
			p.task.state = taskUncertain
			p.task.sentAt = 0
			continue
		}
		r.onTaskLost(p.job, p.task)
	}
	for ref := range w.orphans {
		need := w.orphans[ref]
		delete(w.orphans, ref)
		r.fleet.adjustAssigned(w, need.Times(-1))
	}
	if silent {
		r.grants.revokeOnWorker(r, w)
	}
}

// onTaskLost ends an attempt whose outcome is unknown.
func (r *Reducer) onTaskLost(j *job, t *task) {
	began := t.state == taskRunning || j.hasStarted
	j.outcomeUnknown = true
	r.releaseTask(j, t, taskWaiting)
	if j.kind.Idempotent || j.service != "" {
		r.count(MetricRetries, ReasonWorkerLost, j.spec.Team, j.spec.Kind)
		r.scheduleRetry(j)
		return
	}
	ref := refuse(ReasonWorkerLost, "the worker of job %q was lost", j.spec.ID)
	ref.Verdict = MayHaveRun
	if began {
		ref.Verdict = Ran
	}
	r.finishJob(j, JobFailed, ref)
}

// sortedPlacements returns the placements of w sorted by job and task.
func (w *worker) sortedPlacements() []placement {
	out := make([]placement, 0, len(w.placements))
	for _, p := range w.placements {
		out = append(out, p)
	}
	sortPlacements(out)
	return out
}
