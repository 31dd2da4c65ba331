// Package scheduler decides everything about jobs that consist of steps: which
// host owns the cell, which jobs are accepted, where and when their tasks start,
// and what callers are told.
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
	// Address is where other hosts reach this one.
	Address string
	Zone    string
	// Power is the processor time that the host has, in thousandths of a core.
	Power int64
	Seed  uint64
}

// Reducer is the control state of a host.
type Reducer struct {
	self   Self
	limits Limits
	now    Time
	wall   int64
	random *rand.Rand
	out    []Effect

	config *Config
	// removed holds the queues that the configuration no longer has. Their
	// accepted jobs are still carried through.
	removed map[QueueName]*Queue
	workers map[WorkerID]WorkerInfo

	owner     ownership
	candidate *cell
	cell      *cell

	requests map[Token]*request
	// maxPower is the greatest processor time of the hosts, as the owner said.
	maxPower  int64
	helloSent Time
	// outageSince is when a request first found nobody who can serve it, 0 if the
	// last one was served.
	outageSince Time
	stopping    bool
	stopAt      Time
	ready       bool
	readySent   bool
}

// New returns the reducer of a host that has learned nothing yet.
func New(self Self, limits Limits) *Reducer {
	return &Reducer{
		self: self, limits: limits, random: rand.New(rand.NewPCG(self.Seed, 1)),
		removed: map[QueueName]*Queue{}, workers: map[WorkerID]WorkerInfo{}, requests: map[Token]*request{},
	}
}

func (r *Reducer) emit(e Effect) { r.out = append(r.out, e) }

// Step handles one event and returns what is to be done.
func (r *Reducer) Step(in Input) []Effect {
	r.out = nil
	r.now, r.wall = max(r.now, in.At), in.Wall
	if r.cell != nil {
		r.cell.now, r.cell.wall = r.now, r.wall
	}
	r.handle(in.Event)
	if r.cell != nil {
		r.cell.finishStep()
	}
	return r.out
}

// handle dispatches an event.
func (r *Reducer) handle(e Event) {
	switch e := e.(type) {
	case Tick:
		r.tick()
	case ConfigChanged:
		r.configChanged(e.Config)
	case WorkersListed:
		r.workersListed(e.Workers)
	case WorkerChanged:
		r.workerChanged(e.Worker)
	case WorkerRemoved:
		r.workerRemoved(e.ID)
	case OwnerSeen:
		r.ownerSeen(e)
	case LogRead:
		r.logRead(e)
	case ClaimAnswered:
		r.claimAnswered(e)
	case LeaseRenewed:
		r.leaseRenewed(e)
	case SubmitReceived:
		r.request(e.Token, e, e.Deadline, e.Forwarded)
	case StatusReceived:
		r.request(e.Token, e, e.Deadline, e.Forwarded)
	case CancelReceived:
		r.request(e.Token, e, e.Deadline, e.Forwarded)
	case PendingReceived:
		r.request(e.Token, e, e.Deadline, e.Forwarded)
	case ForwardAnswered:
		r.forwardAnswered(e)
	case HelloAnswered:
		r.maxPower = e.MaxPower
	case StopRequested:
		r.stopRequested()
	default:
		if r.cell != nil {
			r.cell.handle(e)
		}
	}
}

// handle dispatches an event that only an owner can use.
func (c *cell) handle(e Event) {
	switch e := e.(type) {
	case Woken:
		// What is due by now follows every event.
	case GroupWritten:
		c.groupWritten(e)
	case GroupsDeleted:
		c.groupsDeleted(e)
	case HelloReceived:
		c.greeted(e)
	case HoldAnswered:
		c.handleHoldAnswered(e)
	case StartAnswered:
		c.handleStartAnswered(e)
	case StopAnswered:
		c.handleStopAnswered(e)
	case PaceAnswered:
		c.handlePaceAnswered(e)
	case AdviceAnswered:
		c.handleAdviceAnswered(e)
	}
}

// tick lets time pass.
func (r *Reducer) tick() {
	r.advanceOwnership()
	if r.cell != nil {
		r.cell.advance()
	}
	if r.now.Sub(r.helloSent) >= helloInterval {
		r.sendHello()
	}
	r.expireRequests()
	r.advanceStop()
	r.publishReady()
}

// sendHello tells the owner that this host is alive.
func (r *Reducer) sendHello() {
	o := &r.owner
	if o.known && o.present && r.cell == nil && !r.stopping && o.record.Address != r.self.Address {
		r.helloSent = r.now
		r.emit(Hello{Address: o.record.Address})
	}
}

// queue returns a queue of the configuration in force, or one that it had.
func (r *Reducer) queue(name QueueName) *Queue {
	if r.config != nil {
		if q := r.config.Queues[name]; q != nil {
			return q
		}
	}
	return r.removed[name]
}

// configChanged puts a configuration in force. Versions never go back within the
// life of a process.
func (r *Reducer) configChanged(cfg *Config) {
	if r.config != nil && cfg.Version <= r.config.Version {
		return
	}
	if r.config != nil {
		for name, q := range r.config.Queues {
			if cfg.Queues[name] == nil {
				r.removed[name] = q
			}
		}
	}
	for name := range cfg.Queues {
		delete(r.removed, name)
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

// workersListed takes over the whole list of workers.
func (r *Reducer) workersListed(list []WorkerInfo) {
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
			r.workerRemoved(id)
		}
	}
}

func (r *Reducer) workerChanged(w WorkerInfo) {
	r.workers[w.ID] = w
	if r.cell != nil {
		r.cell.observeWorker(w)
		r.cell.sendDueHold(r.cell.workers[w.ID])
	}
}

func (r *Reducer) workerRemoved(id WorkerID) {
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

// groupWritten takes the answer to the write in flight.
func (c *cell) groupWritten(e GroupWritten) {
	w := &c.log
	if w.inFlight == nil || e.Sequence != w.inFlight.Sequence {
		return
	}
	if e.Outcome == Done || e.Outcome == Conflict {
		c.storeAnswered(e.Via)
	} else {
		c.storeFailed(e.Via)
	}
	switch {
	case e.Outcome == Done || e.Ours:
		c.groupDurable()
	case e.Taken:
		c.reducer.stepDown("another owner has written to the log")
	case e.Lost:
		w.refused = true
		w.retryAt = c.now.Add(writeRetry)
		c.reducer.loseLease("the owner record has changed")
	default:
		w.refused = true
		w.retryAt = c.now.Add(writeRetry)
		c.logDecision(Decision{Kind: "log", Outcome: "write_failed", Fields: []Field{
			{"sequence", e.Sequence}, {"records", int64(len(w.inFlight.Records))}, {"in_doubt", boolField(e.Outcome == InDoubt)}}})
	}
}

// groupsDeleted continues the removal of groups that a snapshot has replaced.
func (c *cell) groupsDeleted(e GroupsDeleted) {
	w := &c.log
	if e.Outcome == Done {
		w.first = max(w.first, e.Through+1)
		c.deleteBefore(w.cutAt)
		return
	}
	c.after(time.Second, func() { c.deleteBefore(w.cutAt) })
}
