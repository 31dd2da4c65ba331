package scheduler

import "time"

const (
	// fullPacePercent is the pace of a task that is not throttled.
	fullPacePercent = 100
	// paceStepPercent is the decrease of throttling after each paceRecoveryDelay.
	paceStepPercent = 25
	// paceRecoveryDelay is how long all serving tasks of a worker must stay below
	// nearTargetRatio before its scavenging tasks are throttled less. Interference
	// changes within seconds.
	paceRecoveryDelay = 2 * time.Second
	// nearTargetRatio is the ratio of latency to target above which scavenging
	// tasks are not sped up.
	nearTargetRatio = 0.7
	// mixedHoldWait is the longest time for which a worker with both kinds of
	// tasks may delay its answer to a Hold. Serving tasks may miss their target
	// for at most 4 s in a row.
	mixedHoldWait = 500 * msec
	// paceRepeatInterval is the interval between repeated orders of a pace. It covers
	// the 100 ms after which an order takes effect, and the half second that a worker's
	// figures describe.
	paceRepeatInterval = 1 * time.Second
	// lateOrderWindow is how long a pace is repeated after an order in doubt. Workers
	// carry out orders that they have not answered up to 12 s late.
	lateOrderWindow = 15 * time.Second
)

// runPace is what the owner knows of the pace of a run.
//
// Invariant: a pace is certain only after an accepted answer, and only while no order in
// doubt can be carried out after it. An uncertain pace is ordered again.
type runPace struct {
	// throttlePercent is the throttling that was ordered last: 0 is full speed, 100 is
	// paused.
	throttlePercent int
	// confirmed means that the worker has accepted that order, or that the run started
	// at full speed and no order was sent.
	confirmed bool
	// call is the PaceTask that is in flight, or 0. orderedAt is when the last one was
	// sent.
	call      CallID
	orderedAt Time
	// lateUntil is the time until which an order in doubt may be carried out.
	lateUntil Time
}

// needsOrder reports whether the throttling of a run has to be ordered. disturbs means
// that the run works while a serving task beside it is over its target.
func (p *runPace) needsOrder(throttlePercent int, disturbs bool, now Time) bool {
	switch {
	case p.call != 0:
		return false
	case !p.confirmed || p.throttlePercent != throttlePercent:
		return true
	case now.Sub(p.orderedAt) < paceRepeatInterval:
		return false
	}
	return now < p.lateUntil || disturbs && throttlePercent == fullPacePercent
}

// adjustPace pauses the scavenging tasks of a worker when one of its serving tasks
// exceeds its latency target, and speeds them up stepwise afterwards.
func (c *cell) adjustPace(w *worker, active []ActiveRun) {
	serving, near, over := false, false, false
	var scavenging []pacedRun
	for i := range active {
		r := w.runs[runKey{active[i].Task, active[i].Run}]
		if r == nil || r.task == nil || r.state != runActive {
			continue
		}
		step := r.task.stage.step
		if step.Scavenging {
			scavenging = append(scavenging, pacedRun{r, active[i].Usage > 0})
		}
		if target := step.LatencyTarget.Milliseconds(); target > 0 {
			serving = true
			over = over || active[i].Usage > target
			near = near || float64(active[i].Usage) > nearTargetRatio*float64(target)
		}
	}
	w.mixedLoad = serving && len(scavenging) > 0
	switch {
	case !w.mixedLoad:
		w.throttlePercent = 0
	case over:
		w.throttlePercent, w.throttledAt = fullPacePercent, c.now
	case near:
		w.throttledAt = c.now
	case w.throttlePercent > 0 && c.now.Sub(w.throttledAt) >= paceRecoveryDelay:
		w.throttlePercent, w.throttledAt = max(0, w.throttlePercent-paceStepPercent), c.now
	}
	for _, s := range scavenging {
		// A pause that has arrived leaves no CPU in use.
		if s.run.pace.needsOrder(w.throttlePercent, over && s.usesCPU, c.now) && w.hasOrderSlot() && c.mayExtendWorkerLeases() {
			c.sendPace(s.run, w.throttlePercent)
		}
	}
}

// pacedRun is a scavenging run in a worker's report.
type pacedRun struct {
	run     *run
	usesCPU bool
}

// sendPace orders a worker to throttle a run.
func (c *cell) sendPace(r *run, throttlePercent int) {
	w := r.worker
	c.logDecision(Decision{Kind: "pace", Outcome: "ordered", Job: r.id.Job, Task: r.id.String(), Worker: w.info.ID, Run: r.number,
		Fields: []Field{{"percent", int64(fullPacePercent - throttlePercent)}, {"percent_before", int64(fullPacePercent - r.pace.throttlePercent)},
			{"confirmed", boolField(r.pace.confirmed)}, {"order_in_doubt", boolField(c.now < r.pace.lateUntil)}}})
	r.pace.throttlePercent, r.pace.confirmed, r.pace.orderedAt = throttlePercent, false, c.now
	r.pace.call = c.order(w, PaceTask{
		Worker: w.info.ID, Address: w.info.Address, Task: r.id, Run: r.number, Percent: fullPacePercent - throttlePercent,
		Token: c.generation, Via: c.agentFor(w),
	})
}

// handlePaceAnswered handles the answer to a PaceTask. One that failed or is in doubt is
// sent again after the worker's next report.
func (c *cell) handlePaceAnswered(id CallID, e PaceAnswered) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	if e.Result == OrderFenced {
		c.handleFenced(w.info.ID)
		return
	}
	r := w.runs[runKey{e.Task, e.Run}]
	if r == nil || id != r.pace.call {
		return
	}
	r.pace.call = 0
	r.pace.confirmed = e.Result == OrderAccepted
	if r.pace.confirmed {
		return
	}
	if e.Result == OrderInDoubt {
		r.pace.lateUntil = r.pace.orderedAt.Add(lateOrderWindow)
	}
	c.logDecision(Decision{Kind: "pace", Outcome: e.Result.String(), Job: e.Task.Job, Task: e.Task.String(), Worker: e.Worker, Run: e.Run,
		Fields: []Field{{"percent", int64(e.Percent)}, {"took_ms", c.now.Sub(r.pace.orderedAt).Milliseconds()}}})
}
