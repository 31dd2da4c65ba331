package bench

import (
	"maps"
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
)

// fakeWorker runs tasks in virtual time.
type fakeWorker struct {
	listed      core.ListedWorker
	incarnation uint64
	sequence    uint64
	running     map[core.TaskRef]*fakeRun
	inUse       core.Resources
	// news are reports that no sync has confirmed, in the order of sequence.
	news    []numbered
	sync    *core.SyncWorker
	syncSeq uint64
	failAll bool
	silent  bool
}

// numbered is a report with its sequence number.
type numbered struct {
	sequence uint64
	report   core.TaskReport
}

// fakeRun is one task that runs.
type fakeRun struct {
	request core.Resources
	began   core.Time
	resumed core.Time
	left    time.Duration
	factor  int64
	fails   bool
	// generation makes an outdated end timer harmless.
	generation int
}

// report adds news and answers the waiting sync.
func (c *Cell) report(w *fakeWorker, rep core.TaskReport) {
	w.sequence++
	w.news = append(w.news, numbered{w.sequence, rep})
	c.answerSync(w)
}

// onSync holds a sync until there is news.
func (c *Cell) onSync(s core.SyncWorker) {
	w := c.workers[s.Worker]
	if w.silent {
		c.after(syncFailure, func() {
			c.step(core.WorkerFailed{Worker: s.Worker, Epoch: s.Epoch})
		})
		return
	}
	w.syncSeq++
	seq := w.syncSeq
	w.sync = &s
	i, _ := slices.BinarySearchFunc(w.news, s.Since+1, func(n numbered, since uint64) int {
		return int(n.sequence) - int(since)
	})
	w.news = w.news[i:]
	if s.Since == 0 || s.Wait == 0 || len(w.news) > 0 {
		c.answerSync(w)
		return
	}
	c.after(s.Wait, func() {
		if w.syncSeq == seq {
			c.answerSync(w)
		}
	})
}

// answerSync answers the waiting sync, if there is one.
func (c *Cell) answerSync(w *fakeWorker) {
	if w.sync == nil || w.silent {
		return
	}
	s := w.sync
	w.sync = nil
	w.syncSeq++
	body := core.WorkerSynced{
		Worker: s.Worker, Epoch: s.Epoch, Incarnation: w.incarnation,
		Sequence: w.sequence, Full: s.Since == 0,
	}
	for _, n := range w.news {
		body.Tasks = append(body.Tasks, n.report)
	}
	c.after(workerLatency, func() { c.step(body) })
}

// onStart starts a task and answers.
func (c *Cell) onStart(s core.StartTask) {
	w := c.workers[s.Worker]
	answer := core.StartAnswered{Worker: s.Worker, Epoch: s.Epoch, Task: s.Task, Verdict: core.Ran, Answered: true}
	if w.silent {
		answer.Verdict, answer.Answered = core.MayHaveRun, false
		c.after(syncFailure, func() { c.step(answer) })
		return
	}
	c.after(workerLatency, func() { c.startAt(w, s, answer) })
}

// startAt begins the run at the moment the start arrives at the worker.
func (c *Cell) startAt(w *fakeWorker, s core.StartTask, answer core.StartAnswered) {
	j := c.jobs[s.Task.Job]
	left := c.runTime(s.Task.Job)
	if saved, ok := c.saved[s.Task.Job]; ok && s.Checkpoint != "" {
		left = saved
	}
	run := &fakeRun{
		request: s.Request, began: c.now, resumed: c.now, left: left, factor: 1,
		fails: w.failAll || (j != nil && j.Fails),
	}
	if run.fails {
		run.left = min(run.left, failAfter)
	}
	w.running[s.Task] = run
	w.inUse = w.inUse.Add(s.Request)
	if !w.inUse.Fits(w.listed.Capacity) {
		c.Stats.OverAssigned++
	}
	c.noteStart(s)
	c.endLater(w, s.Task, run)
	c.after(workerLatency, func() { c.step(answer) })
}

