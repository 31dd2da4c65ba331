package worker

import (
	"strconv"
	"testing"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// firstIncarnation is also the first sequence number.
const firstIncarnation = 1000

// harness steps a reducer at explicit times in milliseconds.
type harness struct {
	t    *testing.T
	r    *Reducer
	next RequestID
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, r: New(Config{
		ID: "w", Capacity: core.Resources{MilliCPU: 1000, Slots: 2, Connections: 4},
		UsageLag: 500 * time.Millisecond, Retention: time.Hour, Incarnation: firstIncarnation,
	})}
}

func (h *harness) step(ms int64, body EventBody) []Answer {
	var list []Answer
	for _, f := range h.r.Step(Event{At: core.Time(ms * int64(time.Millisecond)), Body: body}) {
		if a, ok := f.(Answer); ok {
			list = append(list, a)
		}
	}
	return list
}

func ref(job string, attempt int) wire.TaskRef {
	return wire.TaskRef{Job: core.JobID(job), Attempt: attempt}
}

// startRequest requests a task of one slot with a lease of 30 s.
func startRequest(epoch core.Epoch, ref wire.TaskRef) wire.StartRequest {
	return wire.StartRequest{
		TaskRef: ref, Epoch: epoch, LeaseMS: 30_000, LatestStartUnixMS: 1_000_000,
		Request: wire.Resources{MilliCPU: 100, Slots: 1},
	}
}

func (h *harness) start(ms int64, s wire.StartRequest, runMS int64) any {
	h.t.Helper()
	return h.expectOne(ms, StartReceived{Request: h.id(), Start: s, Program: Program{RunMS: runMS, Result: "done"}})
}

func (h *harness) signal(ms int64, ref wire.TaskRef, s core.Signal) wire.TaskReport {
	h.t.Helper()
	a := h.expectOne(ms, SignalReceived{Request: h.id(), Signal: wire.SignalRequest{TaskRef: ref, Epoch: 9, Signal: s}})
	return a.(wire.TaskReport)
}

// sync expects an immediate answer.
func (h *harness) sync(ms int64, s wire.SyncRequest) wire.SyncResponse {
	h.t.Helper()
	return h.expectOne(ms, SyncReceived{Request: h.id(), Sync: s}).(wire.SyncResponse)
}

func (h *harness) id() RequestID { h.next++; return h.next }

func (h *harness) expectOne(ms int64, body EventBody) any {
	h.t.Helper()
	got := h.step(ms, body)
	if len(got) != 1 || got[0].Request != h.next {
		h.t.Fatalf("answers to %+v: %+v, want one for request %d", body, got, h.next)
	}
	return got[0].Body
}

func (h *harness) report(ms int64) Report {
	return h.step(ms, ReportRequested{})[0].Body.(Report)
}

func (h *harness) wantRefusal(body any, reason core.Reason, epoch core.Epoch) {
	h.t.Helper()
	if got, ok := body.(wire.WorkerRefusal); !ok || got.Reason != reason || got.HighestEpoch != epoch {
		h.t.Errorf("answer %+v, want refusal %s with epoch %d", body, reason, epoch)
	}
}

// Guards against a former owner that can still start, signal, call or sync
// after another host has fenced the worker.
func TestLowerEpochIsRefused(t *testing.T) {
	h := newHarness(t)
	h.start(0, startRequest(4, ref("j", 1)), 60_000)
	got := h.sync(1, wire.SyncRequest{Epoch: 4, WaitMS: 10_000, LeaseMS: 30_000})
	if a := h.step(2, SyncReceived{Request: 77, Sync: wire.SyncRequest{Epoch: 4, Since: got.Sequence, WaitMS: 10_000, LeaseMS: 30_000}}); len(a) != 0 {
		t.Fatalf("sync without changes was answered: %+v", a)
	}
	fenced := h.step(3, SyncReceived{Request: h.id(), Sync: wire.SyncRequest{Epoch: 6, LeaseMS: 30_000}})
	if len(fenced) != 2 || fenced[0].Request != 77 {
		t.Fatalf("answers to the sync with the higher epoch: %+v", fenced)
	}
	h.wantRefusal(fenced[0].Body, core.ReasonStaleEpoch, 6)
	h.wantRefusal(h.start(4, startRequest(5, ref("k", 1)), 10), core.ReasonStaleEpoch, 6)
	h.wantRefusal(h.expectOne(5, SignalReceived{h.id(), wire.SignalRequest{TaskRef: ref("j", 1), Epoch: 5}}), core.ReasonStaleEpoch, 6)
	h.wantRefusal(h.expectOne(6, CallReceived{Request: h.id(), Epoch: 5}), core.ReasonStaleEpoch, 6)
	h.wantRefusal(h.expectOne(7, SyncReceived{h.id(), wire.SyncRequest{Epoch: 5}}), core.ReasonStaleEpoch, 6)
	if r := h.report(8); len(r.Entries) != 1 || r.Entries[0].Outcome != OutcomeRunning {
		t.Errorf("entries %+v", r.Entries)
	}
}

