package scheduler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"
)

// simulation runs reducers with fakes of the store, the workers and the advice service
// in virtual time, and checks invariants at the workers.
type simulation struct {
	t           *testing.T
	rng         *rand.Rand
	now         Time
	queue       actionQueue
	actionCount int
	hosts       []*fakeHost
	store       fakeStore
	workers     map[WorkerID]*fakeWorker
	config      *Config
	limits      Limits
	faults      faults
	jobs        map[JobID]*fakeJob
	lastToken   Token
	violations  []string
	// onDecision, if set, is called with each decision.
	onDecision func(Decision)
	// onGroupStored, if set, is called with each group of the log that the store has
	// accepted. snapshotEvery, if not 0, is the number of groups between snapshots.
	onGroupStored func(Group)
	snapshotEvery int64
	debug         bool
	// wakes counts the Wake effects, adviceCalls the calls for advice by host.
	wakes       int
	adviceCalls map[string]int
	decisionLog []string
}

// faults configures the faults that are injected.
type faults struct {
	// lostAnswerRate is the fraction of the workers' answers that are lost after the
	// order was carried out, lateOrderRate that of orders that are carried out seconds
	// later.
	lostAnswerRate, lateOrderRate float64
	// lostResultRate is the fraction of calls whose result never reaches the reducer.
	lostResultRate float64
	// lostWriteRate is the fraction of writes to the store whose answer is lost.
	lostWriteRate float64
	// storeDelay is added to the duration of each write to the store.
	storeDelay        time.Duration
	storeDown         func(Time) bool
	hostPartitioned   func(host int, at Time) bool
	workerPartitioned func(id WorkerID, at Time) bool
	// hostIsolated reports whether a host is cut off from the store, the other hosts
	// and the workers.
	hostIsolated func(host int, at Time) bool
	failureRate  float64
	// refuseStarts means that unhealthy workers refuse all starts.
	refuseStarts bool
	// dropForwardAnswers means that forwarded requests get no answer.
	dropForwardAnswers bool
	// baseLatency is the tail latency of serving tasks in milliseconds, interference
	// the latency that each scavenging task on the same worker adds.
	baseLatency, interference int64
	// paceOrder, if set, returns the fate of a PaceTask: whether its answer is lost, and
	// by how much the worker is late to carry it out.
	paceOrder func(PaceTask) (lost bool, late time.Duration)
	// adviceFails reports whether calls for advice through a host fail immediately.
	adviceFails func(host string) bool
	// adviceAllows reports whether a worker may run a step. adviceGood decides if it
	// is nil.
	adviceAllows func(step string, id WorkerID) bool
	// runTime returns how long the tasks of a job run. They run for their estimate if it
	// is nil.
	runTime func(JobID) time.Duration
}

// scheduledAction is a function that runs at a time. order breaks ties.
type scheduledAction struct {
	at    Time
	order int
	run   func()
}

// actionQueue is a heap of scheduled actions.
type actionQueue []scheduledAction

