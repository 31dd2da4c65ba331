package virtual

import (
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/worker"
	"banyanrun.example/banyanrun/wire"
)

const (
	// Intervals of the entry daemon.
	reportPeriod      = time.Second
	minReportInterval = 50 * time.Millisecond
)

// traffic is the state of a host's interactive calls: its grants and the calls
// that wait for them.
type traffic struct {
	pool    *core.GrantPool
	waiting []*callRun
	// reportScheduled is set while a usage report is scheduled.
	reportScheduled bool
}

func newTraffic() traffic { return traffic{pool: core.NewGrantPool()} }

// Call is an interactive call and the response to its caller.
type Call struct {
	ID      string
	Team    core.TeamName
	Kind    core.KindName
	Host    core.HostID
	Program worker.Program
	Began   core.Time
	Ended   core.Time
	// Refusal is the answer that the caller got, or nil if the call
	// succeeded. A broken connection counts as a refusal with verdict
	// MayHaveRun.
	Refusal *core.Refusal
	Worker  core.WorkerID
}

// callRun is the execution of a call at a host.
type callRun struct {
	h        *host
	call     *Call
	plan     *core.CallPlan
	exchange uint64
	step     core.CallStep
	done     bool
}

// Call sends an interactive call to a host.
func (c *Cluster) Call(call Call) *Call {
	out := &call
	out.Began = c.now
	if kind := c.kind(out.Team, out.Kind); kind != nil {
		out.Program.Request = wire.FromResources(kind.Request)
	}
	c.calls = append(c.calls, out)
	h := c.hosts[out.Host]
	c.sendRequest(Callers, Endpoint(out.Host), 2*requestTimeout, func(id uint64) {
		h.runInIncarnation(h.incarnation, func() { h.startCall(out, id, false) })
	}, func(body any, result exchangeResult) {
		out.Ended = c.now
		switch result {
		case answered:
			out.Refusal, _ = body.(*core.Refusal)
		case notDelivered:
			out.Refusal = &core.Refusal{Reason: core.ReasonPeer, Verdict: core.NotRun}
		case connectionBroken:
			out.Refusal = &core.Refusal{Reason: core.ReasonPeer, Verdict: core.MayHaveRun}
		}
	})
	return out
}

// startCall starts the plan of a call. A forwarded call is not forwarded again.
func (h *host) startCall(call *Call, exchange uint64, forwarded bool) {
	rules, ok := h.traffic.pool.Rules(call.Team, call.Kind)
	if !ok {
		h.c.sendAnswer(exchange, &core.Refusal{Reason: core.ReasonUnknownKind}, answered, 0)
		return
	}
	run := &callRun{h: h, call: call, exchange: exchange, plan: &core.CallPlan{Rules: rules, Began: h.c.now}}
	remoteHost := h.traffic.pool.RemoteHost()
	if forwarded {
		remoteHost = ""
	}
	run.runStep(run.plan.First(remoteHost))
	h.after(rules.Deadline, func() {
		if i := slices.Index(h.traffic.waiting, run); i >= 0 {
			h.traffic.waiting = slices.Delete(h.traffic.waiting, i, i+1)
			h.traffic.pool.AddWaiting(call.Team, call.Kind, -1)
			run.runStep(run.plan.NoSlot(core.ReasonNoCapacity))
		}
	})
}

// runStep starts the next step of the plan.
func (run *callRun) runStep(step core.CallStep) {
	if run.done {
		return
	}
	run.step = step
	switch step.Act {
	case core.CallRefuse:
		run.done = true
		run.h.c.sendAnswer(run.exchange, step.Refusal, answered, 0)
	case core.CallForward:
		run.forward(step.Address)
	default:
		run.h.after(step.Wait, run.acquireSlot)
	}
}

