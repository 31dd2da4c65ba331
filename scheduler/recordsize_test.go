package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEstimatedSizeCoversEncoding guards against groups of the log that the store rejects
// because their records are longer than estimated, for example because of the escape
// sequences in a caller's payload.
func TestEstimatedSizeCoversEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rec := drawRecord(t)
		encoded := encodeForStore(&testing.T{}, rec)
		// The comma after the record counts too.
		if got := rec.estimatedSize(); got < len(encoded)+1 {
			t.Fatalf("estimated %d bytes for the %d bytes of %s", got, len(encoded), encoded)
		}
	})
}

// TestEstimatedSizeOfUsualJobs guards against estimates that are so large that groups
// hold too few records for a slow store.
func TestEstimatedSizeOfUsualJobs(t *testing.T) {
	spec := &JobSpec{Payload: strings.Repeat("<v>1</v>", 500), Steps: []Step{{Count: 4, Need: Resources{MilliCPU: 1400, MemoryMB: 512}, Estimate: 500 * msec}}}
	rec := Record{Job: "00000000000000aa", Accepted: 1_700_000_000_000, Queue: "r-jobs", Spec: spec}
	if got, encoded := rec.estimatedSize(), len(encodeForStore(t, rec)); got > encoded+encoded/10 {
		t.Errorf("estimated %d bytes for %d", got, encoded)
	}
}

// drawRecord draws a record with any values, and texts in which many characters need an
// escape sequence.
func drawRecord(t *rapid.T) Record {
	text := func(name string) string {
		if rapid.Bool().Draw(t, name+" is special") {
			return rapid.StringOf(rapid.RuneFrom([]rune("<>&\"\\\x00\x01\n\t\u2028\u2029\ufffd\x7fé"))).Draw(t, name)
		}
		return string(rapid.SliceOf(rapid.Byte()).Draw(t, name))
	}
	number := func(name string) int64 { return rapid.Int64().Draw(t, name) }
	small := func(name string) int { return rapid.Int().Draw(t, name) }
	flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
	need := func() Resources { return Resources{number("cpu"), number("memory"), number("accelerators")} }
	rec := Record{
		Job: JobID(text("job")), Accepted: number("accepted"), Queue: QueueName(text("queue")), Cancelled: flag("cancelled"),
		Final: JobState(rapid.Byte().Draw(t, "final")), FinalAt: number("final at"), WorkerGone: WorkerID(text("gone")),
	}
	for range rapid.IntRange(0, 2).Draw(t, "ends") {
		rec.Ends = append(rec.Ends, EndRecord{small("occurrence"), small("step"), small("index"), number("run"), EndKind(rapid.Byte().Draw(t, "kind")), text("checkpoint")})
	}
	for range rapid.IntRange(0, 2).Draw(t, "starts") {
		rec.Starts = append(rec.Starts, StartRecord{small("occurrence"), small("step"), small("index"), number("run"), WorkerID(text("worker"))})
	}
	if flag("has a spec") {
		rec.Spec = &JobSpec{Payload: text("payload"), Repeat: small("repeat"), First: number("first"), Interval: time.Duration(number("interval"))}
		for range rapid.IntRange(0, 2).Draw(t, "steps") {
			rec.Spec.Steps = append(rec.Spec.Steps, Step{
				Count: small("count"), Need: need(), Estimate: time.Duration(number("estimate")), After: rapid.SliceOf(rapid.Int()).Draw(t, "after"),
				Gang: flag("gang"), SameRack: flag("same rack"), Checkpointing: flag("checkpointing"), Speculative: flag("speculative"),
				LongRunning: flag("long"), Scavenging: flag("scavenging"), Label: text("label"), DataRack: text("rack"), MaxPerWorker: small("per worker"),
				MaxUnavailable: small("unavailable"), Image: text("image"), LatencyTarget: time.Duration(number("target")),
			})
		}
	}
	if flag("has a policy") {
		rec.Policy = &Queue{Name: QueueName(text("name")), Service: text("service"), Priority: small("priority"), Attempts: small("attempts"),
			Stretch: rapid.Float64().Draw(t, "stretch"), SLO: time.Duration(number("slo"))}
		if flag("has advice") {
			rec.Policy.Advice = &AdvicePolicy{time.Duration(number("base")), time.Duration(number("per worker")), time.Duration(number("valid"))}
		}
	}
	if flag("has a worker") {
		rec.Worker = &WorkerInfo{ID: WorkerID(text("id")), Address: text("address"), Born: number("born"), Service: text("service"), Zone: text("zone"),
			Capacity: need(), Labels: []string{text("label"), text("label")}, Rack: text("rack")}
	}
	return rec
}

// submitEscaped submits jobs of one step whose payload has the greatest length and needs
// an escape sequence for each character.
func submitEscaped(sim *simulation, prefix string, n int) {
	for i := range n {
		id := JobID(fmt.Sprintf("%s%013x", prefix, i))
		sim.submit(id, "urgent", JobSpec{Payload: strings.Repeat("\x01", 4000), Steps: []Step{{Count: 1, Need: Resources{MilliCPU: 100}, Estimate: 100 * msec}}}, 5)
	}
}

