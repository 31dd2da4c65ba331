package worker

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// throttleFactor is how much slower a throttled task runs.
const throttleFactor = 2

// run is one task or call at the worker.
type run struct {
	ref     wire.TaskRef
	entry   *Entry
	program Program
	// call is nil for a task.
	call  *CallReceived
	state core.ReportedState
	// done is the work done up to settled, in time at full speed.
	workDone   time.Duration
	progressAt core.Time
	startedAt  core.Time
	endedAt    core.Time
	throttled  bool
	// leaseUntil is when a task is stopped unless its lease is renewed.
	leaseUntil core.Time
	// useShown is set once the task's use appears in reports.
	usageReported bool
	checkpoint    string
	sequence      uint64
}

// pace is the time that one unit of work takes.
func (t *run) slowdown(slowness float64) float64 {
	if t.throttled {
		return throttleFactor * slowness
	}
	return slowness
}

// holds is what t may use. The platform limits a throttled task to half of its
// processors, rounded up.
func (t *run) allocated() core.Resources {
	held := t.entry.Requested.Core()
	if t.throttled {
		held.MilliCPU -= held.MilliCPU / throttleFactor
	}
	return held
}

// settle books the work done until now at the present pace.
func (t *run) updateProgress(now core.Time, slowness float64) {
	t.workDone += time.Duration(float64(now.Sub(t.progressAt)) / t.slowdown(slowness))
	t.progressAt = now
}

// ends is when the run is complete at the present pace.
func (t *run) completesAt(slowness float64) core.Time {
	left := time.Duration(t.program.RunMS)*time.Millisecond - t.workDone
	return t.progressAt.Add(time.Duration(float64(left) * t.slowdown(slowness)))
}

func (r *Reducer) handleStart(b StartReceived) {
	if !r.checkEpoch(b.Request, b.Start.Epoch) {
		return
	}
	if t := r.tasks[b.Start.TaskRef]; t != nil {
		r.answer(b.Request, r.taskReport(t))
		return
	}
	if latest := b.Start.LatestStartUnixMS; r.now > core.Time(latest*int64(time.Millisecond)) {
		r.refuse(b.Request, core.ReasonStartDeadline, "the latest start was at %d ms", latest)
		return
	}
	t := &run{
		ref: b.Start.TaskRef, program: b.Program, checkpoint: b.Start.Checkpoint,
		leaseUntil: r.now.Add(time.Duration(b.Start.LeaseMS) * time.Millisecond),
		entry: &Entry{
			Entry: EntryTask, Epoch: b.Start.Epoch, Job: string(b.Start.Job), Task: b.Start.Task,
			Attempt: b.Start.Attempt, Team: b.Start.Team, Kind: b.Start.Kind, Requested: b.Start.Request,
		},
	}
	if t.program.Usage.Core().IsZero() {
		t.program.Usage = b.Start.Request
	}
	t.workDone = checkpointProgress(b.Start.Checkpoint)
	r.tasks[t.ref] = t
	r.begin(t)
	r.answer(b.Request, r.taskReport(t))
}

func (r *Reducer) handleCall(b CallReceived) {
	if !r.checkEpoch(b.Request, b.Epoch) {
		return
	}
	if b.Program.Request.Core().IsZero() {
		b.Program.Request = wire.Resources{Slots: 1, Connections: 1}
	}
	r.begin(&run{program: b.Program, call: &b, entry: &Entry{
		Entry: EntryCall, Epoch: b.Epoch, Job: b.RequestID, Attempt: b.Attempt,
		Team: b.Team, Kind: b.Kind, Requested: b.Program.Request,
	}})
}

