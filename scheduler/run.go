package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// stopRetryDelay is the delay before a failed stop order is repeated.
	stopRetryDelay = 300 * msec
	// maxClockRegressionMS is by how much a worker's clock may seem to go back
	// because answers on several connections overtake each other. A larger step
	// means that the worker has restarted.
	maxClockRegressionMS = 1500
)

func compareRuns(a TaskID, runA int64, b TaskID, runB int64) int {
	return cmp.Or(strings.Compare(string(a.Job), string(b.Job)), cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index), cmp.Compare(runA, runB))
}

// planStart assigns a task to a worker. The order is sent once the start is in
// the log, so that the next owner knows every run that may exist.
func (c *cell) planStart(t *task, w *worker, number int64, ticket string) {
	r := c.createRun(t, w, number)
	// The lease of an idle worker has expired. Without a new lease end, the
	// worker would be expired together with the run before its order is sent.
	c.grantLease(w)
	s := t.stage
	c.pendingStarts = append(c.pendingStarts, StartRecord{s.occ.index, s.index, t.index, number, w.info.ID})
	incarnation := w.incarnation
	c.pendingOrders = append(c.pendingOrders, plannedOrder{w, func() {
		if w.runs[runKey{r.id, r.number}] != r || r.state != runPlanned {
			return
		}
		if !c.mayStart() || w.incarnation != incarnation || !w.contacted || w.info.Draining || r.mustStop || s.job.isEnding() {
			c.handleStartRefused(r, OrderInvalid)
			return
		}
		r.state = runStarting
		r.orderedAt = c.now
		c.sendStart(r, ticket)
	}})
}

// plannedOrder sends the order of a start to a worker once the start is durable.
type plannedOrder struct {
	worker *worker
	send   func()
}

// recordStarts logs the starts of a job that were planned since the last call,
// and sends their orders once the record is durable.
func (c *cell) recordStarts(j *job) {
	if len(c.pendingStarts) == 0 {
		return
	}
	for starts := range slices.Chunk(c.pendingStarts, maxRunsPerRecord) {
		c.record(Record{Job: j.id, Starts: starts}, true)
	}
	orders := c.pendingOrders
	c.pendingStarts, c.pendingOrders = nil, nil
	c.whenDurable(func() {
		for _, o := range orders {
			c.whenOrderSlot(o.worker, o.send)
		}
	})
}

// createRun creates a run and counts it against the worker's capacity.
func (c *cell) createRun(t *task, w *worker, number int64) *run {
	s := t.stage
	r := &run{
		task: t, id: t.id(), number: number, worker: w, charge: s.step.charge(),
		state: runPlanned, orderedAt: c.now, expectedDuration: c.expectedDuration(s), pace: runPace{confirmed: true},
	}
	if t.run == nil {
		t.run = r
	} else {
		t.speculativeRun = r
	}
	if t.state == taskWaiting {
		t.state = taskAssigned
		s.waiting--
	}
	t.lastRun = max(t.lastRun, number)
	c.addRun(w, r)
	s.countRun(w, 1)
	c.freeCPU -= r.charge.MilliCPU
	return r
}

// addRun counts a run against the capacity of its worker and the memory of the host.
func (c *cell) addRun(w *worker, r *run) {
	w.runs[runKey{r.id, r.number}] = r
	w.used.add(r.charge)
	if r.isLongRunning() {
		w.longRunning.add(r.charge)
	}
	c.chargedBytes += runBytes
}

// isLongRunning reports whether the run is of a task that runs until its job is cancelled.
func (r *run) isLongRunning() bool { return r.task != nil && r.task.stage.step.LongRunning }