func (a actionQueue) Len() int { return len(a) }
func (a actionQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a actionQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *actionQueue) Push(x any)   { *a = append(*a, x.(scheduledAction)) }
func (a *actionQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// fakeJob is a caller's record of a job.
type fakeJob struct {
	id                      JobID
	spec                    JobSpec
	queue                   QueueName
	sent, accepted, inDoubt bool
	refused, cancelSent     bool
	cancelledAt             Time
	complete                bool
	acknowledgedDone        map[TaskID]bool
	done                    map[TaskID]bool
	// firstStart is the wall-clock time of each task's first start.
	firstStart      map[TaskID]int64
	endedIncomplete bool
}

// fakeHost is a host with its current process.
type fakeHost struct {
	index        int
	incarnation  int
	alive        bool
	address      string
	r            *Reducer
	seenRevision int64
}

// fakeStore holds the owner record with its lease, and the log's groups as encoded.
type fakeStore struct {
	revision      int64
	owner         *OwnerRecord
	ownerRevision int64
	lease         int64
	leaseEnd      Time
	ttl           time.Duration
	log           map[int64][]byte
	// maxValue is the size of the largest value that the store accepts.
	maxValue int
	// logRevisions holds the revision of each group.
	logRevisions map[int64]int64
	leaseCount   int64
}

const simulationWallStartMS = 1_700_000_000_000

func newSimulation(t *testing.T, seed uint64, hosts, workers int) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: Time(time.Hour), workers: map[WorkerID]*fakeWorker{},
		jobs: map[JobID]*fakeJob{}, adviceCalls: map[string]int{}, limits: Limits{
			MaxLease: 6 * time.Second, StatusRetention: 2 * time.Minute,
			MinStoreLease: time.Second,
		},
	}
	sim.debug = os.Getenv("SCHEDULER_DEBUG") != ""
	sim.store.maxValue = 1 << 20
	sim.store.log, sim.store.logRevisions = map[int64][]byte{}, map[int64]int64{}
	sim.config = &Config{Version: 1, Services: map[string]*Service{"svc": {Name: "svc"}}, Queues: map[QueueName]*Queue{
		"urgent": {Name: "urgent", Service: "svc", Attempts: 3, Stretch: 1.5, SLO: 500 * msec},
		"gangs":  {Name: "gangs", Service: "svc", Priority: 1, Attempts: 3, Stretch: 2.2, SLO: time.Second},
		"batch":  {Name: "batch", Service: "svc", Priority: 2, Attempts: 3, Stretch: 4, SLO: 3 * time.Second},
	}}
	for _, q := range sim.config.Queues {
		q.Advice = &AdvicePolicy{Base: 10 * msec, PerWorker: msec, Valid: 1500 * msec}
	}
	for i := range workers {
		sim.addWorker(i)
	}
	for i := range hosts {
		h := &fakeHost{index: i, address: fmt.Sprintf("h%d", i)}
		sim.hosts = append(sim.hosts, h)
		sim.startHost(h)
	}
	return sim
}

// at schedules f after a delay.
func (sim *simulation) at(delay time.Duration, f func()) {
	sim.actionCount++
	heap.Push(&sim.queue, scheduledAction{sim.now.Add(delay), sim.actionCount, f})
}

// run advances the simulation by d.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		a := heap.Pop(&sim.queue).(scheduledAction)
		sim.now = a.at
		a.run()
	}
	sim.now = end
}

func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%.3f s: ", float64(sim.now-Time(time.Hour))/1e9)+fmt.Sprintf(format, args...))
}

func (sim *simulation) delay() time.Duration {
	return time.Duration(sim.rng.IntN(4000)+300) * time.Microsecond
}

func (sim *simulation) wall() int64 { return simulationWallStartMS + int64(sim.now)/int64(msec) }

// startHost starts a new process on a host, without the state of earlier ones.
func (sim *simulation) startHost(h *fakeHost) {
	h.incarnation++
	h.alive = true
	h.seenRevision = 0
	h.r = New(Self{Host: fmt.Sprintf("host%d", h.index), Address: h.address, Seed: sim.rng.Uint64()}, sim.limits)
	sim.tick(h, h.incarnation)
	incarnation := h.incarnation
	sim.at(sim.delay(), func() { sim.post(h, incarnation, ConfigChanged{Config: sim.config}) })
	sim.at(sim.delay(), func() { sim.listWorkers(h, incarnation) })
	sim.at(sim.delay(), func() { sim.watchOwner(h, incarnation) })
}

func (sim *simulation) killHost(h *fakeHost) { h.alive = false }

func (sim *simulation) tick(h *fakeHost, incarnation int) {
	if !h.alive || h.incarnation != incarnation {
		return
	}
	sim.post(h, incarnation, Tick{})
	sim.at(50*msec, func() { sim.tick(h, incarnation) })
}

// watchOwner posts the owner record to a host when it has changed.
func (sim *simulation) watchOwner(h *fakeHost, incarnation int) {
	if !h.alive || h.incarnation != incarnation {
		return
	}
	if sim.storeReachable(h) {
		sim.expireLease()
		if h.seenRevision != sim.store.ownerRevision || h.seenRevision == 0 {
			h.seenRevision = sim.store.ownerRevision
			sim.post(h, incarnation, sim.ownerSeen())
		}
	}
	sim.at(10*msec, func() { sim.watchOwner(h, incarnation) })
}

