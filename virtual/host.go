package virtual

import (
	"encoding/json"
	"time"

	"banyanrun.example/banyanrun/core"
)

const (
	// requestWait and forwardWait are the entry daemon's bounds of an open
	// request and of a forwarded one.
	requestWait = 60 * time.Second
	forwardWait = 610 * time.Second
	// peerWait bounds one message between hosts.
	peerWait = 2 * time.Second
	// messageHead is the approximate size of the HTTP headers of a message
	// between hosts and of its answer.
	messageHead = 300
)

// host is one entry host: the reducer with its executor and traffic side.
type host struct {
	c       *Cluster
	id      core.HostID
	cell    Cell
	reducer *core.Reducer
	// life is the incarnation.
	life     uint64
	alive    bool
	paused   bool
	backlog  []func()
	held     []core.Effect
	pauseAt  func(core.Effect) bool
	pauseFor time.Duration
	ready    bool
	stopped  bool
	// inForce holds the documents of this incarnation, and served the
	// greatest revisions that any incarnation had in force while ready.
	inForce  map[core.TeamName]core.Revision
	served   map[core.TeamName]core.Revision
	requests map[core.RequestID]*request
	last     core.RequestID
	traffic  traffic
}

// request is an open request of a caller or of another host.
type request struct {
	exchange uint64
	event    eventFor
	// moved is set when another data centre has moved the job here.
	moved bool
}

// eventFor builds the event of a request for the host that serves it.
type eventFor func(id core.RequestID, forwarded bool) core.EventBody

func (c *Cluster) addHost(cell Cell, id core.HostID) {
	h := &host{c: c, id: id, cell: cell, served: map[core.TeamName]core.Revision{}}
	c.hosts[id] = h
	c.hostList = append(c.hostList, h)
}

