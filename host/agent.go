package host

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"banyanrun.example/banyanrun/scheduler"
)

const (
	// batchDelay is how long messages to a host are collected.
	batchDelay = 25 * time.Millisecond
	// maxBatch bounds a batch; its payloads of up to 4,000 bytes each stay far
	// below maxPeerBytes.
	maxBatchSize = 200
	// agentSlack is added to the time that a call to a worker may take, for the
	// way to its agent and back.
	agentTimeoutMargin = 500 * time.Millisecond
)

// workerOrder is a call to a worker that its agent makes. One of its fields
// besides ID is set.
type workerOrder struct {
	ID    uint64               `json:"id"`
	Hold  *scheduler.Hold      `json:"hold,omitempty"`
	Start *scheduler.StartTask `json:"start,omitempty"`
	Stop  *scheduler.StopTask  `json:"stop,omitempty"`
	Pace  *scheduler.PaceTask  `json:"pace,omitempty"`
}

// effect returns the call as the effect that it was.
func (o *workerOrder) effect() scheduler.Effect {
	switch {
	case o.Hold != nil:
		return *o.Hold
	case o.Start != nil:
		return *o.Start
	case o.Stop != nil:
		return *o.Stop
	case o.Pace != nil:
		return *o.Pace
	}
	return nil
}

// workerResult is the answer to a workerOrder.
type workerResult struct {
	ID    uint64                   `json:"id"`
	Hold  *scheduler.HoldAnswered  `json:"hold,omitempty"`
	Start *scheduler.StartAnswered `json:"start,omitempty"`
	Stop  *scheduler.StopAnswered  `json:"stop,omitempty"`
	Pace  *scheduler.PaceAnswered  `json:"pace,omitempty"`
}

// event returns the answer as an event, or nil if there is none.
func (r *workerResult) event() scheduler.Event {
	switch {
	case r.Hold != nil:
		return *r.Hold
	case r.Start != nil:
		return *r.Start
	case r.Stop != nil:
		return *r.Stop
	case r.Pace != nil:
		return *r.Pace
	}
	return nil
}

// delegation is a call to a worker that another host makes.
type delegatedCall struct {
	order workerOrder
	agent string
	// failed is the event that says that nothing is known of the call.
	inDoubt scheduler.Event
	// timeout is how long the call may take at the agent.
	timeout time.Duration
}

// newDelegation describes an effect that concerns a worker.
func newDelegatedCall(e scheduler.Effect) delegatedCall {
	d := delegatedCall{timeout: orderTimeout}
	switch o := e.(type) {
	case scheduler.Hold:
		d.order.Hold, d.agent, d.timeout = &o, o.Via, o.Wait+orderTimeout
		d.inDoubt = scheduler.HoldAnswered{Worker: o.Worker, Call: o.Call, Failed: true}
	case scheduler.StartTask:
		d.order.Start, d.agent = &o, o.Via
		d.inDoubt = scheduler.StartAnswered{Worker: o.Worker, Task: o.Task, Run: o.Run, Result: scheduler.OrderInDoubt}
	case scheduler.StopTask:
		d.order.Stop, d.agent = &o, o.Via
		d.inDoubt = scheduler.StopAnswered{Worker: o.Worker, Task: o.Task, Run: o.Run, Result: scheduler.OrderInDoubt}
	case scheduler.PaceTask:
		d.order.Pace, d.agent = &o, o.Via
		d.inDoubt = scheduler.PaceAnswered{Worker: o.Worker, Task: o.Task, Run: o.Run, Percent: o.Percent, Result: scheduler.OrderInDoubt}
	}
	return d
}

type orderBatch struct {
	// ReplyTo is the address to which the results go.
	ReplyTo string        `json:"reply_to"`
	Orders  []workerOrder `json:"orders"`
}

type resultBatch struct {
	Results []workerResult `json:"results"`
}

// outbox collects messages for each host and sends them in batches.
type batcher[M any] struct {
	mu     sync.Mutex
	queued map[string][]M
	send   func(ctx context.Context, address string, batch []M)
}

func newBatcher[M any](send func(context.Context, string, []M)) *batcher[M] {
	return &batcher[M]{queued: map[string][]M{}, send: send}
}

