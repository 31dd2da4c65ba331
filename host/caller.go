package host

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"banyanrun.example/banyanrun/internal/ingress"
	"banyanrun.example/banyanrun/platform"
	"banyanrun.example/banyanrun/scheduler"
)

// readyRoutes returns the handler for the balancer's readiness check and the
// metrics.
func (d *Daemon) readyRoutes() http.Handler {
	router := httprouter.New()
	router.GET(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !d.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	router.Handler(http.MethodGet, metricsPath, d.metrics)
	return router
}

// serveCaller handles a caller's request.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	received := now()
	cfg := d.config.Load()
	if cfg == nil {
		d.clientLog.Info().Str("event", "request").Str("outcome", "unavailable").Str("reason", string(scheduler.ReasonNoConfig)).Str("path", clip(r.URL.Path)).Send()
		platform.WriteOutcome(w, scheduler.Answer{Status: scheduler.StatusUnavailable, RetryAfter: time.Second})
		return
	}
	queue, id, ok := cfg.Route(r.Host, r.URL.Path)
	if !ok {
		d.clientLog.Info().Str("event", "request").Str("outcome", "no_queue").Str("path", clip(r.URL.Path)).Str("name", clip(r.Host)).Int64("version", cfg.Scheduler.Version).Send()
		platform.WriteOutcome(w, scheduler.Answer{Status: scheduler.StatusNoQueue})
		return
	}
	deadline := received.Add(platform.CallerTimeout(r.Header))
	job := scheduler.JobID(strings.ToLower(id))
	switch {
	case r.Method == http.MethodGet && id == "":
		platform.WritePending(w, d.serveRequest(r, kindPending, func(t scheduler.Token) scheduler.Event {
			return scheduler.PendingReceived{Token: t, Queue: queue, Deadline: deadline}
		}))
	case r.Method != http.MethodGet && r.Method != http.MethodPost && r.Method != http.MethodDelete:
		w.Header().Set("Allow", "GET, POST, DELETE")
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	case !platform.ValidJobID(id):
		d.rejectRequest(w, job, &platform.RequestError{Status: http.StatusBadRequest, Message: "a job id must have 16 hexadecimal digits"})
	case r.Method == http.MethodPost:
		d.serveSubmit(w, r, cfg, scheduler.SubmitReceived{
			Queue: queue, ConfigVersion: cfg.Scheduler.Version, Job: job, Deadline: deadline,
		})
	case r.Method == http.MethodDelete:
		platform.WriteOutcome(w, d.serveRequest(r, kindCancel, func(t scheduler.Token) scheduler.Event {
			return scheduler.CancelReceived{Token: t, Job: job, Deadline: deadline}
		}))
	default:
		platform.WriteState(w, d.serveRequest(r, kindStatus, func(t scheduler.Token) scheduler.Event {
			return scheduler.StatusReceived{Token: t, Job: job, Deadline: deadline}
		}))
	}
}

// serveSubmit reads a job from the request body and submits it.
func (d *Daemon) serveSubmit(w http.ResponseWriter, r *http.Request, cfg *platform.Configuration, e scheduler.SubmitReceived) {
	body, err := ingress.ReadBody(w, r, cfg.MaxBodyBytes)
	if err != nil {
		d.rejectRequest(w, e.Job, fmt.Errorf("read the body: %w", err))
		return
	}
	parse := func() (err error) {
		e.Spec, err = platform.ParseJob(body)
		return err
	}
	if err := ingress.Decode(r, body, parse, func() int64 { return e.Spec.FootprintBytes() }); err != nil {
		d.rejectRequest(w, e.Job, err)
		return
	}
	platform.WriteOutcome(w, d.serveRequest(r, kindSubmit, func(t scheduler.Token) scheduler.Event {
		e.Token = t
		return e
	}))
}

// rejectRequest responds to a request that is not passed on to the reducer, with the
// status of its error.
func (d *Daemon) rejectRequest(w http.ResponseWriter, job scheduler.JobID, err error) {
	status := http.StatusBadRequest
	var requestErr *platform.RequestError
	var tooLong *http.MaxBytesError
	var refused *ingress.RefusedError
	switch {
	case errors.As(err, &requestErr):
		status = requestErr.Status
	case errors.As(err, &tooLong):
		status = http.StatusRequestEntityTooLarge
	case errors.As(err, &refused) && refused.TooLarge:
		status = http.StatusRequestEntityTooLarge
	case errors.As(err, &refused):
		d.clientLog.Info().Str("event", "request").Str("outcome", "unavailable").Str("reason", string(scheduler.ReasonMemory)).Str("job", string(job)).Send()
		platform.WriteOutcome(w, scheduler.Answer{Status: scheduler.StatusUnavailable, RetryAfter: ingress.RetryAfter})
		return
	}
	text := clip(err.Error())
	d.clientLog.Info().Str("error", text).Str("event", "request").Str("outcome", "invalid").Str("job", clip(string(job))).Int("status", status).Send()
	http.Error(w, text, status)
}

// serveRequest waits for the reducer's answer to a request and records its duration.
func (d *Daemon) serveRequest(r *http.Request, kind requestKind, event func(scheduler.Token) scheduler.Event) scheduler.Answer {
	began := time.Now()
	ingress.PassOn(r)
	a := d.await(r.Context(), event)
	d.metrics.observeRequest(kind, a.Status, time.Since(began))
	return a
}

// await posts an event with a new token and waits for the reducer's answer. If ctx
// ends first, the outcome of the request is unknown.
func (d *Daemon) await(ctx context.Context, event func(scheduler.Token) scheduler.Event) scheduler.Answer {
	token := scheduler.Token(d.lastToken.Add(1))
	ch := make(chan scheduler.Answer, 1)
	d.mu.Lock()
	d.pending[token] = ch
	d.mu.Unlock()
	d.post(ctx, event(token))
	select {
	case a := <-ch:
		return a
	case <-ctx.Done():
		d.mu.Lock()
		delete(d.pending, token)
		d.mu.Unlock()
		return scheduler.Answer{Status: scheduler.StatusUnknown}
	}
}
