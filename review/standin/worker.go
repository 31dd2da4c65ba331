package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeat is the interval at which a worker writes its entry.
	heartbeat = 1500 * time.Millisecond
	// maxHold is the deployment's max_hold_ms.
	maxHold = 6 * time.Second
	// stopTime is how long a stop takes; stop_grace_ms is 400.
	stopTime = 100 * time.Millisecond
	// gangTimeout is the deployment's gang_timeout_ms.
	gangTimeout = 3 * time.Second
	// workerStep is the resolution of a worker's timers.
	workerStep = 2 * time.Millisecond
)

// demand is what a task needs, by the job that its client sent.
type demand struct {
	cpu, mem int64
	runTime  time.Duration
	// label is the label that the worker must have, or empty.
	label string
	// gang is the number of tasks of the gang that the task belongs to, or 0.
	gang int
	// apart is the largest number of tasks of the step on one worker, or 0.
	apart int
}

// fleet holds the workers, and checks what they are told to do.
type fleet struct {
	rec     *record
	store   *store
	service string
	// demandOf returns what a task needs, and false for a task that no client sent.
	demandOf func(task string) (demand, bool)
	// advised means that starts need a ticket of the advice service.
	advised bool

	mu      sync.Mutex
	workers []*worker
	// running counts the runs of each task that are at work, starts all of them.
	running, starts map[string]int
	// done holds the tasks with a run that has ended done and was acknowledged while
	// the worker's lease had not lapsed.
	done map[string]bool
	// partition is the one between the workers and the host whose fencing token is
	// cutToken.
	partition partition
	cutToken  int64
	// broken holds the breaches seen at the workers, by rule.
	broken map[string][]string
}

func newFleet(rec *record, s *store, service string, demandOf func(string) (demand, bool)) *fleet {
	return &fleet{
		rec: rec, store: s, service: service, demandOf: demandOf,
		running: map[string]int{}, starts: map[string]int{}, done: map[string]bool{}, broken: map[string][]string{},
	}
}

// breach records that a rule was broken. The caller holds the lock.
func (f *fleet) breach(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.broken[rule] = append(f.broken[rule], text)
	f.rec.add("BROKEN %s: %s", rule, text)
}

// breaches returns the breaches of a rule.
func (f *fleet) breaches(rule string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken[rule]...)
}

// worker is a worker of the platform. It doesn't guard its capacity.
type worker struct {
	fleet    *fleet
	id       string
	gate     *gate
	cpu, mem int64
	labels   []string
	up       bool
	born     time.Time
	seq      int64
	beatAt   time.Time
	// token is the highest fencing token that was seen.
	token     int64
	leaseEnd  int64
	lapses    int
	runs      map[string]*run
	barred    map[string]int64
	ends      []runEnd
	lastEnd   int64
	endSignal chan struct{}
}

// run is a run that is at work or being stopped.
type run struct {
	task   string
	number int64
	needs  demand
	endsAt time.Time
	stops  bool
	begun  time.Time
	// complete means that all members of the run's gang are present.
	complete bool
}

// runEnd is an end that has not been acknowledged yet.
type runEnd struct {
	n      int64
	task   string
	run    int64
	how    string
	lapses int
}

// add starts a worker.
func (f *fleet) add(ip, id string, cpu, mem int64, labels []string) (*worker, error) {
	w := &worker{fleet: f, id: id, cpu: cpu, mem: mem, labels: labels}
	g, err := serveGate(ip, w)
	if err != nil {
		return nil, err
	}
	w.gate = g
	f.mu.Lock()
	f.workers = append(f.workers, w)
	w.begin()
	f.mu.Unlock()
	go func() {
		for range time.Tick(workerStep) {
			f.mu.Lock()
			w.advance()
			f.mu.Unlock()
		}
	}()
	return w, nil
}

// begin starts an incarnation, which writes its entry before it answers any call. The
// caller holds the lock.
func (w *worker) begin() {
	w.up, w.born = true, time.Now()
	w.token, w.leaseEnd, w.lapses, w.lastEnd = 0, 0, 0, 0
	w.runs, w.barred, w.ends = map[string]*run{}, map[string]int64{}, nil
	w.endSignal = make(chan struct{})
	w.beat()
}

// crash ends the worker's incarnation. Everything that ran on it is gone.
func (w *worker) crash() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.up = false
	for task := range w.runs {
		w.fleet.running[task]--
	}
	w.runs = map[string]*run{}
	close(w.endSignal)
	w.gate.setClosed(true)
	w.fleet.rec.add("worker %s crashes", w.id)
}

