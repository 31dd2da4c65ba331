package virtual

import (
	"encoding/json"
	"time"

	"banyanrun.example/banyanrun/core"
)

const (
	// requestTimeout and forwardTimeout are the entry daemon's limits for
	// an open request and for a forwarded one.
	requestTimeout = 60 * time.Second
	forwardTimeout = 610 * time.Second
	// peerTimeout limits the delivery of a message between hosts.
	peerTimeout = 2 * time.Second
	// messageHeaderBytes is the approximate size of the HTTP headers of a
	// message between hosts and of its answer.
	messageHeaderBytes = 300
)

// host is an entry host: a reducer with the execution of its effects and its
// handling of calls.
type host struct {
	c             *Cluster
	id            core.HostID
	dataCentre    DataCentre
	reducer       *core.Reducer
	incarnation   uint64
	alive         bool
	paused        bool
	deferred      []func()
	heldEffects   []core.Effect
	pauseBefore   func(core.Effect) bool
	pauseDuration time.Duration
	ready         bool
	stopped       bool
	// revisions are the document revisions that this incarnation uses.
	// maxServed are the highest ones that any incarnation has used while
	// ready.
	revisions   map[core.TeamName]core.Revision
	maxServed   map[core.TeamName]core.Revision
	requests    map[core.RequestID]*request
	lastRequest core.RequestID
	traffic     traffic
}

// request is an open request of a caller or of another host.
type request struct {
	exchange uint64
	event    eventBuilder
	// moved is set if another data centre has moved the job here.
	moved bool
}

// eventBuilder builds the event of a request at the host that serves it.
type eventBuilder func(id core.RequestID, forwarded bool) core.EventBody

func (c *Cluster) addHost(dc DataCentre, id core.HostID) {
	h := &host{c: c, id: id, dataCentre: dc, maxServed: map[core.TeamName]core.Revision{}}
	c.hosts[id] = h
	c.hostList = append(c.hostList, h)
}

// start begins a new incarnation.
func (h *host) start() {
	h.incarnation++
	h.alive, h.paused, h.ready, h.stopped = true, false, false, false
	h.deferred, h.heldEffects, h.pauseBefore = nil, nil, nil
	h.revisions = map[core.TeamName]core.Revision{}
	h.requests = map[core.RequestID]*request{}
	h.traffic = newTraffic()
	cfg := core.Config{
		Host: h.id, Address: string(h.id), DataCentre: h.dataCentre.Name, Region: h.dataCentre.Region,
		Incarnation: uint64(h.c.now) + h.incarnation, Seed: h.c.rng.Uint64(),
	}
	if h.c.cfg.AdjustConfig != nil {
		h.c.cfg.AdjustConfig(&cfg)
	}
	h.reducer = core.New(cfg)
	h.every(core.TickPeriod, func() { h.post(core.Tick{}) })
	h.every(reportPeriod, h.reportUsage)
}

// every runs f periodically in this incarnation, with a random phase.
func (h *host) every(period time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		h.after(period, again)
	}
	h.after(time.Duration(h.c.rng.Int64N(int64(period))), again)
}

// after schedules f in d from now if the incarnation still runs then.
func (h *host) after(d time.Duration, f func()) {
	incarnation := h.incarnation
	h.c.After(d, func() { h.runInIncarnation(incarnation, f) })
}

// runInIncarnation runs f if the incarnation still runs. At a paused host, f is
// deferred until the pause ends.
func (h *host) runInIncarnation(incarnation uint64, f func()) {
	switch {
	case !h.alive || h.incarnation != incarnation:
	case h.paused:
		h.deferred = append(h.deferred, f)
	default:
		f()
	}
}

// post passes an event to the reducer and executes its effects.
func (h *host) post(body core.EventBody) {
	if h.paused {
		h.deferred = append(h.deferred, func() { h.post(body) })
		return
	}
	e := core.Event{At: h.c.now, Body: body}
	var effects []core.Effect
	if h.c.cfg.Step != nil {
		effects = h.c.cfg.Step(h.id, h.reducer, e)
	} else {
		effects = h.reducer.Step(e)
	}
	h.c.counts.Steps++
	if h.c.cfg.OnStep != nil {
		h.c.cfg.OnStep(h.id, e, effects)
	}
	h.execute(effects)
}

// execute executes effects. A pause that begins before one of them holds back
// it and the effects after it.
func (h *host) execute(effects []core.Effect) {
	for i, f := range effects {
		if h.pauseBefore != nil && h.pauseBefore(f) {
			h.pauseBefore = nil
			h.paused = true
			incarnation := h.incarnation
			h.c.After(h.pauseDuration, func() {
				if h.incarnation == incarnation {
					h.resume()
				}
			})
		}
		if h.paused {
			h.heldEffects = append(h.heldEffects, effects[i:]...)
			return
		}
		h.executeEffect(f)
	}
}

// resume ends a pause. It executes the effects that were held back before the
// functions that were deferred.
func (h *host) resume() {
	if !h.alive || !h.paused {
		return
	}
	h.paused = false
	held := h.heldEffects
	h.heldEffects = nil
	h.execute(held)
	for len(h.deferred) > 0 && !h.paused {
		f := h.deferred[0]
		h.deferred = h.deferred[1:]
		f()
	}
}