// Guards against a delayed start that takes effect after its job was resolved,
// and against a repeated start that runs the task twice.
func TestStartIsRefusedLateAndNotRepeated(t *testing.T) {
	h := newHarness(t)
	s := startRequest(1, ref("j", 1))
	s.LatestStartUnixMS = 100
	h.start(100, s, 50)
	if got := h.start(200, s, 50).(wire.TaskReport); got.State != core.ReportedSucceeded || string(got.Result) != "done" {
		t.Errorf("answer to the repeated start: %+v", got)
	}
	s.Attempt = 2
	h.wantRefusal(h.start(101, s, 50), core.ReasonStartDeadline, 1) // the reducer's time stays at 200 ms
	if r := h.report(300); len(r.Entries) != 1 || r.Entries[0].EndUnixUS != 150_000 {
		t.Errorf("entries %+v", r.Entries)
	}
}

// Guards against a task that continues to run after its lease has expired: its
// job may have been started on another worker by then.
func TestExpiredTaskLeaseStopsTheTask(t *testing.T) {
	h := newHarness(t)
	h.start(0, startRequest(1, ref("j", 1)), 600_000)
	h.sync(20_000, wire.SyncRequest{Epoch: 1, LeaseMS: 30_000})
	if r := h.report(49_999); r.Entries[0].Outcome != OutcomeRunning {
		t.Fatalf("entry before the lease expired: %+v", r.Entries[0])
	}
	got := h.sync(90_000, wire.SyncRequest{Epoch: 1, LeaseMS: 30_000})
	if len(got.Tasks) != 1 || got.Tasks[0].State != core.ReportedStopped {
		t.Errorf("tasks after the lease expired: %+v", got.Tasks)
	}
	if e := h.report(90_000).Entries[0]; e.Outcome != OutcomeLeaseExpired || e.EndUnixUS != 50_000_000 {
		t.Errorf("entry after the lease expired: %+v", e)
	}
}

// Guards against a sync that hides tasks from a new owner or hides a restart,
// and against a sync that answers without changes.
func TestSyncIsFullAfterEpochOrIncarnationChange(t *testing.T) {
	h := newHarness(t)
	h.start(0, startRequest(1, ref("j", 1)), 60_000)
	first := h.sync(1, wire.SyncRequest{Epoch: 1, LeaseMS: 30_000})
	if !first.Full || len(first.Tasks) != 1 || first.Sequence == 0 {
		t.Fatalf("first sync %+v", first)
	}
	waiting := SyncReceived{h.id(), wire.SyncRequest{Epoch: 1, Since: first.Sequence, LeaseMS: 60_000, WaitMS: 10_000}}
	if a := h.step(2, waiting); len(a) != 0 {
		t.Fatalf("sync without changes was answered: %+v", a)
	}
	lagged := h.step(500, Tick{})
	if len(lagged) != 1 || lagged[0].Body.(wire.SyncResponse).Full || lagged[0].Body.(wire.SyncResponse).Tasks[0].Used.MilliCPU != 100 {
		t.Fatalf("answers when the usage appears: %+v", lagged)
	}
	if got := h.sync(501, wire.SyncRequest{Epoch: 3, Since: 1002, LeaseMS: 60_000}); !got.Full || len(got.Tasks) != 1 {
		t.Errorf("sync of a new epoch %+v", got)
	}
	h.step(600, Restarted{Incarnation: 5000})
	got := h.sync(601, wire.SyncRequest{Epoch: 3, Since: 1002})
	if !got.Full || len(got.Tasks) != 0 || got.Incarnation != 5000 {
		t.Errorf("sync after a restart %+v", got)
	}
	if e := h.report(602).Entries; len(e) != 1 || e[0].Outcome != OutcomeLost || e[0].EndUnixUS != 600_000 {
		t.Errorf("audit log after a restart %+v", e)
	}
}