// restart starts a new incarnation under the same id and address.
func (w *worker) restart(cpu, mem int64, labels []string) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.cpu, w.mem, w.labels = cpu, mem, labels
	w.begin()
	w.gate.setClosed(false)
	w.fleet.rec.add("worker %s is back with cpu %d, labels %v; its entry is written", w.id, cpu, labels)
}

// beat writes the worker's entry. The caller holds the lock.
func (w *worker) beat() {
	w.beatAt = time.Now()
	w.seq++
	entry, err := json.Marshal(map[string]any{
		"service": w.fleet.service, "address": w.gate.address(), "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "capacity": map[string]int64{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}, "labels": w.labels,
		"born": w.born.UnixMilli(), "clock_ms": w.clock(), "seq": w.seq,
	})
	if err != nil {
		panic(err)
	}
	w.fleet.store.write("servers/"+w.id, entry)
}

// clock returns the worker's clock, which starts anew with each incarnation.
func (w *worker) clock() int64 { return 1000 + time.Since(w.born).Milliseconds() }

// advance does what is due. The caller holds the lock.
func (w *worker) advance() {
	if !w.up {
		return
	}
	if time.Since(w.beatAt) >= heartbeat {
		w.beat()
	}
	lapsed := w.leaseEnd > 0 && w.clock() >= w.leaseEnd
	if lapsed {
		w.leaseEnd = 0
		w.lapses++
	}
	for _, r := range w.runs {
		switch {
		case lapsed:
			w.end(r, "lapsed")
		case time.Now().After(r.endsAt) && r.stops:
			w.end(r, "stopped")
		case time.Now().After(r.endsAt) && r.needs.gang > 0 && !r.complete:
			w.end(r, "alone")
		case time.Now().After(r.endsAt):
			w.end(r, "done")
		}
	}
}