// start begins a new incarnation.
func (h *host) start() {
	h.life++
	h.alive, h.paused, h.ready, h.stopped = true, false, false, false
	h.backlog, h.held, h.pauseAt = nil, nil, nil
	h.inForce = map[core.TeamName]core.Revision{}
	h.requests = map[core.RequestID]*request{}
	h.traffic = newTraffic()
	cfg := core.Config{
		Host: h.id, Address: string(h.id), DataCentre: h.cell.DataCentre, Region: h.cell.Region,
		Incarnation: uint64(h.c.now) + h.life, Seed: h.c.rng.Uint64(),
	}
	if h.c.cfg.Tune != nil {
		h.c.cfg.Tune(&cfg)
	}
	h.reducer = core.New(cfg)
	h.every(core.TickPeriod, func() { h.post(core.Tick{}) })
	h.every(reportPeriod, h.report)
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

// after runs f in this incarnation in d from now.
func (h *host) after(d time.Duration, f func()) {
	life := h.life
	h.c.After(d, func() { h.runIn(life, f) })
}

// runIn runs f if the incarnation lives, once the host is not paused.
func (h *host) runIn(life uint64, f func()) {
	switch {
	case !h.alive || h.life != life:
	case h.paused:
		h.backlog = append(h.backlog, f)
	default:
		f()
	}
}

// post hands an event to the reducer and carries out its effects.
func (h *host) post(body core.EventBody) {
	if h.paused {
		h.backlog = append(h.backlog, func() { h.post(body) })
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
	if h.c.cfg.Watch != nil {
		h.c.cfg.Watch(h.id, e, effects)
	}
	h.execute(effects)
}

// execute carries out effects. A pause that is set to begin at one of them holds
// it and those behind it back.
func (h *host) execute(effects []core.Effect) {
	for i, f := range effects {
		if h.pauseAt != nil && h.pauseAt(f) {
			h.pauseAt = nil
			h.paused = true
			life := h.life
			h.c.After(h.pauseFor, func() {
				if h.life == life {
					h.resume()
				}
			})
		}
		if h.paused {
			h.held = append(h.held, effects[i:]...)
			return
		}
		h.carryOut(f)
	}
}

// resume ends a pause: first the effects that were held back are carried out,
// then what arrived meanwhile is handled.
func (h *host) resume() {
	if !h.alive || !h.paused {
		return
	}
	h.paused = false
	held := h.held
	h.held = nil
	h.execute(held)
	for len(h.backlog) > 0 && !h.paused {
		f := h.backlog[0]
		h.backlog = h.backlog[1:]
		f()
	}
}

// carryOut carries out one effect.
func (h *host) carryOut(f core.Effect) {
	switch f := f.(type) {
	case core.Reply:
		h.reply(f)
	case core.Forward:
		h.forward(f)
	case core.SetGrants:
		h.setGrants(f)
	case core.Count:
		h.c.counts.Metrics[f.Metric] += f.Add
	case core.Gauge:
		// No test of this package reads gauges.
	case core.Log:
		h.noteLog(f)
	case core.Ready:
		h.noteReady(f.Ready)
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
		h.carryOutStore(f)
	}
}

// reply answers an open request.
func (h *host) reply(f core.Reply) {
	if req := h.requests[f.Request]; req != nil {
		delete(h.requests, f.Request)
		h.c.answer(req.exchange, f, answered, 0)
	}
}

// serve opens a request of a caller or of another host.
func (h *host) serve(exchange uint64, event eventFor, forwarded, moved bool) {
	h.last++
	id := h.last
	h.requests[id] = &request{exchange: exchange, event: event, moved: moved}
	h.after(requestWait, func() {
		if h.requests[id] == nil {
			return
		}
		h.post(core.RequestAbandoned{Request: id})
		h.reply(core.Reply{Request: id, Refusal: &core.Refusal{
			Reason: core.ReasonDeadline, Verdict: core.MayHaveRun, Message: "no answer yet",
		}})
	})
	h.post(asMoved(event(id, forwarded), moved))
}

// asMoved marks a request that another data centre has passed on. A submit shows
// it by the origin of its job.
func asMoved(body core.EventBody, moved bool) core.EventBody {
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

// forward passes a request on to another host.
func (h *host) forward(f core.Forward) {
	req := h.requests[f.Request]
	if req == nil {
		return
	}
	h.c.counts.Forwards++
	target := h.c.hosts[core.HostID(f.Address)]
	h.c.ask(Party(h.id), Party(f.Address), forwardWait, func(id uint64) {
		target.runIn(target.life, func() { target.serve(id, req.event, true, req.moved || f.Moved != "") })
	}, func(body any, fail failure) {
		if h.requests[f.Request] == nil {
			return
		}
		reply, ok := body.(core.Reply)
		switch {
		case fail == broken:
			h.forwardFailed(f, core.MayHaveRun)
		case !ok || reply.Refusal != nil && reply.Refusal.Reason == core.ReasonNoOwner:
			h.forwardFailed(f, f.Verdict)
		default:
			reply.Request = f.Request
			h.reply(reply)
		}
	})
}

// forwardFailed tells the reducer that the other host gave no whole answer.
func (h *host) forwardFailed(f core.Forward, v core.Verdict) {
	h.post(core.ForwardFailed{Request: f.Request, Verdict: v, Moved: f.Moved, Since: f.Since})
}

// carryOutStore carries out messages to peers and operations of the store.
func (h *host) carryOutStore(f core.Effect) {
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
		c.call(h, f.Op, storeGet(f))
	case core.ListValues:
		c.call(h, f.Op, storeList(f))
	case core.WatchValues:
		c.call(h, f.Op, storeWatch(f))
	case core.DeleteValues:
		c.call(h, f.Op, storeDelete(f))
	case core.PutValue:
		c.call(h, f.Op, storePut(c, f))
	case core.GrantLease:
		c.call(h, f.Op, storeGrant(f))
	case core.RenewLease:
		c.call(h, f.Op, storeRenew(f))
	case core.RevokeLease:
		c.call(h, f.Op, storeRevoke(f))
	}
}

// sendPeer sends one message to another host; a lost one is not sent again.
func (h *host) sendPeer(address, path string, message any, event core.EventBody) {
	data, _ := json.Marshal(message) // Only the size counts.
	n := h.c.counts.Peer[path]
	h.c.counts.Peer[path] = Traffic{Messages: n.Messages + 1, Bytes: n.Bytes + int64(len(data)+messageHead)}
	to := h.c.hosts[core.HostID(address)]
	if to == nil {
		return
	}
	sent := h.c.now
	h.c.send(Party(h.id), Party(address), func() {
		if to.alive && !(to.paused && h.c.now.Sub(sent) > peerWait) {
			to.post(event)
		}
	})
}

// view returns the host's row of the operators' view of hosts.
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