func (sim *simulation) ownerSeen() OwnerSeen {
	e := OwnerSeen{Revision: sim.store.ownerRevision}
	if sim.store.owner != nil {
		e.Present, e.Record = true, *sim.store.owner
	}
	return e
}

func (sim *simulation) expireLease() {
	if sim.store.owner != nil && sim.now >= sim.store.leaseEnd {
		sim.store.owner = nil
		sim.store.revision++
		sim.store.ownerRevision = sim.store.revision
	}
}

func (sim *simulation) storeReachable(h *fakeHost) bool {
	if sim.faults.storeDown != nil && sim.faults.storeDown(sim.now) {
		return false
	}
	return !sim.isIsolated(h) && (sim.faults.hostPartitioned == nil || !sim.faults.hostPartitioned(h.index, sim.now))
}

func (sim *simulation) isIsolated(h *fakeHost) bool {
	return sim.faults.hostIsolated != nil && sim.faults.hostIsolated(h.index, sim.now)
}

func (sim *simulation) listWorkers(h *fakeHost, incarnation int) {
	var list []WorkerInfo
	for _, id := range sim.workerIDs() {
		if fw := sim.workers[id]; fw.up {
			list = append(list, fw.info)
		}
	}
	sim.post(h, incarnation, WorkersListed{Workers: list})
}

