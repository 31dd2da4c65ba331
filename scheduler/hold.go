package scheduler

import (
	"slices"
	"time"
)

// surelyLapsed reports whether the worker's lease has ended on its own clock,
// whatever happened to the calls sent to it.
func (c *cell) leaseExpired(w *worker) bool {
	if !w.contacted {
		return c.now >= max(c.inheritedRunsEndBy, w.earlierRunsEndBy)
	}
	left := time.Duration(w.leaseEnd-w.clock) * msec
	return c.now >= w.clockAt.Add(worstCaseElapsed(max(0, left)))
}

// workerClock estimates the worker's clock from below.
func (c *cell) minWorkerClock(w *worker) int64 {
	passed := float64(c.now.Sub(w.clockAt)) * (1 - maxClockDrift)
	return w.clock + time.Duration(passed).Milliseconds()
}

// lease returns the length of a worker's lease.
func (c *cell) workerLease() time.Duration { return min(c.limits.MaxLease, workerLeaseTTL) }

// nextLeaseEnd returns the end of a lease that begins now, and notes it.
func (c *cell) grantLease(w *worker) int64 {
	end := c.minWorkerClock(w) + c.workerLease().Milliseconds()
	w.leaseEnd = max(w.leaseEnd, end)
	return end
}

// holdWorkers sends the holds that are due and gives up workers that are gone.
func (c *cell) sendDueHolds() {
	if !c.mayHold() {
		return
	}
	for _, w := range slices.Clone(c.workersByID) {
		c.sendDueHold(w)
	}
}

// holdWorker sends the hold of one worker if it is due.
func (c *cell) sendDueHold(w *worker) {
	if !c.mayHold() || c.leaseExpired(w) && c.expireWorker(w) {
		return
	}
	if !w.hold.inFlight && c.now >= w.hold.retryAt && c.needsHold(w) {
		c.sendHold(w)
	}
}

// giveUp handles a worker whose lease has ended without an answer. It reports
// whether the worker is forgotten.
func (c *cell) expireWorker(w *worker) bool {
	if len(w.runs) > 0 {
		c.logDecision(Decision{Kind: "worker", Outcome: "lease_lapsed", Worker: w.info.ID,
			Fields: []Field{{"runs", int64(len(w.runs))}, {"silent_ms", c.now.Sub(w.clockAt).Milliseconds()}}})
		c.markRunsLost(w)
	}
	if !w.contacted && !w.listed || !w.listed && w.unlistedAt != 0 {
		if w.recorded {
			c.record(Record{WorkerGone: w.info.ID}, false)
		}
		c.removeWorker(w)
		c.dirty = true
		return true
	}
	w.contacted = w.contacted && w.hold.failures == 0
	return false
}

// needsHold reports whether the worker has to be asked now.
func (c *cell) needsHold(w *worker) bool {
	switch {
	case !w.contacted || c.hasUnconfirmedRuns(w):
		return true
	case w.notedEnd > w.durableEnd:
		// The worker would answer at once with ends that may not be
		// acknowledged yet.
		return c.now.Sub(w.hold.lastAnswerAt) >= activeHoldInterval
	case len(w.runs) > 0 || w.unknownRuns || w.durableEnd > w.acknowledgedEnd:
		return true
	}
	return w.listed && c.now.Sub(w.hold.lastAnswerAt) >= idleHoldInterval
}

// sendHold asks a worker for its runs and extends its lease.
func (c *cell) sendHold(w *worker) {
	w.hold.call = c.nextCallID()
	w.hold.inFlight = true
	w.hold.sentAt = c.now
	h := Hold{
		Worker: w.info.ID, Address: w.info.Address, Call: w.hold.call,
		Token: c.generation, Via: c.agentFor(w),
	}
	if w.contacted && w.hold.failures == 0 && w.durableEnd > w.acknowledgedEnd {
		// After a call without an answer the address may belong to a new life
		// of the worker, which would forget ends that nobody has read.
		h.Acknowledged = w.durableEnd
		w.hold.acknowledgedEnd = w.durableEnd
	}
	if w.contacted {
		h.Wait = maxHoldWait
		if w.mixedLoad {
			h.Wait = mixedHoldWait
		}
		if w.notedEnd > w.durableEnd || c.hasUnconfirmedRuns(w) {
			h.Wait = 0
		}
		switch {
		case len(w.runs) == 0:
			h.Wait = 0
		case w.hold.failures == 0:
			h.Deadline = c.grantLease(w)
		default:
			// A worker that does not answer may still get the call. Its lease
			// is left to end, so that its tasks can start elsewhere.
			h.Wait = 0
		}
	}
	c.emit(h)
}

// hasDoubt reports whether some run of the worker waits for a look at it.
func (c *cell) hasUnconfirmedRuns(w *worker) bool {
	for _, r := range w.runs {
		if r.state == runInDoubt || r.state == runStopping && r.stopConfirmed {
			return true
		}
	}
	return false
}

// holdAnswered takes over what a worker says of its runs.
func (c *cell) holdAnswered(e HoldAnswered) {
	w := c.workers[e.Worker]
	if w == nil || e.Call != w.hold.call || !w.hold.inFlight {
		return
	}
	w.hold.inFlight = false
	if c.handingOver {
		// The next owner reads what the worker lists.
		return
	}
	if e.Fenced {
		c.fenced(w.info.ID)
		return
	}
	if e.Failed || e.OtherLife {
		w.hold.failures++
		w.hold.retryAt = c.now.Add(holdRetryDelay * time.Duration(min(w.hold.failures, 4)))
		return
	}
	if w.info.Born != 0 && e.Born != 0 && e.Born != w.info.Born {
		if e.Born > w.info.Born {
			c.workerRestarted(w, e.Born)
		}
		return
	}
	if w.contacted && e.Clock < w.clock {
		// The answer overtook another one, or the worker has started again
		// without a new Born; its ends would tell.
		return
	}
	first := !w.contacted
	w.hold.failures, w.hold.retryAt, w.hold.lastAnswerAt = 0, 0, c.now
	w.contacted = true
	w.clock, w.clockAt = e.Clock, c.now
	if first {
		w.leaseEnd = max(w.leaseEnd, e.Clock+c.limits.MaxLease.Milliseconds())
	}
	w.acknowledgedEnd = max(w.acknowledgedEnd, w.hold.acknowledgedEnd)
	wasUnknown := w.unknownRuns
	c.handleEnds(w, e.Ended)
	c.handleActiveRuns(w, e)
	c.adjustPace(w, e.Active)
	if first {
		c.logDecision(Decision{Kind: "worker", Outcome: "contacted", Worker: w.info.ID,
			Fields: []Field{{"active", int64(len(e.Active))}, {"ended", int64(len(e.Ended))}, {"generation", c.generation}}})
		c.settleInherited()
	}
	if first || wasUnknown && !w.unknownRuns {
		c.markChanged(w)
	}
	if !w.hold.inFlight && c.needsHold(w) && c.mayHold() {
		c.sendHold(w)
	}
}
