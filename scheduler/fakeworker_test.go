package scheduler

import (
	"fmt"
	"time"
)

// fakeWorker simulates a worker according to the platform's description of it.
type fakeWorker struct {
	info         WorkerInfo
	up           bool
	incarnation  int
	started      Time
	token        int64
	deadline     int64
	leaseVersion int
	runs         map[TaskID]*fakeRun
	// maxEndedRun is the highest run of each task that was stopped or has ended.
	maxEndedRun   map[TaskID]int64
	ended         []RunEnd
	lastEndNumber int64
	seen          int64
	pendingHolds  []func()
}

type fakeRun struct {
	id     TaskID
	number int64
	ended  bool
	// gangComplete means that all members of the gang are present.
	gangComplete bool
	// throttlePercent is by how much the run is throttled.
	throttlePercent int
}

const (
	fakeMilliCPU = 8000
	fakeMemoryMB = 16000
	// fakeGangTimeout is how long members of a gang wait for each other.
	fakeGangTimeout = 3 * time.Second
)

func (sim *simulation) addWorker(i int) *fakeWorker {
	id := WorkerID(fmt.Sprintf("w%02d", i))
	fw := &fakeWorker{info: WorkerInfo{ID: id, Address: string(id), Service: "svc", Zone: "z", Born: sim.wall(),
		Capacity: Resources{MilliCPU: fakeMilliCPU, MemoryMB: fakeMemoryMB}}}
	sim.workers[id] = fw
	fw.restart(sim)
	return fw
}

// restart begins a new incarnation of the worker.
func (fw *fakeWorker) restart(sim *simulation) {
	fw.up, fw.incarnation, fw.started = true, fw.incarnation+1, sim.now
	fw.token, fw.deadline, fw.lastEndNumber, fw.seen = 0, 0, 0, 0
	fw.runs, fw.maxEndedRun, fw.ended, fw.pendingHolds = map[TaskID]*fakeRun{}, map[TaskID]int64{}, nil, nil
	fw.info.Born = sim.wall()
}

// crash ends all runs on the worker, and those of their gangs on other workers.
func (fw *fakeWorker) crash(sim *simulation) {
	for _, r := range fw.sortedRuns() {
		if !sim.jobs[r.id.Job].spec.Steps[r.id.Step].Gang {
			continue
		}
		for _, m := range sim.gangMembers(r) {
			if m.worker != fw {
				sim.at(sim.delay(), func() { m.worker.endRun(sim, m.run, EndGangBroken) })
			}
		}
	}
	fw.up = false
	fw.runs, fw.pendingHolds = map[TaskID]*fakeRun{}, nil
}

func (fw *fakeWorker) clock(sim *simulation) int64 { return sim.now.Sub(fw.started).Milliseconds() }

// deliverOrder delivers an order to a worker and the answer to the host, subject
// to the faults.
func (sim *simulation) deliverOrder(h *fakeHost, f Operation, answer func(Result)) {
	fw, failed := sim.target(f), f.Unanswered()
	answerLost := sim.rng.Float64() < sim.faults.lostAnswerRate
	late := sim.rng.Float64() < sim.faults.lateOrderRate
	if _, ok := f.(Hold); ok {
		late = false
	}
	lateBy := 2*time.Second + time.Duration(sim.rng.IntN(10000))*msec
	if p, ok := f.(PaceTask); ok && sim.faults.paceOrder != nil {
		answerLost, lateBy = sim.faults.paceOrder(p)
		late = lateBy > 0
	}
	if fw == nil || !fw.up || sim.isPartitioned(fw) || sim.isIsolated(h) {
		sim.at(700*msec, func() { answer(failed) })
		return
	}
	if late {
		sim.at(700*msec, func() { answer(failed) })
		// A delayed order is lost when the worker restarts.
		workerIncarnation := fw.incarnation
		sim.at(lateBy, func() {
			if fw.up && fw.incarnation == workerIncarnation {
				fw.handleOrder(sim, f, func(Result) {})
			}
		})
		return
	}
	sim.at(sim.delay(), func() {
		if !fw.up || sim.isPartitioned(fw) {
			sim.at(700*msec, func() { answer(failed) })
			return
		}
		fw.handleOrder(sim, f, func(res Result) {
			if answerLost || sim.isPartitioned(fw) {
				sim.at(700*msec, func() { answer(failed) })
				return
			}
			sim.at(sim.delay(), func() { answer(res) })
		})
	})
}

