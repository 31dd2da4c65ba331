package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// taskSpec is what the cases put into a job's spec. It tells the stand-in worker how the
// tasks behave.
type taskSpec struct {
	// MS is how long a task works. A task without it runs until it is stopped.
	MS int64 `json:"ms,omitempty"`
	// Image tells serving tasks from those that fill.
	Image string `json:"image,omitempty"`
}

// workerRun is a run on a worker.
type workerRun struct {
	task   string
	number int64
	spec   taskSpec
	began  time.Time
	endsAt time.Time
	// stopsAt is when the stop of the run takes effect.
	stopsAt time.Time
	// pace is the share in percent at which the run works, from paceAt on.
	pace, nextPace int64
	paceAt         time.Time
}

type endRow struct {
	number int64
	entry  *runEntry
}

// runEntry is the history of a run, for the check of the rules.
type runEntry struct {
	Task, Worker, How  string
	Run, Token         int64
	Began, Ended, Seen time.Time
	// lapsed means that the worker's lease lapsed between the end and when it was taken
	// note of.
	lapsed bool
}

// worker is a stand-in for a worker.
type worker struct {
	mu       sync.Mutex
	id       string
	machine  string
	address  string
	labels   []string
	capacity int64
	memory   int64
	maxHold  time.Duration
	born     time.Time
	maxToken int64
	deadline int64
	runs     map[string]*workerRun
	barred   map[string]int64
	ends     []endRow
	lastEnd  int64
	wake     chan struct{}
	server   *http.Server
	// crashed means that the process of the worker has ended.
	crashed bool
	// loseAnswer, if set, says whether the response to a call that was executed is lost.
	loseAnswer func(path string, body callBody) bool
	// usage, if set, returns the fifth entry of a row of active runs.
	usage   func(w *worker, r *workerRun) int64
	entries map[string]*runEntry
	history *history
	rec     *record
}

// history holds the runs of all workers.
type history struct {
	mu   sync.Mutex
	runs []*runEntry
}

func (h *history) add(e *runEntry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, e)
}

func newWorker(id, address string, capacity int64, labels []string, maxHold time.Duration, h *history, rec *record) *worker {
	w := &worker{
		id: id, machine: "m-" + id, address: address, labels: labels, capacity: capacity, memory: 64000, maxHold: maxHold, born: time.Now(),
		runs: map[string]*workerRun{}, barred: map[string]int64{}, wake: make(chan struct{}), entries: map[string]*runEntry{},
		history: h, rec: rec,
	}
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}()
	return w
}

