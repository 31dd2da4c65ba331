package scheduler

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxHoldWait is the longest time for which a worker may delay its answer to
	// a Hold.
	maxHoldWait = 2 * time.Second
	// workerLeaseTTL is the length of a worker's lease unless the deployment
	// sets a lower limit. The tasks of an unreachable worker can start elsewhere
	// once its lease has expired, so it is short; it must outlast a takeover,
	// which takes up to 3 s plus one Hold of 2 s.
	workerLeaseTTL = 6 * time.Second
	// holdRetryDelay is the delay after a failed Hold, multiplied by the number
	// of failures in a row up to 4.
	holdRetryDelay = 250 * msec
	// activeHoldInterval is the interval between Holds that renew a worker's
	// lease while its reported ends wait to become durable.
	activeHoldInterval = 1 * time.Second
	// idleHoldInterval is the interval between Holds to a worker without runs.
	// It bounds the error of the worker's estimated clock to 2% of its length.
	idleHoldInterval = 8 * time.Second
	// maxMissingReports is the number of reports in a row that lack a started
	// run after which the run counts as lost.
	maxMissingReports = 2
	// maxReportedEnds is the maximum number of ends in one report of a worker.
	maxReportedEnds = 500
)

// runState is the state of a run.
type runState uint8

const (
	// runStarting means that the start order was sent and not yet answered.
	runStarting runState = iota
	// runPlanned means that the start is being written to the log and the order
	// has not been sent.
	runPlanned
	// runInherited means that the log holds a start by an earlier owner, which
	// may or may not have sent the order.
	runInherited
	runActive
	// runInDoubt means that the start order may or may not have taken effect.
	runInDoubt
	// runStopping means that the run is being stopped.
	runStopping
)

// run is one execution of a task on a worker. It counts against the worker's
// capacity until the worker reports its end, or its lease has expired.
type run struct {
	task   *task
	id     TaskID
	number int64
	worker *worker
	state  runState
	// charge is the capacity that the run takes on the worker.
	charge Resources
	// orderedAt is when the start was planned or sent. answeredAt is when the
	// start was answered or, for a run that is being stopped, the stop.
	orderedAt, answeredAt Time
	// mustStop means that the run is to be stopped as soon as its start has been
	// answered.
	mustStop      bool
	stopSent      bool
	stopConfirmed bool
	// stopCall is the stop order that is in flight, or 0. stopQueued means that it waits
	// to be sent.
	stopCall       CallID
	stopQueued     bool
	missingReports int
	checkpoint     string
	// expectedDuration is the task's predicted duration at the start.
	expectedDuration time.Duration
	pace             runPace
}

// worker is the owner's view of a worker.
type worker struct {
	info WorkerInfo
	// incarnation counts the restarts of the worker that this owner has seen.
	incarnation int
	// listed means that the worker is in the platform's list of workers.
	listed bool
	// recorded means that a log record names the worker, so that the next owner
	// knows that runs may exist there.
	recorded bool
	// recordDurable means that this record is durable. No task starts on the
	// worker before that.
	recordDurable bool
	// contacted means that the worker has answered a Hold with this owner's
	// fencing token. From then on it rejects orders of earlier owners.
	contacted bool
	// clock is the worker's clock, in milliseconds, as received at clockAt.
	clock   int64
	clockAt Time
	// leaseEnd is the latest lease end that was ever sent to the worker, on the
	// worker's clock.
	leaseEnd int64
	// earlierRunsEndBy is when every run that was ordered before the worker's
	// current incarnation was known has certainly ended.
	earlierRunsEndBy Time
	// notedEnd is the highest number of an end that has been handled, durableEnd
	// that of one whose effects are in the store, and acknowledgedEnd that of
	// one that the worker has been allowed to forget.
	notedEnd, durableEnd, acknowledgedEnd int64
	runs                                  map[runKey]*run
	used                                  Resources
	// longRunning is the part of used that long-running tasks take.
	longRunning Resources
	hold        holdState
	// ordersInFlight is the number of orders that await their results. queuedOrders send
	// further ones.
	ordersInFlight int
	queuedOrders   []func()
	// agent is the host that makes the calls to the worker, nil for this host.
	agent  *peer
	health health
	// unknownRuns means that the worker reports runs whose resource needs are
	// not known.
	unknownRuns bool
	unlistedAt  Time
	// fleetIndex is the worker's position in cell.fleet, which is sorted by
	// sortKey.
	fleetIndex int
	sortKey    int64
	// inNextChanged means that the worker is in cell.nextChanged.
	inNextChanged bool
	// reserved is the free capacity that is reserved for gangs.
	reserved Resources
	// mixedLoad means that serving and scavenging tasks share the worker.
	// throttlePercent is the throttling of its scavenging tasks. throttledAt is
	// when it last changed or a serving task was last near its target.
	mixedLoad       bool
	throttlePercent int
	throttledAt     Time
}

