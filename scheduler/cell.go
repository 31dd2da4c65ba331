package scheduler

import "time"

// cell is the owner's state: the jobs and workers of the deployment. Only the
// host that holds the ownership, or claims it, has one.
type cell struct {
	reducer    *Reducer
	now        Time
	wall       int64
	limits     Limits
	generation int64
	// ownerRevision is the store's revision of the owner record.
	ownerRevision int64
	claimedAt     Time

	jobs    map[JobID]*job
	jobList []*job
	// chargedBytes is the memory that is charged for jobs, runs and advice.
	chargedBytes int64
	// chargedText is the encoded size of the open jobs.
	chargedText int64
	budget      memoryBudget
	// tickets is the number of the advice service's answers that are kept.
	tickets int
	workers map[WorkerID]*worker
	// workersByID holds the workers sorted by ID.
	workersByID []*worker
	// fleet holds the listed and contacted workers of the current pass in packing
	// order, fleetWithRoom those that have free processors for some ready task.
	fleet         []*worker
	fleetWithRoom []*worker
	// byFreeCPU is the fleet sorted by free processors, most first, as of the
	// pass byFreeCPUPass.
	byFreeCPU     []*worker
	byFreeCPUPass int
	// nextChanged are the workers on which tasks may fit after a change since the
	// last pass began. changed are those that the current pass looks at.
	nextChanged, changed []*worker
	// recheckAll means that the next pass compares every stage with all workers.
	recheckAll bool
	ready      []*stage
	// scheduledJobs are the open jobs with occurrences that have not been created.
	scheduledJobs []*job
	// reservingGangs are the gangs with reserved capacity. reservedCPU is the sum
	// of their reserved processors, capacityCPU the processors of the fleet.
	reservingGangs           []*stage
	reservedCPU, capacityCPU int64
	// first is the gang that is placed before everything else. turnsPausedUntil is when
	// gangs that do not fit may reserve capacity again after a turn has expired.
	first            firstPlaced
	turnsPausedUntil Time
	// freeCPU is the sum of free processors on the workers that have at least
	// minFreeShare free.
	freeCPU int64
	// dirty means that something has changed that requires a scheduling pass.
	dirty bool
	// pendingStarts are starts that are to be logged. pendingOrders send their
	// orders once they are durable.
	pendingStarts []StartRecord
	pendingOrders []plannedOrder
	// maxFree is the largest amount of each resource that is free on any worker.
	maxFree    Resources
	lastPassAt Time
	// passes counts the passes, examined the stages that the current one has
	// tried to place.
	passes, examined int
	// rotation is the position of the last stage that was placed out of order.
	rotation int
	// wakeAt is when the Wake for the next pass arrives. Requesting another one
	// before would double the events of every later pass.
	wakeAt Time
	// comparisons counts the comparisons of a stage with a worker. They make up
	// most of the cost of a decision.
	comparisons int64

	// inheritedRunsEndBy is when every run of an earlier owner on a worker that
	// has not answered this owner has certainly ended. inheritedSettled means
	// that all runs of earlier owners are known.
	inheritedRunsEndBy Time
	inheritedSettled   bool

	// policies holds the queues of accepted jobs as recorded in the log.
	policies map[QueueName]*Queue

	log         logWriter
	queueStats  map[QueueName]*queueStats
	peers       []*peer
	adviceCalls map[CallID]*adviceCall
	timers      []timer
	relay       relay
	// handingOver means that this host is giving up the ownership.
	handingOver    bool
	handoverSince  Time
	handoverReason string
	lastCleanup    Time
	lastLoadReport Time
}

// timer is a function that is run by the first Tick at or after its time.
type timer struct {
	at Time
	f  func()
}

func newCell(r *Reducer) *cell {
	c := &cell{
		reducer: r, now: r.now, wall: r.wall, limits: r.limits,
		jobs: map[JobID]*job{}, workers: map[WorkerID]*worker{},
		policies: map[QueueName]*Queue{}, queueStats: map[QueueName]*queueStats{}, adviceCalls: map[CallID]*adviceCall{},
		peers: []*peer{{}},
		log: logWriter{
			next: 1, groupsPerSnapshot: snapshotGroups, lastOfJob: map[JobID]int64{}, groupBytes: min(maxGroupBytes, r.limits.maxStoreValue()-groupOverheadBytes),
		},
	}
	c.refreshBudget()
	return c
}