// sendStart sends the start order of a run.
func (c *cell) sendStart(r *run, ticket string) {
	w, t := r.worker, r.task
	c.order(w, StartTask{
		Worker: w.info.ID, Address: w.info.Address, Task: r.id, Run: r.number, Payload: t.stage.job.spec.Payload,
		Deadline: c.grantLease(w), Token: c.generation, Checkpoint: t.checkpoint, Ticket: ticket,
		Via: c.agentFor(w),
	})
	c.logDecision(Decision{Kind: "start", Outcome: "ordered", Job: r.id.Job, Task: r.id.String(), Worker: w.info.ID,
		Run: r.number, Queue: t.stage.job.queue, Fields: []Field{
			{"waited_ms", c.now.Sub(t.stage.readyAt).Milliseconds()},
			{"slack_ms", t.stage.latestStart.Sub(c.now).Milliseconds()},
			{"clock_age_ms", c.now.Sub(w.clockAt).Milliseconds()},
			{"free_cpu", w.info.Capacity.MilliCPU - w.used.MilliCPU},
		}})
}

// handleStartAnswered handles the answer to a start order.
func (c *cell) handleStartAnswered(e StartAnswered) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{e.Task, e.Run}]
	if r == nil || r.state != runStarting {
		return
	}
	if e.Result != OrderAccepted {
		c.logDecision(Decision{Kind: "start", Outcome: e.Result.String(), Job: e.Task.Job, Task: e.Task.String(),
			Worker: e.Worker, Run: e.Run, Fields: []Field{{"took_ms", c.now.Sub(r.orderedAt).Milliseconds()}}})
		c.dirty = true
	}
	switch e.Result {
	case OrderAccepted:
		if w.contacted && e.Clock != 0 && e.Clock+maxClockRegressionMS < w.clock {
			// A worker's clock starts again with each incarnation.
			c.handleWorkerRestart(w, w.info.Born)
		}
		r.answeredAt = c.now
		c.noteStarted(r.task.stage.job)
		c.handleRunConfirmed(r)
	case OrderInDoubt:
		r.state = runInDoubt
		r.answeredAt = c.now
		w.health.noteNoAnswer(c.now)
		c.requestHold(w)
	case OrderFenced:
		c.handleFenced(w.info.ID)
	case OrderStaleRun:
		// The worker knows this run or a later one. Its next report shows which.
		r.state = runInDoubt
		r.answeredAt = c.now
		c.requestHold(w)
	default:
		c.handleStartRefused(r, e.Result)
	}
}

// handleStartRefused handles a start order that certainly had no effect.
func (c *cell) handleStartRefused(r *run, result OrderResult) {
	w := r.worker
	switch result {
	case OrderInvalidTicket:
		r.task.stage.advice.dropTicket(w)
	case OrderNoCapacity, OrderLeaseExpired:
		c.requestHold(w)
	case OrderUnhealthy, OrderNotSent:
		w.health.noteNoAnswer(c.now)
	case OrderOtherIncarnation:
		c.requestHold(w)
	}
	c.releaseRun(r)
	c.requeueTask(r)
}

// requestHold sends a Hold at once, or as soon as the one in flight is answered.
func (c *cell) requestHold(w *worker) {
	w.hold.retryAt = 0
	if !w.hold.inFlight && c.mayExtendWorkerLeases() {
		c.sendHold(w)
	}
}

// handleRunConfirmed handles a worker's confirmation that it has a run.
func (c *cell) handleRunConfirmed(r *run) {
	if r.state == runStarting || r.state == runInDoubt || r.state == runInherited {
		r.state = runActive
		if r.answeredAt == 0 {
			r.answeredAt = c.now
		}
	}
	if !r.worker.hold.inFlight && c.mayExtendWorkerLeases() && c.needsHold(r.worker) && c.now >= r.worker.hold.retryAt {
		c.sendHold(r.worker)
	}
	if r.mustStop || r.task == nil || r.task.stage.job.isEnding() {
		c.stopRun(r)
	}
}

// stopRun stops a run. Its resources stay charged until the worker reports that
// it has ended.
func (c *cell) stopRun(r *run) {
	r.mustStop = true
	if r.state == runPlanned || r.state == runStarting || r.state == runStopping || r.stopSent {
		// A stop before the answer to the start could overtake the start.
		return
	}
	r.state = runStopping
	c.sendStop(r)
}

