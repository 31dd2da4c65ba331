package virtual

import (
	"fmt"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/worker"
	"banyanrun.example/banyanrun/wire"
)

// incarnationStep is added to a worker's incarnation at a restart, so that the
// new one exceeds every earlier sequence number.
const incarnationStep = 1 << 32

// defaultRunMS is the run time of a task without a program, for example of a
// service replica.
const defaultRunMS = 3_600_000

// taskRetention is how long syncs report an ended task.
const taskRetention = 10 * time.Minute

func (c *Cluster) addWorker(dc DataCentre, l core.ListedWorker) {
	w := &workerState{id: l.ID, alive: true, incarnation: incarnationStep}
	w.reducer = worker.New(worker.Config{
		ID: string(l.ID), Capacity: l.Capacity, UsageLag: c.cfg.UsageLag, Retention: taskRetention, Incarnation: w.incarnation,
	})
	c.workers[l.ID] = w
	c.workerList = append(c.workerList, w)
}

// stepWorker applies one event to a worker and executes its effects.
func (c *Cluster) stepWorker(w *workerState, body worker.EventBody) {
	for _, f := range w.reducer.Step(worker.Event{At: c.now, Body: body}) {
		switch f := f.(type) {
		case worker.Answer:
			result := answered
			if f.Truncate {
				result = connectionBroken
			}
			c.sendAnswer(uint64(f.Request), f.Body, result, f.Delay)
		case worker.WakeAt:
			w.wakeGeneration++
			wake := w.wakeGeneration
			c.At(f.At, func() {
				if wake == w.wakeGeneration {
					c.stepWorker(w, worker.Tick{})
				}
			})
		}
	}
}

func (c *Cluster) abandonAtWorker(w *workerState, id uint64) {
	c.stepWorker(w, worker.RequestAbandoned{Request: worker.RequestID(id)})
}

func (c *Cluster) notifyWorker(id core.WorkerID, leaving bool) {
	if w := c.workers[id]; w != nil {
		c.stepWorker(w, worker.ListingChanged{Leaving: leaving})
	}
}

// requestWorker sends a request to a worker. done gets the error if the request
// failed, and the body of the answer otherwise.
func (c *Cluster) requestWorker(h *host, to core.WorkerID, extra time.Duration, body func(id worker.RequestID) worker.EventBody, done func(body any, failed *workerError)) {
	timeout := workerTimeout + extra
	delivered := false
	c.sendRequest(Endpoint(h.id), Endpoint(to), timeout, func(id uint64) {
		event := body(worker.RequestID(id))
		// A call is one exchange on one connection and cannot be delivered twice.
		_, isCall := event.(worker.CallReceived)
		if w := c.workers[to]; w != nil && !(isCall && delivered) {
			c.stepWorker(w, event)
		}
		delivered = true
	}, func(body any, result exchangeResult) {
		switch result {
		case notDelivered:
			done(nil, &workerError{verdict: core.NotRun, reason: core.ReasonUpstream})
		case connectionBroken:
			done(nil, &workerError{verdict: core.MayHaveRun, reason: core.ReasonUpstream})
		default:
			if r, ok := body.(wire.WorkerRefusal); ok {
				done(nil, &workerError{verdict: core.NotRun, reason: r.Reason, highestEpoch: r.HighestEpoch})
				return
			}
			done(body, nil)
		}
	})
}

// workerError is the failure or refusal of a request to a worker.
type workerError struct {
	verdict      core.Verdict
	reason       core.Reason
	highestEpoch core.Epoch
}

func (c *Cluster) syncWorker(h *host, f core.SyncWorker) {
	c.counts.Syncs++
	req := wire.SyncRequest{
		Epoch: f.Epoch, Owner: h.id, Since: f.Since,
		LeaseMS: f.Lease.Milliseconds(), WaitMS: f.Wait.Milliseconds(),
	}
	c.requestWorker(h, f.Worker, f.Wait, func(id worker.RequestID) worker.EventBody {
		return worker.SyncReceived{Request: id, Sync: req}
	}, func(body any, e *workerError) {
		if e != nil {
			h.post(core.WorkerFailed{
				Worker: f.Worker, Epoch: f.Epoch, HighestEpoch: e.highestEpoch,
				Refusal: core.Refusal{Reason: e.reason, Verdict: e.verdict, Message: fmt.Sprint(e.reason)},
			})
			return
		}
		resp := body.(wire.SyncResponse)
		h.post(wire.ToWorkerSynced(f.Worker, f.Epoch, &resp))
	})
}

func (c *Cluster) startTask(h *host, f core.StartTask) {
	c.counts.StartsSent++
	req := wire.StartRequest{
		TaskRef: wire.TaskRef(f.Task), Epoch: f.Epoch, Team: f.Team, Kind: f.Kind,
		Request: wire.FromResources(f.Request), LeaseMS: f.Lease.Milliseconds(),
		LatestStartUnixMS: wire.UnixMS(f.LatestStart), Checkpoint: f.Checkpoint,
	}
	program := c.program(f.Task.Job)
	c.requestWorker(h, f.Worker, 0, func(id worker.RequestID) worker.EventBody {
		return worker.StartReceived{Request: id, Start: req, Program: program}
	}, func(_ any, e *workerError) {
		a := core.StartAnswered{Worker: f.Worker, Epoch: f.Epoch, Task: f.Task, Verdict: core.Ran, Answered: true}
		if e != nil {
			a.Verdict, a.Reason, a.HighestEpoch = e.verdict, e.reason, e.highestEpoch
			a.Answered = e.reason != core.ReasonUpstream
		}
		h.post(a)
	})
}

func (c *Cluster) signalTask(h *host, f core.SignalTask) {
	c.counts.Signals++
	req := wire.SignalRequest{TaskRef: wire.TaskRef(f.Task), Epoch: f.Epoch, Signal: f.Signal}
	c.requestWorker(h, f.Worker, 0, func(id worker.RequestID) worker.EventBody {
		return worker.SignalReceived{Request: id, Signal: req}
	}, func(_ any, e *workerError) {
		if e != nil {
			h.post(core.SignalFailed{
				Worker: f.Worker, Epoch: f.Epoch, Task: f.Task, Signal: f.Signal, HighestEpoch: e.highestEpoch,
			})
		}
	})
}

// program returns the program of a job's tasks.
func (c *Cluster) program(id core.JobID) worker.Program {
	if j := c.jobs[id]; j != nil {
		return j.Program
	}
	return worker.Program{RunMS: defaultRunMS}
}
