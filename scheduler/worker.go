package scheduler

import (
	"slices"
	"time"
)

const (
	// maxWait is the longest time that a worker may take to answer a Hold.
	maxWait = 2 * time.Second
	// leaseTarget bounds the lease that a worker gets, below which the
	// deployment's own bound applies. An unreachable worker's tasks can be
	// started elsewhere once its lease has ended, and a takeover takes up to
	// 3 s plus one Hold of 2 s.
	leaseTarget = 6 * time.Second
	// holdRetry is the wait before a worker without an answer is asked again.
	holdRetry = 250 * msec
	// extendEvery is how often a worker is asked in any case while it runs tasks.
	extendEvery = 1 * time.Second
	// idleHold is how often a worker without runs is asked, so that its clock
	// is known to within 2% of this time.
	idleHold = 8 * time.Second
	// vanishedHolds is the number of answers without a started run after which
	// the run counts as lost.
	vanishedHolds = 2
	// maxListedEnds is the number of ends that a worker returns at a time.
	maxListedEnds = 500
)

// runState is the state of a run.
type runState uint8

const (
	// runStarting means that the order to start has not been answered.
	runStarting runState = iota
	// runPlanned means that the start is being written to the log.
	runPlanned
	// runInherited means that an earlier owner may have ordered the run.
	runInherited
	runActive
	// runDoubted means that nobody knows whether the order has arrived.
	runDoubted
	// runStopping means that the run has been told to stop.
	runStopping
)

// run is one start of a task on a worker. It is counted against the worker's
// capacity until the worker itself has shown that it is gone.
type run struct {
	task   *task
	id     TaskID
	number int64
	worker *worker
	state  runState
	// charge is what the run takes of the worker's capacity.
	charge Resources
	// ordered is when the start was sent, settled when its answer came or, for
	// a run that is being stopped, the answer to the stop.
	ordered, settled Time
	// firstSeen is when the worker listed the run first.
	firstSeen Time
	// unwanted means that the run is to be stopped once its start is answered.
	unwanted   bool
	stopSent   bool
	stopDone   bool
	missing    int
	percent    int
	progressAt Time
	checkpoint string
	// expected is the duration that was expected at the start.
	expected time.Duration
	// usage is the worker's last figure of the run's use.
	usage int64
	// pace is the share at which the run works.
	pace     int
	paceSent bool
	// overSince is when the run began to exceed its latency target.
	overSince Time
}

// worker is a worker as the owner knows it.
type worker struct {
	info WorkerInfo
	// life counts the lives of the worker that this owner has seen.
	life int
	// listed means that the platform's list names the worker.
	listed bool
	// recorded means that the log names the worker, so that a successor knows
	// that runs may be there.
	recorded bool
	// announced means that the record is durable, so that tasks may start there.
	announced bool
	// contacted means that the worker has answered under this owner's token,
	// since when it obeys no earlier owner.
	contacted bool
	// clock is the worker's clock at clockAt.
	clock   int64
	clockAt Time
	// leaseEnd is the highest end of its lease that was ever sent, on the
	// worker's clock.
	leaseEnd int64
	// deadBy is when nothing can run any more that was ordered before the
	// worker's present life was known.
	deadBy Time
	// noted is the highest end that has been taken into account, durable the
	// highest one whose consequences are in the store.
	noted, durable, acknowledged int64
	runs                         map[runKey]*run
	used                         Resources
	hold                         holdState
	// agent is the host that makes the calls to the worker, if it is not this one.
	agent  *adviser
	health health
	// leavesAt is when a draining worker may exit.
	leavesAt Time
	drained  bool
	// unknownRuns is set while the worker lists runs whose size is not known.
	unknownRuns bool
	removedAt   Time
}

// holdState is the state of the worker's long poll.
type holdState struct {
	call     uint64
	inFlight bool
	sent     Time
	leaseEnd int64
	// acknowledged is the highest end that the call let the worker forget.
	acknowledged int64
	// retryAt is when the next call is due after a failure, failures counts
	// the failed ones in a row.
	retryAt  Time
	failures int
	lastOK   Time
}

type runKey struct {
	task TaskID
	run  int64
}

// addWorker returns the worker with this life, new if it is not known.
func (c *cell) addWorker(info WorkerInfo) *worker {
	if w := c.workers[info.ID]; w != nil {
		w.info = info
		return w
	}
	w := &worker{info: info, runs: map[runKey]*run{}}
	w.health.reset()
	c.workers[info.ID] = w
	return w
}