// sendStop sends the stop order of a run, once.
func (c *cell) sendStop(r *run) {
	if r.stopQueued {
		return
	}
	r.stopQueued = true
	c.whenOrderSlot(r.worker, func() {
		r.stopQueued = false
		if !r.stopSent && r.worker.runs[runKey{r.id, r.number}] == r && c.mayExtendWorkerLeases() {
			c.sendStopNow(r)
		}
	})
}

func (c *cell) sendStopNow(r *run) {
	r.stopSent = true
	w := r.worker
	r.stopCall = c.order(w, StopTask{
		Worker: w.info.ID, Address: w.info.Address, Task: r.id, Run: r.number, Token: c.generation, Via: c.agentFor(w),
	})
	c.logDecision(Decision{Kind: "stop", Outcome: "ordered", Job: r.id.Job, Task: r.id.String(), Worker: w.info.ID, Run: r.number,
		Fields: []Field{{"in_doubt", boolField(r.state == runInDoubt)}}})
}

func boolField(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// handleStopAnswered handles the answer to a stop order.
func (c *cell) handleStopAnswered(id CallID, e StopAnswered) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{e.Task, e.Run}]
	if r == nil || id != r.stopCall {
		// The order went to an earlier incarnation of the worker.
		return
	}
	r.stopCall = 0
	switch e.Result {
	case OrderAccepted, OrderStaleRun:
		r.stopConfirmed = true
		r.answeredAt = c.now
		c.requestHold(w)
	case OrderFenced:
		c.handleFenced(w.info.ID)
	default:
		r.stopSent = false
		c.after(stopRetryDelay, func() {
			if w.runs[runKey{r.id, r.number}] == r && (r.state == runStopping || r.state == runInDoubt) {
				c.sendStop(r)
			}
		})
	}
}

// releaseRun removes a run from its worker and frees its resources.
func (c *cell) releaseRun(r *run) {
	if r.worker.runs[runKey{r.id, r.number}] != r {
		return
	}
	delete(r.worker.runs, runKey{r.id, r.number})
	r.worker.used.sub(r.charge)
	if r.isLongRunning() {
		r.worker.longRunning.sub(r.charge)
	}
	c.chargedBytes -= runBytes
	if r.task != nil {
		r.task.stage.countRun(r.worker, -1)
	}
	c.markChanged(r.worker)
}

// handleRunEnd handles the end of a run that the owner tracks.
func (c *cell) handleRunEnd(r *run, kind EndKind, checkpoint string) {
	c.releaseRun(r)
	t := r.task
	if t == nil {
		return
	}
	if kind == EndLost && r.state == runInDoubt {
		// The start had no effect, so there is no end to record.
		c.requeueTask(r)
		return
	}
	c.updateStats(r, kind)
	if kind == EndLost && checkpoint == "" {
		checkpoint = r.checkpoint
	}
	t.detachRun(r)
	c.taskEnded(t, r.number, kind, checkpoint, r.worker)
	c.requeueTask(r)
}

// detachRun removes a run from its task. The speculative run, if there is one, takes
// the place of the main run.
func (t *task) detachRun(r *run) {
	if t.run == r {
		t.run, t.speculativeRun = t.speculativeRun, nil
	} else if t.speculativeRun == r {
		t.speculativeRun = nil
	}
}

// requeueTask detaches a run from its task, which waits again if it is not done
// and has no other run.
func (c *cell) requeueTask(r *run) {
	t := r.task
	if t == nil {
		return
	}
	t.detachRun(r)
	if t.state == taskAssigned && t.run == nil {
		t.state = taskWaiting
		t.stage.waiting++
		if t.stage.step.Gang {
			c.stopGangRun(t.stage, r)
		}
		c.enqueue(t.stage)
	}
}

// stopGangRun stops the other members of a gang's run, which cannot end without
// the one that has ended. The gang restarts under a higher run number.
func (c *cell) stopGangRun(s *stage, r *run) {
	for _, t := range s.tasks {
		if t.run != nil && t.run.number == r.number {
			c.stopRun(t.run)
		}
	}
}

// duration returns how long a run has been active.
func (r *run) duration(now Time) time.Duration { return now.Sub(r.answeredAt) }
