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

// maxWorkerBody limits the body of a request to a worker, in bytes.
const maxWorkerBody = 8 << 20

// maxPadBytes limits the padding of an answer. It exceeds the longest answer
// that entry hosts accept, so that tests can send one that is too long.
const maxPadBytes = 16 << 20

// workerServer serves one worker on a port of its own.
type workerServer struct {
	eventLoop[worker.Event, worker.Effect, worker.Answer]
	listed     wire.ListedWorker
	defaultRun time.Duration

	serverMu   sync.Mutex // guards the fields below
	httpServer *http.Server
	// connections and peakConnections count the open connections of the
	// current incarnation.
	connections, peakConnections int
}

func newWorkerServer(c clock, listed wire.ListedWorker, cfg Config) *workerServer {
	reducer := worker.New(worker.Config{
		ID: listed.ID, Capacity: listed.Capacity.ToCore(), UsageLag: cfg.UsageLag,
		Retention: cfg.Retention, Incarnation: incarnation(c),
	})
	ws := &workerServer{listed: listed, defaultRun: cfg.DefaultRun}
	newTick := func(at core.Time) worker.Event { return worker.Event{At: at, Body: worker.Tick{}} }
	ws.init(c, control.New(control.Config[worker.Event, worker.Effect]{
		Step: reducer.Step, Execute: func(context.Context, worker.Effect) {}, ExecuteInline: ws.executeImmediate,
		Tick:       func() worker.Event { return newTick(c.now()) },
		TickPeriod: tickPeriod, MailboxSize: mailboxCapacity,
	}), newTick)
	return ws
}

// incarnation derives incarnation numbers from the time in microseconds. As a
// worker makes less than one change a microsecond, a new number exceeds all
// earlier sequence numbers.
func incarnation(c clock) uint64 { return uint64(c.now()) / uint64(time.Microsecond) }

func (ws *workerServer) executeImmediate(f worker.Effect) bool {
	switch f := f.(type) {
	case worker.Answer:
		ws.deliverAnswer(uint64(f.Request), f)
	case worker.WakeAt:
		ws.setWake(f.At)
	}
	return true
}

func (ws *workerServer) post(ctx context.Context, body worker.EventBody) bool {
	return ws.loop.Post(ctx, worker.Event{At: ws.clock.now(), Body: body})
}

// newHTTPServer replaces the worker's HTTP server. The caller must serve it.
func (ws *workerServer) newHTTPServer() *http.Server {
	router := httprouter.New()
	router.POST(wire.PathSync, ws.handleSync)
	router.POST(wire.PathStart, ws.handleStart)
	router.POST(wire.PathSignal, ws.handleSignal)
	router.POST(wire.PathCall, ws.handleCall)
	server := &http.Server{Handler: router}
	server.ConnState = ws.countConnections(server)
	ws.serverMu.Lock()
	defer ws.serverMu.Unlock()
	ws.httpServer, ws.connections, ws.peakConnections = server, 0, 0
	return server
}

// countConnections returns a ConnState hook that counts the open connections of
// server.
func (ws *workerServer) countConnections(server *http.Server) func(net.Conn, http.ConnState) {
	return func(_ net.Conn, state http.ConnState) {
		ws.serverMu.Lock()
		defer ws.serverMu.Unlock()
		if ws.httpServer != server {
			return
		}
		switch state {
		case http.StateNew:
			ws.connections++
			ws.peakConnections = max(ws.peakConnections, ws.connections)
		case http.StateClosed, http.StateHijacked:
			ws.connections--
		}
	}
}

// stop closes the port and all connections.
func (ws *workerServer) stop() {
	ws.serverMu.Lock()
	server := ws.httpServer
	ws.httpServer = nil
	ws.serverMu.Unlock()
	if server != nil {
		server.Close()
	}
}

// send passes a request to the reducer and waits for the answer. It returns
// false if the caller's context or the worker's loop ends first.
func (ws *workerServer) send(r *http.Request, build func(worker.RequestID) worker.EventBody) (worker.Answer, bool) {
	id, a, ok := ws.roundTrip(r.Context(), func(id uint64, at core.Time) worker.Event {
		return worker.Event{At: at, Body: build(worker.RequestID(id))}
	})
	if !ok {
		ws.post(context.Background(), worker.RequestAbandoned{Request: worker.RequestID(id)})
		return a, false
	}
	sleep(r.Context(), a.Delay)
	return a, true
}

// handleJSON decodes a JSON request into in and writes the answer to it.
func (ws *workerServer) handleJSON(w http.ResponseWriter, r *http.Request, in any, build func(worker.RequestID) worker.EventBody) {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxWorkerBody)).Decode(in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if a, ok := ws.send(r, build); ok {
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

func (ws *workerServer) handleSync(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in wire.SyncRequest
	ws.handleJSON(w, r, &in, func(id worker.RequestID) worker.EventBody {
		return worker.SyncReceived{Request: id, Sync: in}
	})
}

func (ws *workerServer) handleStart(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in wire.StartRequest
	ws.handleJSON(w, r, &in, func(id worker.RequestID) worker.EventBody {
		return worker.StartReceived{Request: id, Start: in, Program: ws.program(in.Payload)}
	})
}

func (ws *workerServer) handleSignal(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in wire.SignalRequest
	ws.handleJSON(w, r, &in, func(id worker.RequestID) worker.EventBody {
		return worker.SignalReceived{Request: id, Signal: in}
	})
}

// program decodes a payload. A payload that is empty or not a program runs for
// the default time.
func (ws *workerServer) program(payload []byte) worker.Program {
	p := worker.Program{RunMS: ws.defaultRun.Milliseconds()}
	if err := json.Unmarshal(payload, &p); err != nil {
		return worker.Program{RunMS: ws.defaultRun.Milliseconds()}
	}
	return p
}

func (ws *workerServer) handleCall(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
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
	call.Program = ws.program(body)
	a, ok := ws.send(r, func(id worker.RequestID) worker.EventBody {
		call.Request = id
		return call
	})
	if !ok {
		return
	}
	if result, ok := a.Body.(worker.CallResult); ok {
		ws.writeCallResult(w, result, a.Truncate)
		return
	}
	w.Header().Set(wire.HeaderRequestID, call.RequestID)
	w.Header().Set(wire.HeaderAttempt, strconv.Itoa(call.Attempt))
	writeAnswer(w, a)
}

// decodeCallHeaders builds a call from the request headers.
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

// CallBody is the JSON body of the answer to a call.
type CallBody struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Worker    string `json:"worker"`
	Failed    bool   `json:"failed"`
	Result    string `json:"result"`
	Padding   string `json:"padding,omitempty"`
}

// writeCallResult writes the answer to a call that has run.
func (ws *workerServer) writeCallResult(w http.ResponseWriter, result worker.CallResult, truncate bool) {
	body, err := json.Marshal(CallBody{
		RequestID: result.RequestID, Attempt: result.Attempt, Worker: ws.listed.ID,
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
	_, _ = w.Write(body) // an error means that the client has closed the connection
}
