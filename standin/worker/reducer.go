package worker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// Config describes a worker.
type Config struct {
	ID       string
	Capacity core.Resources
	// UsageLag is the run time after which a task's usage appears in
	// reports.
	UsageLag time.Duration
	// Retention is how long an ended task stays in the task list that syncs
	// return.
	Retention time.Duration
	// Incarnation is the number of the first incarnation; it must not be
	// zero.
	Incarnation uint64
}

// Reducer holds the state of one worker.
type Reducer struct {
	cfg      Config
	faults   Faults
	now      core.Time
	nextWake core.Time
	effects  []Effect

	// The fields up to waitingSyncs belong to the current incarnation.
	incarnation uint64
	dead        bool
	epoch       core.Epoch
	// lastSyncEpoch is the epoch of the latest sync.
	lastSyncEpoch core.Epoch
	// sequence is incremented on each change, starting at incarnation, so
	// that a sequence number of an earlier incarnation is never mistaken
	// for one of this incarnation.
	sequence     uint64
	tasks        map[wire.TaskRef]*run
	running      []*run
	inUse        core.Resources
	waitingSyncs []waitingSync

	// leavingSince is when the host list began to show the worker as
	// leaving, or zero.
	leavingSince core.Time
	// auditLog and refusals survive restarts.
	auditLog []*Entry
	refusals map[string]int
}

// waitingSync is a sync that waits for a change.
type waitingSync struct {
	request  RequestID
	sync     wire.SyncRequest
	deadline core.Time
}

// New returns an idle worker.
func New(cfg Config) *Reducer {
	return &Reducer{
		cfg: cfg, incarnation: cfg.Incarnation, sequence: cfg.Incarnation,
		tasks: map[wire.TaskRef]*run{}, refusals: map[string]int{},
	}
}

// Step applies one event and returns the resulting effects.
func (r *Reducer) Step(e Event) []Effect {
	r.effects = nil
	r.advance(max(r.now, e.At))
	switch b := e.Body.(type) {
	case RequestAbandoned:
		r.waitingSyncs = slices.DeleteFunc(r.waitingSyncs, func(w waitingSync) bool { return w.request == b.Request })
	case FaultsSet:
		r.setFaults(b.Faults)
	case ListingChanged:
		r.setLeaving(b.Leaving)
	case Killed:
		r.endIncarnation()
		r.dead = true
	case Restarted:
		r.endIncarnation()
		r.dead = false
		r.incarnation, r.sequence = b.Incarnation, b.Incarnation
	case ReportRequested:
		r.effects = append(r.effects, Answer{Request: b.Request, Body: r.report()})
	default:
		if !r.dead && !r.faults.Silent {
			r.handleRequest(e.Body)
		}
	}
	r.answerSyncs()
	r.scheduleWake()
	return r.effects
}

// handleRequest executes a request of the worker protocol.
func (r *Reducer) handleRequest(body EventBody) {
	switch b := body.(type) {
	case SyncReceived:
		r.handleSync(b)
	case StartReceived:
		r.handleStart(b)
	case SignalReceived:
		r.handleSignal(b)
	case CallReceived:
		r.handleCall(b)
	}
}

// checkEpoch refuses a request whose epoch is below the highest one seen. A
// higher epoch fences the earlier owners and ends their waiting syncs.
func (r *Reducer) checkEpoch(request RequestID, epoch core.Epoch) bool {
	if epoch < r.epoch {
		r.refuse(request, core.ReasonStaleEpoch, "epoch %d is lower than %d", epoch, r.epoch)
		return false
	}
	if epoch > r.epoch {
		r.epoch = epoch
		fenced := r.waitingSyncs
		r.waitingSyncs = nil
		for _, w := range fenced {
			r.refuse(w.request, core.ReasonStaleEpoch, "epoch %d is lower than %d", w.sync.Epoch, epoch)
		}
	}
	return true
}

func (r *Reducer) refuse(request RequestID, reason core.Reason, format string, args ...any) {
	r.refusals[string(reason)]++
	r.answer(request, wire.WorkerRefusal{
		Reason: reason, HighestEpoch: r.epoch, Message: fmt.Sprintf(format, args...),
	})
}

// answer emits an answer, unless a fault switch suppresses or alters it.
func (r *Reducer) answer(request RequestID, body any) {
	if r.faults.Silent || r.faults.Mute {
		return
	}
	a := Answer{Request: request, Body: body, Delay: time.Duration(r.faults.DelayMS) * time.Millisecond}
	if result, ok := body.(CallResult); ok {
		switch {
		case r.faults.TruncateNext > 0:
			r.faults.TruncateNext--
			a.Truncate = true
		case r.faults.MisdirectNext > 0:
			r.faults.MisdirectNext--
			result.RequestID += "-other"
			a.Body = result
		}
	}
	r.effects = append(r.effects, a)
}

