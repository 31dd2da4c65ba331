package scheduler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// world connects reducers with fakes of the store, the workers and the advice
// service in virtual time, and checks at the workers what must always hold.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     Time
	queue   actions
	order   int
	hosts   []*fakeHost
	store   fakeStore
	workers map[WorkerID]*fakeWorker
	config  *Config
	limits  Limits
	faults  faults
	jobs    map[JobID]*fakeJob
	tokens  Token
	broken  []string
	// onDecision, if set, sees each decision.
	onDecision func(Decision)
	debug      bool
	// woken counts the answers to Wake, asked the calls for advice by host.
	woken int
	asked map[string]int
	lines []string
}

// faults are the shares and times of what goes wrong.
type faults struct {
	// loseAnswer is the share of the workers' answers that are lost after the
	// order was carried out, lateOrder that of orders carried out seconds later.
	loseAnswer, lateOrder float64
	// loseWrite is the share of the store's writes without an answer.
	loseWrite float64
	// storeDelay is added to the time of each write.
	storeDelay time.Duration
	storeDown  func(Time) bool
	hostCut    func(host int, at Time) bool
	workerCut  func(id WorkerID, at Time) bool
	failure    float64
	// silentForwards means that forwarded requests get no answer.
	silentForwards bool
	// baseLatency is the tail latency of serving tasks in milliseconds,
	// interference what each scavenging task beside them adds.
	baseLatency, interference int64
	// adviceFails says whether calls for advice through a host fail at once.
	adviceFails func(host string) bool
}

type action struct {
	at    Time
	order int
	f     func()
}

type actions []action

func (a actions) Len() int { return len(a) }
func (a actions) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *actions) Push(x any)   { *a = append(*a, x.(action)) }
func (a *actions) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// fakeJob is a job as its caller knows it.
type fakeJob struct {
	id                     JobID
	spec                   JobSpec
	queue                  QueueName
	sent, accepted, unsure bool
	refused, cancelSent    bool
	cancelled              Time
	complete               bool
	notedDone              map[TaskID]bool
	done                   map[TaskID]bool
	shownOtherEnd          bool
}

type fakeHost struct {
	index   int
	life    int
	alive   bool
	address string
	r       *Reducer
	seenRev int64
}

type fakeStore struct {
	revision int64
	owner    *OwnerRecord
	ownerRev int64
	lease    int64
	leaseEnd Time
	ttl      time.Duration
	log      map[int64][]byte
	leases   int64
}

const wallBase = 1_700_000_000_000

func newWorld(t *testing.T, seed uint64, hosts, workers int) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: Time(time.Hour), workers: map[WorkerID]*fakeWorker{},
		jobs: map[JobID]*fakeJob{}, asked: map[string]int{}, limits: Limits{
			MaxLease: 6 * time.Second, StatusRetention: 2 * time.Minute,
			MinStoreLease: time.Second,
		},
	}
	w.store.log = map[int64][]byte{}
	w.config = &Config{Version: 1, Services: map[string]*Service{"svc": {Name: "svc"}}, Queues: map[QueueName]*Queue{
		"urgent": {Name: "urgent", Service: "svc", Attempts: 3, Stretch: 1.5, SLO: 500 * msec},
		"gangs":  {Name: "gangs", Service: "svc", Priority: 1, Attempts: 3, Stretch: 2.2, SLO: time.Second},
		"batch":  {Name: "batch", Service: "svc", Priority: 2, Attempts: 3, Stretch: 4, SLO: 3 * time.Second},
	}}
	for _, q := range w.config.Queues {
		q.Advice = &AdvicePolicy{Base: 10 * msec, PerWorker: msec, Valid: 1500 * msec}
	}
	for i := range workers {
		w.addWorker(i)
	}
	for i := range hosts {
		h := &fakeHost{index: i, address: fmt.Sprintf("h%d", i)}
		w.hosts = append(w.hosts, h)
		w.startHost(h)
	}
	return w
}