// Guards against throttling and checkpoints that have no effect or lose work.
func TestThrottledAndCheckpointedWorkContinues(t *testing.T) {
	h := newHarness(t)
	h.start(0, startRequest(1, ref("j", 1)), 10_000)
	h.signal(2000, ref("j", 1), core.SignalThrottle)
	got := h.signal(8000, ref("j", 1), core.SignalCheckpoint) // 2 s + 6 s at half speed
	if got.State != core.ReportedCheckpointed || got.Checkpoint == "" {
		t.Fatalf("checkpoint %+v", got)
	}
	s := startRequest(9, ref("j", 2))
	s.Checkpoint = got.Checkpoint
	h.start(20_000, s, 10_000)
	h.step(60_000, Tick{})
	if e := h.report(60_000).Entries[1]; e.Outcome != OutcomeSucceeded || e.EndUnixUS != 25_000_000 {
		t.Errorf("resumed task %+v", e)
	}
	if got := h.signal(60_001, ref("j", 2), core.SignalStop); got.State != core.ReportedSucceeded {
		t.Errorf("answer to a signal to an ended task %+v", got)
	}
	h.wantRefusal(h.expectOne(60_002, SignalReceived{h.id(), wire.SignalRequest{TaskRef: ref("x", 1), Epoch: 9}}), core.ReasonUnknownJob, 9)
}

// Guards against an audit log that misses over-assignment or late starts on a
// leaving worker. The guarantees are checked against this log.
func TestAuditLogRecordsViolations(t *testing.T) {
	h := newHarness(t)
	call := CallReceived{Request: h.id(), Epoch: 1, RequestID: "r", Attempt: 2, Team: "t", Kind: "k", Program: Program{RunMS: 1000}}
	h.step(0, call)
	h.start(1, startRequest(1, ref("a", 1)), 500)
	h.start(2, startRequest(1, ref("b", 1)), 500) // a third slot of two
	if got := h.sync(3, wire.SyncRequest{Epoch: 1, LeaseMS: 30_000}); len(got.CallsInProgress) != 1 || got.CallsInProgress[0].Count != 1 {
		t.Errorf("calls in progress %+v", got.CallsInProgress)
	}
	done := h.step(1000, Tick{})
	if len(done) != 1 || done[0].Body.(CallResult).RequestID != "r" || done[0].Body.(CallResult).Attempt != 2 {
		t.Errorf("answer to the call %+v", done)
	}
	h.step(2000, ListingChanged{Leaving: true})
	h.start(5000, startRequest(1, ref("c", 1)), 10)
	h.start(5002, startRequest(1, ref("d", 1)), 10)
	got := Summarize([]Report{h.report(6000)})
	if got.Starts != 5 || got.OverAssigned != 1 || got.StartsAfterLeaving != 1 || got.Ends[OutcomeSucceeded] != 5 {
		t.Errorf("summary %+v", got)
	}
}

