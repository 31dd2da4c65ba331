package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"banyanrun.example/banyanrun/control"
	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/worker"
	"banyanrun.example/banyanrun/wire"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"
)

// maxWorkerBody bounds a request to a worker.
const maxWorkerBody = 8 << 20

// maxPadBytes bounds the padding of an answer. It exceeds what entry hosts accept,
// so that an answer can be too long for them.
const maxPadBytes = 16 << 20

// workerNode serves one worker on a port of its own.
type workerServer struct {
	eventLoop[worker.Event, worker.Effect, worker.Answer]
	listed     wire.ListedWorker
	defaultRun time.Duration

	serverMu   sync.Mutex // guards what follows
	httpServer *http.Server
	// connections and peak count the open connections of this incarnation.
	connections, peakConnections int
}

func newWorkerServer(c clock, listed wire.ListedWorker, cfg Config) *workerServer {
	reducer := worker.New(worker.Config{
		ID: listed.ID, Capacity: listed.Capacity.Core(), UsageLag: cfg.UsageLag,
		Retention: cfg.Retention, Incarnation: incarnation(c),
	})
	n := &workerServer{listed: listed, defaultRun: cfg.DefaultRun}
	elapsed := func(at core.Time) worker.Event { return worker.Event{At: at, Body: worker.Tick{}} }
	n.init(c, control.New(control.Config[worker.Event, worker.Effect]{
		Step: reducer.Step, Execute: func(context.Context, worker.Effect) {}, Immediate: n.immediate,
		Tick:   func() worker.Event { return elapsed(c.now()) },
		Period: tickPeriod, Mailbox: mailboxCapacity,
	}), elapsed)
	return n
}

// incarnation numbers incarnations by time. Less than one change a microsecond
// keeps the numbers above earlier sequence numbers.
func incarnation(c clock) uint64 { return uint64(c.now()) / uint64(time.Microsecond) }

func (n *workerServer) immediate(f worker.Effect) bool {
	switch f := f.(type) {
	case worker.Answer:
		n.deliverAnswer(uint64(f.Request), f)
	case worker.WakeAt:
		n.setWake(f.At)
	}
	return true
}

func (n *workerServer) post(ctx context.Context, body worker.EventBody) bool {
	return n.loop.Post(ctx, worker.Event{At: n.clock.now(), Body: body})
}

// newServer replaces the worker's server by one that does not serve yet.
func (n *workerServer) newHTTPServer() *http.Server {
	router := httprouter.New()
	router.POST(wire.PathSync, n.handleSync)
	router.POST(wire.PathStart, n.handleStart)
	router.POST(wire.PathSignal, n.handleSignal)
	router.POST(wire.PathCall, n.handleCall)
	server := &http.Server{Handler: router}
	server.ConnState = n.countConnections(server)
	n.serverMu.Lock()
	defer n.serverMu.Unlock()
	n.httpServer, n.connections, n.peakConnections = server, 0, 0
	return server
}

// countConnections counts the open connections of one server.
func (n *workerServer) countConnections(server *http.Server) func(net.Conn, http.ConnState) {
	return func(_ net.Conn, state http.ConnState) {
		n.serverMu.Lock()
		defer n.serverMu.Unlock()
		if n.httpServer != server {
			return
		}
		switch state {
		case http.StateNew:
			n.connections++
			n.peakConnections = max(n.peakConnections, n.connections)
		case http.StateClosed, http.StateHijacked:
			n.connections--
		}
	}
}

// stop closes the port and all connections.
func (n *workerServer) stop() {
	n.serverMu.Lock()
	server := n.httpServer
	n.httpServer = nil
	n.serverMu.Unlock()
	if server != nil {
		server.Close()
	}
}

// request passes a message to the reducer. It returns false if there is no answer
// because the caller or the worker is gone.
func (n *workerServer) send(r *http.Request, build func(worker.RequestID) worker.EventBody) (worker.Answer, bool) {
	id, a, ok := n.roundTrip(r.Context(), func(id uint64, at core.Time) worker.Event {
		return worker.Event{At: at, Body: build(worker.RequestID(id))}
	})
	if !ok {
		n.post(context.Background(), worker.RequestAbandoned{Request: worker.RequestID(id)})
		return a, false
	}
	sleep(r.Context(), a.Delay)
	return a, true
}

