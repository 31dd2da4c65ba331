package bench

import (
	"maps"
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
)

// fakeWorker simulates a worker that runs tasks in virtual time.
type fakeWorker struct {
	listed      core.ListedWorker
	incarnation uint64
	sequence    uint64
	running     map[core.TaskRef]*fakeRun
	inUse       core.Resources
	// unconfirmed holds the reports that no sync has confirmed yet, in the order of
	// their sequence numbers.
	unconfirmed    []numberedReport
	pendingSync    *core.SyncWorker
	syncGeneration uint64
	failAll        bool
	silent         bool
}

// numberedReport is a report with its sequence number.
type numberedReport struct {
	sequence uint64
	report   core.TaskReport
}

// fakeRun is one running attempt of a task.
type fakeRun struct {
	request     core.Resources
	started     core.Time
	lastResumed core.Time
	remaining   time.Duration
	slowdown    int64
	willFail    bool
	// generation is incremented with each new end timer, so that older timers
	// have no effect.
	generation int
}

// addReport adds a report and answers the pending sync.
func (c *Cell) addReport(w *fakeWorker, report core.TaskReport) {
	w.sequence++
	w.unconfirmed = append(w.unconfirmed, numberedReport{w.sequence, report})
	c.answerSync(w)
}

// onSync answers a sync as soon as there is a report or its wait has passed.
func (c *Cell) onSync(s core.SyncWorker) {
	w := c.workers[s.Worker]
	if w.silent {
		c.after(requestTimeout, func() {
			c.step(core.WorkerFailed{Worker: s.Worker, Epoch: s.Epoch})
		})
		return
	}
	w.syncGeneration++
	generation := w.syncGeneration
	w.pendingSync = &s
	i, _ := slices.BinarySearchFunc(w.unconfirmed, s.Since+1, func(n numberedReport, since uint64) int {
		return int(n.sequence) - int(since)
	})
	w.unconfirmed = w.unconfirmed[i:]
	if s.Since == 0 || s.Wait == 0 || len(w.unconfirmed) > 0 {
		c.answerSync(w)
		return
	}
	c.after(s.Wait, func() {
		if w.syncGeneration == generation {
			c.answerSync(w)
		}
	})
}

// answerSync answers the pending sync, if there is one.
func (c *Cell) answerSync(w *fakeWorker) {
	if w.pendingSync == nil || w.silent {
		return
	}
	s := w.pendingSync
	w.pendingSync = nil
	w.syncGeneration++
	body := core.WorkerSynced{
		Worker: s.Worker, Epoch: s.Epoch, Incarnation: w.incarnation,
		Sequence: w.sequence, Full: s.Since == 0,
	}
	for _, n := range w.unconfirmed {
		body.Tasks = append(body.Tasks, n.report)
	}
	c.after(workerLatency, func() { c.step(body) })
}

// onStart delivers a start request to a worker.
func (c *Cell) onStart(s core.StartTask) {
	w := c.workers[s.Worker]
	answer := core.StartAnswered{Worker: s.Worker, Epoch: s.Epoch, Task: s.Task, Verdict: core.Ran, Answered: true}
	if w.silent {
		answer.Verdict, answer.Answered = core.MayHaveRun, false
		c.after(requestTimeout, func() { c.step(answer) })
		return
	}
	c.after(workerLatency, func() { c.beginRun(w, s, answer) })
}

// beginRun starts the task when the request arrives at the worker, and answers.
func (c *Cell) beginRun(w *fakeWorker, s core.StartTask, answer core.StartAnswered) {
	j := c.jobs[s.Task.Job]
	remaining := c.runTime(s.Task.Job)
	if saved, ok := c.checkpoints[s.Task.Job]; ok && s.Checkpoint != "" {
		remaining = saved
	}
	run := &fakeRun{
		request: s.Request, started: c.now, lastResumed: c.now, remaining: remaining, slowdown: 1,
		willFail: w.failAll || (j != nil && j.Fails),
	}
	if run.willFail {
		run.remaining = min(run.remaining, failedRunTime)
	}
	w.running[s.Task] = run
	w.inUse = w.inUse.Add(s.Request)
	if !w.inUse.Fits(w.listed.Capacity) {
		c.Stats.OverAssigned++
	}
	c.recordStart(s)
	c.scheduleEnd(w, s.Task, run)
	c.after(workerLatency, func() { c.step(answer) })
}

