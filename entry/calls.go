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
	plan := &core.CallPlan{Rules: rules, Began: d.clock.now()}
	ctx, cancel := context.WithTimeout(r.Context(), rules.Deadline)
	defer cancel()
	w.Header().Set(wire.HeaderRequestID, id)
	step := plan.First(d.elsewhere(r))
	if step.Act == core.CallForward {
		o := &original{method: r.Method, path: r.URL.RequestURI(), body: body, requestID: id}
		done, verdict := d.forward(ctx, w, o, core.Forward{Address: step.Address})
		if done {
			return
		}
		step = plan.ForwardFailed(verdict)
	}
	answer, worker, ref := d.runCall(ctx, plan, step, upstream.Call{
		RequestID: id, Team: team, Kind: kind, Body: body, Progress: rules.ProgressTimeout,
	})
	if ref != nil {
		d.count(core.Count{Metric: core.MetricRefusals, Reason: ref.Reason, Team: team, Kind: kind, Add: 1})
		writeRefusal(w, ref)
		return
	}
	writeAnswer(w, answer, worker)
}

// elsewhere returns a host of another data centre if this one has no usable
// worker. A request that was passed on once stays here.
func (d *Daemon) elsewhere(r *http.Request) string {
	if isForwarded(r) {
		return ""
	}
	return d.grants.Elsewhere()
}

// runCall carries out the steps of a call's plan.
func (d *Daemon) runCall(ctx context.Context, plan *core.CallPlan, step core.CallStep, c upstream.Call) (*upstream.Answer, core.WorkerID, *core.Refusal) {
	for step.Act == core.CallTry {
		if !sleep(ctx, step.Wait) {
			step = plan.NoSlot(core.ReasonDeadline)
			break
		}
		ticket, reason := d.grants.Take(ctx, c.Team, c.Kind, step.Avoid)
		if reason != "" {
			step = plan.NoSlot(reason)
			break
		}
		answer, result := d.attempt(ctx, ticket, step.Attempt, c)
		if answer != nil {
			return answer, ticket.Worker, nil
		}
		d.count(core.Count{
			Metric: core.MetricRetries, Reason: result.Reason, Team: c.Team, Kind: c.Kind, Add: 1,
		})
		step = plan.Failed(d.clock.now(), result)
	}
	return nil, "", step.Refusal
}

// attempt makes one attempt on a worker.
func (d *Daemon) attempt(ctx context.Context, t core.Ticket, attempt int, c upstream.Call) (*upstream.Answer, core.AttemptResult) {
	c.Epoch, c.Attempt = t.Epoch, attempt
	began := d.clock.now()
	answer, err := d.workers.Call(ctx, t.Address, c)
	if err != nil && err.Verdict == core.MayHaveRun {
		d.grants.Doubt(t)
	} else {
		d.grants.Return(t, err == nil, d.clock.now().Sub(began))
	}
	if err == nil {
		return answer, core.AttemptResult{}
	}
	return nil, core.AttemptResult{
		Worker: t.Worker, Verdict: err.Verdict, Reason: err.Reason,
		BudgetLeft: d.grants.SpendRetry(c.Team, c.Kind), Jitter: rand.Float64(),
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
func writeAnswer(w http.ResponseWriter, a *upstream.Answer, worker core.WorkerID) {
	h := w.Header()
	h.Set("Content-Type", a.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	h.Set(wire.HeaderDigest, upstream.Digest(a.Body))
	h.Set(wire.HeaderVerdict, core.Ran.String())
	h.Set(wire.HeaderWorker, string(worker))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // A caller that has gone needs no answer.
}