// at runs f after a delay.
func (w *world) at(delay time.Duration, f func()) {
	w.order++
	heap.Push(&w.queue, action{w.now.Add(delay), w.order, f})
}

// run plays the world for a time.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && w.queue[0].at <= end {
		a := heap.Pop(&w.queue).(action)
		w.now = a.at
		a.f()
	}
	w.now = end
}

func (w *world) report(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%.3f s: ", float64(w.now-Time(time.Hour))/1e9)+fmt.Sprintf(format, args...))
}

func (w *world) delay() time.Duration { return time.Duration(w.rng.IntN(4000)+300) * time.Microsecond }

func (w *world) wall() int64 { return wallBase + int64(w.now)/int64(msec) }

// startHost starts a process with no memory of earlier ones.
func (w *world) startHost(h *fakeHost) {
	h.life++
	h.alive = true
	h.seenRev = 0
	h.r = New(Self{Host: fmt.Sprintf("host%d", h.index), Address: h.address, Seed: w.rng.Uint64()}, w.limits)
	w.tick(h, h.life)
	life := h.life
	w.at(w.delay(), func() { w.post(h, life, ConfigChanged{Config: w.config}) })
	w.at(w.delay(), func() { w.listWorkers(h, life) })
	w.at(w.delay(), func() { w.watchOwner(h, life) })
}

func (w *world) kill(h *fakeHost) { h.alive = false }

func (w *world) tick(h *fakeHost, life int) {
	if !h.alive || h.life != life {
		return
	}
	w.post(h, life, Tick{})
	w.at(50*msec, func() { w.tick(h, life) })
}

// watchOwner reports the owner record when it changes.
func (w *world) watchOwner(h *fakeHost, life int) {
	if !h.alive || h.life != life {
		return
	}
	if w.storeReachable(h) {
		w.expireLease()
		if h.seenRev != w.store.ownerRev || h.seenRev == 0 {
			h.seenRev = w.store.ownerRev
			w.post(h, life, w.ownerSeen())
		}
	}
	w.at(10*msec, func() { w.watchOwner(h, life) })
}

func (w *world) ownerSeen() OwnerSeen {
	e := OwnerSeen{Revision: w.store.ownerRev}
	if w.store.owner != nil {
		e.Present, e.Record = true, *w.store.owner
	}
	return e
}

func (w *world) expireLease() {
	if w.store.owner != nil && w.now >= w.store.leaseEnd {
		w.store.owner = nil
		w.store.revision++
		w.store.ownerRev = w.store.revision
	}
}

func (w *world) storeReachable(h *fakeHost) bool {
	if w.faults.storeDown != nil && w.faults.storeDown(w.now) {
		return false
	}
	return w.faults.hostCut == nil || !w.faults.hostCut(h.index, w.now)
}

func (w *world) listWorkers(h *fakeHost, life int) {
	var list []WorkerInfo
	for _, id := range w.workerIDs() {
		if fw := w.workers[id]; fw.up {
			list = append(list, fw.info)
		}
	}
	w.post(h, life, WorkersListed{Workers: list})
}

