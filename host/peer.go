package host

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"banyanrun.example/banyanrun/exchange"
	"banyanrun.example/banyanrun/internal/ingress"
	"banyanrun.example/banyanrun/scheduler"
)

// Paths of the calls between hosts.
const (
	pathRequest = "/peer/v1/request"
	pathHello   = "/peer/v1/hello"
	pathAdvice  = "/peer/v1/advice"
	pathStore   = "/peer/v1/store"
	pathOrders  = "/peer/v1/orders"
	pathResults = "/peer/v1/results"
	// maxPeerBytes bounds a message between hosts. The largest ones are a group of the
	// log of up to 1 MiB and a batch of orders with payloads, both with up to six bytes
	// for each byte of a payload.
	maxPeerBytes = 8 << 20
)

// requestKind is the kind of a caller's request.
type requestKind string

const (
	kindSubmit  requestKind = "submit"
	kindStatus  requestKind = "status"
	kindCancel  requestKind = "cancel"
	kindPending requestKind = "pending"
)

// peerRequest is a caller's request that is forwarded to the owner.
type peerRequest struct {
	Kind    requestKind         `json:"kind"`
	Job     scheduler.JobID     `json:"job,omitempty"`
	Queue   scheduler.QueueName `json:"queue,omitempty"`
	Version int64               `json:"config_version,omitempty"`
	Spec    *scheduler.JobSpec  `json:"spec,omitempty"`
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration `json:"left"`
}

// newPeerRequest returns the message for the event of a caller's request.
func newPeerRequest(e scheduler.Event) peerRequest {
	remaining := func(deadline scheduler.Time) time.Duration { return max(0, deadline.Sub(now())) }
	switch e := e.(type) {
	case scheduler.SubmitReceived:
		return peerRequest{Kind: kindSubmit, Job: e.Job, Queue: e.Queue, Version: e.ConfigVersion, Spec: &e.Spec, Remaining: remaining(e.Deadline)}
	case scheduler.StatusReceived:
		return peerRequest{Kind: kindStatus, Job: e.Job, Remaining: remaining(e.Deadline)}
	case scheduler.CancelReceived:
		return peerRequest{Kind: kindCancel, Job: e.Job, Remaining: remaining(e.Deadline)}
	case scheduler.PendingReceived:
		return peerRequest{Kind: kindPending, Queue: e.Queue, Remaining: remaining(e.Deadline)}
	}
	return peerRequest{}
}

// event returns the event for a forwarded request, or nil if its kind is unknown
// or its job is missing.
func (p *peerRequest) event(token scheduler.Token) scheduler.Event {
	deadline := now().Add(p.Remaining)
	switch p.Kind {
	case kindSubmit:
		if p.Spec == nil {
			return nil
		}
		return scheduler.SubmitReceived{Token: token, Queue: p.Queue, ConfigVersion: p.Version, Job: p.Job, Spec: *p.Spec, Deadline: deadline, Forwarded: true}
	case kindStatus:
		return scheduler.StatusReceived{Token: token, Job: p.Job, Deadline: deadline, Forwarded: true}
	case kindCancel:
		return scheduler.CancelReceived{Token: token, Job: p.Job, Deadline: deadline, Forwarded: true}
	case kindPending:
		return scheduler.PendingReceived{Token: token, Queue: p.Queue, Deadline: deadline, Forwarded: true}
	}
	return nil
}

// helloMessage tells the owner that a host is alive, with its CPU capacity and zone.
type helloMessage struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	Power   int64  `json:"power"`
	Memory  int64  `json:"memory,omitempty"`
	Zone    string `json:"zone"`
}

// adviceRequest asks another host to call the advice service.
type adviceRequest struct {
	Step    string               `json:"step"`
	Workers []scheduler.WorkerID `json:"workers"`
	Timeout time.Duration        `json:"timeout"`
}

type adviceResponse struct {
	Failed  bool               `json:"failed,omitempty"`
	Refused bool               `json:"refused,omitempty"`
	Good    []scheduler.Ticket `json:"good,omitempty"`
	Valid   time.Duration      `json:"valid,omitempty"`
}

// peerRoutes returns the handler for calls from other hosts.
func (d *Daemon) peerRoutes(gate *ingress.Gate) http.Handler {
	router := httprouter.New()
	router.POST(pathRequest, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var p peerRequest
		if !d.readPeerMessage(w, r, &p) {
			return
		}
		if p.event(0) == nil {
			http.Error(w, "unknown request kind or missing job", http.StatusBadRequest)
			return
		}
		d.writePeerResponse(w, d.await(r.Context(), p.event))
	})
	router.POST(pathHello, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var h helloMessage
		if d.readPeerMessage(w, r, &h) {
			ctx, cancel := context.WithTimeout(r.Context(), orderTimeout)
			defer cancel()
			d.writePeerResponse(w, d.await(ctx, func(t scheduler.Token) scheduler.Event {
				return scheduler.HelloReceived{Host: h.Host, Address: h.Address, Zone: h.Zone, Power: h.Power, MemoryBytes: h.Memory, Token: t}
			}))
		}
	})
	router.POST(pathAdvice, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var a adviceRequest
		if !d.readPeerMessage(w, r, &a) {
			return
		}
		e := d.askAdviceDirect(r.Context(), scheduler.AskAdvice{Step: a.Step, Workers: a.Workers, Timeout: a.Timeout})
		d.writePeerResponse(w, adviceResponse{e.Failed, e.Refused, e.Good, e.Valid})
	})
	router.POST(pathStore, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var s storeRequest
		if d.readPeerMessage(w, r, &s) {
			d.writePeerResponse(w, d.executeStoreRequest(r.Context(), s))
		}
	})
	d.agentRoutes(router, gate)
	return router
}