// end lists the end of a run. The caller holds the lock.
func (w *worker) end(r *run, how string) {
	delete(w.runs, r.task)
	if r.complete && how != "done" {
		// The other members can't work on without this one.
		for _, m := range w.fleet.members(r) {
			m.worker.end(m.run, "broken")
		}
	}
	w.fleet.running[r.task]--
	w.barred[r.task] = max(w.barred[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, runEnd{w.lastEnd, r.task, r.number, how, w.lapses})
	w.fleet.rec.add("worker %s: run %d of %s ends %s", w.id, r.number, r.task, how)
	close(w.endSignal)
	w.endSignal = make(chan struct{})
}

// member is a run of a gang that is present.
type member struct {
	worker *worker
	run    *run
}

// members returns the members of a run's gang that are present. The caller holds the lock.
func (f *fleet) members(r *run) []member {
	var members []member
	for _, w := range f.workers {
		for _, other := range w.runs {
			if other.number == r.number && !other.stops && stepOf(other.task) == stepOf(r.task) {
				members = append(members, member{w, other})
			}
		}
	}
	return members
}

// order is the body of any call to a worker.
type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
	Ticket   string `json:"ticket"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	f := w.fleet
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		respond(out, http.StatusBadRequest, nil)
		return
	}
	f.mu.Lock()
	cut := f.cutToken != 0 && o.Token == f.cutToken
	f.mu.Unlock()
	if cut {
		f.partition.pass(dataRetransmissions)
	}
	if r.Context().Err() != nil {
		// The caller has given up meanwhile.
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		respond(out, http.StatusMisdirectedRequest, nil)
		return
	}
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	if o.Token < w.token {
		w.reject(out, "fence")
		return
	}
	w.token = o.Token
	switch r.URL.Path {
	case "/v1/hold":
		w.hold(out, r, o)
	case "/v1/run-start":
		w.start(out, o)
	case "/v1/run-stop":
		w.barred[o.Task] = max(w.barred[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.number <= o.Run && !r.stops {
			r.stops, r.endsAt = true, time.Now().Add(stopTime)
		}
		w.accept(out)
	default:
		w.accept(out)
	}
}

func (w *worker) accept(out http.ResponseWriter) {
	respond(out, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

func (w *worker) reject(out http.ResponseWriter, reason string) {
	respond(out, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "reason": reason})
}

// extend extends the lease up to maxHold from now.
func (w *worker) extend(deadline int64) {
	if deadline > 0 {
		w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxHold.Milliseconds()))
	}
}

func (w *worker) hold(out http.ResponseWriter, r *http.Request, o order) {
	f := w.fleet
	w.extend(o.Deadline)
	for len(w.ends) > 0 && w.ends[0].n <= o.LastSeen {
		e := w.ends[0]
		w.ends = w.ends[1:]
		if e.how == "done" && e.lapses == w.lapses {
			f.done[e.task] = true
		}
	}
	born := w.born
	if timeout := time.NewTimer(time.Duration(o.Wait) * time.Millisecond); o.Wait > 0 {
		for expired := false; !expired && len(w.ends) == 0; {
			signal := w.endSignal
			f.mu.Unlock()
			select {
			case <-signal:
			case <-timeout.C:
				expired = true
			case <-r.Context().Done():
				expired = true
			}
			f.mu.Lock()
			if !w.up || !w.born.Equal(born) {
				panic(http.ErrAbortHandler)
			}
		}
	}
	if f.cutToken != 0 && o.Token == f.cutToken {
		// The answer is written now, and arrives later.
		defer func() {
			f.mu.Unlock()
			f.partition.pass(dataRetransmissions)
			f.mu.Lock()
		}()
	}
	active, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := 100 * float64(time.Since(r.begun)) / float64(max(r.needs.runTime, time.Millisecond))
		active = append(active, []any{r.task, r.number, "", int(min(percent, 99)), r.needs.cpu})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	respond(out, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "active": active, "finished": finished})
}

// start begins a run, and checks it against the rules that a worker can see.
func (w *worker) start(out http.ResponseWriter, o order) {
	f := w.fleet
	r := w.runs[o.Task]
	switch {
	case r != nil && r.number == o.Run:
		w.extend(o.Deadline)
		w.accept(out)
		return
	case r != nil || w.barred[o.Task] >= o.Run:
		w.extend(o.Deadline)
		w.reject(out, "old")
		return
	case o.Deadline <= w.clock():
		w.reject(out, "late")
		return
	case f.advised && (!good(stepOf(o.Task), w.id) || o.Ticket != ticket(stepOf(o.Task), w.id, w.born)):
		w.reject(out, "ticket")
		return
	}
	w.extend(o.Deadline)
	needs, known := f.demandOf(o.Task)
	if !known {
		f.breach("UNASKED", "worker %s is told to start %s, which no client sent", w.id, o.Task)
		needs.runTime = time.Second
	}
	if f.running[o.Task] > 0 {
		f.breach("TWICE", "run %d of %s starts on worker %s while another run is at work", o.Run, o.Task, w.id)
	}
	if f.done[o.Task] {
		f.breach("TWICE", "run %d of %s starts on worker %s after a run has ended done, which was taken note of", o.Run, o.Task, w.id)
	}
	usedCPU, usedMem := needs.cpu, needs.mem
	for _, other := range w.runs {
		usedCPU += other.needs.cpu
		usedMem += other.needs.mem
	}
	if usedCPU > w.cpu || usedMem > w.mem {
		f.breach("LIMIT", "run %d of %s brings worker %s to cpu %d of %d and memory %d of %d", o.Run, o.Task, w.id, usedCPU, w.cpu, usedMem, w.mem)
	}
	if needs.label != "" && !contains(w.labels, needs.label) {
		f.breach("ROUTE", "run %d of %s starts on worker %s with labels %v, without %s", o.Run, o.Task, w.id, w.labels, needs.label)
	}
	beside := 0
	for task := range w.runs {
		if stepOf(task) == stepOf(o.Task) {
			beside++
		}
	}
	if needs.apart > 0 && beside >= needs.apart {
		f.breach("ROUTE", "run %d of %s starts on worker %s beside %d tasks of its step, beyond anti_affinity %d", o.Run, o.Task, w.id, beside, needs.apart)
	}
	f.running[o.Task]++
	f.starts[o.Task]++
	now := time.Now()
	begun := &run{task: o.Task, number: o.Run, needs: needs, endsAt: now.Add(needs.runTime), begun: now}
	w.runs[o.Task] = begun
	if needs.gang > 0 {
		begun.endsAt = now.Add(gangTimeout)
		if members := f.members(begun); len(members) == needs.gang {
			for _, m := range members {
				m.run.complete, m.run.endsAt = true, now.Add(needs.runTime)
			}
		}
	}
	f.rec.add("worker %s: run %d of %s starts, token %d", w.id, o.Run, o.Task, o.Token)
	w.accept(out)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
