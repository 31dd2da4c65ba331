package scheduler

import "time"

const (
	// fullPace lets a task work without a limit, in percent.
	fullPacePercent = 100
	// paceStep is by how much scavenging tasks may work more after a calm time.
	paceStepPercent = 25
	// paceCalm is how long no serving task of the worker may have been near its
	// target before that. Interference changes within seconds.
	paceRecoveryDelay = 2 * time.Second
	// nearTarget is the part of a target from which scavenging tasks get no more.
	nearTargetRatio = 0.7
	// pacedWait is how long a worker on which both kinds run may take to answer a
	// Hold. Serving tasks may miss their target for 4 s on end.
	mixedHoldWait = 500 * msec
)

// adjustPace holds scavenging tasks back while they keep the serving tasks beside
// them from their latency target, and lets them work more step by step afterwards.
func (c *cell) adjustPace(w *worker, active []ActiveRun) {
	serving, near, over := false, false, false
	var fillers []*run
	for i := range active {
		r := w.runs[runKey{active[i].Task, active[i].Run}]
		if r == nil || r.task == nil || r.state != runActive {
			continue
		}
		step := r.task.stage.step
		if step.Scavenging {
			fillers = append(fillers, r)
		}
		if target := step.LatencyTarget.Milliseconds(); target > 0 {
			serving = true
			over = over || active[i].Usage > target
			near = near || float64(active[i].Usage) > nearTargetRatio*float64(target)
		}
	}
	w.mixedLoad = serving && len(fillers) > 0
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
	for _, r := range fillers {
		if r.throttlePercent != w.throttlePercent && !r.throttlePending && c.mayHold() {
			c.sendPace(r, w.throttlePercent)
		}
	}
}

// sendPace orders a worker to let a run work at a share only.
func (c *cell) sendPace(r *run, heldBack int) {
	w := r.worker
	r.throttlePending = true
	c.emit(PaceTask{
		Worker: w.info.ID, Address: w.info.Address, Task: r.id, Run: r.number, Percent: fullPacePercent - heldBack,
		Token: c.generation, Via: c.agentFor(w),
	})
	c.logDecision(Decision{Kind: "pace", Outcome: "ordered", Job: r.id.Job, Task: r.id.String(), Worker: w.info.ID, Run: r.number,
		Fields: []Field{{"percent", int64(fullPacePercent - heldBack)}}})
}

// paceAnswered continues after the answer to a pace. One that was not carried out
// for sure is ordered again after the next look at the worker.
func (c *cell) paceAnswered(e PaceAnswered) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	if e.Result == OrderFenced {
		c.fenced(w.info.ID)
		return
	}
	r := w.runs[runKey{e.Task, e.Run}]
	if r == nil || !r.throttlePending {
		return
	}
	r.throttlePending = false
	if e.Result == OrderAccepted {
		r.throttlePercent = fullPacePercent - e.Percent
	}
}