func (sim *simulation) isPartitioned(fw *fakeWorker) bool {
	return sim.faults.workerPartitioned != nil && sim.faults.workerPartitioned(fw.info.ID, sim.now)
}

// target returns the worker of an order.
func (sim *simulation) target(f Operation) *fakeWorker {
	switch f := f.(type) {
	case Hold:
		return sim.workers[f.Worker]
	case StartTask:
		return sim.workers[f.Worker]
	case PaceTask:
		return sim.workers[f.Worker]
	case StopTask:
		return sim.workers[f.Worker]
	}
	return nil
}

// handleOrder carries out an order at the worker and answers it.
func (fw *fakeWorker) handleOrder(sim *simulation, f Operation, answer func(Result)) {
	switch f := f.(type) {
	case Hold:
		fw.hold(sim, f, answer)
	case StartTask:
		answer(fw.start(sim, f))
	case StopTask:
		answer(fw.stop(sim, f))
	case PaceTask:
		answer(fw.pace(sim, f))
	}
}

func (fw *fakeWorker) extendLease(sim *simulation, deadline int64) {
	if deadline == 0 {
		return
	}
	deadline = min(deadline, fw.clock(sim)+sim.limits.MaxLease.Milliseconds())
	fw.deadline = max(fw.deadline, deadline)
	fw.leaseVersion++
	version, incarnation := fw.leaseVersion, fw.incarnation
	sim.at(time.Duration(fw.deadline-fw.clock(sim))*msec+msec, func() {
		if fw.leaseVersion == version && fw.incarnation == incarnation && fw.up {
			for _, r := range fw.sortedRuns() {
				fw.endRun(sim, r, EndLeaseExpired)
			}
		}
	})
}

func (fw *fakeWorker) sortedRuns() []*fakeRun {
	var runs []*fakeRun
	for _, r := range fw.runs {
		runs = append(runs, r)
	}
	for i := range runs {
		for j := i + 1; j < len(runs); j++ {
			if compareRuns(runs[j].id, runs[j].number, runs[i].id, runs[i].number) < 0 {
				runs[i], runs[j] = runs[j], runs[i]
			}
		}
	}
	return runs
}

func (fw *fakeWorker) hold(sim *simulation, h Hold, answer func(Result)) {
	if h.Token < fw.token {
		answer(HoldAnswered{Worker: h.Worker, Fenced: true})
		return
	}
	fw.token = h.Token
	for len(fw.ended) > 0 && fw.ended[0].Number <= h.Acknowledged {
		e := fw.ended[0]
		if e.Kind == EndDone {
			sim.noteAcknowledged(e.Task)
		}
		fw.ended = fw.ended[1:]
	}
	fw.extendLease(sim, h.Deadline)
	incarnation, answered := fw.incarnation, false
	reply := func() {
		if answered || fw.incarnation != incarnation || !fw.up {
			return
		}
		answered = true
		e := HoldAnswered{Worker: h.Worker, Born: fw.info.Born, Clock: fw.clock(sim)}
		for _, r := range fw.sortedRuns() {
			e.Active = append(e.Active, ActiveRun{Task: r.id, Run: r.number, Percent: 1, Usage: fw.usage(sim, r)})
		}
		e.Ended = append(e.Ended, fw.ended...)
		answer(e)
	}
	if h.Wait == 0 || len(fw.ended) > 0 {
		reply()
		return
	}
	fw.pendingHolds = append(fw.pendingHolds, reply)
	sim.at(h.Wait, reply)
	sim.at(h.Wait+700*msec, func() {
		if !answered {
			answered = true
			answer(HoldAnswered{Worker: h.Worker, Failed: true})
		}
	})
}

// noteAcknowledged records that the successful end of a task was acknowledged.
func (sim *simulation) noteAcknowledged(id TaskID) {
	if j := sim.jobs[id.Job]; j != nil {
		j.acknowledgedDone[id] = true
	}
}

