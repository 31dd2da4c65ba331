package host

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/internal/ingress"
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
	// orderBytes covers an order that is being executed: its goroutine and the
	// connection to the worker.
	orderBytes = 24 << 10
)

// workerOrder is a call to a worker that the owner delegates to the worker's
// agent, another host in the worker's data centre. Exactly one field besides ID
// is set.
type workerOrder struct {
	ID    scheduler.CallID     `json:"id"`
	Hold  *scheduler.Hold      `json:"hold,omitempty"`
	Start *scheduler.StartTask `json:"start,omitempty"`
	Stop  *scheduler.StopTask  `json:"stop,omitempty"`
	Pace  *scheduler.PaceTask  `json:"pace,omitempty"`
}

// operation returns the operation that the order carries, or nil if it carries none.
func (o *workerOrder) operation() scheduler.Operation {
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
	ID    scheduler.CallID         `json:"id"`
	Hold  *scheduler.HoldAnswered  `json:"hold,omitempty"`
	Start *scheduler.StartAnswered `json:"start,omitempty"`
	Stop  *scheduler.StopAnswered  `json:"stop,omitempty"`
	Pace  *scheduler.PaceAnswered  `json:"pace,omitempty"`
}

// result returns the result of the operation, or nil if there is none.
func (r *workerResult) result() scheduler.Result {
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
	// timeout bounds the call that the agent makes.
	timeout time.Duration
}

// newDelegatedCall returns the delegated call for a call to a worker.
func newDelegatedCall(c scheduler.Call) delegatedCall {
	call := delegatedCall{order: workerOrder{ID: c.ID}, timeout: orderTimeout}
	switch o := c.Operation.(type) {
	case scheduler.Hold:
		call.order.Hold, call.agent, call.timeout = &o, o.Via, o.Wait+orderTimeout
	case scheduler.StartTask:
		call.order.Start, call.agent = &o, o.Via
	case scheduler.StopTask:
		call.order.Stop, call.agent = &o, o.Via
	case scheduler.PaceTask:
		call.order.Pace, call.agent = &o, o.Via
	}
	return call
}

type orderBatch struct {
	// ReplyTo is the address of the host that receives the results.
	ReplyTo string `json:"reply_to"`
	// Process is the process that sends the orders and is the only one for which the
	// results have a meaning. A later process at the same address numbers its calls
	// anew.
	Process processID     `json:"process"`
	Orders  []workerOrder `json:"orders"`
}

type resultBatch struct {
	// Process is the process that sent the orders.
	Process processID      `json:"process"`
	Results []workerResult `json:"results"`
}

// processID identifies a process among all that have the same address over time.
type processID string

func newProcessID() processID { return processID(strconv.FormatUint(rand.Uint64(), 36)) }

// requester is the process that receives the results of its orders.
type requester struct {
	address string
	process processID
}

// batcher collects messages for each recipient and sends them in batches.
type batcher[R comparable, M any] struct {
	mu     sync.Mutex
	queued map[R][]M
	send   func(ctx context.Context, to R, batch []M)
}

func newBatcher[R comparable, M any](send func(context.Context, R, []M)) *batcher[R, M] {
	return &batcher[R, M]{queued: map[R][]M{}, send: send}
}

// add queues a message for a recipient. The call that queues the first message of a
// batch blocks for batchDelay and then sends the batch; the others return at once.
func (b *batcher[R, M]) add(ctx context.Context, to R, m M) {
	b.mu.Lock()
	first := len(b.queued[to]) == 0
	b.queued[to] = append(b.queued[to], m)
	b.mu.Unlock()
	if !first {
		return
	}
	sleep(ctx, batchDelay)
	b.mu.Lock()
	all := b.queued[to]
	delete(b.queued, to)
	b.mu.Unlock()
	for len(all) > 0 {
		n := min(len(all), maxBatchSize)
		b.send(ctx, to, all[:n])
		all = all[n:]
	}
}

// agentCalls holds the calls that wait for a result from an agent, and the batches
// of orders and results to other hosts.
type agentCalls struct {
	process processID
	mu      sync.Mutex
	pending map[scheduler.CallID]chan scheduler.Result
	orders  *batcher[string, workerOrder]
	results *batcher[requester, workerResult]
}

func (d *Daemon) newAgentCalls() *agentCalls {
	return &agentCalls{
		process: newProcessID(),
		pending: map[scheduler.CallID]chan scheduler.Result{},
		orders:  newBatcher(d.sendOrders),
		results: newBatcher(d.sendResults),
	}
}

