package scheduler

import (
	"slices"
	"time"
)

// leaseExpired reports whether the worker's lease has certainly expired on the
// worker's own clock, whether or not the calls sent to it arrived.
func (c *cell) leaseExpired(w *worker) bool {
	if !w.contacted {
		return c.now >= max(c.inheritedRunsEndBy, w.earlierRunsEndBy)
	}
	remaining := time.Duration(w.leaseEnd-w.clock) * msec
	return c.now >= w.clockAt.Add(worstCaseElapsed(max(0, remaining)))
}

// minWorkerClock returns a lower bound of the worker's clock.
func (c *cell) minWorkerClock(w *worker) int64 {
	passed := float64(c.now.Sub(w.clockAt)) * (1 - maxClockDrift)
	return w.clock + time.Duration(passed).Milliseconds()
}

// workerLease returns the length of a worker's lease.
func (c *cell) workerLease() time.Duration { return min(c.limits.MaxLease, workerLeaseTTL) }

// grantLease returns the end of a lease that begins now, on the worker's clock,
// and remembers the latest one granted.
func (c *cell) grantLease(w *worker) int64 {
	end := c.minWorkerClock(w) + c.workerLease().Milliseconds()
	w.leaseEnd = max(w.leaseEnd, end)
	return end
}

// sendDueHolds sends the Holds that are due and expires workers whose lease has
// ended.
func (c *cell) sendDueHolds() {
	if !c.mayExtendWorkerLeases() {
		return
	}
	for _, w := range slices.Clone(c.workersByID) {
		c.sendDueHold(w)
	}
}

// sendDueHold sends the Hold of a worker if it is due, or expires the worker if its
// lease has ended.
func (c *cell) sendDueHold(w *worker) {
	if !c.mayExtendWorkerLeases() || c.leaseExpired(w) && c.expireWorker(w) {
		return
	}
	if !w.hold.inFlight && c.now >= w.hold.retryAt && c.needsHold(w) {
		c.sendHold(w)
	}
}

// expireWorker handles a worker whose lease has expired without an answer. It
// reports whether the worker was removed from the cell.
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

// needsHold reports whether a Hold to the worker is due.
func (c *cell) needsHold(w *worker) bool {
	switch {
	case !w.contacted || c.hasUnconfirmedRuns(w):
		return true
	case w.notedEnd > w.durableEnd:
		// The worker would answer at once, and repeat ends that cannot be
		// acknowledged yet.
		return c.now.Sub(w.hold.lastAnswerAt) >= activeHoldInterval
	case len(w.runs) > 0 || w.unknownRuns || w.durableEnd > w.acknowledgedEnd:
		return true
	}
	return w.listed && c.now.Sub(w.hold.lastAnswerAt) >= idleHoldInterval
}

// sendHold polls a worker for its runs and ends, and extends its lease.
func (c *cell) sendHold(w *worker) {
	w.hold.inFlight = true
	w.hold.sentAt = c.now
	h := Hold{
		Worker: w.info.ID, Address: w.info.Address, Token: c.generation, Via: c.agentFor(w),
	}
	if w.contacted && w.hold.failures == 0 && w.durableEnd > w.acknowledgedEnd {
		// After a failed call, the address may belong to a new incarnation of
		// the worker, which would forget ends that have not been read.
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
			// The call may reach the worker even if its answers do not arrive.
			// The lease is not extended, so that it expires and the tasks can
			// start elsewhere.
			h.Wait = 0
		}
	}
	w.hold.call = c.call(h, h.Wait+workerCallTimeout)
}

// hasUnconfirmedRuns reports whether the worker has runs whose state only its
// next report shows.
func (c *cell) hasUnconfirmedRuns(w *worker) bool {
	for _, r := range w.runs {
		if r.state == runInDoubt || r.state == runStopping && r.stopConfirmed {
			return true
		}
	}
	return false
}

// handleHoldAnswered handles a worker's report of its runs and ends.
func (c *cell) handleHoldAnswered(id CallID, e HoldAnswered) {
	w := c.workers[e.Worker]
	if w == nil || id != w.hold.call || !w.hold.inFlight {
		// The call was made to an earlier entry of the worker.
		return
	}
	w.hold.inFlight = false
	if c.handingOver {
		// The next owner reads the worker's report.
		return
	}
	if e.Fenced {
		c.handleFenced(w.info.ID)
		return
	}
	if e.Failed || e.OtherLife {
		w.hold.failures++
		w.hold.retryAt = c.now.Add(holdRetryDelay * time.Duration(min(w.hold.failures, 4)))
		return
	}
	if w.info.Born != 0 && e.Born != 0 && e.Born != w.info.Born {
		if e.Born > w.info.Born {
			c.handleWorkerRestart(w, e.Born)
		}
		return
	}
	if w.contacted && e.Clock < w.clock {
		// Another answer overtook this one, or the worker has restarted
		// without a new Born, in which case its ends show it.
		return
	}
	firstContact := !w.contacted
	w.hold.failures, w.hold.retryAt, w.hold.lastAnswerAt = 0, 0, c.now
	w.contacted = true
	w.clock, w.clockAt = e.Clock, c.now
	if firstContact {
		w.leaseEnd = max(w.leaseEnd, e.Clock+c.limits.MaxLease.Milliseconds())
	}
	w.acknowledgedEnd = max(w.acknowledgedEnd, w.hold.acknowledgedEnd)
	hadUnknownRuns := w.unknownRuns
	c.handleEnds(w, e.Ended)
	c.handleActiveRuns(w, e)
	c.adjustPace(w, e.Active)
	if firstContact {
		c.logDecision(Decision{Kind: "worker", Outcome: "contacted", Worker: w.info.ID,
			Fields: []Field{{"active", int64(len(e.Active))}, {"ended", int64(len(e.Ended))}, {"generation", c.generation}}})
		c.settleInherited()
	}
	if firstContact || hadUnknownRuns && !w.unknownRuns {
		c.markChanged(w)
	}
	if !w.hold.inFlight && c.needsHold(w) && c.mayExtendWorkerLeases() {
		c.sendHold(w)
	}
}