func (fw *fakeWorker) start(sim *simulation, s StartTask) Result {
	e := StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Clock: fw.clock(sim)}
	if s.Token < fw.token {
		e.Result = OrderFenced
		return e
	}
	fw.token = s.Token
	if r := fw.runs[s.Task]; r != nil && r.number == s.Run {
		return e
	}
	if sim.faults.refuseStarts {
		e.Result = OrderUnhealthy
		return e
	}
	if fw.maxEndedRun[s.Task] >= s.Run || fw.runs[s.Task] != nil {
		e.Result = OrderStaleRun
		fw.extendLease(sim, s.Deadline)
		return e
	}
	if s.Deadline <= fw.clock(sim) {
		e.Result = OrderLeaseExpired
		return e
	}
	fw.extendLease(sim, s.Deadline)
	r := &fakeRun{id: s.Task, number: s.Run}
	fw.runs[s.Task] = r
	sim.checkStart(fw, r, s)
	fw.scheduleEnd(sim, r)
	return e
}

// checkStart checks the invariants that a start must satisfy.
func (sim *simulation) checkStart(fw *fakeWorker, r *fakeRun, s StartTask) {
	j := sim.jobs[r.id.Job]
	if j == nil {
		sim.addViolation("task %s belongs to a job that was never submitted", r.id)
		return
	}
	if j.refused && !j.inDoubt && !j.accepted && sim.noRequestInFlight(j) {
		sim.addViolation("task %s starts although its job was refused", r.id)
	}
	if _, started := j.firstStart[r.id]; !started {
		if j.firstStart == nil {
			j.firstStart = map[TaskID]int64{}
		}
		j.firstStart[r.id] = sim.wall()
	}
	step := &j.spec.Steps[r.id.Step]
	used := Resources{}
	for _, o := range fw.runs {
		used.add(sim.jobs[o.id.Job].spec.Steps[o.id.Step].charge())
	}
	if !fw.info.Capacity.fits(used) {
		sim.addViolation("worker %s exceeds its capacity with task %s: uses %+v", fw.info.ID, r.id, used)
	}
	if j.acknowledgedDone[r.id] {
		sim.addViolation("task %s run %d starts on %s after its end was acknowledged", r.id, r.number, fw.info.ID)
	}
	for _, id := range sim.workerIDs() {
		o := sim.workers[id]
		if o != fw && o.up && o.runs[r.id] != nil {
			sim.addViolation("task %s runs both on %s (run %d) and on %s (run %d)", r.id, o.info.ID, o.runs[r.id].number, fw.info.ID, r.number)
		}
	}
	for _, earlier := range step.After {
		for i := range j.spec.Steps[earlier].Count {
			if !j.done[TaskID{j.id, r.id.Occurrence, earlier, i}] {
				sim.addViolation("task %s starts before step %d is complete", r.id, earlier)
				return
			}
		}
	}
	if j.cancelledAt != 0 && sim.now.Sub(j.cancelledAt) > 3*time.Second {
		sim.addViolation("task %s starts %v after its job was cancelled", r.id, sim.now.Sub(j.cancelledAt))
	}
	if !sim.adviceAllows(r.id.StepName(), fw.info.ID) {
		sim.addViolation("task %s starts on %s without a valid ticket", r.id, fw.info.ID)
	}
}

// noRequestInFlight reports whether no request of the job is in flight.
func (sim *simulation) noRequestInFlight(j *fakeJob) bool { return j.refused && j.sent }

// scheduleEnd schedules the end of a run: after the task's duration or, for a gang
// whose members do not all arrive, after fakeGangTimeout.
func (fw *fakeWorker) scheduleEnd(sim *simulation, r *fakeRun) {
	j := sim.jobs[r.id.Job]
	step := &j.spec.Steps[r.id.Step]
	incarnation := fw.incarnation
	finish := func() {
		if fw.incarnation != incarnation || !fw.up || r.ended || fw.runs[r.id] != r {
			return
		}
		if sim.rng.Float64() < sim.faults.failureRate {
			fw.endRun(sim, r, EndFailed)
			return
		}
		fw.endRun(sim, r, EndDone)
	}
	if !step.Gang {
		sim.at(sim.runTime(j, step), finish)
		return
	}
	sim.at(fakeGangTimeout, func() {
		if fw.incarnation == incarnation && fw.up && !r.ended && fw.runs[r.id] == r && !r.gangComplete {
			fw.endRun(sim, r, EndGangTimeout)
		}
	})
	members := sim.gangMembers(r)
	if len(members) < step.Count {
		return
	}
	for _, m := range members {
		m.run.gangComplete = true
	}
	sim.at(sim.runTime(j, step), func() {
		members := sim.gangMembers(r)
		if len(members) < step.Count {
			return
		}
		kind := EndDone
		if sim.rng.Float64() < sim.faults.failureRate {
			kind = EndFailed
		}
		for _, m := range members {
			m.worker.endRun(sim, m.run, kind)
		}
	})
}