func (sim *simulation) workerIDs() []WorkerID {
	var ids []WorkerID
	for id := range sim.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// post sends an event to a host's reducer and carries out its effects.
func (sim *simulation) post(h *fakeHost, incarnation int, e Event) {
	if !h.alive || h.incarnation != incarnation {
		return
	}
	if sim.snapshotEvery > 0 && h.r.cell != nil {
		h.r.cell.log.groupsPerSnapshot = sim.snapshotEvery
	}
	for _, f := range h.r.Step(Input{At: sim.now, Wall: sim.wall(), Event: e}) {
		sim.execute(h, incarnation, f)
	}
}

// execute carries out an effect of a host.
func (sim *simulation) execute(h *fakeHost, incarnation int, f Effect) {
	switch f := f.(type) {
	case Wake:
		sim.wakes++
		sim.at(f.After, func() { sim.post(h, incarnation, Woken{}) })
	case Call:
		sim.executeCall(h, f.Operation, func(res Result) {
			if sim.rng.Float64() >= sim.faults.lostResultRate {
				sim.post(h, incarnation, CallAnswered{ID: f.ID, Result: res})
			}
		})
	case Reply:
		sim.handleReply(h, f)
	case Decision:
		if sim.onDecision != nil {
			sim.onDecision(f)
		}
		if sim.debug {
			sim.decisionLog = append(sim.decisionLog, fmt.Sprintf("%.3f host%d %+v", float64(sim.now-Time(time.Hour))/1e9, h.index, f))
		}
	case Forward:
		sim.forward(h, incarnation, f)
	case Hello:
		for _, o := range sim.hosts {
			if o.address == f.Address && !sim.isIsolated(h) && !sim.isIsolated(o) {
				targetIncarnation := o.incarnation
				sim.at(sim.delay(), func() { sim.post(o, targetIncarnation, HelloReceived{Host: h.address, Address: h.address}) })
			}
		}
	case EndLease:
		sim.at(sim.delay(), func() {
			if caller := sim.caller(h, f); caller != nil && sim.storeReachable(caller) {
				sim.expireLease()
				sim.endLease(f)
			}
		})
	case ReadOwner:
		sim.at(sim.delay(), func() {
			if sim.storeReachable(h) {
				sim.expireLease()
				seen := sim.ownerSeen()
				sim.at(sim.delay(), func() { sim.post(h, incarnation, seen) })
			}
		})
	}
}

// executeCall carries out a call of a host and passes its result to answer.
func (sim *simulation) executeCall(h *fakeHost, op Operation, answer func(Result)) {
	switch op := op.(type) {
	case ReadLog, ClaimOwnership, RenewLease, WriteGroup, DeleteGroups:
		sim.executeStore(h, op, answer)
	case AskAdvice:
		sim.adviceCalls[op.Host]++
		if sim.faults.adviceFails != nil && sim.faults.adviceFails(op.Host) {
			sim.at(msec, func() { answer(AdviceAnswered{Failed: true}) })
			return
		}
		sim.at(sim.delay()+time.Duration(len(op.Workers))*msec, func() {
			advice := sim.advise(op)
			sim.at(sim.delay(), func() { answer(advice) })
		})
	case Hold, StartTask, StopTask, PaceTask:
		sim.deliverOrder(h, op, answer)
	}
}

// forward delivers a request to the owner and the answer to the host.
func (sim *simulation) forward(h *fakeHost, incarnation int, f Forward) {
	sim.lastToken++
	token := sim.lastToken
	var to *fakeHost
	for _, o := range sim.hosts {
		if o.address == f.Address {
			to = o
		}
	}
	if sim.faults.dropForwardAnswers || sim.isIsolated(h) || sim.isIsolated(to) {
		sim.at(f.Timeout, func() { sim.post(h, incarnation, ForwardAnswered{Token: f.Token, Failed: true, Written: true}) })
		return
	}
	if !to.alive {
		sim.at(sim.delay(), func() { sim.post(h, incarnation, ForwardAnswered{Token: f.Token, Failed: true}) })
		return
	}
	answered := false
	forwardCallbacks[token] = func(a Answer) {
		if !answered {
			answered = true
			sim.at(sim.delay(), func() { sim.post(h, incarnation, ForwardAnswered{Token: f.Token, Answer: a}) })
		}
	}
	targetIncarnation := to.incarnation
	sim.at(sim.delay(), func() { sim.post(to, targetIncarnation, withToken(f.Request, token)) })
	sim.at(f.Timeout, func() {
		if !answered {
			answered = true
			sim.post(h, incarnation, ForwardAnswered{Token: f.Token, Failed: true, Written: true})
		}
	})
}

// forwardCallbacks holds the functions that receive the answers to forwarded requests.
// Tests that use it must not run in parallel.
var forwardCallbacks = map[Token]func(Answer){}

func withToken(e Event, token Token) Event {
	switch e := e.(type) {
	case SubmitReceived:
		e.Token, e.Forwarded = token, true
		return e
	case StatusReceived:
		e.Token, e.Forwarded = token, true
		return e
	case CancelReceived:
		e.Token, e.Forwarded = token, true
		return e
	case PendingReceived:
		e.Token, e.Forwarded = token, true
		return e
	}
	return e
}

// replyCallbacks holds the functions that receive the answers to callers. Tests that
// use it must not run in parallel.
var replyCallbacks = map[Token]func(Answer){}

func (sim *simulation) handleReply(_ *fakeHost, r Reply) {
	if f := forwardCallbacks[r.Token]; f != nil {
		delete(forwardCallbacks, r.Token)
		f(r.Answer)
		return
	}
	if f := replyCallbacks[r.Token]; f != nil {
		delete(replyCallbacks, r.Token)
		f(r.Answer)
	}
}

// callerTimeout is how long a caller waits for an answer.
const callerTimeout = 3 * time.Second

// ask sends a request to a random host and calls f with the answer, or with
// StatusUnknown after callerTimeout.
func (sim *simulation) ask(build func(Token) Event, f func(Answer)) {
	sim.askHost(sim.hosts[sim.rng.IntN(len(sim.hosts))], build, f)
}

// askHost sends a request to a host, as ask does.
func (sim *simulation) askHost(h *fakeHost, build func(Token) Event, f func(Answer)) {
	sim.lastToken++
	token := sim.lastToken
	if !h.alive {
		sim.at(sim.delay(), func() { f(Answer{Status: StatusUnavailable, Reason: "dead host"}) })
		return
	}
	done := false
	replyCallbacks[token] = func(a Answer) {
		if !done {
			done = true
			f(a)
		}
	}
	incarnation := h.incarnation
	sim.at(sim.delay(), func() { sim.post(h, incarnation, build(token)) })
	sim.at(callerTimeout, func() {
		if !done {
			done = true
			f(Answer{Status: StatusUnknown})
		}
	})
}