// workerOrder returns the ids of all workers in a fixed order.
func (c *cell) workerOrder() []WorkerID {
	ids := make([]WorkerID, 0, len(c.workers))
	for id := range c.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// observeWorker takes over what the platform's list says of a worker.
func (c *cell) observeWorker(info WorkerInfo) {
	w := c.workers[info.ID]
	if w != nil && w.info.Born != 0 && info.Born > w.info.Born {
		c.workerRestarted(w, info.Born)
	}
	wasDraining := w != nil && w.info.Draining
	if w != nil && info.Born < w.info.Born {
		info.Born = w.info.Born
	}
	w = c.addWorker(info)
	w.listed = true
	c.recordWorker(w)
	w.removedAt = 0
	if info.Draining && !wasDraining {
		c.decide(Decision{Kind: "worker", Outcome: "draining", Worker: info.ID})
	}
	c.dirty = true
}

// workerUnlisted notes that the platform's list names the worker no more. Its
// runs are not known to have ended: the list also loses workers that are cut off.
func (c *cell) workerUnlisted(id WorkerID) {
	if w := c.workers[id]; w != nil && w.listed {
		w.listed = false
		w.removedAt = c.now
		c.decide(Decision{Kind: "worker", Outcome: "unlisted", Worker: id})
	}
}

// workerRestarted notes that a worker has begun a new life. The runs of the earlier
// one are gone, but a start that was sent since may have reached the new one, so
// the new life's own list decides.
func (c *cell) workerRestarted(w *worker, born int64) {
	c.decide(Decision{Kind: "worker", Outcome: "restarted", Worker: w.info.ID,
		Fields: []Field{{"runs", int64(len(w.runs))}, {"born", born}}})
	for _, r := range w.runs {
		r.settled = c.now
		r.missing = vanishedHolds - 1
		if r.state == runStopping {
			r.state, r.unwanted = runDoubted, true
		}
		r.stopSent, r.stopDone = false, false
	}
	w.life++
	w.info.Born = born
	w.info.Draining = false
	w.contacted = false
	w.deadBy = c.now.Add(worstCase(c.limits.MaxLease))
	w.clock, w.clockAt, w.leaseEnd = 0, 0, 0
	w.noted, w.durable, w.acknowledged = 0, 0, 0
	w.leavesAt, w.drained, w.unknownRuns = 0, false, false
	// The answer to a call that was sent to the earlier life is ignored.
	w.hold = holdState{call: w.hold.call}
	w.health.reset()
	c.dirty = true
}

// dropRuns ends the runs of a worker of which it is certain that nothing runs
// there any more.
func (c *cell) dropRuns(w *worker) {
	for _, r := range w.sortedRuns() {
		c.runEnded(r, EndLost, r.checkpoint)
	}
}

// sortedRuns returns the worker's runs in a fixed order.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareRuns(a.id, a.number, b.id, b.number) })
	return runs
}

// surelyLapsed reports whether the worker's lease has ended on its own clock,
// whatever happened to the calls sent to it.
func (c *cell) surelyLapsed(w *worker) bool {
	if !w.contacted {
		return c.now >= max(c.inheritedDead, w.deadBy)
	}
	left := time.Duration(w.leaseEnd-w.clock) * msec
	return c.now >= w.clockAt.Add(worstCase(max(0, left)))
}

// workerClock estimates the worker's clock from below.
func (c *cell) workerClock(w *worker) int64 {
	passed := float64(c.now.Sub(w.clockAt)) * (1 - clockSlowness)
	return w.clock + time.Duration(passed).Milliseconds()
}

// lease returns the length of a worker's lease.
func (c *cell) lease() time.Duration { return min(c.limits.MaxLease, leaseTarget) }

// nextLeaseEnd returns the end of a lease that begins now, and notes it.
func (c *cell) nextLeaseEnd(w *worker) int64 {
	end := c.workerClock(w) + c.lease().Milliseconds()
	w.leaseEnd = max(w.leaseEnd, end)
	return end
}

// holdWorkers sends the holds that are due and gives up workers that are gone.
func (c *cell) holdWorkers() {
	if !c.mayHold() {
		return
	}
	for _, id := range c.workerOrder() {
		w := c.workers[id]
		if c.surelyLapsed(w) && c.giveUp(w) {
			continue
		}
		if !w.hold.inFlight && c.now >= w.hold.retryAt && c.needsHold(w) {
			c.sendHold(w)
		}
	}
}