// runTime returns how long a task of a job runs.
func (sim *simulation) runTime(j *fakeJob, step *Step) time.Duration {
	if sim.faults.runTime != nil {
		return sim.faults.runTime(j.id)
	}
	return step.Estimate
}

type gangMember struct {
	worker *fakeWorker
	run    *fakeRun
}

// gangMembers returns the members of a run's gang that are present.
func (sim *simulation) gangMembers(r *fakeRun) []gangMember {
	var members []gangMember
	for _, id := range sim.workerIDs() {
		fw := sim.workers[id]
		for _, o := range fw.sortedRuns() {
			if o.id.StepName() == r.id.StepName() && o.number == r.number && fw.up && !o.ended {
				members = append(members, gangMember{fw, o})
			}
		}
	}
	return members
}

// endRun ends a run and answers the Holds that wait for an end.
func (fw *fakeWorker) endRun(sim *simulation, r *fakeRun, kind EndKind) {
	if r.ended || fw.runs[r.id] != r {
		return
	}
	r.ended = true
	delete(fw.runs, r.id)
	fw.maxEndedRun[r.id] = max(fw.maxEndedRun[r.id], r.number)
	fw.lastEndNumber++
	checkpoint := ""
	if kind != EndDone && sim.jobs[r.id.Job].spec.Steps[r.id.Step].Checkpointing {
		checkpoint = fmt.Sprintf("of run %d", r.number)
	}
	fw.ended = append(fw.ended, RunEnd{Number: fw.lastEndNumber, Task: r.id, Run: r.number, Kind: kind, Checkpoint: checkpoint})
	if kind == EndDone {
		sim.jobs[r.id.Job].done[r.id] = true
	}
	holds := fw.pendingHolds
	fw.pendingHolds = nil
	for _, f := range holds {
		f()
	}
}

func (fw *fakeWorker) stop(sim *simulation, s StopTask) Result {
	e := StopAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run}
	if s.Token < fw.token {
		e.Result = OrderFenced
		return e
	}
	fw.token = s.Token
	fw.maxEndedRun[s.Task] = max(fw.maxEndedRun[s.Task], s.Run)
	if r := fw.runs[s.Task]; r != nil && r.number <= s.Run {
		sim.at(time.Duration(sim.rng.IntN(300))*msec, func() { fw.endRun(sim, r, EndStopped) })
	}
	return e
}

// usage returns what a worker reports as the usage of a run: the tail latency of a serving
// run, the CPU in use of any other.
func (fw *fakeWorker) usage(sim *simulation, r *fakeRun) int64 {
	step := &sim.jobs[r.id.Job].spec.Steps[r.id.Step]
	if step.LatencyTarget > 0 {
		return fw.tailLatency(sim, r)
	}
	return step.Need.MilliCPU * int64(fullPacePercent-r.throttlePercent) / fullPacePercent
}

// tailLatency returns the tail latency of a serving run in milliseconds: its base
// value and the interference of the scavenging runs on the worker.
func (fw *fakeWorker) tailLatency(sim *simulation, r *fakeRun) int64 {
	if sim.jobs[r.id.Job].spec.Steps[r.id.Step].LatencyTarget == 0 {
		return 0
	}
	ms := sim.faults.baseLatency
	for _, o := range fw.runs {
		if sim.jobs[o.id.Job].spec.Steps[o.id.Step].Scavenging {
			ms += sim.faults.interference * int64(fullPacePercent-o.throttlePercent) / fullPacePercent
		}
	}
	return ms
}

func (fw *fakeWorker) pace(sim *simulation, p PaceTask) Result {
	e := PaceAnswered{Worker: p.Worker, Task: p.Task, Run: p.Run, Percent: p.Percent}
	if p.Token < fw.token {
		e.Result = OrderFenced
		return e
	}
	fw.token = p.Token
	if r := fw.runs[p.Task]; r != nil && r.number == p.Run {
		r.throttlePercent = fullPacePercent - p.Percent
	}
	return e
}