func (w *world) workerIDs() []WorkerID {
	var ids []WorkerID
	for id := range w.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// post steps a reducer and carries out its effects.
func (w *world) post(h *fakeHost, life int, e Event) {
	if !h.alive || h.life != life {
		return
	}
	for _, f := range h.r.Step(Input{At: w.now, Wall: w.wall(), Event: e}) {
		w.execute(h, life, f)
	}
}

// execute carries out an effect of a host.
func (w *world) execute(h *fakeHost, life int, f Effect) {
	back := func(d time.Duration, e Event) { w.at(d, func() { w.post(h, life, e) }) }
	switch f := f.(type) {
	case Wake:
		w.woken++
		back(f.After, Woken{})
	case Reply:
		w.replied(h, f)
	case Decision:
		if w.onDecision != nil {
			w.onDecision(f)
		}
		if w.debug {
			w.lines = append(w.lines, fmt.Sprintf("%.3f host%d %+v", float64(w.now-Time(time.Hour))/1e9, h.index, f))
		}
	case Forward:
		w.forward(h, life, f)
	case Hello:
		for _, o := range w.hosts {
			if o.address == f.Address {
				ol := o.life
				w.at(w.delay(), func() { w.post(o, ol, HelloReceived{Host: h.address, Address: h.address}) })
			}
		}
	case ReadLog, ClaimOwnership, RenewLease, EndLease, ReadOwner, WriteGroup, DeleteGroups:
		w.executeStore(h, life, f)
	case AskAdvice:
		w.asked[f.Host]++
		if w.faults.adviceFails != nil && w.faults.adviceFails(f.Host) {
			back(msec, AdviceAnswered{Call: f.Call, Failed: true})
			return
		}
		w.at(w.delay()+time.Duration(len(f.Workers))*msec, func() { back(w.delay(), w.advise(f)) })
	case Hold, StartTask, StopTask, PaceTask:
		w.deliverOrder(h, life, f)
	}
}

// advise answers for the advice service: a worker is good for a step by a hash.
func (w *world) advise(f AskAdvice) AdviceAnswered {
	e := AdviceAnswered{Call: f.Call, Valid: 1500 * msec}
	for _, id := range f.Workers {
		if adviceGood(f.Step, id) {
			e.Good = append(e.Good, Ticket{id, f.Step + string(id)})
		}
	}
	return e
}

func adviceGood(step string, id WorkerID) bool {
	sum := 0
	for _, b := range []byte(step + string(id)) {
		sum = sum*31 + int(b)
	}
	return sum%3 != 0
}

// forward carries a request to the owner and its answer back.
func (w *world) forward(h *fakeHost, life int, f Forward) {
	w.tokens++
	token := w.tokens
	var to *fakeHost
	for _, o := range w.hosts {
		if o.address == f.Address {
			to = o
		}
	}
	if w.faults.silentForwards {
		w.at(f.Timeout, func() { w.post(h, life, ForwardAnswered{Token: f.Token, Failed: true, Written: true}) })
		return
	}
	if !to.alive {
		w.at(w.delay(), func() { w.post(h, life, ForwardAnswered{Token: f.Token, Failed: true}) })
		return
	}
	answered := false
	forwards[token] = func(a Answer) {
		if !answered {
			answered = true
			w.at(w.delay(), func() { w.post(h, life, ForwardAnswered{Token: f.Token, Answer: a}) })
		}
	}
	tl := to.life
	w.at(w.delay(), func() { w.post(to, tl, withToken(f.Request, token)) })
	w.at(f.Timeout, func() {
		if !answered {
			answered = true
			w.post(h, life, ForwardAnswered{Token: f.Token, Failed: true, Written: true})
		}
	})
}

// forwards holds what to do with the answers to forwarded requests. Tests of this
// package that use it do not run in parallel.
var forwards = map[Token]func(Answer){}

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

// replies holds what callers do with their answers.
var replies = map[Token]func(Answer){}

func (w *world) replied(_ *fakeHost, r Reply) {
	if f := forwards[r.Token]; f != nil {
		delete(forwards, r.Token)
		f(r.Answer)
		return
	}
	if f := replies[r.Token]; f != nil {
		delete(replies, r.Token)
		f(r.Answer)
	}
}

// callerTimeout is how long a caller waits for an answer.
const callerTimeout = 3 * time.Second

// ask sends a request to a random host and calls f with the answer, or with
// StatusUnknown if there is none in time.
func (w *world) ask(build func(Token) Event, f func(Answer)) {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	w.tokens++
	token := w.tokens
	if !h.alive {
		w.at(w.delay(), func() { f(Answer{Status: StatusUnavailable, Reason: "dead host"}) })
		return
	}
	done := false
	replies[token] = func(a Answer) {
		if !done {
			done = true
			f(a)
		}
	}
	life := h.life
	w.at(w.delay(), func() { w.post(h, life, build(token)) })
	w.at(callerTimeout, func() {
		if !done {
			done = true
			f(Answer{Status: StatusUnknown})
		}
	})
}
