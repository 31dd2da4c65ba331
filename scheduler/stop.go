package scheduler

const (
	// drainTime is how long a stopping host continues to serve requests. The load
	// balancer notices within two checks, one second apart, that it is not ready.
	drainTime = 2500 * msec
	// drainExtension is how much longer it waits for a moment without open requests.
	// Callers can use it until it exits, and the platform kills a process 6 s after
	// the order to stop. On a busy machine the remaining shutdown takes 2 s and more.
	drainExtension = 500 * msec
)

// publishReady reports whether this host should receive new requests, if that has
// changed.
func (r *Reducer) publishReady() {
	ready, reason := true, ReasonNone
	switch {
	case r.stopping:
		ready, reason = false, ReasonStopping
	case r.config == nil:
		ready, reason = false, ReasonNoConfig
	case !r.owner.known || !r.owner.present && r.cell == nil:
		// The previous state is kept: a takeover takes less time than the load
		// balancer needs to notice that a host is not ready.
		ready, reason = r.ready, ReasonNoOwner
	}
	if r.readyPublished && ready == r.ready {
		return
	}
	r.ready, r.readyPublished = ready, true
	r.emit(Ready{Ready: ready, Reason: reason})
}

// handleStopRequested starts the graceful shutdown: ownership is handed over as soon
// as possible, and requests that still arrive are forwarded to the new owner.
func (r *Reducer) handleStopRequested() {
	if r.stopping {
		return
	}
	r.stopping = true
	r.stopAt = r.now.Add(drainTime)
	r.emit(Decision{Kind: "stop", Outcome: "requested", Fields: []Field{{"owner", boolField(r.cell != nil)}, {"requests", int64(len(r.requests))}}})
	r.publishReady()
}

// advanceStop hands over the ownership and completes the shutdown when it is due.
func (r *Reducer) advanceStop() {
	if !r.stopping {
		return
	}
	if r.cell != nil {
		r.cell.handOver("this host is stopping")
	}
	if r.now >= r.stopAt && len(r.requests) == 0 || r.now >= r.stopAt.Add(drainExtension) {
		r.emit(Stopped{})
	}
}
