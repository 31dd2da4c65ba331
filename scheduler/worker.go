package scheduler

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxWait is the longest time that a worker may take to answer a Hold.
	maxHoldWait = 2 * time.Second
	// leaseTarget bounds the lease that a worker gets, below which the
	// deployment's own bound applies. An unreachable worker's tasks can be
	// started elsewhere once its lease has ended, and a takeover takes up to
	// 3 s plus one Hold of 2 s.
	workerLeaseTTL = 6 * time.Second
	// holdRetry is the wait before a worker without an answer is asked again.
	holdRetryDelay = 250 * msec
	// extendEvery is how often a worker is asked in any case while it runs tasks.
	activeHoldInterval = 1 * time.Second
	// idleHold is how often a worker without runs is asked, so that its clock
	// is known to within 2% of this time.
	idleHoldInterval = 8 * time.Second
	// vanishedHolds is the number of answers without a started run after which
	// the run counts as lost.
	maxMissingReports = 2
	// maxListedEnds is the number of ends that a worker returns at a time.
	maxReportedEnds = 500
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
	runInDoubt
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
	orderedAt, answeredAt Time
	// unwanted means that the run is to be stopped once its start is answered.
	mustStop       bool
	stopSent       bool
	stopConfirmed  bool
	missingReports int
	checkpoint     string
	// expected is the duration that was expected at the start.
	expectedDuration time.Duration
	// heldBack is the share, in percent, at which the run does not work, pacing
	// means that a change of it is on its way.
	throttlePercent int
	throttlePending bool
}

// worker is a worker as the owner knows it.
type worker struct {
	info WorkerInfo
	// life counts the lives of the worker that this owner has seen.
	incarnation int
	// listed means that the platform's list names the worker.
	listed bool
	// recorded means that the log names the worker, so that a successor knows
	// that runs may be there.
	recorded bool
	// announced means that the record is durable, so that tasks may start there.
	recordDurable bool
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
	earlierRunsEndBy Time
	// noted is the highest end that has been taken into account, durable the
	// highest one whose consequences are in the store.
	notedEnd, durableEnd, acknowledgedEnd int64
	runs                                  map[runKey]*run
	used                                  Resources
	hold                                  holdState
	// agent is the host that makes the calls to the worker, if it is not this one.
	agent  *peer
	health health
	// unknownRuns is set while the worker lists runs whose size is not known.
	unknownRuns bool
	unlistedAt  Time
	// rank is the place in the fleet's order, key what that order is made of.
	fleetIndex int
	sortKey    int64
	// touched means that the worker is in the cell's list of touched ones.
	inNextChanged bool
	// reserved is kept free for gangs.
	reserved Resources
	// mixed means that serving and scavenging tasks run beside each other,
	// heldBack the share at which the latter are not to work since pacedAt.
	mixedLoad       bool
	throttlePercent int
	throttledAt     Time
}

// holdState is the state of the worker's long poll.
type holdState struct {
	call     uint64
	inFlight bool
	sentAt   Time
	// acknowledged is the highest end that the call let the worker forget.
	acknowledgedEnd int64
	// retryAt is when the next call is due after a failure, failures counts
	// the failed ones in a row.
	retryAt      Time
	failures     int
	lastAnswerAt Time
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
	i, _ := slices.BinarySearchFunc(c.workersByID, info.ID, compareWorkerID)
	c.workersByID = slices.Insert(c.workersByID, i, w)
	return w
}

func compareWorkerID(w *worker, id WorkerID) int {
	return strings.Compare(string(w.info.ID), string(id))
}

// removeWorker drops a worker.
func (c *cell) removeWorker(w *worker) {
	delete(c.workers, w.info.ID)
	if i, found := slices.BinarySearchFunc(c.workersByID, w.info.ID, compareWorkerID); found {
		c.workersByID = slices.Delete(c.workersByID, i, i+1)
	}
}

// touch notes that tasks may now fit on a worker on which they did not before.
func (c *cell) markChanged(w *worker) {
	c.dirty = true
	c.noteChanged(w)
}

// noteTouched does so without asking for another pass.
func (c *cell) noteChanged(w *worker) {
	if !w.inNextChanged {
		w.inNextChanged = true
		c.nextChanged = append(c.nextChanged, w)
	}
}

// observeWorker takes over what the platform's list says of a worker.
func (c *cell) observeWorker(info WorkerInfo) {
	w := c.workers[info.ID]
	if w != nil && w.info.Born != 0 && info.Born > w.info.Born {
		c.workerRestarted(w, info.Born)
	}
	wasDraining := w != nil && w.info.Draining
	same := w != nil && w.listed && w.info.samePlacement(&info)
	if w != nil && info.Born < w.info.Born {
		info.Born = w.info.Born
	}
	w = c.addWorker(info)
	w.listed = true
	c.recordWorker(w)
	w.unlistedAt = 0
	if info.Draining && !wasDraining {
		c.logDecision(Decision{Kind: "worker", Outcome: "draining", Worker: info.ID})
	}
	if !same {
		c.markChanged(w)
	}
}

// sameAs reports whether an entry says nothing that matters to placement anew.
func (w *WorkerInfo) samePlacement(o *WorkerInfo) bool {
	return w.Service == o.Service && w.Draining == o.Draining && w.Capacity == o.Capacity && w.Rack == o.Rack &&
		slices.Equal(w.Labels, o.Labels)
}

// workerUnlisted notes that the platform's list names the worker no more. Its
// runs are not known to have ended: the list also loses workers that are cut off.
func (c *cell) workerUnlisted(id WorkerID) {
	if w := c.workers[id]; w != nil && w.listed {
		w.listed = false
		w.unlistedAt = c.now
		c.logDecision(Decision{Kind: "worker", Outcome: "unlisted", Worker: id})
	}
}

// workerRestarted notes that a worker has begun a new life. The runs of the earlier
// one are gone, but a start that was sent since may have reached the new one, so
// the new life's own list decides.
func (c *cell) workerRestarted(w *worker, born int64) {
	c.logDecision(Decision{Kind: "worker", Outcome: "restarted", Worker: w.info.ID,
		Fields: []Field{{"runs", int64(len(w.runs))}, {"born", born}}})
	for _, r := range w.runs {
		r.answeredAt = c.now
		r.missingReports = maxMissingReports - 1
		if r.state == runStopping {
			r.state, r.mustStop = runInDoubt, true
		}
		r.stopSent, r.stopConfirmed = false, false
	}
	w.incarnation++
	w.info.Born = born
	w.info.Draining = false
	w.contacted = false
	w.earlierRunsEndBy = c.now.Add(worstCaseElapsed(c.limits.MaxLease))
	w.clock, w.clockAt, w.leaseEnd = 0, 0, 0
	w.notedEnd, w.durableEnd, w.acknowledgedEnd = 0, 0, 0
	w.unknownRuns = false
	// The answer to a call that was sent to the earlier life is ignored.
	w.hold = holdState{call: w.hold.call}
	w.health.reset()
	c.dirty = true
}

// dropRuns ends the runs of a worker of which it is certain that nothing runs
// there any more.
func (c *cell) markRunsLost(w *worker) {
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