func (h *host) executeEffect(f core.Effect) {
	switch f := f.(type) {
	case core.Reply:
		h.answerRequest(f)
	case core.Forward:
		h.forward(f)
	case core.SetGrants:
		h.setGrants(f)
	case core.Count:
		h.c.counts.Metrics[f.Metric] += f.Add
	case core.Gauge:
		// No test of this package reads gauges.
	case core.Log:
		h.trackRevision(f)
	case core.Ready:
		h.setReady(f.Ready)
	case core.Stopped:
		h.stopped = true
	case core.Resume:
		h.after(0, func() { h.post(core.Continue{}) })
	case core.ListHosts:
		h.c.listHosts(h)
	case core.SyncWorker:
		h.c.syncWorker(h, f)
	case core.StartTask:
		h.c.startTask(h, f)
	case core.SignalTask:
		h.c.signalTask(h, f)
	default:
		h.executeSend(f)
	}
}

// answerRequest answers an open request.
func (h *host) answerRequest(f core.Reply) {
	if req := h.requests[f.Request]; req != nil {
		delete(h.requests, f.Request)
		h.c.sendAnswer(req.exchange, f, answered, 0)
	}
}

// serve opens a request of a caller or of another host.
func (h *host) serve(exchange uint64, event eventBuilder, forwarded, moved bool) {
	h.lastRequest++
	id := h.lastRequest
	h.requests[id] = &request{exchange: exchange, event: event, moved: moved}
	h.after(requestTimeout, func() {
		if h.requests[id] == nil {
			return
		}
		h.post(core.RequestAbandoned{Request: id})
		h.answerRequest(core.Reply{Request: id, Refusal: &core.Refusal{
			Reason: core.ReasonDeadline, Verdict: core.MayHaveRun, Message: "no answer yet",
		}})
	})
	h.post(withMoved(event(id, forwarded), moved))
}

// withMoved sets whether another data centre has moved the job of a request. A
// submission needs no mark, because the origin of its job shows it.
func withMoved(body core.EventBody, moved bool) core.EventBody {
	switch b := body.(type) {
	case core.CancelRequested:
		b.Moved = moved
		return b
	case core.StatusRequested:
		b.Moved = moved
		return b
	}
	return body
}

// forward sends a request on to another host and answers it with that host's
// reply.
func (h *host) forward(f core.Forward) {
	req := h.requests[f.Request]
	if req == nil {
		return
	}
	h.c.counts.Forwards++
	target := h.c.hosts[core.HostID(f.Address)]
	h.c.sendRequest(Endpoint(h.id), Endpoint(f.Address), forwardTimeout, func(id uint64) {
		target.runInIncarnation(target.incarnation, func() { target.serve(id, req.event, true, req.moved || f.Moved != "") })
	}, func(body any, result exchangeResult) {
		if h.requests[f.Request] == nil {
			return
		}
		reply, ok := body.(core.Reply)
		switch {
		case result == connectionBroken:
			h.forwardFailed(f, core.MayHaveRun)
		case !ok || reply.Refusal != nil && reply.Refusal.Reason == core.ReasonNoOwner:
			h.forwardFailed(f, f.Verdict)
		default:
			reply.Request = f.Request
			h.answerRequest(reply)
		}
	})
}

// forwardFailed tells the reducer that the other host gave no complete answer.
func (h *host) forwardFailed(f core.Forward, v core.Verdict) {
	h.post(core.ForwardFailed{Request: f.Request, Verdict: v, Moved: f.Moved, Since: f.Since})
}

// executeSend executes the effects that send messages to peers or operations to
// the store.
func (h *host) executeSend(f core.Effect) {
	c := h.c
	switch f := f.(type) {
	case core.SendHeartbeat:
		h.sendPeer(f.Address, "heartbeat", f.Heartbeat, core.PeerHeard{Heartbeat: f.Heartbeat})
	case core.SendSummary:
		h.sendPeer(f.Address, "summary", f.Summary, core.SummaryHeard{Summary: f.Summary})
	case core.SendDocuments:
		m := core.DocumentsRead{Versions: f.Versions, From: h.id}
		h.sendPeer(f.Address, "documents", m, m)
	case core.GetValue:
		c.callStore(h, f.Op, storeGet(f))
	case core.ListValues:
		c.callStore(h, f.Op, storeList(f))
	case core.WatchValues:
		c.callStore(h, f.Op, storeWatch(f))
	case core.DeleteValues:
		c.callStore(h, f.Op, storeDelete(f))
	case core.PutValue:
		c.callStore(h, f.Op, storePut(c, f))
	case core.GrantLease:
		c.callStore(h, f.Op, storeGrant(f))
	case core.RenewLease:
		c.callStore(h, f.Op, storeRenew(f))
	case core.RevokeLease:
		c.callStore(h, f.Op, storeRevoke(f))
	}
}

// sendPeer sends a message to another host. A lost message is not repeated.
func (h *host) sendPeer(address, path string, message any, event core.EventBody) {
	data, _ := json.Marshal(message) // only the size is used
	n := h.c.counts.Peer[path]
	h.c.counts.Peer[path] = MessageStats{Messages: n.Messages + 1, Bytes: n.Bytes + int64(len(data)+messageHeaderBytes)}
	to := h.c.hosts[core.HostID(address)]
	if to == nil {
		return
	}
	sent := h.c.now
	h.c.send(Endpoint(h.id), Endpoint(address), func() {
		if to.alive && !(to.paused && h.c.now.Sub(sent) > peerTimeout) {
			to.post(event)
		}
	})
}

// view returns the host's own row in the operators' view of hosts.
func (h *host) view() core.HostView {
	var row core.HostView
	effects := h.reducer.Step(core.Event{At: h.c.now, Body: core.ViewRequested{View: core.ViewHosts}})
	for _, f := range effects {
		if r, ok := f.(core.Reply); ok && r.Request == 0 {
			if rows, ok := r.View.([]core.HostView); ok {
				row = rows[0]
			}
		}
	}
	h.execute(effects)
	return row
}