// holdState is the state of the long poll of a worker.
type holdState struct {
	call     CallID
	inFlight bool
	sentAt   Time
	// acknowledgedEnd is the highest end that the call in flight acknowledges.
	acknowledgedEnd int64
	// retryAt is when the next call is due after a failure. failures counts
	// failed calls in a row.
	retryAt      Time
	failures     int
	lastAnswerAt Time
}

type runKey struct {
	task TaskID
	run  int64
}

// addWorker updates the entry of a worker, or adds one if it is not known.
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

// removeWorker removes a worker from the cell.
func (c *cell) removeWorker(w *worker) {
	c.chargedBytes -= runBytes * int64(len(w.runs))
	delete(c.workers, w.info.ID)
	if i, found := slices.BinarySearchFunc(c.workersByID, w.info.ID, compareWorkerID); found {
		c.workersByID = slices.Delete(c.workersByID, i, i+1)
	}
}

// markChanged notes that tasks which did not fit on a worker may now fit, and
// requests a scheduling pass.
func (c *cell) markChanged(w *worker) {
	c.dirty = true
	c.noteChanged(w)
}

// noteChanged notes the same as markChanged without requesting a pass.
func (c *cell) noteChanged(w *worker) {
	if !w.inNextChanged {
		w.inNextChanged = true
		c.nextChanged = append(c.nextChanged, w)
	}
}

// observeWorker applies an entry of the platform's list of workers.
func (c *cell) observeWorker(info WorkerInfo) {
	w := c.workers[info.ID]
	if w != nil && w.info.Born != 0 && info.Born > w.info.Born {
		c.handleWorkerRestart(w, info.Born)
	}
	wasDraining := w != nil && w.info.Draining
	unchanged := w != nil && w.listed && w.info.samePlacement(&info)
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
	if !unchanged {
		c.markChanged(w)
	}
}

// samePlacement reports whether two entries are equal in all that matters to
// placement.
func (w *WorkerInfo) samePlacement(o *WorkerInfo) bool {
	return w.Service == o.Service && w.Draining == o.Draining && w.Capacity == o.Capacity && w.Rack == o.Rack &&
		slices.Equal(w.Labels, o.Labels)
}

// markUnlisted notes that a worker has left the platform's list. Its runs may
// still be active: the list also loses workers that are partitioned from it.
func (c *cell) markUnlisted(id WorkerID) {
	if w := c.workers[id]; w != nil && w.listed {
		w.listed = false
		w.unlistedAt = c.now
		c.logDecision(Decision{Kind: "worker", Outcome: "unlisted", Worker: id})
	}
}

// handleWorkerRestart handles a new incarnation of a worker. The runs of the
// earlier incarnation are gone, but a start that was sent since may have reached
// the new one, so runs are dropped only after the new incarnation has reported.
func (c *cell) handleWorkerRestart(w *worker, born int64) {
	c.logDecision(Decision{Kind: "worker", Outcome: "restarted", Worker: w.info.ID,
		Fields: []Field{{"runs", int64(len(w.runs))}, {"born", born}}})
	for _, r := range w.runs {
		r.answeredAt = c.now
		r.missingReports = maxMissingReports - 1
		if r.state == runStopping {
			r.state, r.mustStop = runInDoubt, true
		}
		r.stopSent, r.stopConfirmed, r.stopCall = false, false, 0
		r.pace = runPace{}
	}
	w.incarnation++
	w.info.Born = born
	w.info.Draining = false
	w.contacted = false
	w.earlierRunsEndBy = c.now.Add(worstCaseElapsed(c.limits.MaxLease))
	w.clock, w.clockAt, w.leaseEnd = 0, 0, 0
	w.notedEnd, w.durableEnd, w.acknowledgedEnd = 0, 0, 0
	w.unknownRuns = false
	c.reducer.forgetCalls(w.hold.call)
	w.hold = holdState{}
	w.health.reset()
	c.dirty = true
}

// markRunsLost ends all runs of a worker on which nothing can run any more.
func (c *cell) markRunsLost(w *worker) {
	for _, r := range w.sortedRuns() {
		c.handleRunEnd(r, EndLost, r.checkpoint)
	}
}

// sortedRuns returns the worker's runs in a deterministic order.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareRuns(a.id, a.number, b.id, b.number) })
	return runs
}