// forward sends the call on to a host of another data centre.
func (run *callRun) forward(address string) {
	h, target := run.h, run.h.c.hosts[core.HostID(address)]
	h.c.sendRequest(Endpoint(h.id), Endpoint(address), run.plan.Rules.Deadline, func(id uint64) {
		target.runInIncarnation(target.incarnation, func() { target.startCall(run.call, id, true) })
	}, func(body any, result exchangeResult) {
		switch result {
		case answered:
			run.done = true
			h.c.sendAnswer(run.exchange, body, answered, 0)
		case notDelivered:
			run.runStep(run.plan.ForwardFailed(core.NotRun))
		default:
			run.runStep(run.plan.ForwardFailed(core.MayHaveRun))
		}
	})
}

// acquireSlot acquires a slot and sends the call, or queues the call for a
// slot.
func (run *callRun) acquireSlot() {
	h, t := run.h, &run.h.traffic
	if h.c.now >= run.plan.Deadline() {
		run.runStep(run.plan.NoSlot(core.ReasonDeadline))
		return
	}
	h.scheduleReport()
	if ticket, ok := t.pool.Acquire(h.c.now, run.call.Team, run.call.Kind, run.step.Avoid); ok {
		run.sendAttempt(ticket)
		return
	}
	if !t.pool.AddWaiting(run.call.Team, run.call.Kind, 1) {
		run.runStep(run.plan.NoSlot(core.ReasonQueueFull))
		return
	}
	t.waiting = append(t.waiting, run)
}

// sendAttempt sends the call to a worker.
func (run *callRun) sendAttempt(t core.Ticket) {
	h, began := run.h, run.h.c.now
	limit := run.plan.Deadline().Sub(began)
	if p := run.plan.Rules.ProgressTimeout; p > 0 {
		limit = min(limit, p)
	}
	attempt := run.step.Attempt
	h.c.requestWorker(h, t.Worker, limit-workerTimeout, func(id worker.RequestID) worker.EventBody {
		return worker.CallReceived{
			Request: id, Epoch: t.Epoch, RequestID: run.call.ID, Attempt: attempt,
			Team: run.call.Team, Kind: run.call.Kind, Program: run.call.Program,
		}
	}, func(body any, e *workerError) {
		result, ok := body.(worker.CallResult)
		if e == nil && (!ok || result.RequestID != run.call.ID || result.Attempt != attempt) {
			e = &workerError{verdict: core.MayHaveRun, reason: core.ReasonUpstream}
		}
		if e != nil && e.verdict == core.MayHaveRun {
			h.traffic.pool.HoldUncertain(h.c.now, t)
		} else {
			h.traffic.pool.Release(t, e == nil, h.c.now.Sub(began))
		}
		h.scheduleReport()
		h.serveWaiting()
		if e == nil {
			run.done, run.call.Worker = true, t.Worker
			h.c.sendAnswer(run.exchange, result, answered, 0)
			return
		}
		run.runStep(run.plan.Failed(h.c.now, core.AttemptResult{
			Worker: t.Worker, Verdict: e.verdict, Reason: e.reason,
			SpendRetry: func() bool { return h.traffic.pool.SpendRetry(t.Team, t.Kind) }, Jitter: h.c.rng.Float64(),
		}))
	})
}

// setGrants replaces the grants and serves waiting calls from them.
func (h *host) setGrants(s core.SetGrants) {
	h.traffic.pool.Set(s)
	h.serveWaiting()
}

// serveWaiting assigns free slots to waiting calls in the order of their
// arrival.
func (h *host) serveWaiting() {
	t := &h.traffic
	t.waiting = slices.DeleteFunc(t.waiting, func(run *callRun) bool {
		ticket, ok := t.pool.Acquire(h.c.now, run.call.Team, run.call.Kind, run.step.Avoid)
		if ok {
			t.pool.AddWaiting(run.call.Team, run.call.Kind, -1)
			run.sendAttempt(ticket)
		}
		return ok
	})
}

// scheduleReport schedules a usage report unless one is already scheduled.
func (h *host) scheduleReport() {
	if h.traffic.reportScheduled {
		return
	}
	h.traffic.reportScheduled = true
	h.after(minReportInterval, h.reportUsage)
}

// reportUsage reports the usage of the grants to the reducer.
func (h *host) reportUsage() {
	h.traffic.reportScheduled = false
	h.traffic.pool.Expire(h.c.now)
	h.post(h.traffic.pool.Report())
}
