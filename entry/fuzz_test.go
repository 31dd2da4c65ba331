package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/control"
	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/grant"
	"banyanrun.example/banyanrun/upstream"
	"banyanrun.example/banyanrun/wire"
)

// fuzzTimeout bounds requests that wait for a host or worker, since there is none.
const fuzzTimeout = 100 * time.Millisecond

// fuzzedDaemon is a daemon without a network that owns its data centre. It drops
// every effect that needs I/O, since fuzzed messages can contain any address.
type fuzzedDaemon struct {
	*Daemon
	handler    http.Handler
	goroutines conc.WaitGroup
	stop       context.CancelFunc
}

func newFuzzedDaemon() *fuzzedDaemon {
	d := newTestDaemon()
	d.settings.Host, d.clock = "h", clock{time.Now()}
	d.pending, d.requestSlots = newPendingRequests(), make(chan struct{}, 8)
	d.grants, d.callOutcomes = grant.NewPool(d.clock.now), grant.NewCallDeduplicator(d.clock.now)
	// The workers' addresses refuse connections.
	d.workerClient = upstream.New(upstream.Config{DialTimeout: fuzzTimeout, CallTimeout: fuzzTimeout})
	d.reducer = core.New(core.Config{Host: "h", Address: "127.0.0.1:1", DataCentre: "a", Region: "r", Incarnation: 1, Seed: 1})
	d.takeOwnership()
	d.loop = control.New(control.Config[core.Event, core.Effect]{
		Step: d.step, ExecuteInline: d.executeImmediate, Execute: func(context.Context, core.Effect) {},
		Tick:       func() core.Event { return core.Event{At: d.clock.now(), Body: core.Tick{}} },
		TickPeriod: core.TickPeriod, MailboxSize: mailboxSize,
	})
	f := &fuzzedDaemon{Daemon: d, handler: d.routes()}
	var ctx context.Context
	ctx, f.stop = context.WithCancel(context.Background())
	f.goroutines.Go(func() { d.loop.Run(ctx) })
	return f
}

// close stops the daemon. It panics if the control goroutine has panicked.
func (f *fuzzedDaemon) close() {
	f.stop()
	f.goroutines.Wait()
	f.workerClient.Close()
}

// takeOwnership makes the reducer the owner of a data centre that has two workers
// and a document in force.
func (d *Daemon) takeOwnership() {
	at := d.clock.now()
	var queue []core.EventBody
	step := func(body core.EventBody) {
		at = at.Add(time.Millisecond)
		for _, f := range d.reducer.Step(core.Event{At: at, Body: body}) {
			if a, ok := storeAnswer(f); ok {
				queue = append(queue, a)
			}
			d.executeImmediate(f)
		}
	}
	capacity := core.Resources{MilliCPU: 8000, MemoryMB: 1 << 14, Slots: 8, Connections: 64}
	step(core.HostsListed{
		Workers: []core.ListedWorker{
			{ID: "w1", Address: "127.0.0.1:1", Rack: "r1", DataCentre: "a", Region: "r", Capacity: capacity},
			{ID: "w2", Address: "127.0.0.1:1", Rack: "r2", DataCentre: "a", Region: "r", Capacity: capacity},
		},
		Hosts: []core.ListedHost{{ID: "p", Address: "127.0.0.1:1", DataCentre: "a", Region: "r"}},
	})
	kind := core.Kind{Name: "k", Urgency: core.Normal, Idempotent: true, RunTime: time.Second, Deadline: time.Hour,
		MaxAttempts: 2, QueueLimit: 100, GangSize: 1, Request: core.Resources{MilliCPU: 1000, Slots: 1}}
	lookup := kind
	lookup.Name, lookup.Urgency = "lookup", core.Interactive
	step(core.DocumentsRead{From: "p", Versions: []core.DocumentVersion{{
		Revision: 1, Document: core.Document{Team: "t", Weight: 1, Quota: capacity, Kinds: []core.Kind{kind, lookup}},
	}}})
	for tick := 0; !d.ownsDataCentre(at); tick++ {
		if tick == 100 {
			panic("daemon has not become the owner of its data centre after 100 ticks")
		}
		step(core.Tick{})
		for ; len(queue) > 0; queue = queue[1:] {
			step(queue[0])
		}
		at = at.Add(core.TickPeriod)
	}
	step(core.WorkerSynced{Worker: "w1", Epoch: 64, Incarnation: 1, Sequence: 1, Full: true})
	step(core.WorkerSynced{Worker: "w2", Epoch: 64, Incarnation: 1, Sequence: 1, Full: true})
}

// ownsDataCentre reports whether the reducer owns its data centre.
func (d *Daemon) ownsDataCentre(at core.Time) bool {
	request := core.ViewRequested{Request: 1, View: core.ViewHosts}
	for _, f := range d.reducer.Step(core.Event{At: at, Body: request}) {
		if reply, ok := f.(core.Reply); ok && reply.View.([]core.HostView)[0].Owner {
			return true
		}
	}
	return false
}

