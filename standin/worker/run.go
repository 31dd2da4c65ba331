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

// throttleFactor divides the speed and the CPU allocation of a throttled task.
const throttleFactor = 2

// run is a task or call that the worker has started.
type run struct {
	ref     wire.TaskRef
	entry   *Entry
	program Program
	// call is nil for a task.
	call  *CallReceived
	state core.ReportedState
	// workDone is the work done until progressAt, as run time at full
	// speed.
	workDone   time.Duration
	progressAt core.Time
	startedAt  core.Time
	endedAt    core.Time
	throttled  bool
	// leaseUntil is when the task is stopped unless its lease is renewed.
	leaseUntil core.Time
	// usageReported is set once the task's usage appears in reports.
	usageReported bool
	checkpoint    string
	sequence      uint64
}

// slowdown is the factor by which t runs longer than at full speed.
func (t *run) slowdown(slowFactor float64) float64 {
	if t.throttled {
		return throttleFactor * slowFactor
	}
	return slowFactor
}

// allocated returns the resources that t may use. The platform limits a
// throttled task to half of its CPU, rounded up.
func (t *run) allocated() core.Resources {
	resources := t.entry.Requested.ToCore()
	if t.throttled {
		resources.MilliCPU -= resources.MilliCPU / throttleFactor
	}
	return resources
}

// updateProgress adds the work done since progressAt at the current speed.
func (t *run) updateProgress(now core.Time, slowFactor float64) {
	t.workDone += time.Duration(float64(now.Sub(t.progressAt)) / t.slowdown(slowFactor))
	t.progressAt = now
}

// completesAt returns when the run completes if its speed does not change.
func (t *run) completesAt(slowFactor float64) core.Time {
	left := time.Duration(t.program.RunMS)*time.Millisecond - t.workDone
	return t.progressAt.Add(time.Duration(float64(left) * t.slowdown(slowFactor)))
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
		r.refuse(b.Request, core.ReasonStartDeadline, "latest allowed start was at %d ms", latest)
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
	if t.program.Usage.ToCore().IsZero() {
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
	if b.Program.Request.ToCore().IsZero() {
		b.Program.Request = wire.Resources{Slots: 1, Connections: 1}
	}
	r.begin(&run{program: b.Program, call: &b, entry: &Entry{
		Entry: EntryCall, Epoch: b.Epoch, Job: b.RequestID, Attempt: b.Attempt,
		Team: b.Team, Kind: b.Kind, Requested: b.Program.Request,
	}})
}

// begin starts t and appends it to the audit log.
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

// markChanged makes the next sync report a task. Calls are reported only as
// counts.
func (r *Reducer) markChanged(t *run) {
	if t.call == nil {
		r.sequence++
		t.sequence = r.sequence
	}
}

// finish ends t with a state and an outcome.
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
		r.refuse(b.Request, core.ReasonUnknownJob, "task %+v is not known at this worker", b.Signal.TaskRef)
		return
	}
	if t.state == core.ReportedRunning {
		r.applySignal(t, b.Signal.Signal)
	}
	r.answer(b.Request, r.taskReport(t))
}

// applySignal applies a signal to a running task.
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

// newCheckpoint returns a reference to the progress of t from which any worker
// can resume.
func newCheckpoint(t *run) string {
	return fmt.Sprintf("%s/%d/%d", t.ref.Job, t.ref.Task, t.workDone.Milliseconds())
}

// checkpointProgress returns the work that a checkpoint contains, or zero if
// the reference is invalid.
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

// unixMicros converts a time to microseconds since the Unix epoch.
func unixMicros(t core.Time) int64 { return int64(t) / int64(time.Microsecond) }
