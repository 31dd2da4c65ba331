package scheduler

// maxOrdersPerWorker bounds the orders to one worker that are in flight. Each takes several
// kilobytes and waits for one of few connections, and a job may have thousands of tasks
// that fit on one worker.
const maxOrdersPerWorker = 16

// order emits an order to a worker.
func (c *cell) order(w *worker, op Operation) CallID {
	w.ordersInFlight++
	return c.reducer.addCall(pendingCall{
		operation: op, deadline: c.now.Add(workerCallTimeout), cell: c, generation: c.generation, worker: w,
	})
}

// hasOrderSlot reports whether another order may be sent to a worker now.
func (w *worker) hasOrderSlot() bool { return w.ordersInFlight < maxOrdersPerWorker }

// whenOrderSlot calls send, which sends at most one order to the worker, now or once
// earlier orders have been answered.
func (c *cell) whenOrderSlot(w *worker, send func()) {
	if !w.hasOrderSlot() || len(w.queuedOrders) > 0 {
		w.queuedOrders = append(w.queuedOrders, send)
		return
	}
	send()
}

// sendQueuedOrders sends the orders that have waited for a slot.
func (c *cell) sendQueuedOrders(w *worker) {
	for len(w.queuedOrders) > 0 && w.hasOrderSlot() {
		send := w.queuedOrders[0]
		w.queuedOrders = w.queuedOrders[1:]
		send()
	}
}