// crash ends the worker for good: all that runs on it is gone, its connections are reset
// and new ones are refused.
func (w *worker) crash() {
	w.rec.add("%s crashes", w.id)
	w.mu.Lock()
	w.crashed = true
	for _, r := range w.runs {
		e := w.entries[runName(r.task, r.number)]
		e.How, e.Ended = "lost", time.Now()
	}
	w.runs = map[string]*workerRun{}
	w.mu.Unlock()
	_ = w.server.Close()
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// entry returns what the worker writes to the store about itself.
func (w *worker) entry(seq int64) map[string]any {
	return map[string]any{
		"service": serviceName, "address": w.address, "zone": "z", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"seq": seq, "born": w.born.UnixMilli(), "machine": w.machine,
		"capacity": map[string]int64{"cpu": w.capacity, "mem_mb": w.memory, "gpu": 0}, "labels": w.labels,
	}
}

// advance ends the runs that are due. The caller holds the lock.
func (w *worker) advance() {
	now := time.Now()
	lapsed := w.deadline > 0 && w.clock() >= w.deadline
	if lapsed {
		for _, e := range w.ends {
			e.entry.lapsed = true
		}
	}
	for _, r := range w.runs {
		if !r.paceAt.IsZero() && now.After(r.paceAt) {
			r.pace, r.paceAt = r.nextPace, time.Time{}
		}
		switch {
		case lapsed:
			w.end(r, "lapsed")
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			w.end(r, "stopped")
		case !r.endsAt.IsZero() && now.After(r.endsAt):
			w.end(r, "done")
		}
	}
}

func (w *worker) end(r *workerRun, how string) {
	delete(w.runs, r.task)
	w.barred[r.task] = max(w.barred[r.task], r.number)
	w.lastEnd++
	e := w.entries[runName(r.task, r.number)]
	e.How, e.Ended = how, time.Now()
	w.ends = append(w.ends, endRow{w.lastEnd, e})
	w.rec.addAt(e.Ended, "%s ends %s run %d: %s", w.id, r.task, r.number, how)
	close(w.wake)
	w.wake = make(chan struct{})
}

func runName(task string, run int64) string { return fmt.Sprintf("%s#%d", task, run) }

// callBody is the body of a call to a worker.
type callBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last_seen"`
	Wait       int64  `json:"wait_ms"`
	Percent    int64  `json:"percent"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	var in callBody
	if err != nil || json.Unmarshal(text, &in) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		respond(out, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	status, answer := w.call(r, in)
	w.mu.Lock()
	lost := w.loseAnswer != nil && w.loseAnswer(r.URL.Path, in)
	w.mu.Unlock()
	if lost {
		w.rec.add("%s carries out %s %s run %d percent %d; its answer is lost", w.id, r.URL.Path, in.Task, in.Run, in.Percent)
		<-r.Context().Done()
		return
	}
	respond(out, status, answer)
}

func (w *worker) call(r *http.Request, in callBody) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if in.Token < w.maxToken {
		return w.conflict("fence")
	}
	if in.Token > w.maxToken {
		w.rec.add("%s sees fencing token %d", w.id, in.Token)
	}
	w.maxToken = in.Token
	if in.Deadline > 0 {
		w.deadline = max(w.deadline, min(in.Deadline, w.clock()+w.maxHold.Milliseconds()))
	}
	switch r.URL.Path {
	case "/v1/hold":
		return w.hold(r, in)
	case "/v1/run-start":
		return w.start(in)
	case "/v1/run-stop":
		w.barred[in.Task] = max(w.barred[in.Task], in.Run)
		if run := w.runs[in.Task]; run != nil && run.number <= in.Run && run.stopsAt.IsZero() {
			run.stopsAt = time.Now().Add(stopTime)
		}
		return w.ok()
	case "/v1/pace":
		if run := w.runs[in.Task]; run != nil && run.number == in.Run {
			run.nextPace, run.paceAt = in.Percent, time.Now().Add(paceTime)
		}
		w.rec.add("%s gets pace %d for %s run %d", w.id, in.Percent, in.Task, in.Run)
		return w.ok()
	}
	return http.StatusNotFound, map[string]any{}
}

func (w *worker) ok() (int, map[string]any) {
	return http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
}

func (w *worker) conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "reason": reason}
}

func (w *worker) start(in callBody) (int, map[string]any) {
	run := w.runs[in.Task]
	switch {
	case run != nil && run.number == in.Run:
		return w.ok()
	case run != nil && run.number > in.Run || w.barred[in.Task] >= in.Run:
		return w.conflict("old")
	case in.Deadline <= w.clock():
		return w.conflict("late")
	}
	var spec taskSpec
	if err := json.Unmarshal([]byte(in.Spec), &spec); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	now := time.Now()
	run = &workerRun{task: in.Task, number: in.Run, spec: spec, began: now, pace: 100}
	if spec.MS > 0 {
		run.endsAt = now.Add(time.Duration(spec.MS) * time.Millisecond)
	}
	w.runs[in.Task] = run
	e := &runEntry{Task: in.Task, Worker: w.id, Run: in.Run, Token: in.Token, Began: now}
	w.entries[runName(in.Task, in.Run)] = e
	w.history.add(e)
	w.rec.addAt(now, "%s starts %s run %d, token %d", w.id, in.Task, in.Run, in.Token)
	return w.ok()
}

// hold answers at once if there is an end to report, and else waits for one.
func (w *worker) hold(r *http.Request, in callBody) (int, map[string]any) {
	for len(w.ends) > 0 && w.ends[0].number <= in.LastSeen {
		w.ends[0].entry.Seen = time.Now()
		w.ends = w.ends[1:]
	}
	timeout := time.After(time.Duration(in.Wait) * time.Millisecond)
	for waiting := in.Wait > 0; waiting && len(w.ends) == 0; {
		wake := w.wake
		w.mu.Unlock()
		select {
		case <-wake:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	active, finished := [][]any{}, [][]any{}
	for _, run := range w.runs {
		percent, usage := run.pace, int64(0)
		if run.spec.MS > 0 {
			percent = min(99, time.Since(run.began).Milliseconds()*100/run.spec.MS)
		}
		if w.usage != nil {
			usage = w.usage(w, run)
		}
		active = append(active, []any{run.task, run.number, "", percent, usage})
	}
	for i, e := range w.ends {
		if i == maxListedEnds {
			break
		}
		finished = append(finished, []any{e.number, e.entry.Task, e.entry.Run, e.entry.How, ""})
	}
	status, answer := w.ok()
	answer["active"], answer["finished"] = active, finished
	return status, answer
}

const (
	// stopTime is how long a stop takes, paceTime until a pace takes effect.
	stopTime = 100 * time.Millisecond
	paceTime = 100 * time.Millisecond
	// maxListedEnds is the number of ends that a worker lists in one answer.
	maxListedEnds = 500
)
