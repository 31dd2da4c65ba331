package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease of a worker.
	maxHold = 10 * time.Second
	// stopTime is how long a task takes to stop.
	stopTime = 100 * time.Millisecond
	// heartbeatInterval is the interval at which a worker writes its entry.
	heartbeatInterval = 1500 * time.Millisecond
	// maxReportedEnds bounds the ends in one report.
	maxReportedEnds = 500
	// simulationStep is the resolution of the tasks' ends.
	simulationStep = 5 * time.Millisecond
)

// kind is what a worker is: its service, its labels with the rack last, and its
// capacity.
type kind struct {
	labels   []string
	milliCPU int64
	memoryMB int64
}

// behaviour is what a task does. The payload of its job holds it as JSON. A task without
// WorkMS and FailMS runs until it is stopped.
type behaviour struct {
	MilliCPU int64  `json:"cpu"`
	Label    string `json:"label,omitempty"`
	// WorkMS is the time until the task ends successfully, FailMS the time until it
	// fails.
	WorkMS int64 `json:"work_ms,omitempty"`
	FailMS int64 `json:"fail_ms,omitempty"`
}

// workerRun is a run of a task on a worker.
type workerRun struct {
	task      string
	number    int64
	does      behaviour
	startedAt time.Time
	// stopAt is when the run ends because of a stop order, if it is set.
	stopAt time.Time
	// failNow ends the run as failed.
	failNow bool
}

type workerEnd struct {
	number int64
	run    *workerRun
	how    string
	entry  *end
}

// start is a start that a worker has carried out.
type start struct {
	at     time.Time
	worker string
	run    *workerRun
	// known is how long ago the scheduler had learned of this life of the worker from
	// the worker itself, or negative if it had not.
	known time.Duration
	// usedCPU is what is in use on the worker, this run included.
	usedCPU int64
	kind    kind
}

// end is the end of a run at a worker.
type end struct {
	at   time.Time
	task string
	how  string
	// notedAt is when the scheduler took note of the end, if it has.
	notedAt time.Time
}

// worker is a worker of the platform. It does not guard its capacity.
type worker struct {
	p       *platform
	id      string
	address string
	service string

	mu sync.Mutex
	// The following describes the current life.
	kind      kind
	alive     bool
	born      time.Time
	token     int64
	leaseEnd  int64
	runs      map[string]*workerRun
	forbidden map[string]int64
	ended     []workerEnd
	lastEnd   int64
	// learnedAt is when this life first answered a hold.
	learnedAt time.Time
	// refusing makes the worker reject start orders with status 503.
	refusing bool
	// changed is closed and replaced when a run ends.
	changed       chan struct{}
	lastHeartbeat time.Time
	server        *http.Server
}

// begin starts a life of the worker: it writes its entry and then serves.
func (w *worker) begin(k kind) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.address = listener.Addr().String()
	w.kind, w.alive, w.born = k, true, time.Now()
	w.token, w.leaseEnd, w.lastEnd, w.learnedAt = 0, 0, 0, time.Time{}
	w.runs, w.forbidden, w.ended = map[string]*workerRun{}, map[string]int64{}, nil
	w.changed = make(chan struct{})
	w.server = &http.Server{Handler: w}
	server := w.server
	w.register()
	w.mu.Unlock()
	w.p.rec.printf("worker %s begins: labels %v, %d thousandths of a core, born %d", w.id, k.labels, k.milliCPU, w.born.UnixMilli())
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends the life of the worker without notice. Its connections are closed.
func (w *worker) crash() {
	w.mu.Lock()
	w.alive = false
	server, runs := w.server, len(w.runs)
	w.runs = map[string]*workerRun{}
	w.mu.Unlock()
	w.p.rec.printf("worker %s crashes with %d runs", w.id, runs)
	_ = server.Close()
}

// register writes the worker's entry. The lock must be held.
func (w *worker) register() {
	w.lastHeartbeat = time.Now()
	entry, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": "z", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int64{"cpu": w.kind.milliCPU, "mem_mb": w.kind.memoryMB, "gpu": 0},
		"labels":   w.kind.labels, "born": w.born.UnixMilli(), "seq": time.Now().UnixMilli(),
	})
	w.p.store.put("servers/"+w.id, entry)
}

// clock returns the worker's clock. The lock must be held.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// advance ends the runs that are due.
func (w *worker) advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.alive {
		return
	}
	if time.Since(w.lastHeartbeat) >= heartbeatInterval {
		w.register()
	}
	for _, r := range w.sortedRuns() {
		age := time.Since(r.startedAt).Milliseconds()
		switch {
		case w.clock() >= w.leaseEnd:
			w.endRun(r, "lapsed")
		case !r.stopAt.IsZero() && time.Now().After(r.stopAt):
			w.endRun(r, "stopped")
		case r.failNow || r.does.FailMS > 0 && age >= r.does.FailMS:
			w.endRun(r, "failed")
		case r.does.WorkMS > 0 && age >= r.does.WorkMS:
			w.endRun(r, "done")
		}
	}
}

