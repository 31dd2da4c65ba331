// Package scheduler makes all decisions about jobs that consist of steps: which
// host owns the cell, which jobs are accepted, where and when their tasks start,
// and how requests are answered.
//
// Reducer.Step is the only entry point. It takes an event with its time and
// returns effects; the caller carries them out and reports their results as
// events. The package performs no I/O, starts no goroutine and reads no clock.
package scheduler

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Self describes the host on which a reducer runs.
type Self struct {
	Host string
	// Address is the address at which other hosts reach this one.
	Address string
	Zone    string
	// Power is the CPU capacity of the host, in thousandths of a core.
	Power int64
	Seed  uint64
}

// Reducer holds the control state of a host.
type Reducer struct {
	self    Self
	limits  Limits
	now     Time
	wall    int64
	rng     *rand.Rand
	effects []Effect

	config *Config
	// removedQueues holds queues that were removed from the configuration. Their
	// accepted jobs still run to the end.
	removedQueues map[QueueName]*Queue
	workers       map[WorkerID]WorkerInfo

	owner ownership
	// pendingCell is the state read from the log while a claim is in progress.
	pendingCell *cell
	// cell is the state of the owner, or nil if this host is not the owner.
	cell *cell

	calls    callTable
	requests map[Token]*request
	// maxPower is the CPU capacity of the largest host, as reported by the owner.
	maxPower int64
	// minMemory is the memory of the smallest host, as reported by the owner at
	// minMemoryAt.
	minMemory   int64
	minMemoryAt Time
	lastHello   Time
	// outageSince is when a request first found no host that could serve it, or 0
	// if the last request was served.
	outageSince    Time
	stopping       bool
	stopAt         Time
	ready          bool
	readyPublished bool
}

// New returns the reducer of a host that has not received any event.
func New(self Self, limits Limits) *Reducer {
	return &Reducer{
		self: self, limits: limits, rng: rand.New(rand.NewPCG(self.Seed, 1)),
		removedQueues: map[QueueName]*Queue{}, workers: map[WorkerID]WorkerInfo{}, requests: map[Token]*request{},
		calls: callTable{pending: map[CallID]pendingCall{}},
	}
}

func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

// Step handles one event and returns the effects to carry out.
func (r *Reducer) Step(in Input) []Effect {
	r.effects = nil
	r.now, r.wall = max(r.now, in.At), in.Wall
	if r.cell != nil {
		r.cell.now, r.cell.wall = r.now, r.wall
	}
	r.handle(in.Event)
	if r.cell != nil {
		r.cell.finishStep()
	}
	return r.effects
}

// handle dispatches an event.
func (r *Reducer) handle(e Event) {
	switch e := e.(type) {
	case Tick:
		r.tick()
	case ConfigChanged:
		r.handleConfigChanged(e.Config)
	case WorkersListed:
		r.handleWorkersListed(e.Workers)
	case WorkerChanged:
		r.handleWorkerChanged(e.Worker)
	case WorkerRemoved:
		r.handleWorkerRemoved(e.ID)
	case OwnerSeen:
		r.handleOwnerSeen(e)
	case CallAnswered:
		r.handleCallAnswered(e)
	case SubmitReceived:
		r.handleRequest(e.Token, e, e.Deadline, e.Forwarded)
	case StatusReceived:
		r.handleRequest(e.Token, e, e.Deadline, e.Forwarded)
	case CancelReceived:
		r.handleRequest(e.Token, e, e.Deadline, e.Forwarded)
	case PendingReceived:
		r.handleRequest(e.Token, e, e.Deadline, e.Forwarded)
	case ForwardAnswered:
		r.handleForwardAnswered(e)
	case HelloAnswered:
		r.maxPower = e.MaxPower
		r.minMemory, r.minMemoryAt = e.MinMemory, r.now
	case StopRequested:
		r.handleStopRequested()
	default:
		if r.cell != nil {
			r.cell.handle(e)
		}
	}
}

// handle dispatches an event that only concerns the owner.
func (c *cell) handle(e Event) {
	switch e := e.(type) {
	case Woken:
		// Step does the work that is due after every event.
	case HelloReceived:
		c.handleHello(e)
	}
}

// tick does all work that depends on time.
func (r *Reducer) tick() {
	r.expireCalls()
	r.advanceOwnership()
	if r.cell != nil {
		r.cell.advance()
	}
	if r.now.Sub(r.lastHello) >= helloInterval {
		r.sendHello()
	}
	r.expireRequests()
	r.advanceStop()
	r.publishReady()
}