// expect returns the channel that receives the result of a call.
func (a *agentCalls) expect(id scheduler.CallID) <-chan scheduler.Result {
	ch := make(chan scheduler.Result, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending[id] = ch
	return ch
}

// forget ends the wait for the result of a call.
func (a *agentCalls) forget(id scheduler.CallID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, id)
}

// deliver passes the results of a batch to the calls that wait for them. It ignores
// results for another process and returns false for them.
func (a *agentCalls) deliver(b *resultBatch) bool {
	if b.Process != a.process {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range b.Results {
		r := &b.Results[i]
		if ch, res := a.pending[r.ID], r.result(); ch != nil && res != nil {
			delete(a.pending, r.ID)
			ch <- res
		}
	}
	return true
}

// callViaAgent makes a call to a worker through its agent. If no result arrives in time,
// the call counts as unanswered.
func (d *Daemon) callViaAgent(ctx context.Context, call delegatedCall) scheduler.Result {
	timer := time.NewTimer(call.timeout + agentTimeoutMargin)
	defer timer.Stop()
	result := d.agentCalls.expect(call.order.ID)
	defer d.agentCalls.forget(call.order.ID)
	d.agentCalls.orders.add(ctx, call.agent, call.order)
	select {
	case res := <-result:
		return res
	case <-timer.C:
	case <-ctx.Done():
	}
	return call.order.operation().Unanswered()
}

// sendOrders sends a batch of orders to an agent. If that fails, the orders may
// still be executed; each of them is unanswered when it times out.
func (d *Daemon) sendOrders(ctx context.Context, address string, batch []workerOrder) {
	var out struct{}
	message := orderBatch{d.settings.PeerAddress, d.agentCalls.process, batch}
	if failure := d.callPeer(ctx, address, pathOrders, message, &out, orderTimeout); failure != nil {
		d.callLog.Info().Err(failure).Str("event", "agent").Str("outcome", "orders_failed").Str("agent", address).Int("orders", len(batch)).Send()
	}
}

// sendResults sends a batch of results to the process that sent the orders. Results
// that are lost leave their calls to time out there.
func (d *Daemon) sendResults(ctx context.Context, to requester, batch []workerResult) {
	var out struct{}
	if failure := d.callPeer(ctx, to.address, pathResults, resultBatch{to.process, batch}, &out, orderTimeout); failure != nil {
		d.callLog.Info().Err(failure).Str("event", "agent").Str("outcome", "results_failed").Str("owner", to.address).Int("results", len(batch)).Send()
	}
}

// check returns an error if an agent cannot have been sent the batch.
func (b *orderBatch) check() error {
	if len(b.Orders) > maxBatchSize {
		return fmt.Errorf("batch of %d orders, allowed %d", len(b.Orders), maxBatchSize)
	}
	for i := range b.Orders {
		if b.Orders[i].operation() == nil {
			return fmt.Errorf("order %d carries no operation", i)
		}
	}
	return nil
}

// agentRoutes adds the handlers for orders from the owner and for results from
// agents. The gate bounds the orders that are being executed.
func (d *Daemon) agentRoutes(router *httprouter.Router, gate *ingress.Gate) {
	router.POST(pathOrders, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var b orderBatch
		if !d.readPeerMessage(w, r, &b) {
			return
		}
		if err := b.check(); err != nil {
			d.rejectPeerMessage(w, r, err)
			return
		}
		release, err := gate.Hold(int64(len(b.Orders)) * orderBytes)
		if err != nil {
			d.rejectPeerMessage(w, r, err)
			return
		}
		d.peerOrders.Go(func() {
			defer release()
			var orders conc.WaitGroup
			defer orders.Wait()
			for _, o := range b.Orders {
				orders.Go(func() { d.executeOrder(requester{b.ReplyTo, b.Process}, o) })
			}
		})
		d.writePeerResponse(w, struct{}{})
	})
	router.POST(pathResults, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var b resultBatch
		if !d.readPeerMessage(w, r, &b) {
			return
		}
		if !d.agentCalls.deliver(&b) {
			d.clientLog.Info().Str("event", "agent").Str("outcome", "results_for_another_process").Int("results", len(b.Results)).Send()
		}
		d.writePeerResponse(w, struct{}{})
	})
}

// executeOrder makes a call to a worker for another host and sends it the result.
func (d *Daemon) executeOrder(from requester, o workerOrder) {
	result := workerResult{ID: o.ID}
	switch res := d.callWorkerDirect(d.runCtx, o.operation()).(type) {
	case scheduler.HoldAnswered:
		result.Hold = &res
	case scheduler.StartAnswered:
		result.Start = &res
	case scheduler.StopAnswered:
		result.Stop = &res
	case scheduler.PaceAnswered:
		result.Pace = &res
	}
	d.agentCalls.results.add(d.runCtx, from, result)
}