// giveUp handles a worker whose lease has ended without an answer. It reports
// whether the worker is forgotten.
func (c *cell) giveUp(w *worker) bool {
	if len(w.runs) > 0 {
		c.decide(Decision{Kind: "worker", Outcome: "lease_lapsed", Worker: w.info.ID,
			Fields: []Field{{"runs", int64(len(w.runs))}, {"silent_ms", c.now.Sub(w.clockAt).Milliseconds()}}})
		c.dropRuns(w)
	}
	if !w.contacted && !w.listed || !w.listed && w.removedAt != 0 {
		if w.recorded {
			c.record(Record{WorkerGone: w.info.ID}, false)
		}
		delete(c.workers, w.info.ID)
		c.dirty = true
		return true
	}
	w.contacted = w.contacted && w.hold.failures == 0
	return false
}

// needsHold reports whether the worker has to be asked now.
func (c *cell) needsHold(w *worker) bool {
	switch {
	case !w.contacted || c.hasDoubt(w):
		return true
	case w.noted > w.durable:
		// The worker would answer at once with ends that may not be
		// acknowledged yet.
		return c.now.Sub(w.hold.lastOK) >= extendEvery
	case len(w.runs) > 0 || w.unknownRuns || w.durable > w.acknowledged:
		return true
	}
	return w.listed && c.now.Sub(w.hold.lastOK) >= idleHold
}

// sendHold asks a worker for its runs and extends its lease.
func (c *cell) sendHold(w *worker) {
	w.hold.call++
	w.hold.inFlight = true
	w.hold.sent = c.now
	h := Hold{
		Worker: w.info.ID, Address: w.info.Address, Call: w.hold.call,
		Token: c.generation, Via: c.agentFor(w),
	}
	if w.contacted && w.hold.failures == 0 && w.durable > w.acknowledged {
		// After a call without an answer the address may belong to a new life
		// of the worker, which would forget ends that nobody has read.
		h.Acknowledged = w.durable
		w.hold.acknowledged = w.durable
	}
	if w.contacted {
		h.Wait = maxWait
		if w.noted > w.durable || c.hasDoubt(w) {
			h.Wait = 0
		}
		switch {
		case len(w.runs) == 0:
			h.Wait = 0
		case w.hold.failures == 0:
			h.Deadline = c.nextLeaseEnd(w)
		default:
			// A worker that does not answer may still get the call. Its lease
			// is left to end, so that its tasks can start elsewhere.
			h.Wait = 0
		}
	}
	w.hold.leaseEnd = h.Deadline
	c.emit(h)
}

