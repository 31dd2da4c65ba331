package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/internal/ingress"
	"banyanrun.example/banyanrun/upstream"
	"banyanrun.example/banyanrun/wire"
)

// serveCall serves an interactive request on a grant, without the control
// goroutine. The worker's response is buffered in full before any of it is sent
// to the caller.
func (d *Daemon) serveCall(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	team, kind := core.TeamName(p.ByName("team")), core.KindName(p.ByName("kind"))
	rules, ok := d.grants.Rules(team, kind)
	if !ok {
		writeRefusal(w, &core.Refusal{
			Reason:  core.ReasonUnknownKind,
			Message: "team " + string(team) + " declares no interactive kind " + string(kind),
		})
		return
	}
	id := r.Header.Get(wire.HeaderRequestID)
	if id == "" {
		id = d.settings.Host + "-" + strconv.FormatUint(rand.Uint64(), 36)
	}
	if len(id) > maxIDBytes || !isPathSafe(id) {
		writeRefusal(w, invalid("header %s: at most %d letters, digits and . _ - are allowed",
			wire.HeaderRequestID, maxIDBytes))
		return
	}
	body, refusal := readBody(w, r, maxCallBody)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	w.Header().Set(wire.HeaderRequestID, id)
	c := upstream.Call{
		RequestID: id, Team: team, Kind: kind, Body: body, ProgressTimeout: rules.ProgressTimeout,
		Reserve: func(bytes int64) error { return ingress.Resize(r, int64(len(body))+bytes) },
	}
	ingress.PassOn(r)
	plan := &core.CallPlan{Rules: rules, Began: d.clock.now()}
	if rules.Idempotent {
		ctx, cancel := context.WithTimeout(r.Context(), rules.Deadline)
		defer cancel()
		d.executeCall(ctx, w, r, plan, c)
		return
	}
	d.serveNonIdempotent(w, r, plan, c)
}

// serveNonIdempotent serves a non-idempotent call. The call continues if its
// caller disconnects, and a repeated request gets the outcome of the first one.
func (d *Daemon) serveNonIdempotent(w http.ResponseWriter, r *http.Request, plan *core.CallPlan, c upstream.Call) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), plan.Rules.Deadline)
	defer cancel()
	key := core.CallKey{Team: c.Team, Kind: c.Kind, ID: c.RequestID}
	recorded, isFirst := d.callOutcomes.Begin(ctx, key, core.Digest(c.Team, c.Kind, c.Body))
	switch {
	case isFirst:
		var answer *core.CallAnswer
		refusal := &core.Refusal{Reason: core.ReasonInternal, Verdict: core.MayHaveRun}
		// Deferred so that it also runs if the handler panics: repeated requests
		// wait for the outcome.
		defer func() { d.callOutcomes.End(key, answer, refusal) }()
		answer, refusal = d.executeCall(ctx, w, r, plan, c)
	case recorded.Answer != nil:
		writeCallAnswer(w, recorded.Answer)
	case recorded.Refusal != nil:
		writeRefusal(w, recorded.Refusal)
	default:
		writeRefusal(w, &core.Refusal{
			Reason: core.ReasonDeadline, Verdict: core.MayHaveRun, Message: "the first request with this id is still running",
		})
	}
}

// executeCall executes a call and writes the response to its caller.
func (d *Daemon) executeCall(ctx context.Context, w http.ResponseWriter, r *http.Request, plan *core.CallPlan, c upstream.Call) (*core.CallAnswer, *core.Refusal) {
	step := plan.First(d.forwardAddress(r))
	if step.Act == core.CallForward {
		original := &forwardRequest{
			method: r.Method, path: r.URL.RequestURI(), body: c.Body, requestID: c.RequestID,
			identity: d.encodeIdentity(r),
		}
		answered, verdict := d.forward(ctx, w, r, original, core.Forward{Address: step.Address})
		if answered {
			// The other data centre keeps the outcome for repeated requests.
			return nil, &core.Refusal{Reason: core.ReasonPeer, Verdict: core.NotRun}
		}
		step = plan.ForwardFailed(verdict)
	}
	answer, refusal := d.runAttempts(ctx, plan, step, c)
	if refusal != nil {
		d.addToCounter(core.Count{Metric: core.MetricRefusals, Reason: refusal.Reason, Team: c.Team, Kind: c.Kind, Add: 1})
		writeRefusal(w, refusal)
		return nil, refusal
	}
	writeCallAnswer(w, answer)
	return answer, nil
}

// forwardAddress returns the address of a host in another data centre if this
// data centre has no usable worker, or an empty string. A request that was
// forwarded once is not forwarded again.
func (d *Daemon) forwardAddress(r *http.Request) string {
	if isForwarded(r) {
		return ""
	}
	return d.grants.RemoteHost()
}

// runAttempts follows a call's plan until an attempt succeeds or the plan refuses
// the call.
func (d *Daemon) runAttempts(ctx context.Context, plan *core.CallPlan, step core.CallStep, c upstream.Call) (*core.CallAnswer, *core.Refusal) {
	for step.Act == core.CallAttempt {
		if !sleep(ctx, step.Wait) {
			step = plan.NoSlot(core.ReasonDeadline)
			break
		}
		ticket, reason := d.grants.Acquire(ctx, c.Team, c.Kind, step.Avoid)
		if reason != "" {
			step = plan.NoSlot(reason)
			break
		}
		answer, result := d.attempt(ctx, ticket, step.Attempt, c)
		if answer != nil {
			return answer, nil
		}
		d.addToCounter(core.Count{
			Metric: core.MetricRetries, Reason: result.Reason, Team: c.Team, Kind: c.Kind, Add: 1,
		})
		step = plan.Failed(d.clock.now(), result)
	}
	return nil, step.Refusal
}

// attempt sends a call to one worker.
func (d *Daemon) attempt(ctx context.Context, t core.Ticket, attempt int, c upstream.Call) (*core.CallAnswer, core.AttemptResult) {
	c.Epoch, c.Attempt = t.Epoch, attempt
	started := d.clock.now()
	answer, err := d.workerClient.Call(ctx, t.Address, c)
	if err != nil && err.Verdict == core.MayHaveRun {
		d.grants.HoldUncertain(t)
	} else {
		d.grants.Release(t, err == nil, d.clock.now().Sub(started))
	}
	if err == nil {
		return &core.CallAnswer{
			Status: answer.Status, ContentType: answer.ContentType, Worker: t.Worker, Body: answer.Body,
		}, core.AttemptResult{}
	}
	return nil, core.AttemptResult{
		Worker: t.Worker, Verdict: err.Verdict, Reason: err.Reason,
		SpendRetry: func() bool { return d.grants.SpendRetry(c.Team, c.Kind) }, Jitter: rand.Float64(),
	}
}

// sleep waits, and returns false if ctx ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// writeCallAnswer writes the response of a worker to the caller.
func writeCallAnswer(w http.ResponseWriter, a *core.CallAnswer) {
	h := w.Header()
	h.Set("Content-Type", a.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	h.Set(wire.HeaderDigest, upstream.Digest(a.Body))
	h.Set(wire.HeaderVerdict, core.Ran.String())
	h.Set(wire.HeaderWorker, string(a.Worker))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // An error means that the caller has disconnected.
}
