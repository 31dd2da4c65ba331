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
)

// adjustPace pauses the scavenging tasks of a worker when one of its serving tasks
// exceeds its latency target, and speeds them up stepwise afterwards.
func (c *cell) adjustPace(w *worker, active []ActiveRun) {
	serving, near, over := false, false, false
	var scavenging []*run
	for i := range active {
		r := w.runs[runKey{active[i].Task, active[i].Run}]
		if r == nil || r.task == nil || r.state != runActive {
			continue
		}
		step := r.task.stage.step
		if step.Scavenging {
			scavenging = append(scavenging, r)
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
	for _, r := range scavenging {
		if r.throttlePercent != w.throttlePercent && r.paceCall == 0 && w.hasOrderSlot() && c.mayExtendWorkerLeases() {
			c.sendPace(r, w.throttlePercent)
		}
	}
}

// sendPace orders a worker to throttle a run.
func (c *cell) sendPace(r *run, throttlePercent int) {
	w := r.worker
	r.paceCall = c.order(w, PaceTask{
		Worker: w.info.ID, Address: w.info.Address, Task: r.id, Run: r.number, Percent: fullPacePercent - throttlePercent,
		Token: c.generation, Via: c.agentFor(w),
	})
	c.logDecision(Decision{Kind: "pace", Outcome: "ordered", Job: r.id.Job, Task: r.id.String(), Worker: w.info.ID, Run: r.number,
		Fields: []Field{{"percent", int64(fullPacePercent - throttlePercent)}}})
}

// handlePaceAnswered handles the answer to a PaceTask. One that failed or is in
// doubt is sent again after the worker's next report.
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
	if r == nil || id != r.paceCall {
		return
	}
	r.paceCall = 0
	if e.Result == OrderAccepted {
		r.throttlePercent = fullPacePercent - e.Percent
	}
}
