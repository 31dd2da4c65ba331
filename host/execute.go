package host

import (
	"context"
	"time"

	"banyanrun.example/banyanrun/scheduler"
)

// executeImmediate executes the effects that cannot block, on the control goroutine.
// It returns false for any other effect.
func (d *Daemon) executeImmediate(e scheduler.Effect) bool {
	switch e := e.(type) {
	case scheduler.Decision:
		d.metrics.countDecision(e)
		d.decisions.write(e)
	case scheduler.Reply:
		d.reply(e)
	case scheduler.Ready:
		d.ready.Store(e.Ready)
		if s := d.callerServer.Load(); s != nil && e.Reason == scheduler.ReasonStopping {
			s.DisableKeepAlives()
		}
		d.log.Info().Str("event", "ready").Bool("ready", e.Ready).Str("reason", string(e.Reason)).Send()
	case scheduler.Stopped:
		d.stoppedOnce.Do(func() { close(d.stopped) })
	default:
		return false
	}
	return true
}

// reply passes an answer to the handler that waits for it, if it still does.
func (d *Daemon) reply(r scheduler.Reply) {
	d.mu.Lock()
	ch := d.pending[r.Token]
	delete(d.pending, r.Token)
	d.mu.Unlock()
	if ch != nil {
		ch <- r.Answer
	}
}

// execute executes one effect and posts its result to the reducer.
func (d *Daemon) execute(ctx context.Context, e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.Wake:
		sleep(ctx, e.After)
		d.post(ctx, scheduler.Woken{})
	case scheduler.Forward:
		d.post(ctx, d.forward(ctx, e))
	case scheduler.Hello:
		d.hello(ctx, e)
	case scheduler.Call:
		if result := d.call(ctx, e); result != nil {
			d.post(ctx, scheduler.CallAnswered{ID: e.ID, Result: result})
		}
	case scheduler.EndLease:
		d.endLease(ctx, e)
	case scheduler.ReadOwner:
		seen, err := d.readOwner(ctx)
		if err != nil {
			d.log.Warn().Err(err).Str("event", "owner").Str("outcome", "read_failed").Send()
			return
		}
		d.post(ctx, seen)
	default:
		d.log.Error().Str("event", "effect").Str("outcome", "unknown").Type("type", e).Send()
	}
}

// call makes a call and returns its result, or nil if the operation is of an unknown type.
func (d *Daemon) call(ctx context.Context, call scheduler.Call) scheduler.Result {
	switch op := call.Operation.(type) {
	case scheduler.AskAdvice:
		return d.askAdvice(ctx, op)
	case scheduler.ReadLog:
		return d.readLog(ctx)
	case scheduler.ClaimOwnership:
		return d.claimOwnership(ctx, op)
	case scheduler.RenewLease:
		return d.renewLease(ctx, op)
	case scheduler.WriteGroup:
		return d.writeGroup(ctx, op)
	case scheduler.DeleteGroups:
		return d.deleteGroups(ctx, op)
	}
	if delegated := newDelegatedCall(call); delegated.agent != "" {
		return d.callViaAgent(ctx, delegated)
	}
	return d.callWorkerDirect(ctx, call.Operation)
}

// callWorkerDirect makes a call to a worker from this host and returns its result,
// or nil if the effect is of an unknown type.
func (d *Daemon) callWorkerDirect(ctx context.Context, e scheduler.Effect) scheduler.Result {
	var answer scheduler.Result
	var err error
	began, to := time.Now(), "worker"
	switch e := e.(type) {
	case scheduler.Hold:
		to = "worker_hold"
		answer, err = d.workers.Hold(ctx, e)
	case scheduler.StartTask:
		answer, err = d.workers.Start(ctx, e)
	case scheduler.StopTask:
		answer, err = d.workers.Stop(ctx, e)
	case scheduler.PaceTask:
		answer, err = d.workers.Pace(ctx, e)
	default:
		d.log.Error().Str("event", "effect").Str("outcome", "unknown").Type("type", e).Send()
		return nil
	}
	d.metrics.observeCall(to, outcomeLabel(err), time.Since(began))
	if err != nil && ctx.Err() == nil {
		d.callLog.Info().Err(err).Str("event", "call").Str("outcome", "failed").Type("call", e).Send()
	}
	return answer
}

// outcomeLabel returns the value of the metric label "outcome".
func outcomeLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}
