package standin

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/store"
	"banyanrun.example/banyanrun/standin/worker"
	"banyanrun.example/banyanrun/wire"
)

// fuzzWait is the timeout of each request; watches and syncs would wait longer.
const fuzzWait = 20 * time.Millisecond

// send passes a request to the handler. A panic of the handler fails the test;
// no fault switch is set that would abort an answer.
func send(t *testing.T, handler http.Handler, method, path string, header http.Header, body []byte) *httptest.ResponseRecorder {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), fuzzWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, path, bytes.NewReader(body))
	if err != nil {
		t.Skip() // not a valid request target
	}
	for name, values := range header {
		req.Header[name] = values
	}
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, req)
	return answer
}

// whileRunning runs a loop in the background until the fuzz target ends.
func whileRunning(f *testing.F, run func(context.Context)) {
	ctx, stop := context.WithCancel(context.Background())
	var running conc.WaitGroup
	running.Go(func() { run(ctx) })
	f.Cleanup(func() { stop(); running.Wait() })
}

// Guards against requests that stop the store's event loop, which tests would
// see as an outage that they did not inject.
func FuzzStoreBodies(f *testing.F) {
	p := newPlatform(clock{time.Now()}, store.New(store.Limits{}, store.Faults{}, wire.HostList{}), func(context.Context, store.WorkerListingChanged) {})
	whileRunning(f, p.run)
	router := httprouter.New()
	p.addRoutes(router)
	requests := []struct{ method, path string }{
		{http.MethodPut, wire.PathKV + "/a/b"}, {http.MethodPost, wire.PathKVDelete}, {http.MethodPost, wire.PathLeases},
		{http.MethodGet, wire.PathKV + "?prefix="}, {http.MethodGet, wire.PathWatch + "?"}, {http.MethodGet, wire.PathHosts + "?since="},
	}
	f.Add(uint8(0), []byte(`{"value":"AAAA","if_revision":0,"lease":"l"}`))
	f.Add(uint8(1), []byte(`{"keys":["a/b",""]}`))
	f.Add(uint8(2), []byte(`{"time_to_live_ms":9223372036854775807}`))
	f.Add(uint8(3), []byte(`a`))
	f.Add(uint8(4), []byte(`prefix=a&since=-1&wait_ms=9223372036854775807`))
	f.Add(uint8(5), []byte(`9223372036854775808`))
	f.Fuzz(func(t *testing.T, route uint8, body []byte) {
		r := requests[int(route)%len(requests)]
		path := r.path
		if r.method == http.MethodGet {
			path += string(body)
		}
		send(t, router, r.method, path, nil, body)
		if _, ok := p.report(context.Background()); !ok {
			t.Fatal("store no longer answers")
		}
	})
}

// Guards against requests that stop a worker's event loop, which tests would
// see as a fault that they did not inject.
func FuzzWorkerBodies(f *testing.F) {
	listed := wire.ListedWorker{ID: "w", Capacity: wire.Resources{MilliCPU: 8000, MemoryMB: 1024, Slots: 8, Connections: 8}}
	ws := newWorkerServer(clock{time.Now()}, listed, Config{DefaultRun: time.Millisecond, Retention: time.Millisecond})
	whileRunning(f, ws.run)
	handler := ws.newHTTPServer().Handler
	paths := []string{wire.PathSync, wire.PathStart, wire.PathSignal, wire.PathCall}
	call := http.Header{}
	call.Set(wire.HeaderEpoch, "1")
	call.Set(wire.HeaderAttempt, "1")
	call.Set(wire.HeaderRequestID, "r")
	f.Add(uint8(0), []byte(`{"epoch":1,"owner":"h","since":18446744073709551615,"lease_ms":-1,"wait_ms":1}`))
	f.Add(uint8(1), []byte(`{"job":"j","task":-1,"attempt":1,"epoch":1,"lease_ms":9223372036854775807,"latest_start_unix_ms":9223372036854,"payload":"e30="}`))
	f.Add(uint8(1), []byte(`{"job":"j","epoch":1,"request":{"milli_cpu":-9223372036854775808},"checkpoint":"j/0/9223372036854775807"}`))
	f.Add(uint8(2), []byte(`{"job":"j","task":-1,"attempt":1,"epoch":1,"signal":"checkpoint"}`))
	f.Add(uint8(3), []byte(`{"run_ms":-1,"result":"x","pad_bytes":9223372036854775807}`))
	f.Add(uint8(3), []byte(`{"run_ms":9223372036854775807,"request":{"slots":-1}}`))
	f.Fuzz(func(t *testing.T, route uint8, body []byte) {
		send(t, handler, http.MethodPost, paths[int(route)%len(paths)], call, body)
		_, _, ok := ws.roundTrip(context.Background(), func(id uint64, _ core.Time) worker.Event {
			return worker.Event{At: ws.clock.now(), Body: worker.ReportRequested{Request: worker.RequestID(id)}}
		})
		if !ok {
			t.Fatal("worker no longer answers")
		}
	})
}