// storeAnswer returns the result that an empty store which accepts every write
// gives for an effect.
func storeAnswer(f core.Effect) (core.EventBody, bool) {
	switch f := f.(type) {
	case core.GetValue:
		return core.StoreAnswered{Op: f.Op, Outcome: core.StoreNotFound}, true
	case core.ListValues:
		return core.StoreAnswered{Op: f.Op, Outcome: core.StoreOK, Revision: 1}, true
	case core.PutValue:
		return core.StoreAnswered{Op: f.Op, Outcome: core.StoreOK, Revision: 2}, true
	case core.GrantLease:
		return core.StoreAnswered{Op: f.Op, Outcome: core.StoreOK, Lease: "l"}, true
	case core.RenewLease:
		return core.StoreAnswered{Op: f.Op, Outcome: core.StoreOK, Lease: "l"}, true
	}
	return nil, false
}

// send serves a request and checks that a refusal has a reason other than an
// internal error, and a verdict.
func (f *fuzzedDaemon) send(t *testing.T, method, path string, body []byte) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), fuzzTimeout)
	defer cancel()
	req := httptest.NewRequest(method, path, bytes.NewReader(body)).WithContext(ctx)
	req.Header.Set(wire.HeaderIfMatch, "1")
	response := httptest.NewRecorder()
	f.handler.ServeHTTP(response, req)
	if response.Code < http.StatusBadRequest {
		return
	}
	reason := response.Header().Get(wire.HeaderReason)
	if reason == "" || reason == string(core.ReasonInternal) || response.Header().Get(wire.HeaderVerdict) == "" || !json.Valid(response.Body.Bytes()) {
		t.Fatalf("%s %s with body %q was refused with headers %v and body %s", method, path, body, response.Header(), response.Body)
	}
}

// checkResponsive checks that the reducer still replies.
func (f *fuzzedDaemon) checkResponsive(t *testing.T) {
	t.Helper()
	response := httptest.NewRecorder()
	f.viewHosts(response, httptest.NewRequest(http.MethodGet, wire.PathHostsView, nil), httprouter.Params{})
	if response.Code != http.StatusOK {
		t.Fatalf("reducer no longer replies: %d %s", response.Code, response.Body)
	}
}

// Guards against a request body of a caller or operator that stops the daemon, or
// that is refused without a reason and a verdict.
func FuzzCallerBodies(f *testing.F) {
	requests := []struct{ method, path string }{
		{http.MethodPost, wire.PathJobs}, {http.MethodPost, wire.PathJobsBatch},
		{http.MethodPut, wire.PathDocuments + "/t"}, {http.MethodPost, wire.PathCalls + "/t/lookup"},
		{http.MethodPost, wire.PathCalls + "/t/k"},
	}
	for i := range requests {
		f.Add(uint8(i), []byte(`{"id":"a","team":"t","kind":"k","payload":"AAAA"}`))
		f.Add(uint8(i), []byte(`{"jobs":[{"id":"a","team":"t","kind":"k"},{"id":"","team":"t","kind":"lookup"}]}`))
		f.Add(uint8(i), []byte(`{"schema":1,"team":"t","service":"s","weight":1,"quota":{"cpus":1},"kinds":[{"name":"k"}]}`))
	}
	d := newFuzzedDaemon()
	f.Cleanup(d.close)
	f.Fuzz(func(t *testing.T, route uint8, body []byte) {
		r := requests[int(route)%len(requests)]
		d.send(t, r.method, r.path, body)
		d.checkResponsive(t)
	})
}

// Guards against a message from a peer, or from anyone who can pose as one, that
// stops the daemon. Each run uses a new daemon, since a message may end its
// ownership.
func FuzzPeerBodies(f *testing.F) {
	paths := []string{pathHeartbeat, pathSummary, pathDocuments}
	for i := range paths {
		f.Add(uint8(i), []byte(`{"From":"p","Address":"127.0.0.1:1","Incarnation":1,"Acknowledged":1,"AckEpoch":64,"Calls":[{"Team":"t","Kind":"lookup","Worker":"w1","InUse":-1}]}`))
		f.Add(uint8(i), []byte(`{"From":"p","Owner":true,"Epoch":99,"GrantsWhole":true,"GrantVersion":1,"Grants":[{"Worker":"w1","Team":"t","Kind":"lookup","Slots":-1}]}`))
		f.Add(uint8(i), []byte(`{"From":"x","DataCentre":"b","Region":"r","Epoch":1,"Wait":[1,2,3,4],"Free":{"MilliCPU":-1}}`))
		f.Add(uint8(i), []byte(`{"From":"p","Versions":[{"Revision":9,"Document":{"Team":"t","Kinds":[{"Name":"k","Urgency":"normal"},{"Name":"k"}]}}]}`))
	}
	f.Fuzz(func(t *testing.T, route uint8, body []byte) {
		d := newFuzzedDaemon()
		defer d.close()
		d.send(t, http.MethodPost, paths[int(route)%len(paths)], body)
		for _, later := range []core.EventBody{
			core.Submitted{Request: 1 << 40, Spec: core.JobSpec{ID: "j", Team: "t", Kind: "k", Submitted: d.clock.now()}}, core.Tick{},
			core.CallsReported{Version: 1, Epoch: 64, Calls: []core.CallReport{{Team: "t", Kind: "lookup", Waiting: 1}}}, core.Tick{},
		} {
			d.post(context.Background(), later)
		}
		d.checkResponsive(t)
	})
}