// add adds a message. The first one of a batch waits and sends them all, on the
// goroutine of its effect.
func (o *batcher[M]) add(ctx context.Context, address string, m M) {
	o.mu.Lock()
	first := len(o.queued[address]) == 0
	o.queued[address] = append(o.queued[address], m)
	o.mu.Unlock()
	if !first {
		return
	}
	sleep(ctx, batchDelay)
	o.mu.Lock()
	all := o.queued[address]
	delete(o.queued, address)
	o.mu.Unlock()
	for len(all) > 0 {
		n := min(len(all), maxBatchSize)
		o.send(ctx, address, all[:n])
		all = all[n:]
	}
}

// agents is this host's side of the calls that other hosts make for it.
type agentCalls struct {
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan scheduler.Event
	orders  *batcher[workerOrder]
	results *batcher[workerResult]
}

func (d *Daemon) newAgentCalls() *agentCalls {
	return &agentCalls{
		pending: map[uint64]chan scheduler.Event{},
		orders:  newBatcher(d.sendOrders),
		results: newBatcher(d.sendResults),
	}
}

// viaAgent makes a call to a worker through another host.
func (d *Daemon) callViaAgent(ctx context.Context, call delegatedCall) scheduler.Event {
	a, o := d.agentCalls, call.order
	ch := make(chan scheduler.Event, 1)
	a.mu.Lock()
	a.lastID++
	o.ID = a.lastID
	a.pending[o.ID] = ch
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.pending, o.ID)
		a.mu.Unlock()
	}()
	a.orders.add(ctx, call.agent, o)
	timer := time.NewTimer(call.timeout + agentTimeoutMargin)
	defer timer.Stop()
	select {
	case e := <-ch:
		return e
	case <-timer.C:
	case <-ctx.Done():
	}
	return call.inDoubt
}

// sendOrders sends a batch of orders. Without an answer nothing is known of them,
// and their own timeouts say so.
func (d *Daemon) sendOrders(ctx context.Context, address string, batch []workerOrder) {
	var out struct{}
	if failure := d.callPeer(ctx, address, pathOrders, orderBatch{d.settings.PeerAddress, batch}, &out, orderTimeout); failure != nil {
		d.log.Info().Err(failure).Str("event", "agent").Str("outcome", "orders_failed").Str("agent", address).Int("orders", len(batch)).Send()
	}
}

// sendResults sends a batch of results.
func (d *Daemon) sendResults(ctx context.Context, address string, batch []workerResult) {
	var out struct{}
	if failure := d.callPeer(ctx, address, pathResults, resultBatch{batch}, &out, orderTimeout); failure != nil {
		d.log.Info().Err(failure).Str("event", "agent").Str("outcome", "results_failed").Str("owner", address).Int("results", len(batch)).Send()
	}
}

// agentRoutes serves orders for workers and the results of such orders.
func (d *Daemon) agentRoutes(router *httprouter.Router) {
	router.POST(pathOrders, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var b orderBatch
		if !d.readPeerMessage(w, r, &b) {
			return
		}
		for _, o := range b.Orders {
			d.peerOrders.Go(func() { d.executeOrder(b.ReplyTo, o) })
		}
		d.writePeerResponse(w, struct{}{})
	})
	router.POST(pathResults, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var b resultBatch
		if !d.readPeerMessage(w, r, &b) {
			return
		}
		for _, result := range b.Results {
			d.agentCalls.mu.Lock()
			ch := d.agentCalls.pending[result.ID]
			delete(d.agentCalls.pending, result.ID)
			d.agentCalls.mu.Unlock()
			if e := result.event(); ch != nil && e != nil {
				ch <- e
			}
		}
		d.writePeerResponse(w, struct{}{})
	})
}

// carryOut makes a call to a worker for another host.
func (d *Daemon) executeOrder(replyTo string, o workerOrder) {
	result := workerResult{ID: o.ID}
	switch e := d.callWorkerDirect(d.runCtx, o.effect()).(type) {
	case scheduler.HoldAnswered:
		result.Hold = &e
	case scheduler.StartAnswered:
		result.Start = &e
	case scheduler.StopAnswered:
		result.Stop = &e
	case scheduler.PaceAnswered:
		result.Pace = &e
	}
	d.agentCalls.results.add(d.runCtx, replyTo, result)
}