func (c *cell) emit(e Effect)                   { c.reducer.emit(e) }
func (c *cell) logDecision(d Decision)          { c.reducer.emit(d) }
func (c *cell) reply(t Token, a Answer)         { c.reducer.reply(t, a) }
func (c *cell) mayStart() bool                  { return c.reducer.leaseValid() && !c.handingOver }
func (c *cell) mayExtendWorkerLeases() bool     { return c.reducer.mayExtendWorkerLeases() }
func (c *cell) handleFenced(worker WorkerID)    { c.reducer.handleFenced(worker) }
func (c *cell) after(d time.Duration, f func()) { c.timers = append(c.timers, timer{c.now.Add(d), f}) }

// queue returns a queue of the current configuration. For a queue that has been
// removed it returns the last known state, since accepted jobs still run.
func (c *cell) queue(name QueueName) *Queue {
	if q := c.reducer.queue(name); q != nil {
		return q
	}
	return c.policies[name]
}

// service returns the service that runs a queue's tasks.
func (c *cell) service(name QueueName) string {
	if q := c.queue(name); q != nil {
		return q.Service
	}
	return ""
}

// refreshPolicies applies the current queues to all jobs.
func (c *cell) refreshPolicies() {
	for _, j := range c.jobList {
		j.policy = c.queue(j.queue)
	}
	c.recheckAll, c.dirty = true, true
}

// cleanupInterval is the interval between removals of ended jobs, and between
// reconciliations of open ones. Twice this time is well below the objective of the
// longest jobs.
const cleanupInterval = 2 * time.Second

// advance does the periodic work that is due.
func (c *cell) advance() {
	c.refreshBudget()
	c.runTimers()
	c.openDueOccurrences()
	c.settleInherited()
	c.sendDueHolds()
	c.logLoad()
	if c.now.Sub(c.lastCleanup) >= cleanupInterval {
		c.lastCleanup = c.now
		c.removeExpiredJobs()
		c.reconcile()
	}
	c.dirty = true
}

// runTimers runs the timers that are due.
func (c *cell) runTimers() {
	due := c.timers
	c.timers = nil
	for _, t := range due {
		if t.at <= c.now {
			t.f()
		} else {
			c.timers = append(c.timers, t)
		}
	}
}

// finishStep runs a scheduling pass and a write to the log after an event.
func (c *cell) finishStep() {
	c.schedule()
	c.flush()
	// A record that has become durable can allow further starts.
	c.schedule()
}

// resume continues the jobs of the log after a successful claim.
func (c *cell) resume(workers map[WorkerID]WorkerInfo) {
	c.refreshPolicies()
	for _, id := range sortedIDs(workers) {
		c.observeWorker(workers[id])
	}
	for _, w := range c.workersByID {
		if !w.listed {
			w.unlistedAt = c.now
		}
	}
	for _, j := range c.jobList {
		if j.cancelled && !j.state.isTerminal() {
			c.endJob(j, JobCancelled)
		}
	}
	for _, j := range c.jobList {
		if j.state.isTerminal() {
			continue
		}
		if c.endJobIfDecided(j); !j.state.isTerminal() {
			c.openJob(j)
		}
	}
	if c.generation == 1 {
		c.inheritedSettled = true
	}
	c.recordWorkers()
	c.sendDueHolds()
}

// recordWorkers logs the workers that may get tasks, so that the next owner knows
// where runs may exist.
func (c *cell) recordWorkers() {
	for _, w := range c.workersByID {
		c.recordWorker(w)
	}
}

func (c *cell) recordWorker(w *worker) {
	if !w.recorded && w.listed {
		w.recorded = true
		info := w.info
		c.record(Record{Worker: &info}, true)
		c.whenDurable(func() {
			w.recordDurable = true
			c.markChanged(w)
		})
	}
}

// settleInherited ends the recovery after a takeover once all runs of earlier
// owners are known: every worker has answered, or its lease has certainly expired.
func (c *cell) settleInherited() {
	if c.inheritedSettled {
		return
	}
	if c.now < c.inheritedRunsEndBy {
		for _, w := range c.workersByID {
			if !w.contacted {
				return
			}
		}
	}
	c.inheritedSettled = true
	c.dirty = true
	c.logDecision(Decision{Kind: "recovery", Outcome: "settled", Fields: []Field{
		{"took_ms", c.now.Sub(c.claimedAt).Milliseconds()}, {"jobs", int64(len(c.jobs))}, {"workers", int64(len(c.workers))}}})
}