// sendHello announces this host to the owner.
func (r *Reducer) sendHello() {
	o := &r.owner
	if o.known && o.present && r.cell == nil && !r.stopping && o.record.Address != r.self.Address {
		r.lastHello = r.now
		r.emit(Hello{Address: o.record.Address})
	}
}

// queue returns a queue of the current configuration, or one that was removed from
// it.
func (r *Reducer) queue(name QueueName) *Queue {
	if r.config != nil {
		if q := r.config.Queues[name]; q != nil {
			return q
		}
	}
	return r.removedQueues[name]
}

// handleConfigChanged applies a configuration. It ignores one that is not newer than
// the current one, so that versions never go back while a process runs.
func (r *Reducer) handleConfigChanged(cfg *Config) {
	if r.config != nil && cfg.Version <= r.config.Version {
		return
	}
	if r.config != nil {
		for name, q := range r.config.Queues {
			if cfg.Queues[name] == nil {
				r.removedQueues[name] = q
			}
		}
	}
	for name := range cfg.Queues {
		delete(r.removedQueues, name)
	}
	r.config = cfg
	r.emit(Decision{Kind: "config", Outcome: "in_force", Fields: []Field{
		{"version", cfg.Version}, {"queues", int64(len(cfg.Queues))}}})
	if r.cell != nil {
		r.cell.refreshPolicies()
	}
	r.retryWaiting()
	r.publishReady()
}

// handleWorkersListed replaces the list of workers.
func (r *Reducer) handleWorkersListed(list []WorkerInfo) {
	present := make(map[WorkerID]bool, len(list))
	for _, w := range list {
		present[w.ID] = true
		r.workers[w.ID] = w
		if r.cell != nil {
			r.cell.observeWorker(w)
		}
	}
	if r.cell != nil {
		r.cell.sendDueHolds()
	}
	for _, id := range sortedIDs(r.workers) {
		if !present[id] {
			r.handleWorkerRemoved(id)
		}
	}
}

func (r *Reducer) handleWorkerChanged(w WorkerInfo) {
	r.workers[w.ID] = w
	if r.cell != nil {
		r.cell.observeWorker(w)
		r.cell.sendDueHold(r.cell.workers[w.ID])
	}
}

func (r *Reducer) handleWorkerRemoved(id WorkerID) {
	delete(r.workers, id)
	if r.cell != nil {
		r.cell.markUnlisted(id)
	}
}

func sortedIDs(m map[WorkerID]WorkerInfo) []WorkerID {
	ids := make([]WorkerID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// handleGroupWritten processes the result of the write in flight.
func (c *cell) handleGroupWritten(e GroupWritten) {
	l := &c.log
	if l.inFlight == nil || e.Sequence != l.inFlight.Sequence {
		return
	}
	if e.Outcome == Done || e.Outcome == Conflict || e.Outcome == Rejected {
		c.storeAnswered(e.Via)
	} else {
		c.storeFailed(e.Via)
	}
	switch {
	case e.Outcome == Done || e.Ours:
		c.groupDurable(e.Revision)
	case e.Outcome == Rejected:
		c.handleGroupRejected()
	case e.Taken:
		c.reducer.stepDown("another owner has written to the log")
	case e.Lost:
		l.writeFailed = true
		l.retryAt = c.now.Add(writeRetryDelay)
		c.reducer.handleLeaseLoss("the owner record has changed")
	default:
		l.writeFailed = true
		l.retryAt = c.now.Add(writeRetryDelay)
		c.logDecision(Decision{Kind: "log", Outcome: "write_failed", Fields: []Field{
			{"sequence", e.Sequence}, {"records", int64(len(l.inFlight.Records))}, {"in_doubt", boolField(e.Outcome == InDoubt)}}})
	}
}

// handleGroupsDeleted continues the deletion of groups that a snapshot replaced, or
// retries it after an error.
func (c *cell) handleGroupsDeleted(e GroupsDeleted) {
	l := &c.log
	if e.Outcome == Done {
		l.first = max(l.first, e.Through+1)
		c.deleteBefore(l.snapshotSequence)
		return
	}
	c.after(time.Second, func() { c.deleteBefore(l.snapshotSequence) })
}