// readPeerMessage decodes the body of another host's call into out, which takes effect
// afterwards. If that fails it responds with status 400, or 503 without memory for it,
// and returns false.
func (d *Daemon) readPeerMessage(w http.ResponseWriter, r *http.Request, out any) bool {
	body, err := ingress.ReadBody(w, r, maxPeerBytes)
	if err == nil {
		err = ingress.Decode(r, body, func() error { return json.Unmarshal(body, out) }, nil)
	}
	if err != nil {
		d.rejectPeerMessage(w, r, err)
		return false
	}
	ingress.PassOn(r)
	return true
}

// rejectPeerMessage responds to a message that had no effect.
func (d *Daemon) rejectPeerMessage(w http.ResponseWriter, r *http.Request, err error) {
	status, outcome := http.StatusBadRequest, "unreadable"
	var refused *ingress.RefusedError
	if errors.As(err, &refused) {
		status, outcome = http.StatusServiceUnavailable, "no_memory"
	}
	text := clip(err.Error())
	d.clientLog.Warn().Str("error", text).Str("event", "peer").Str("outcome", outcome).Str("path", clip(r.URL.Path)).Send()
	http.Error(w, text, status)
}

func (d *Daemon) writePeerResponse(w http.ResponseWriter, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		d.log.Error().Err(err).Str("event", "peer").Str("outcome", "encode_failed").Send()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	// The write fails if the other host no longer waits for the response.
	_, _ = w.Write(text)
}

// callPeer makes one call to another host and decodes the response into out.
func (d *Daemon) callPeer(ctx context.Context, address, path string, in, out any, timeout time.Duration) *exchange.Failure {
	body, err := json.Marshal(in)
	if err != nil {
		return &exchange.Failure{Err: err}
	}
	answer, failure := d.peers.Do(ctx, exchange.Request{
		Method: http.MethodPost, URL: "http://" + address + path, Body: body, Timeout: timeout, MaxBodyBytes: maxPeerBytes,
	})
	if failure != nil {
		return failure
	}
	if answer.Status != http.StatusOK {
		return &exchange.Failure{Written: true, Err: &statusError{answer.Status}}
	}
	if err := json.Unmarshal(answer.Body, out); err != nil {
		return &exchange.Failure{Written: true, Err: err}
	}
	return nil
}

// statusError is an unexpected HTTP status from another host.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string {
	return "peer returned status " + strconv.Itoa(e.status)
}

// forward forwards a caller's request to the owner and returns its answer.
func (d *Daemon) forward(ctx context.Context, f scheduler.Forward) scheduler.ForwardAnswered {
	e := scheduler.ForwardAnswered{Token: f.Token}
	if failure := d.callPeer(ctx, f.Address, pathRequest, newPeerRequest(f.Request), &e.Answer, f.Timeout); failure != nil {
		e.Failed, e.Written = true, failure.Written
		d.callLog.Info().Err(failure).Str("event", "forward").Str("outcome", "failed").Str("owner", f.Address).Send()
	}
	return e
}

// hello tells the owner that this host is alive.
func (d *Daemon) hello(ctx context.Context, h scheduler.Hello) {
	var out scheduler.Answer
	message := helloMessage{d.settings.Host, d.settings.PeerAddress, d.settings.MilliCPU, d.settings.Limits.MemoryBytes, d.settings.Zone}
	if failure := d.callPeer(ctx, h.Address, pathHello, message, &out, orderTimeout); failure != nil {
		d.callLog.Info().Err(failure).Str("event", "hello").Str("outcome", "failed").Str("owner", h.Address).Send()
		return
	}
	if out.Status == scheduler.StatusOK {
		d.post(ctx, scheduler.HelloAnswered{MaxPower: out.MaxPower, MinMemory: out.MinMemory})
	}
}

// askAdvice asks the advice service, directly or through the host in a.Host.
func (d *Daemon) askAdvice(ctx context.Context, a scheduler.AskAdvice) scheduler.AdviceAnswered {
	if a.Host == "" {
		return d.askAdviceDirect(ctx, a)
	}
	var out adviceResponse
	var e scheduler.AdviceAnswered
	if failure := d.callPeer(ctx, a.Host, pathAdvice, adviceRequest{a.Step, a.Workers, a.Timeout}, &out, a.Timeout); failure != nil {
		d.callLog.Info().Err(failure).Str("event", "advice").Str("outcome", "host_failed").Str("through", a.Host).Send()
		e.Failed = true
		return e
	}
	e.Failed, e.Refused, e.Good, e.Valid = out.Failed, out.Refused, out.Good, out.Valid
	return e
}

// askAdviceDirect asks the advice service from this host.
func (d *Daemon) askAdviceDirect(ctx context.Context, a scheduler.AskAdvice) scheduler.AdviceAnswered {
	e, err := d.advice.Ask(ctx, a)
	if err != nil {
		d.callLog.Info().Err(err).Str("event", "advice").Str("outcome", "failed").Str("step", clip(a.Step)).Send()
	}
	return e
}
