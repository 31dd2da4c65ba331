package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/upstream"
	"banyanrun.example/banyanrun/wire"
)

// call serves an interactive request on a grant, without the control goroutine.
// The whole answer is held before its first byte goes to the caller.
func (d *Daemon) call(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
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
		id = d.set.Host + "-" + strconv.FormatUint(rand.Uint64(), 36)
	}
	if len(id) > maxIDBytes || !isPlain(id) {
		writeRefusal(w, invalid("header %s: at most %d letters, digits and . _ - are allowed",
			wire.HeaderRequestID, maxIDBytes))
		return
	}
	body, ref := readBody(w, r, maxCallBody)
	if ref != nil {
		writeRefusal(w, ref)
		return
	}
	w.Header().Set(wire.HeaderRequestID, id)
	c := upstream.Call{
		RequestID: id, Team: team, Kind: kind, Body: body, ProgressTimeout: rules.ProgressTimeout,
	}
	plan := &core.CallPlan{Rules: rules, Began: d.clock.now()}
	if rules.Idempotent {
		ctx, cancel := context.WithTimeout(r.Context(), rules.Deadline)
		defer cancel()
		d.serveCall(ctx, w, r, plan, c)
		return
	}
	d.serveOnce(w, r, plan, c)
}

// serveOnce serves a non-idempotent call. It goes on when its caller has gone,
// and a repeated request gets the outcome of the first one.
func (d *Daemon) serveOnce(w http.ResponseWriter, r *http.Request, plan *core.CallPlan, c upstream.Call) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), plan.Rules.Deadline)
	defer cancel()
	key := core.CallKey{Team: c.Team, Kind: c.Kind, ID: c.RequestID}
	known, first := d.memory.Begin(ctx, key, core.Digest(c.Team, c.Kind, c.Body))
	switch {
	case first:
		var answer *core.CallAnswer
		ref := &core.Refusal{Reason: core.ReasonInternal, Verdict: core.MayHaveRun}
		// Also runs when the handler panics: copies of the call wait for it.
		defer func() { d.memory.End(key, answer, ref) }()
		answer, ref = d.serveCall(ctx, w, r, plan, c)
	case known.Answer != nil:
		writeAnswer(w, known.Answer)
	case known.Refusal != nil:
		writeRefusal(w, known.Refusal)
	default:
		writeRefusal(w, &core.Refusal{
			Reason: core.ReasonDeadline, Verdict: core.MayHaveRun, Message: "the first request with this id still runs",
		})
	}
}

// serveCall carries out a call and answers its caller.
func (d *Daemon) serveCall(ctx context.Context, w http.ResponseWriter, r *http.Request, plan *core.CallPlan, c upstream.Call) (*core.CallAnswer, *core.Refusal) {
	step := plan.First(d.elsewhere(r))
	if step.Act == core.CallForward {
		o := &original{
			method: r.Method, path: r.URL.RequestURI(), body: c.Body, requestID: c.RequestID,
			identity: d.encodeIdentity(r),
		}
		done, verdict := d.forward(ctx, w, o, core.Forward{Address: step.Address})
		if done {
			// The other data centre remembers the outcome.
			return nil, &core.Refusal{Reason: core.ReasonPeer, Verdict: core.NotRun}
		}
		step = plan.ForwardFailed(verdict)
	}
	answer, ref := d.runCall(ctx, plan, step, c)
	if ref != nil {
		d.count(core.Count{Metric: core.MetricRefusals, Reason: ref.Reason, Team: c.Team, Kind: c.Kind, Add: 1})
		writeRefusal(w, ref)
		return nil, ref
	}
	writeAnswer(w, answer)
	return answer, nil
}

// elsewhere returns a host of another data centre if this one has no usable
// worker. A request that was passed on once stays here.
func (d *Daemon) elsewhere(r *http.Request) string {
	if isForwarded(r) {
		return ""
	}
	return d.grants.RemoteHost()
}

// runCall carries out the steps of a call's plan.
func (d *Daemon) runCall(ctx context.Context, plan *core.CallPlan, step core.CallStep, c upstream.Call) (*core.CallAnswer, *core.Refusal) {
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
		d.count(core.Count{
			Metric: core.MetricRetries, Reason: result.Reason, Team: c.Team, Kind: c.Kind, Add: 1,
		})
		step = plan.Failed(d.clock.now(), result)
	}
	return nil, step.Refusal
}

// attempt makes one attempt on a worker.
func (d *Daemon) attempt(ctx context.Context, t core.Ticket, attempt int, c upstream.Call) (*core.CallAnswer, core.AttemptResult) {
	c.Epoch, c.Attempt = t.Epoch, attempt
	began := d.clock.now()
	answer, err := d.workers.Call(ctx, t.Address, c)
	if err != nil && err.Verdict == core.MayHaveRun {
		d.grants.HoldUncertain(t)
	} else {
		d.grants.Release(t, err == nil, d.clock.now().Sub(began))
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

// sleep waits and reports whether ctx is still alive.
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

// writeAnswer gives a whole answer to its caller.
func writeAnswer(w http.ResponseWriter, a *core.CallAnswer) {
	h := w.Header()
	h.Set("Content-Type", a.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	h.Set(wire.HeaderDigest, upstream.Digest(a.Body))
	h.Set(wire.HeaderVerdict, core.Ran.String())
	h.Set(wire.HeaderWorker, string(a.Worker))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // A caller that has gone needs no answer.
}