// exchange decodes a JSON message into in, and answers it.
func (n *workerServer) handleJSON(w http.ResponseWriter, r *http.Request, in any, build func(worker.RequestID) worker.EventBody) {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxWorkerBody)).Decode(in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if a, ok := n.send(r, build); ok {
		writeAnswer(w, a)
	}
}

func writeAnswer(w http.ResponseWriter, a worker.Answer) {
	status := http.StatusOK
	if _, refused := a.Body.(wire.WorkerRefusal); refused {
		status = http.StatusConflict
	}
	writeJSON(w, status, a.Body)
}

func (n *workerServer) handleSync(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in wire.SyncRequest
	n.handleJSON(w, r, &in, func(id worker.RequestID) worker.EventBody {
		return worker.SyncReceived{Request: id, Sync: in}
	})
}

func (n *workerServer) handleStart(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in wire.StartRequest
	n.handleJSON(w, r, &in, func(id worker.RequestID) worker.EventBody {
		return worker.StartReceived{Request: id, Start: in, Program: n.program(in.Payload)}
	})
}

func (n *workerServer) handleSignal(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in wire.SignalRequest
	n.handleJSON(w, r, &in, func(id worker.RequestID) worker.EventBody {
		return worker.SignalReceived{Request: id, Signal: in}
	})
}

// program decodes a payload. A payload that is empty or not a program runs for
// the default time.
func (n *workerServer) program(payload []byte) worker.Program {
	p := worker.Program{RunMS: n.defaultRun.Milliseconds()}
	if err := json.Unmarshal(payload, &p); err != nil {
		return worker.Program{RunMS: n.defaultRun.Milliseconds()}
	}
	return p
}

func (n *workerServer) handleCall(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxWorkerBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call, err := decodeCallHeaders(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call.Program = n.program(body)
	a, ok := n.send(r, func(id worker.RequestID) worker.EventBody {
		call.Request = id
		return call
	})
	if !ok {
		return
	}
	if result, ok := a.Body.(worker.CallResult); ok {
		n.writeCallResult(w, result, a.Truncate)
		return
	}
	w.Header().Set(wire.HeaderRequestID, call.RequestID)
	w.Header().Set(wire.HeaderAttempt, strconv.Itoa(call.Attempt))
	writeAnswer(w, a)
}

// callOf reads the headers of a call.
func decodeCallHeaders(h http.Header) (call worker.CallReceived, err error) {
	epoch, err := strconv.ParseUint(h.Get(wire.HeaderEpoch), 10, 64)
	if err != nil {
		return call, fmt.Errorf("header %s: %w", wire.HeaderEpoch, err)
	}
	attempt, err := strconv.Atoi(h.Get(wire.HeaderAttempt))
	if err != nil {
		return call, fmt.Errorf("header %s: %w", wire.HeaderAttempt, err)
	}
	return worker.CallReceived{
		Epoch: core.Epoch(epoch), Attempt: attempt, RequestID: h.Get(wire.HeaderRequestID),
		Team: core.TeamName(h.Get(wire.HeaderTeam)), Kind: core.KindName(h.Get(wire.HeaderKind)),
	}, nil
}

// CallBody is the body of the answer to a call.
type CallBody struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Worker    string `json:"worker"`
	Failed    bool   `json:"failed"`
	Result    string `json:"result"`
	Padding   string `json:"padding,omitempty"`
}

// writeCall writes the answer to a call that has run.
func (n *workerServer) writeCallResult(w http.ResponseWriter, result worker.CallResult, truncate bool) {
	body, err := json.Marshal(CallBody{
		RequestID: result.RequestID, Attempt: result.Attempt, Worker: n.listed.ID,
		Failed: result.Failed, Result: result.Result, Padding: strings.Repeat("x", min(max(0, result.PadBytes), maxPadBytes)),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set(wire.HeaderRequestID, result.RequestID)
	h.Set(wire.HeaderAttempt, strconv.Itoa(result.Attempt))
	h.Set(wire.HeaderDigest, strconv.FormatUint(xxhash.Sum64(body), 16))
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	status := http.StatusOK
	if result.Failed {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	if truncate {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body) // an error means that the caller is gone
}