// endLater sets the timer of a run's end.
func (c *Cell) endLater(w *fakeWorker, ref core.TaskRef, run *fakeRun) {
	run.generation++
	generation := run.generation
	c.after(run.left*time.Duration(run.factor), func() {
		if w.running[ref] != run || run.generation != generation {
			return
		}
		state := core.ReportedSucceeded
		if run.fails {
			state = core.ReportedFailed
		}
		c.end(w, ref, state, "")
	})
}

// end ends a run and reports it.
func (c *Cell) end(w *fakeWorker, ref core.TaskRef, state core.ReportedState, checkpoint string) {
	run := w.running[ref]
	delete(w.running, ref)
	w.inUse = w.inUse.Sub(run.request)
	c.noteEnd(ref, run)
	c.report(w, core.TaskReport{
		Task: ref, State: state, Requested: run.request, Used: run.request,
		RunTime: c.now.Sub(run.began), Checkpoint: checkpoint,
	})
}

// onSignal acts on a run.
func (c *Cell) onSignal(s core.SignalTask) {
	w := c.workers[s.Worker]
	c.after(workerLatency, func() {
		run := w.running[s.Task]
		if run == nil || w.silent {
			return
		}
		run.left -= c.now.Sub(run.resumed) / time.Duration(run.factor)
		run.resumed = c.now
		switch s.Signal {
		case core.SignalStop:
			c.end(w, s.Task, core.ReportedStopped, "")
		case core.SignalCheckpoint:
			c.saved[s.Task.Job] = run.left
			c.end(w, s.Task, core.ReportedCheckpointed, "saved")
		case core.SignalThrottle, core.SignalUnthrottle:
			c.throttle(w, s.Task, run, s.Signal == core.SignalThrottle)
		}
	})
}

// throttle halves the speed of a run, or restores it.
func (c *Cell) throttle(w *fakeWorker, ref core.TaskRef, run *fakeRun, on bool) {
	give := core.Resources{MilliCPU: run.request.MilliCPU / throttleFactor}
	if on == (run.factor > 1) {
		return
	}
	if on {
		run.factor, w.inUse = throttleFactor, w.inUse.Sub(give)
		run.request = run.request.Sub(give)
	} else {
		give.MilliCPU = run.request.MilliCPU
		run.factor, w.inUse = 1, w.inUse.Add(give)
		run.request = run.request.Add(give)
	}
	c.endLater(w, ref, run)
	c.report(w, core.TaskReport{Task: ref, State: core.ReportedRunning, Requested: run.request, Throttled: on})
}

// inject carries out a fault of the trace.
func (c *Cell) inject(f Fault) {
	w := c.workers[f.Worker]
	switch f.Kind {
	case FaultFailAll:
		w.failAll = true
		c.timers.schedule(at(f.UntilMS), func() { w.failAll = false })
	case FaultSilent:
		w.silent = true
		if s := w.sync; s != nil {
			w.sync = nil
			c.after(syncFailure, func() { c.step(core.WorkerFailed{Worker: s.Worker, Epoch: s.Epoch}) })
		}
		c.lapse(w)
		c.timers.schedule(at(f.UntilMS), func() { w.silent = false })
	case FaultRestart:
		for _, ref := range sortedRefs(w.running) {
			run := w.running[ref]
			delete(w.running, ref)
			c.noteEnd(ref, run)
		}
		w.inUse, w.news = core.Resources{}, nil
		w.sequence++
		w.incarnation++
		c.answerSync(w)
	}
}

// lapse ends the tasks of a silent worker when their leases have lapsed.
func (c *Cell) lapse(w *fakeWorker) {
	c.after(core.DefaultTaskLease, func() {
		if !w.silent {
			return
		}
		for _, ref := range sortedRefs(w.running) {
			c.end(w, ref, core.ReportedStopped, "")
		}
	})
}

// sortedRefs lists the running tasks in a fixed order.
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
