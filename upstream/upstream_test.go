package upstream_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/standin/worker"
	"banyanrun.example/banyanrun/upstream"
	"banyanrun.example/banyanrun/wire"
)

// startStandIn runs a stand-in and returns it with a client and its first worker.
func startStandIn(t *testing.T) (*standin.Server, *upstream.Client, wire.ListedWorker) {
	t.Helper()
	s, err := standin.Start(standin.Config{Topology: standin.DefaultTopology()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, newClient(t), s.Workers()[0]
}

func newClient(t *testing.T) *upstream.Client {
	c := upstream.New(upstream.Config{DialTimeout: time.Minute, CallTimeout: time.Minute})
	t.Cleanup(c.Close)
	return c
}

func actOnWorker(t *testing.T, s *standin.Server, id string, a standin.WorkerAction) {
	t.Helper()
	if err := s.ApplyWorkerAction(t.Context(), id, a); err != nil {
		t.Fatal(err)
	}
}

func faultAction(f worker.Faults) standin.WorkerAction {
	return standin.WorkerAction{Action: standin.ActionFaults, Faults: f}
}

func ledgerEntries(t *testing.T, s *standin.Server) []worker.Entry {
	t.Helper()
	ledger, err := s.Ledger(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return ledger.Workers[0].Entries
}

func newCall(epoch core.Epoch, id string) upstream.Call {
	return upstream.Call{Epoch: epoch, RequestID: id, Attempt: 1, Team: "t", Kind: "k", Body: []byte(`{"run_ms":1,"result":"r"}`)}
}

func wantVerdict(t *testing.T, err *upstream.Error, want core.Verdict) {
	t.Helper()
	if err == nil || err.Verdict != want {
		t.Fatalf("error %v, want verdict %v", err, want)
	}
}

// Guards against a message that the client and the worker interpret differently.
func TestClientAndWorkerAgreeOnMessages(t *testing.T) {
	s, c, w := startStandIn(t)
	ctx := t.Context()
	request := wire.StartRequest{
		TaskRef: wire.TaskRef{Job: "j", Task: 2, Attempt: 3}, Epoch: 4, Team: "t", Kind: "k",
		Request: wire.Resources{MilliCPU: 5, Slots: 1}, LeaseMS: 60_000,
		LatestStartUnixMS: time.Now().Add(time.Minute).UnixMilli(), Payload: []byte(`{"run_ms":60000}`),
	}
	report, err := c.Start(ctx, w.Address, request)
	if err != nil || report.State != core.ReportedRunning {
		t.Fatalf("start: %+v, %v", report, err)
	}
	synced, err := c.Sync(ctx, w.Address, wire.SyncRequest{Epoch: 4, LeaseMS: 60_000})
	if err != nil || !synced.Full || len(synced.Tasks) != 1 || synced.Tasks[0].TaskRef != request.TaskRef {
		t.Fatalf("sync: %+v, %v", synced, err)
	}
	report, err = c.Signal(ctx, w.Address, wire.SignalRequest{TaskRef: request.TaskRef, Epoch: 4, Signal: core.SignalStop})
	if err != nil || report.State != core.ReportedStopped {
		t.Fatalf("signal: %+v, %v", report, err)
	}
	resp, err := c.Call(ctx, w.Address, newCall(4, "id"))
	if err != nil || resp.Status != http.StatusOK || !strings.Contains(string(resp.Body), `"request_id":"id"`) {
		t.Fatalf("call: %+v, %v", resp, err)
	}
	if e := ledgerEntries(t, s); len(e) != 2 || e[0].Kind != "k" || e[0].Requested != request.Request || e[1].Job != "id" || e[1].Team != "t" {
		t.Errorf("ledger: %+v", e)
	}
	_, err = c.Start(ctx, w.Address, wire.StartRequest{Epoch: 3})
	wantVerdict(t, err, core.NotRun)
	if err.Reason != core.ReasonStaleEpoch || err.HighestEpoch != 4 {
		t.Errorf("refusal: %+v", err)
	}
	_, err = c.Call(ctx, w.Address, newCall(3, "stale"))
	wantVerdict(t, err, core.NotRun)
}

// Guards against treating a call with a broken response as not run: the retry
// would run and bill the call twice.
func TestBrokenResponseMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults worker.Faults
	}{
		{"the response is truncated", worker.Faults{TruncateNext: 1}},
		{"the response is for another request", worker.Faults{MisdirectNext: 1}},
		{"the call runs without a response", worker.Faults{Mute: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, client, w := startStandIn(t)
			actOnWorker(t, s, w.ID, faultAction(c.faults))
			request := newCall(1, "id")
			if c.faults.Mute {
				request.ProgressTimeout = 2 * time.Second // expires only with a mute worker
			}
			resp, err := client.Call(t.Context(), w.Address, request)
			wantVerdict(t, err, core.MayHaveRun)
			if resp != nil {
				t.Errorf("broken response was delivered: %+v", resp)
			}
			if e := ledgerEntries(t, s); len(e) != 1 {
				t.Errorf("ledger %+v, want one start", e)
			}
		})
	}
}

// Guards against treating a refused connection as a request that may have run:
// the requests of a dead worker would never be retried on another one.
func TestRefusedConnectionHasNotRun(t *testing.T) {
	s, c, w := startStandIn(t)
	if _, err := c.Call(t.Context(), w.Address, newCall(1, "warm")); err != nil {
		t.Fatal(err)
	}
	actOnWorker(t, s, w.ID, standin.WorkerAction{Action: standin.ActionKill})
	fresh := newClient(t)
	_, err := fresh.Call(t.Context(), w.Address, newCall(1, "id"))
	wantVerdict(t, err, core.NotRun)
	_, err = fresh.Start(t.Context(), w.Address, wire.StartRequest{Epoch: 1})
	wantVerdict(t, err, core.NotRun)
	if e := ledgerEntries(t, s); len(e) != 1 {
		t.Errorf("ledger %+v, want only the first call", e)
	}
}

// Guards against accepting a response or a refusal with a missing or wrong header,
// and against accepting a conflict without a reason as a refusal.
func TestUnverifiedResponseMayHaveRun(t *testing.T) {
	const body = `{"message":"no reason"}`
	for _, c := range []struct {
		name    string
		status  int
		body    string
		headers map[string]string
		ok      bool
	}{
		{"complete", 200, body, nil, true},
		{"complete with a failed call", 500, body, nil, true},
		{"another attempt", 200, body, map[string]string{wire.HeaderAttempt: "2"}, false},
		{"no request id", 200, body, map[string]string{wire.HeaderRequestID: ""}, false},
		{"wrong digest", 200, body, map[string]string{wire.HeaderDigest: "1"}, false},
		{"no digest", 200, body, map[string]string{wire.HeaderDigest: ""}, false},
		{"a conflict without a reason", 409, body, nil, false},
		{"a refusal of another request", 409, `{"reason":"stale_epoch"}`, map[string]string{wire.HeaderRequestID: "x"}, false},
		{"over 4 MB", 200, strings.Repeat("x", upstream.MaxResponseBytes+1), nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				h := w.Header()
				h.Set(wire.HeaderRequestID, "id")
				h.Set(wire.HeaderAttempt, "1")
				h.Set(wire.HeaderDigest, upstream.Digest([]byte(c.body)))
				for name, value := range c.headers {
					h.Set(name, value)
				}
				h.Set("Content-Length", strconv.Itoa(len(c.body)))
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			resp, err := newClient(t).Call(t.Context(), server.Listener.Addr().String(), newCall(1, "id"))
			if !c.ok {
				wantVerdict(t, err, core.MayHaveRun)
			} else if err != nil || resp.Status != c.status || string(resp.Body) != c.body {
				t.Errorf("response %+v, error %v", resp, err)
			}
		})
	}
}