// hasDoubt reports whether some run of the worker waits for a look at it.
func (c *cell) hasDoubt(w *worker) bool {
	for _, r := range w.runs {
		if r.state == runDoubted || r.state == runStopping && r.stopDone {
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
		w.hold.retryAt = c.now.Add(holdRetry * time.Duration(min(w.hold.failures, 4)))
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
	w.hold.failures, w.hold.retryAt, w.hold.lastOK = 0, 0, c.now
	w.contacted = true
	w.clock, w.clockAt = e.Clock, c.now
	if first {
		w.leaseEnd = max(w.leaseEnd, e.Clock+c.limits.MaxLease.Milliseconds())
	}
	w.acknowledged = max(w.acknowledged, w.hold.acknowledged)
	if e.Remaining > 0 {
		w.leavesAt = c.now.Add(e.Remaining)
	}
	c.takeEnds(w, e.Ended)
	c.takeActive(w, e)
	if first {
		c.decide(Decision{Kind: "worker", Outcome: "contacted", Worker: w.info.ID,
			Fields: []Field{{"active", int64(len(e.Active))}, {"ended", int64(len(e.Ended))}, {"generation", c.generation}}})
		c.settleInherited()
		c.dirty = true
	}
	if !w.hold.inFlight && c.needsHold(w) && c.mayHold() {
		c.sendHold(w)
	}
}

// takeEnds handles the ends that are new, in their order.
func (c *cell) takeEnds(w *worker, ends []RunEnd) {
	slices.SortFunc(ends, func(a, b RunEnd) int { return int(a.Number - b.Number) })
	changed := false
	for _, e := range ends {
		if e.Number <= w.noted {
			continue
		}
		w.noted = e.Number
		changed = true
		c.endListed(w, e)
	}
	if changed {
		id, life, noted := w.info.ID, w.life, w.noted
		c.whenDurable(func() {
			w := c.workers[id]
			if w == nil || w.life != life {
				return
			}
			w.durable = max(w.durable, noted)
			if !w.hold.inFlight && c.now >= w.hold.retryAt && c.mayHold() && c.needsHold(w) {
				c.sendHold(w)
			}
		})
	}
}

// endListed handles one end.
func (c *cell) endListed(w *worker, e RunEnd) {
	if r := w.runs[runKey{e.Task, e.Run}]; r != nil {
		c.runEnded(r, e.Kind, e.Checkpoint)
		return
	}
	t := c.find(e.Task)
	if t == nil {
		return
	}
	// A run of an earlier owner that had ended when this owner first asked.
	c.taskEnded(t, e.Run, e.Kind, e.Checkpoint, w)
}

// takeActive compares the runs that the worker lists with those it should have.
func (c *cell) takeActive(w *worker, e HoldAnswered) {
	listed := make(map[runKey]bool, len(e.Active))
	w.unknownRuns = false
	for i := range e.Active {
		a := &e.Active[i]
		key := runKey{a.Task, a.Run}
		listed[key] = true
		r := w.runs[key]
		if r == nil {
			if r = c.adopt(w, a); r == nil {
				continue
			}
		}
		c.observeRun(r, a)
	}
	if len(e.Ended) >= maxListedEnds {
		return
	}
	for _, r := range w.sortedRuns() {
		if !listed[runKey{r.id, r.number}] {
			c.runMissing(r)
		}
	}
}

// adopt takes over a run that this owner did not start.
func (c *cell) adopt(w *worker, a *ActiveRun) *run {
	t := c.find(a.Task)
	r := &run{id: a.Task, number: a.Run, worker: w, state: runActive, ordered: c.now, settled: c.now, pace: 100}
	if t == nil {
		// Its size is unknown, so the worker gets no further work until the
		// run is gone.
		r.state = runStopping
		w.runs[runKey{r.id, r.number}] = r
		w.unknownRuns = true
		c.sendStop(r)
		return nil
	}
	r.task = t
	r.charge = t.stage.step.charge()
	w.runs[runKey{r.id, r.number}] = r
	w.used.add(r.charge)
	t.lastRun = max(t.lastRun, a.Run)
	t.stage.job.begun = true
	if t.stage.step.Gang {
		t.stage.gangRun = max(t.stage.gangRun, a.Run)
	}
	if t.state != taskWaiting || t.stage.job.ending() {
		c.stopRun(r)
		return r
	}
	t.state = taskAssigned
	t.stage.waiting--
	t.run = r
	r.expected = c.expectedDuration(t.stage)
	return r
}

// observeRun notes what the worker says of a run.
func (c *cell) observeRun(r *run, a *ActiveRun) {
	r.missing = 0
	r.usage = a.Usage
	if r.firstSeen == 0 {
		r.firstSeen, r.progressAt = c.now, c.now
	}
	if a.Percent != r.percent {
		r.percent, r.progressAt = a.Percent, c.now
	}
	if a.Checkpoint != "" && a.Checkpoint != r.checkpoint {
		r.checkpoint = a.Checkpoint
	}
	if r.state == runDoubted || r.state == runStarting || r.state == runInherited {
		c.runConfirmed(r)
	}
	if r.state == runStopping && !r.stopSent {
		c.sendStop(r)
	}
}

// runMissing handles a run that the worker does not list.
func (c *cell) runMissing(r *run) {
	if r.state == runPlanned || r.state == runStarting {
		return
	}
	if r.state == runInherited {
		// The worker obeys this owner since it has answered, so an order of an
		// earlier one has no effect any more.
		c.runEnded(r, EndLost, "")
		return
	}
	if r.worker.hold.sent <= r.settled {
		return
	}
	switch {
	case r.state == runDoubted && !r.stopSent:
		// The start may still arrive. A stop forbids it.
		c.sendStop(r)
	case r.state == runDoubted:
		if r.stopDone {
			c.runEnded(r, EndLost, "")
		}
	case r.state == runStopping && !r.stopDone:
	default:
		r.missing++
		if r.missing >= vanishedHolds || r.state == runStopping {
			c.runEnded(r, EndLost, "")
		}
	}
}
