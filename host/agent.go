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
	// batchDelay is how long messages to a host are collected before they are
	// sent together.
	batchDelay = 25 * time.Millisecond
	// maxBatchSize bounds the messages of a batch. With payloads of up to 4,000
	// bytes each, which take 24,000 with escape sequences, a full batch stays below
	// maxPeerBytes.
	maxBatchSize = 200
	// agentTimeoutMargin is added to the timeout of a call to a worker for the
	// round trip between this host and the worker's agent.
	agentTimeoutMargin = 500 * time.Millisecond
)

// workerOrder is a call to a worker that the owner delegates to the worker's
// agent, another host in the worker's data centre. Exactly one field besides ID
// is set.
type workerOrder struct {
	ID    uint64               `json:"id"`
	Hold  *scheduler.Hold      `json:"hold,omitempty"`
	Start *scheduler.StartTask `json:"start,omitempty"`
	Stop  *scheduler.StopTask  `json:"stop,omitempty"`
	Pace  *scheduler.PaceTask  `json:"pace,omitempty"`
}

// effect returns the effect that the order carries, or nil if it carries none.
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

// workerResult is the result of the workerOrder with the same ID.
type workerResult struct {
	ID    uint64                   `json:"id"`
	Hold  *scheduler.HoldAnswered  `json:"hold,omitempty"`
	Start *scheduler.StartAnswered `json:"start,omitempty"`
	Stop  *scheduler.StopAnswered  `json:"stop,omitempty"`
	Pace  *scheduler.PaceAnswered  `json:"pace,omitempty"`
}

// event returns the event that the result carries, or nil if it carries none.
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

// delegatedCall is a call to a worker that goes through the worker's agent.
type delegatedCall struct {
	order workerOrder
	// agent is the address of the agent, empty if this host makes the call itself.
	agent string
	// inDoubt is the event to report if no result arrives in time: the call may
	// have reached the worker.
	inDoubt scheduler.Event
	// timeout bounds the call that the agent makes.
	timeout time.Duration
}

// newDelegatedCall returns the delegated call for an effect that concerns a worker.
func newDelegatedCall(e scheduler.Effect) delegatedCall {
	call := delegatedCall{timeout: orderTimeout}
	switch o := e.(type) {
	case scheduler.Hold:
		call.order.Hold, call.agent, call.timeout = &o, o.Via, o.Wait+orderTimeout
		call.inDoubt = scheduler.HoldAnswered{Worker: o.Worker, Call: o.Call, Failed: true}
	case scheduler.StartTask:
		call.order.Start, call.agent = &o, o.Via
		call.inDoubt = scheduler.StartAnswered{Worker: o.Worker, Task: o.Task, Run: o.Run, Result: scheduler.OrderInDoubt}
	case scheduler.StopTask:
		call.order.Stop, call.agent = &o, o.Via
		call.inDoubt = scheduler.StopAnswered{Worker: o.Worker, Task: o.Task, Run: o.Run, Result: scheduler.OrderInDoubt}
	case scheduler.PaceTask:
		call.order.Pace, call.agent = &o, o.Via
		call.inDoubt = scheduler.PaceAnswered{Worker: o.Worker, Task: o.Task, Run: o.Run, Percent: o.Percent, Result: scheduler.OrderInDoubt}
	}
	return call
}

type orderBatch struct {
	// ReplyTo is the address of the host that receives the results.
	ReplyTo string        `json:"reply_to"`
	Orders  []workerOrder `json:"orders"`
}

type resultBatch struct {
	Results []workerResult `json:"results"`
}

// batcher collects messages for each host and sends them in batches.
type batcher[M any] struct {
	mu     sync.Mutex
	queued map[string][]M
	send   func(ctx context.Context, address string, batch []M)
}

func newBatcher[M any](send func(context.Context, string, []M)) *batcher[M] {
	return &batcher[M]{queued: map[string][]M{}, send: send}
}

// add queues a message for a host. The call that queues the first message of a
// batch blocks for batchDelay and then sends the batch; the others return at once.
func (b *batcher[M]) add(ctx context.Context, address string, m M) {
	b.mu.Lock()
	first := len(b.queued[address]) == 0
	b.queued[address] = append(b.queued[address], m)
	b.mu.Unlock()
	if !first {
		return
	}
	sleep(ctx, batchDelay)
	b.mu.Lock()
	all := b.queued[address]
	delete(b.queued, address)
	b.mu.Unlock()
	for len(all) > 0 {
		n := min(len(all), maxBatchSize)
		b.send(ctx, address, all[:n])
		all = all[n:]
	}
}

// agentCalls holds the calls that wait for a result from an agent, and the batches
// of orders and results to other hosts.
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

// callViaAgent makes a call to a worker through its agent. It returns the result,
// or the call's inDoubt event if none arrives in time.
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

// sendOrders sends a batch of orders to an agent. If that fails, the orders may
// still be executed; each of them is reported as in doubt when it times out.
func (d *Daemon) sendOrders(ctx context.Context, address string, batch []workerOrder) {
	var out struct{}
	if failure := d.callPeer(ctx, address, pathOrders, orderBatch{d.settings.PeerAddress, batch}, &out, orderTimeout); failure != nil {
		d.log.Info().Err(failure).Str("event", "agent").Str("outcome", "orders_failed").Str("agent", address).Int("orders", len(batch)).Send()
	}
}

// sendResults sends a batch of results to the owner. Results that are lost leave
// their calls to time out there.
func (d *Daemon) sendResults(ctx context.Context, address string, batch []workerResult) {
	var out struct{}
	if failure := d.callPeer(ctx, address, pathResults, resultBatch{batch}, &out, orderTimeout); failure != nil {
		d.log.Info().Err(failure).Str("event", "agent").Str("outcome", "results_failed").Str("owner", address).Int("results", len(batch)).Send()
	}
}

// agentRoutes adds the handlers for orders from the owner and for results from
// agents.
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

// executeOrder makes a call to a worker for another host and sends it the result.
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