// Guards against an audit log that counts the CPU that a throttled task may not
// use, or that misses an over-assignment at the end of throttling.
func TestThrottledTaskCountsHalfItsCPU(t *testing.T) {
	// The worker has 1000 millicores.
	cases := []struct {
		name             string
		first, second    int64
		signals          []core.Signal
		startOver, after bool
	}{
		{"without throttling the second start exceeds the capacity", 701, 300, nil, true, false},
		{"a throttled task frees half of its CPU", 701, 649, []core.Signal{core.SignalThrottle}, false, false},
		{"an odd half is rounded up", 701, 650, []core.Signal{core.SignalThrottle}, true, false},
		{"a second throttle signal has no effect", 700, 651, []core.Signal{core.SignalThrottle, core.SignalThrottle}, true, false},
		{"an unthrottled task counts fully again", 701, 300, []core.Signal{core.SignalThrottle, core.SignalUnthrottle}, true, false},
		{"the end of throttling exceeds the capacity", 701, 649, []core.Signal{core.SignalThrottle}, false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			for i, cpu := range []int64{tc.first, tc.second} {
				s := startRequest(9, ref(strconv.Itoa(i), 1))
				s.Request.MilliCPU = cpu
				h.start(int64(i), s, 1000)
				if i == 0 {
					for _, signal := range tc.signals {
						h.signal(0, ref("0", 1), signal)
					}
				}
			}
			if tc.after {
				h.signal(2, ref("0", 1), core.SignalUnthrottle)
			}
			e := h.report(3).Entries
			if e[0].OverAssigned != tc.after || e[1].OverAssigned != tc.startOver {
				t.Errorf("first task over-assigned: %v, second: %v", e[0].OverAssigned, e[1].OverAssigned)
			}
			if got := h.report(10_000).InUse; got.MilliCPU != 0 {
				t.Errorf("in use after both tasks ended: %+v", got)
			}
		})
	}
}

// Guards against fault switches that have no effect, or affect more than they
// say.
func TestFaultSwitches(t *testing.T) {
	h := newHarness(t)
	h.step(0, FaultsSet{Faults{FailAll: true, DelayMS: 7}})
	if got := h.start(1, startRequest(1, ref("a", 1)), 500).(wire.TaskReport); got.State != core.ReportedFailed {
		t.Errorf("start at a failing worker %+v", got)
	}
	h.step(2, FaultsSet{Faults{Silent: true}})
	if got := h.step(3, StartReceived{1, startRequest(1, ref("b", 1)), Program{}}); len(got) != 0 {
		t.Errorf("silent worker answered: %+v", got)
	}
	h.step(4, FaultsSet{Faults{Mute: true}})
	if got := h.step(5, StartReceived{1, startRequest(1, ref("c", 1)), Program{RunMS: 10}}); len(got) != 0 {
		t.Errorf("mute worker answered: %+v", got)
	}
	h.step(50, FaultsSet{Faults{SlowFactor: 3, TruncateNext: 1}})
	h.start(100, startRequest(1, ref("d", 1)), 100)
	call := CallReceived{Request: 5, Epoch: 1, Program: Program{RunMS: 100}}
	h.step(100, call)
	if got := h.step(400, Tick{}); len(got) != 1 || !got[0].Truncate {
		t.Errorf("answers of the slow worker %+v", got)
	}
	h.step(500, Killed{})
	if got := h.step(501, StartReceived{1, startRequest(1, ref("e", 1)), Program{}}); len(got) != 0 {
		t.Errorf("dead worker answered: %+v", got)
	}
	e := h.report(600).Entries
	if len(e) != 4 || e[1].Job != "c" || e[1].EndUnixUS != 15_000 || e[2].EndUnixUS != 400_000 {
		t.Errorf("entries %+v", e)
	}
}

// Guards against a summary that reports a correct retry as overlapping, or
// misses a task that ran twice at the same time.
func TestSummaryDistinguishesRetriesFromOverlaps(t *testing.T) {
	entry := func(start, end int64) Entry {
		return Entry{Entry: EntryTask, Job: "j", StartUnixUS: start, EndUnixUS: end}
	}
	for _, c := range []struct {
		name              string
		a, b              Entry
		doubled, repeated int
	}{
		{"a retry after the end is only repeated", entry(1, 5), entry(5, 9), 0, 1},
		{"a start before the end overlaps", entry(1, 5), entry(4, 9), 1, 1},
		{"a start beside an unfinished run overlaps", entry(1, 0), entry(900, 901), 1, 1},
		{"the order of the reports does not matter", entry(4, 9), entry(1, 5), 1, 1},
		{"another task of the job is neither", entry(1, 5), Entry{Entry: EntryTask, Job: "j", Task: 1, StartUnixUS: 2}, 0, 0},
		{"a call with the same id is neither", entry(1, 5), Entry{Entry: EntryCall, Job: "j", StartUnixUS: 2}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := Summarize([]Report{{Entries: []Entry{c.a}}, {Entries: []Entry{c.b}}})
			if len(got.Overlapping) != c.doubled || len(got.Repeated) != c.repeated {
				t.Errorf("summary %+v", got)
			}
		})
	}
}
