package scheduler

const (
	// drainTime is how long a host that is stopping goes on serving: the balancer
	// notices within two checks, a second apart, that it is not ready.
	drainTime = 2500 * msec
	// drainLimit is how much longer it waits for a moment without a request.
	// Callers can go on using it until it is gone, and the platform kills a
	// process 6 s after it was told to stop; on a busy machine the rest takes 2 s
	// and more.
	drainExtension = 500 * msec
)

// publishReady says whether this host should get new callers.
func (r *Reducer) publishReady() {
	ready, reason := true, ReasonNone
	switch {
	case r.stopping:
		ready, reason = false, ReasonStopping
	case r.config == nil:
		ready, reason = false, ReasonNoConfig
	case !r.owner.known || !r.owner.present && r.cell == nil:
		// A takeover takes less time than the balancer needs to notice.
		ready, reason = r.ready, ReasonNoOwner
	}
	if r.readyPublished && ready == r.ready {
		return
	}
	r.ready, r.readyPublished = ready, true
	r.emit(Ready{Ready: ready, Reason: reason})
}

// stopRequested begins the graceful shutdown: the ownership goes to another host
// at once, and this one passes on what still arrives.
func (r *Reducer) handleStopRequested() {
	if r.stopping {
		return
	}
	r.stopping = true
	r.stopAt = r.now.Add(drainTime)
	r.emit(Decision{Kind: "stop", Outcome: "requested", Fields: []Field{{"owner", boolField(r.cell != nil)}, {"requests", int64(len(r.requests))}}})
	r.publishReady()
}

// advanceStop hands the ownership over and ends the shutdown.
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