// scheduleEnd sets the end timer of a run.
func (c *Cell) scheduleEnd(w *fakeWorker, ref core.TaskRef, run *fakeRun) {
	run.generation++
	generation := run.generation
	c.after(run.remaining*time.Duration(run.slowdown), func() {
		if w.running[ref] != run || run.generation != generation {
			return
		}
		state := core.ReportedSucceeded
		if run.willFail {
			state = core.ReportedFailed
		}
		c.endRun(w, ref, state, "")
	})
}

// endRun ends a run and reports its state.
func (c *Cell) endRun(w *fakeWorker, ref core.TaskRef, state core.ReportedState, checkpoint string) {
	run := w.running[ref]
	delete(w.running, ref)
	w.inUse = w.inUse.Sub(run.request)
	c.recordEnd(ref, run)
	c.addReport(w, core.TaskReport{
		Task: ref, State: state, Requested: run.request, Used: run.request,
		RunTime: c.now.Sub(run.started), Checkpoint: checkpoint,
	})
}

// onSignal delivers a signal to a running task.
func (c *Cell) onSignal(s core.SignalTask) {
	w := c.workers[s.Worker]
	c.after(workerLatency, func() {
		run := w.running[s.Task]
		if run == nil || w.silent {
			return
		}
		run.remaining -= c.now.Sub(run.lastResumed) / time.Duration(run.slowdown)
		run.lastResumed = c.now
		switch s.Signal {
		case core.SignalStop:
			c.endRun(w, s.Task, core.ReportedStopped, "")
		case core.SignalCheckpoint:
			c.checkpoints[s.Task.Job] = run.remaining
			c.endRun(w, s.Task, core.ReportedCheckpointed, "saved")
		case core.SignalThrottle, core.SignalUnthrottle:
			c.throttle(w, s.Task, run, s.Signal == core.SignalThrottle)
		}
	})
}

// throttle divides the speed and the CPU request of a run by throttleFactor, or
// restores them.
func (c *Cell) throttle(w *fakeWorker, ref core.TaskRef, run *fakeRun, on bool) {
	delta := core.Resources{MilliCPU: run.request.MilliCPU / throttleFactor}
	if on == (run.slowdown > 1) {
		return
	}
	if on {
		run.slowdown, w.inUse = throttleFactor, w.inUse.Sub(delta)
		run.request = run.request.Sub(delta)
	} else {
		delta.MilliCPU = run.request.MilliCPU
		run.slowdown, w.inUse = 1, w.inUse.Add(delta)
		run.request = run.request.Add(delta)
	}
	c.scheduleEnd(w, ref, run)
	c.addReport(w, core.TaskReport{Task: ref, State: core.ReportedRunning, Requested: run.request, Throttled: on})
}

// injectFault applies a fault of the trace.
func (c *Cell) injectFault(f Fault) {
	w := c.workers[f.Worker]
	switch f.Kind {
	case FaultFailAll:
		w.failAll = true
		c.virtualClock.schedule(traceTime(f.UntilMS), func() { w.failAll = false })
	case FaultSilent:
		w.silent = true
		if s := w.pendingSync; s != nil {
			w.pendingSync = nil
			c.after(requestTimeout, func() { c.step(core.WorkerFailed{Worker: s.Worker, Epoch: s.Epoch}) })
		}
		c.expireLeases(w)
		c.virtualClock.schedule(traceTime(f.UntilMS), func() { w.silent = false })
	case FaultRestart:
		for _, ref := range sortedRefs(w.running) {
			run := w.running[ref]
			delete(w.running, ref)
			c.recordEnd(ref, run)
		}
		w.inUse, w.unconfirmed = core.Resources{}, nil
		w.sequence++
		w.incarnation++
		c.answerSync(w)
	}
}

// expireLeases ends the tasks of a worker that is still silent when their leases
// expire.
func (c *Cell) expireLeases(w *fakeWorker) {
	c.after(core.DefaultTaskLease, func() {
		if !w.silent {
			return
		}
		for _, ref := range sortedRefs(w.running) {
			c.endRun(w, ref, core.ReportedStopped, "")
		}
	})
}

// sortedRefs returns the running tasks in a deterministic order.
func sortedRefs(running map[core.TaskRef]*fakeRun) []core.TaskRef {
	return slices.SortedFunc(maps.Keys(running), func(a, b core.TaskRef) int {
		switch {
		case a.Job != b.Job && a.Job < b.Job:
			return -1
		case a.Job != b.Job:
			return 1
		}
		return a.Task - b.Task
	})
}
