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
	call  *CallAsked
	state core.ReportedState
	// done is the work done up to settled, in time at full speed.
	done      time.Duration
	settled   core.Time
	started   core.Time
	ended     core.Time
	throttled bool
	// leaseUntil is when a task is stopped unless its lease is renewed.
	leaseUntil core.Time
	// useShown is set once the task's use appears in reports.
	useShown   bool
	checkpoint string
	sequence   uint64
}

// pace is the time that one unit of work takes.
func (t *run) pace(slowness float64) float64 {
	if t.throttled {
		return throttleFactor * slowness
	}
	return slowness
}

// holds is what t may use. The platform limits a throttled task to half of its
// processors, rounded up.
func (t *run) holds() core.Resources {
	held := t.entry.Requested.ToCore()
	if t.throttled {
		held.MilliCPU -= held.MilliCPU / throttleFactor
	}
	return held
}

// settle books the work done until now at the present pace.
func (t *run) settle(now core.Time, slowness float64) {
	t.done += time.Duration(float64(now.Sub(t.settled)) / t.pace(slowness))
	t.settled = now
}

// ends is when the run is complete at the present pace.
func (t *run) ends(slowness float64) core.Time {
	left := time.Duration(t.program.RunMS)*time.Millisecond - t.done
	return t.settled.Add(time.Duration(float64(left) * t.pace(slowness)))
}

func (r *Reducer) start(b StartAsked) {
	if !r.admit(b.Request, b.Start.Epoch) {
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
	if t.program.Use.ToCore().IsZero() {
		t.program.Use = b.Start.Request
	}
	t.done = progressOf(b.Start.Checkpoint)
	r.tasks[t.ref] = t
	r.begin(t)
	r.answer(b.Request, r.taskReport(t))
}

func (r *Reducer) call(b CallAsked) {
	if !r.admit(b.Request, b.Epoch) {
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

// begin starts t and enters it in the account.
func (r *Reducer) begin(t *run) {
	if r.faults.FailAll {
		t.program.Fail, t.program.RunMS = true, 0
	}
	t.started, t.settled = r.now, r.now
	r.touch(t)
	r.running = append(r.running, t)
	r.inUse = r.inUse.Add(t.holds())
	e := t.entry
	e.Worker, e.Incarnation, e.Outcome = r.cfg.ID, r.incarnation, OutcomeRunning
	e.StartUnixUS = micros(r.now)
	e.OverAssigned = !r.inUse.Fits(r.cfg.Capacity)
	e.LeavingMS = -1
	if r.leavingSince != 0 {
		e.LeavingMS = r.now.Sub(r.leavingSince).Milliseconds()
	}
	r.entries = append(r.entries, e)
	r.advance(r.now)
}

// touch marks a task as changed. Calls are not reported one by one.
func (r *Reducer) touch(t *run) {
	if t.call == nil {
		r.sequence++
		t.sequence = r.sequence
	}
}

// finish ends t.
func (r *Reducer) finish(t *run, state core.ReportedState, outcome Outcome) {
	t.settle(r.now, r.slowness())
	t.state, t.ended = state, r.now
	t.entry.Outcome, t.entry.EndUnixUS = outcome, micros(r.now)
	r.inUse = r.inUse.Sub(t.holds())
	r.running = slices.DeleteFunc(r.running, func(o *run) bool { return o == t })
	r.touch(t)
}

func (r *Reducer) signal(b SignalAsked) {
	if !r.admit(b.Request, b.Signal.Epoch) {
		return
	}
	t := r.tasks[b.Signal.TaskRef]
	if t == nil {
		r.refuse(b.Request, core.ReasonUnknownJob, "no task %+v in the ledger", b.Signal.TaskRef)
		return
	}
	if t.state == core.ReportedRunning {
		r.act(t, b.Signal.Signal)
	}
	r.answer(b.Request, r.taskReport(t))
}

// act applies a signal to a running task.
func (r *Reducer) act(t *run, signal core.Signal) {
	switch signal {
	case core.SignalStop:
		r.finish(t, core.ReportedStopped, OutcomeStopped)
	case core.SignalCheckpoint:
		r.finish(t, core.ReportedCheckpointed, OutcomeCheckpointed)
		t.checkpoint = checkpointName(t)
	case core.SignalThrottle, core.SignalUnthrottle:
		t.settle(r.now, r.slowness())
		r.inUse = r.inUse.Sub(t.holds())
		t.throttled = signal == core.SignalThrottle
		r.inUse = r.inUse.Add(t.holds())
		if !t.throttled && !r.inUse.Fits(r.cfg.Capacity) {
			t.entry.OverAssigned = true
		}
		r.touch(t)
	}
}

// checkpointName builds a reference that any worker can resume from.
func checkpointName(t *run) string {
	return fmt.Sprintf("%s/%d/%d", t.ref.Job, t.ref.Task, t.done.Milliseconds())
}

// progressOf returns the work that a checkpoint holds.
func progressOf(checkpoint string) time.Duration {
	ms, err := strconv.ParseInt(checkpoint[strings.LastIndexByte(checkpoint, '/')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (r *Reducer) taskReport(t *run) wire.TaskReport {
	report := wire.TaskReport{
		TaskRef: t.ref, State: t.state, Requested: t.entry.Requested,
		RunTimeMS: r.now.Sub(t.started).Milliseconds(), Checkpoint: t.checkpoint, Throttled: t.throttled,
	}
	if t.useShown {
		report.Used = t.program.Use
	}
	if t.state != core.ReportedRunning {
		report.RunTimeMS = t.ended.Sub(t.started).Milliseconds()
	}
	if t.state == core.ReportedSucceeded {
		report.Result = []byte(t.program.Result)
	}
	return report
}

// micros converts to microseconds since the Unix epoch.
func micros(t core.Time) int64 { return int64(t) / int64(time.Microsecond) }