// checkLogContinues checks that jobs are accepted now, and that all accepted jobs
// complete, also those that only the log knows after the hosts were killed.
func checkLogContinues(t *testing.T, sim *simulation) {
	t.Helper()
	sim.submitMany("bbb", 20, "urgent", Step{Count: 1, Need: Resources{MilliCPU: 100}, Estimate: 100 * msec})
	sim.run(5 * time.Second)
	accepted := 0
	for id, j := range sim.jobs {
		if j.accepted && strings.HasPrefix(string(id), "bbb") {
			accepted++
		}
	}
	if accepted < 20 {
		t.Errorf("%d of 20 jobs were accepted", accepted)
	}
	for _, h := range sim.hosts {
		sim.killHost(h)
		sim.startHost(h)
	}
	sim.run(20 * time.Second)
	for id, j := range sim.jobs {
		if j.accepted && !j.complete {
			t.Errorf("job %s was accepted and has not completed", id)
		}
	}
	for _, v := range sim.violations {
		t.Error(v)
	}
}

// TestLogContinuesAfterBurstDuringOutage guards against a log that is blocked for good by
// a group that the store rejects as too large: jobs whose payloads need many escape
// sequences arrive while the store is down and form one group.
func TestLogContinuesAfterBurstDuringOutage(t *testing.T) {
	sim := newSimulation(t, 1, 3, 8)
	sim.run(2 * time.Second)
	down := sim.now.Add(time.Second)
	sim.faults.storeDown = func(at Time) bool { return at < down }
	submitEscaped(sim, "aaa", 200)
	sim.run(5 * time.Second)
	checkLogContinues(t, sim)
}

// TestRejectedGroupIsDivided guards against a log that is blocked for good by a group that
// the store rejects, whatever the reason: here the store accepts less than its settings
// say, for groups and for the parts of a snapshot.
func TestRejectedGroupIsDivided(t *testing.T) {
	sim := newSimulation(t, 1, 3, 8)
	sim.run(2 * time.Second)
	sim.store.maxValue = 40_000
	submitEscaped(sim, "aaa", 100)
	sim.run(3 * time.Second)
	sim.owner().r.cell.beginSnapshot()
	sim.run(3 * time.Second)
	checkLogContinues(t, sim)
}

// TestJobTooLargeForTheStoreIsRefused guards against a log that is blocked by a job whose
// record no group can hold.
func TestJobTooLargeForTheStoreIsRefused(t *testing.T) {
	sim := newSimulation(t, 1, 3, 8)
	sim.run(2 * time.Second)
	var answers []Status
	for _, length := range []int{1 << 20, 1000} {
		spec := JobSpec{Steps: []Step{{Count: 1, Need: Resources{MilliCPU: 100}, Image: strings.Repeat("x", length)}}}
		id := JobID(fmt.Sprintf("%016x", length))
		sim.jobs[id] = &fakeJob{id: id, spec: spec, queue: "urgent", acknowledgedDone: map[TaskID]bool{}, done: map[TaskID]bool{}}
		sim.ask(func(t Token) Event {
			return SubmitReceived{Token: t, Queue: "urgent", Job: id, Spec: spec, Deadline: sim.now.Add(callerTimeout)}
		}, func(a Answer) { answers = append(answers, a.Status) })
		sim.run(time.Second)
	}
	if len(answers) != 2 || answers[0] != StatusInvalid || answers[1] != StatusOK {
		t.Errorf("answers %v, want the first job to be invalid and the second one to be accepted", answers)
	}
	checkLogContinues(t, sim)
}

// TestRecordsOfLargeJobFitTheStore guards against a log that is blocked for good by a
// record of many runs, which no group can hold: a job of 20,000 tasks, each of which has
// failed twice and runs again.
func TestRecordsOfLargeJobFitTheStore(t *testing.T) {
	const tasks, maxValueBytes = 20000, 1 << 20
	sim := newSimulation(t, 1, 1, 1)
	sim.run(2 * time.Second)
	c := sim.owner().r.cell
	w := c.workers["w00"]
	spec := &JobSpec{Steps: []Step{{Count: tasks}}}
	j := c.addJob("00000000000000aa", "batch", spec, sim.wall())
	j.durable = true
	c.log.pending = nil
	for _, task := range j.occurrences[0].stages[0].tasks {
		task.failures, task.failedRun = 2, 2
		c.planStart(task, w, 3, "")
	}
	c.recordStarts(j)
	info := w.info
	snapshot := append([]Record{{Worker: &info}}, j.records(nil)...)
	for _, rec := range slices.Concat(c.log.pending, snapshot) {
		if size := len(encodeForStore(t, rec)); size > maxValueBytes {
			t.Fatalf("a record has %d bytes, want at most %d", size, maxValueBytes)
		}
	}
	restored := newCell(c.reducer)
	restored.applyRecords(snapshot)
	for _, task := range restored.jobs[j.id].occurrences[0].stages[0].tasks {
		if task.failures != 2 || task.run == nil || task.run.number != 3 {
			t.Fatalf("restored task %+v, want two failures and the run 3", task)
		}
	}
}