// begin starts t and enters it in the account.
func (r *Reducer) begin(t *run) {
	if r.faults.FailAll {
		t.program.Fail, t.program.RunMS = true, 0
	}
	t.startedAt, t.progressAt = r.now, r.now
	r.markChanged(t)
	r.running = append(r.running, t)
	r.inUse = r.inUse.Add(t.allocated())
	e := t.entry
	e.Worker, e.Incarnation, e.Outcome = r.cfg.ID, r.incarnation, OutcomeRunning
	e.StartUnixUS = unixMicros(r.now)
	e.OverAssigned = !r.inUse.Fits(r.cfg.Capacity)
	e.LeavingMS = -1
	if r.leavingSince != 0 {
		e.LeavingMS = r.now.Sub(r.leavingSince).Milliseconds()
	}
	r.auditLog = append(r.auditLog, e)
	r.advance(r.now)
}

// touch marks a task as changed. Calls are not reported one by one.
func (r *Reducer) markChanged(t *run) {
	if t.call == nil {
		r.sequence++
		t.sequence = r.sequence
	}
}

// finish ends t.
func (r *Reducer) finish(t *run, state core.ReportedState, outcome Outcome) {
	t.updateProgress(r.now, r.slowFactor())
	t.state, t.endedAt = state, r.now
	t.entry.Outcome, t.entry.EndUnixUS = outcome, unixMicros(r.now)
	r.inUse = r.inUse.Sub(t.allocated())
	r.running = slices.DeleteFunc(r.running, func(o *run) bool { return o == t })
	r.markChanged(t)
}

func (r *Reducer) handleSignal(b SignalReceived) {
	if !r.checkEpoch(b.Request, b.Signal.Epoch) {
		return
	}
	t := r.tasks[b.Signal.TaskRef]
	if t == nil {
		r.refuse(b.Request, core.ReasonUnknownJob, "no task %+v in the ledger", b.Signal.TaskRef)
		return
	}
	if t.state == core.ReportedRunning {
		r.applySignal(t, b.Signal.Signal)
	}
	r.answer(b.Request, r.taskReport(t))
}

// act applies a signal to a running task.
func (r *Reducer) applySignal(t *run, signal core.Signal) {
	switch signal {
	case core.SignalStop:
		r.finish(t, core.ReportedStopped, OutcomeStopped)
	case core.SignalCheckpoint:
		r.finish(t, core.ReportedCheckpointed, OutcomeCheckpointed)
		t.checkpoint = newCheckpoint(t)
	case core.SignalThrottle, core.SignalUnthrottle:
		t.updateProgress(r.now, r.slowFactor())
		r.inUse = r.inUse.Sub(t.allocated())
		t.throttled = signal == core.SignalThrottle
		r.inUse = r.inUse.Add(t.allocated())
		if !t.throttled && !r.inUse.Fits(r.cfg.Capacity) {
			t.entry.OverAssigned = true
		}
		r.markChanged(t)
	}
}

// checkpointName builds a reference that any worker can resume from.
func newCheckpoint(t *run) string {
	return fmt.Sprintf("%s/%d/%d", t.ref.Job, t.ref.Task, t.workDone.Milliseconds())
}

// progressOf returns the work that a checkpoint holds.
func checkpointProgress(checkpoint string) time.Duration {
	ms, err := strconv.ParseInt(checkpoint[strings.LastIndexByte(checkpoint, '/')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (r *Reducer) taskReport(t *run) wire.TaskReport {
	report := wire.TaskReport{
		TaskRef: t.ref, State: t.state, Requested: t.entry.Requested,
		RunTimeMS: r.now.Sub(t.startedAt).Milliseconds(), Checkpoint: t.checkpoint, Throttled: t.throttled,
	}
	if t.usageReported {
		report.Used = t.program.Usage
	}
	if t.state != core.ReportedRunning {
		report.RunTimeMS = t.endedAt.Sub(t.startedAt).Milliseconds()
	}
	if t.state == core.ReportedSucceeded {
		report.Result = []byte(t.program.Result)
	}
	return report
}

// micros converts to microseconds since the Unix epoch.
func unixMicros(t core.Time) int64 { return int64(t) / int64(time.Microsecond) }