func (w *worker) sortedRuns() []*workerRun {
	runs := make([]*workerRun, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].task < runs[j].task })
	return runs
}

func (w *worker) endRun(r *workerRun, how string) {
	delete(w.runs, r.task)
	w.forbidden[r.task] = max(w.forbidden[r.task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, workerEnd{w.lastEnd, r, how, w.p.noteEnd(w.id, r, how)})
	close(w.changed)
	w.changed = make(chan struct{})
}

// usedCPU returns what the runs use. The lock must be held.
func (w *worker) usedCPU() int64 {
	used := int64(0)
	for _, r := range w.runs {
		used += r.does.MilliCPU
	}
	return used
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
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	time.Sleep(w.p.workerDelay)
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		respond(out, http.StatusBadRequest, nil)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		respond(out, http.StatusMisdirectedRequest, nil)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.URL.Path == "/v1/run-start" && w.refusing {
		w.p.rec.printf("worker %s rejects the start of %s run %d with status 503", w.id, o.Task, o.Run)
		respond(out, http.StatusServiceUnavailable, nil)
		return
	}
	if o.Token < w.token {
		w.conflict(out, "fence")
		return
	}
	w.token = o.Token
	if o.Deadline > 0 {
		w.leaseEnd = max(w.leaseEnd, min(o.Deadline, w.clock()+maxHold.Milliseconds()))
	}
	switch r.URL.Path {
	case "/v1/hold":
		w.hold(out, r, o)
	case "/v1/run-start":
		w.start(out, o)
	case "/v1/run-stop":
		w.forbidden[o.Task] = max(w.forbidden[o.Task], o.Run)
		if run := w.runs[o.Task]; run != nil && run.number <= o.Run && run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(stopTime)
			w.p.rec.printf("worker %s stops %s run %d", w.id, o.Task, o.Run)
		}
		respond(out, http.StatusOK, w.stamp())
	case "/v1/pace":
		respond(out, http.StatusOK, w.stamp())
	default:
		respond(out, http.StatusNotFound, nil)
	}
}

// stamp returns the fields of every response. The lock must be held.
func (w *worker) stamp() map[string]any {
	return map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
}

func (w *worker) conflict(out http.ResponseWriter, reason string) {
	body := w.stamp()
	body["reason"] = reason
	respond(out, http.StatusConflict, body)
}

// hold answers with the runs and the ends, after an end or the wait. The lock is held
// except during the wait.
func (w *worker) hold(out http.ResponseWriter, r *http.Request, o order) {
	w.ended = slices.DeleteFunc(w.ended, func(e workerEnd) bool {
		if e.number <= o.LastSeen {
			w.p.noteAcknowledged(e.entry)
			return true
		}
		return false
	})
	timeout := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for waiting := o.Wait > 0; waiting && len(w.ended) == 0 && w.alive; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	active, finished := [][]any{}, [][]any{}
	for _, run := range w.sortedRuns() {
		active = append(active, []any{run.task, run.number, "", 100, 0})
	}
	for _, e := range w.ended[:min(len(w.ended), maxReportedEnds)] {
		finished = append(finished, []any{e.number, e.run.task, e.run.number, e.how, ""})
	}
	body := w.stamp()
	body["active"], body["finished"] = active, finished
	body["capacity"] = map[string]int64{"cpu": w.kind.milliCPU, "mem_mb": w.kind.memoryMB, "gpu": 0}
	body["labels"] = w.kind.labels
	if w.learnedAt.IsZero() {
		w.learnedAt = time.Now()
		w.p.rec.printf("worker %s answers its first hold of this life: born %d, labels %v, %d thousandths of a core",
			w.id, w.born.UnixMilli(), w.kind.labels, w.kind.milliCPU)
	}
	respond(out, http.StatusOK, body)
}

// start carries out a start order. The lock must be held.
func (w *worker) start(out http.ResponseWriter, o order) {
	run := w.runs[o.Task]
	var does behaviour
	switch {
	case run != nil && run.number == o.Run:
		respond(out, http.StatusOK, w.stamp())
		return
	case run != nil || w.forbidden[o.Task] >= o.Run:
		w.conflict(out, "old")
		return
	case o.Deadline <= w.clock():
		w.conflict(out, "late")
		return
	case json.Unmarshal([]byte(o.Spec), &does) != nil:
		respond(out, http.StatusBadRequest, nil)
		return
	}
	run = &workerRun{task: o.Task, number: o.Run, does: does, startedAt: time.Now()}
	w.runs[o.Task] = run
	known := time.Duration(-1)
	if !w.learnedAt.IsZero() {
		known = time.Since(w.learnedAt)
	}
	w.p.noteStart(start{run.startedAt, w.id, run, known, w.usedCPU(), w.kind})
	respond(out, http.StatusOK, w.stamp())
}

// describe names a worker's place in the record.
func (s start) describe() string {
	return fmt.Sprintf("%s run %d on worker %s with labels %v and %d thousandths of a core, %d in use",
		s.run.task, s.run.number, s.worker, s.kind.labels, s.kind.milliCPU, s.usedCPU)
}
