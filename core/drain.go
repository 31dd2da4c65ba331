package core

import "time"

// drainLimit bounds the wait for the journal during a planned stop.
const drainTimeout = 10 * time.Second

// onDrainRequested begins a planned stop: no new job is accepted, and the cell
// is handed over once the journal has written what it holds.
func (r *Reducer) onDrainRequested() {
	if r.draining {
		return
	}
	r.draining, r.drainStarted = true, r.now
	r.peers.nextHeartbeat = r.now
	r.emit(Ready{Ready: false})
}

// tickDrain finishes a planned stop.
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
		// Revoking the lease lets a follower claim at once.
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

// tickAssigned starts tasks whose record became durable while the lease was not
// certain.
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
