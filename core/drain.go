package core

import "time"

// drainTimeout limits the wait for the journal during a graceful shutdown.
const drainTimeout = 10 * time.Second

// onDrainRequested starts a graceful shutdown. The host accepts no new jobs and
// gives up ownership once all journal records have been written.
func (r *Reducer) onDrainRequested() {
	if r.draining {
		return
	}
	r.draining, r.drainStarted = true, r.now
	r.peers.nextHeartbeat = r.now
	r.emit(Ready{Ready: false})
}

// tickDrain advances a graceful shutdown.
func (r *Reducer) tickDrain() {
	if ready := r.ready() && !r.draining; ready != r.reportedReady {
		r.reportedReady = ready
		r.emit(Ready{Ready: ready})
	}
	if !r.draining || r.stopped {
		return
	}
	if r.owner.active() || r.owner.role == roleRecovering {
		j := &r.journal
		busy := j.inFlight != nil || j.pendingCount() > 0
		if busy && r.now.Sub(r.drainStarted) < drainTimeout {
			return
		}
		// Revoking the lease allows a follower to claim immediately.
		r.stepDown(ReasonDraining)
		r.peers.nextHeartbeat = r.now
		return
	}
	if len(r.deferred) > 0 {
		return
	}
	r.stopped = true
	r.emit(Stopped{})
}

// tickAwaitingLease starts tasks whose record became durable while the owner's
// lease was not known to be valid.
func (r *Reducer) tickAwaitingLease() {
	if len(r.awaitingLease) == 0 || !r.leaseValid() {
		return
	}
	held := r.awaitingLease
	r.awaitingLease = nil
	for _, ref := range held {
		if j, t := r.findTask(ref); t != nil && t.state == taskAssigned {
			r.sendStart(j, t)
		}
	}
}