func (r *Reducer) handleSync(b SyncReceived) {
	if !r.checkEpoch(b.Request, b.Sync.Epoch) {
		return
	}
	for _, t := range r.running {
		if t.call == nil {
			t.leaseUntil = r.now.Add(time.Duration(b.Sync.LeaseMS) * time.Millisecond)
		}
	}
	maps.DeleteFunc(r.tasks, func(_ wire.TaskRef, t *run) bool {
		return t.state != core.ReportedRunning && t.endedAt.Add(r.cfg.Retention) < r.now
	})
	if b.Sync.Epoch != r.lastSyncEpoch {
		r.lastSyncEpoch = b.Sync.Epoch
		b.Sync.Since = 0
	}
	r.waitingSyncs = append(r.waitingSyncs, waitingSync{
		request: b.Request, sync: b.Sync,
		deadline: r.now.Add(time.Duration(b.Sync.WaitMS) * time.Millisecond),
	})
}

// answerSyncs answers the syncs that have changes to report or whose wait is
// over.
func (r *Reducer) answerSyncs() {
	r.waitingSyncs = slices.DeleteFunc(r.waitingSyncs, func(w waitingSync) bool {
		since := w.sync.Since
		full := since < r.incarnation || since > r.sequence
		if !full && since == r.sequence && w.deadline > r.now {
			return false
		}
		r.answer(w.request, r.syncResponse(w.sync.Epoch, since, full))
		return true
	})
}

func (r *Reducer) syncResponse(epoch core.Epoch, since uint64, full bool) wire.SyncResponse {
	response := wire.SyncResponse{
		Epoch: epoch, Incarnation: r.incarnation, Sequence: r.sequence, Full: full,
		Leaving: r.leavingSince != 0, CallsInProgress: r.callCounts(),
	}
	var changed []*run
	for _, t := range r.tasks {
		if full || t.sequence > since {
			changed = append(changed, t)
		}
	}
	slices.SortFunc(changed, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.sequence, b.sequence), cmp.Compare(a.ref.Job, b.ref.Job),
			cmp.Compare(a.ref.Task, b.ref.Task), cmp.Compare(a.ref.Attempt, b.ref.Attempt))
	})
	for _, t := range changed {
		response.Tasks = append(response.Tasks, r.taskReport(t))
	}
	return response
}

// callCounts counts the calls in progress by team and kind.
func (r *Reducer) callCounts() []wire.CallCount {
	var counts []wire.CallCount
	for _, t := range r.running {
		if t.call == nil {
			continue
		}
		i := slices.IndexFunc(counts, func(c wire.CallCount) bool {
			return c.Team == t.entry.Team && c.Kind == t.entry.Kind
		})
		if i < 0 {
			counts = append(counts, wire.CallCount{Team: t.entry.Team, Kind: t.entry.Kind, Count: 1})
			continue
		}
		counts[i].Count++
	}
	return counts
}

// endIncarnation ends all tasks and calls and discards the incarnation's state.
func (r *Reducer) endIncarnation() {
	for _, t := range slices.Clone(r.running) {
		r.finish(t, core.ReportedStopped, OutcomeLost)
	}
	r.tasks = map[wire.TaskRef]*run{}
	r.waitingSyncs = nil
	r.epoch, r.lastSyncEpoch = 0, 0
}

// setLeaving records since when the host list shows the worker as leaving.
func (r *Reducer) setLeaving(leaving bool) {
	switch {
	case !leaving:
		r.leavingSince = 0
	case r.leavingSince == 0:
		r.leavingSince = r.now
	}
	r.sequence++
}

// setFaults replaces the fault switches. A worker that becomes silent or mute
// never answers the syncs that are waiting.
func (r *Reducer) setFaults(f Faults) {
	for _, t := range r.running {
		t.updateProgress(r.now, r.slowFactor())
	}
	r.faults = f
	if f.Silent || f.Mute {
		r.waitingSyncs = nil
	}
}

func (r *Reducer) slowFactor() float64 { return max(1, r.faults.SlowFactor) }

func (r *Reducer) report() Report {
	report := Report{
		Worker: r.cfg.ID, Incarnation: r.incarnation, Epoch: r.epoch, Dead: r.dead,
		Faults: r.faults, InUse: wire.FromResources(r.inUse),
		Entries: make([]Entry, 0, len(r.auditLog)), Refusals: maps.Clone(r.refusals),
	}
	for _, e := range r.auditLog {
		report.Entries = append(report.Entries, *e)
	}
	return report
}
