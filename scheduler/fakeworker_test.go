package scheduler

import (
	"fmt"
	"time"
)

// fakeWorker is a worker as the platform describes it, with a ledger.
type fakeWorker struct {
	info     WorkerInfo
	up       bool
	life     int
	started  Time
	token    int64
	deadline int64
	lapse    int
	runs     map[TaskID]*fakeRun
	// forbidden is the highest run of a task that has been stopped or has ended.
	forbidden map[TaskID]int64
	ended     []RunEnd
	number    int64
	seen      int64
	waiting   []func()
}

type fakeRun struct {
	id     TaskID
	number int64
	ended  bool
	// begun means that a gang's members are all present.
	begun bool
	// heldBack is the share at which the run does not work, in percent.
	heldBack int
}

const (
	fakeCPU    = 8000
	fakeMemory = 16000
	// fakeGangTimeout is how long members of a gang wait for each other.
	fakeGangTimeout = 3 * time.Second
)

func (w *simulation) addWorker(i int) *fakeWorker {
	id := WorkerID(fmt.Sprintf("w%02d", i))
	fw := &fakeWorker{info: WorkerInfo{ID: id, Address: string(id), Service: "svc", Zone: "z", Born: w.wall(),
		Capacity: Resources{MilliCPU: fakeCPU, MemoryMB: fakeMemory}}}
	w.workers[id] = fw
	fw.restart(w)
	return fw
}

// restart begins a new life of the worker.
func (fw *fakeWorker) restart(w *simulation) {
	fw.up, fw.life, fw.started = true, fw.life+1, w.now
	fw.token, fw.deadline, fw.number, fw.seen = 0, 0, 0, 0
	fw.runs, fw.forbidden, fw.ended, fw.waiting = map[TaskID]*fakeRun{}, map[TaskID]int64{}, nil, nil
	fw.info.Born = w.wall()
}

// crash ends everything that runs on the worker.
func (fw *fakeWorker) crash(w *simulation) {
	for _, r := range fw.sorted() {
		if !w.jobs[r.id.Job].spec.Steps[r.id.Step].Gang {
			continue
		}
		for _, m := range w.gang(r) {
			if m.worker != fw {
				w.at(w.delay(), func() { m.worker.end(w, m.run, EndGangBroken) })
			}
		}
	}
	fw.up = false
	fw.runs, fw.waiting = map[TaskID]*fakeRun{}, nil
}

func (fw *fakeWorker) clock(w *simulation) int64 { return w.now.Sub(fw.started).Milliseconds() }

// carryOrder carries an order to a worker and its answer back.
func (w *simulation) carryOrder(h *fakeHost, life int, f Effect) {
	fw, failed := w.target(f)
	answerLost := w.rng.Float64() < w.faults.lostAnswerRate
	late := w.rng.Float64() < w.faults.lateOrderRate
	if _, ok := f.(Hold); ok {
		late = false
	}
	if fw == nil || !fw.up || w.cut(fw) {
		w.at(700*msec, func() { w.post(h, life, failed) })
		return
	}
	if late {
		w.at(700*msec, func() { w.post(h, life, failed) })
		// An order that waits at a worker ends with its life.
		received := fw.life
		w.at(2*time.Second+time.Duration(w.rng.IntN(10000))*msec, func() {
			if fw.up && fw.life == received {
				fw.carryOut(w, f, func(Event) {})
			}
		})
		return
	}
	w.at(w.delay(), func() {
		if !fw.up || w.cut(fw) {
			w.at(700*msec, func() { w.post(h, life, failed) })
			return
		}
		fw.carryOut(w, f, func(e Event) {
			if answerLost || w.cut(fw) {
				e = failed
				w.at(700*msec, func() { w.post(h, life, e) })
				return
			}
			w.at(w.delay(), func() { w.post(h, life, e) })
		})
	})
}

func (w *simulation) cut(fw *fakeWorker) bool {
	return w.faults.workerPartitioned != nil && w.faults.workerPartitioned(fw.info.ID, w.now)
}

// target returns the worker of an order and the event of a failure.
func (w *simulation) target(f Effect) (*fakeWorker, Event) {
	switch f := f.(type) {
	case Hold:
		return w.workers[f.Worker], HoldAnswered{Worker: f.Worker, Call: f.Call, Failed: true}
	case StartTask:
		return w.workers[f.Worker], StartAnswered{Worker: f.Worker, Task: f.Task, Run: f.Run, Result: OrderInDoubt}
	case PaceTask:
		return w.workers[f.Worker], PaceAnswered{Worker: f.Worker, Task: f.Task, Run: f.Run, Percent: f.Percent, Result: OrderInDoubt}
	case StopTask:
		return w.workers[f.Worker], StopAnswered{Worker: f.Worker, Task: f.Task, Run: f.Run, Result: OrderInDoubt}
	}
	return nil, nil
}

// carryOut handles an order at the worker and answers it.
func (fw *fakeWorker) carryOut(w *simulation, f Effect, answer func(Event)) {
	switch f := f.(type) {
	case Hold:
		fw.hold(w, f, answer)
	case StartTask:
		answer(fw.start(w, f))
	case StopTask:
		answer(fw.stop(w, f))
	case PaceTask:
		answer(fw.pace(w, f))
	}
}

func (fw *fakeWorker) extend(w *simulation, deadline int64) {
	if deadline == 0 {
		return
	}
	deadline = min(deadline, fw.clock(w)+w.limits.MaxLease.Milliseconds())
	fw.deadline = max(fw.deadline, deadline)
	fw.lapse++
	lapse, life := fw.lapse, fw.life
	w.at(time.Duration(fw.deadline-fw.clock(w))*msec+msec, func() {
		if fw.lapse == lapse && fw.life == life && fw.up {
			for _, r := range fw.sorted() {
				fw.end(w, r, EndLeaseExpired)
			}
		}
	})
}

func (fw *fakeWorker) sorted() []*fakeRun {
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

func (fw *fakeWorker) hold(w *simulation, h Hold, answer func(Event)) {
	if h.Token < fw.token {
		answer(HoldAnswered{Worker: h.Worker, Call: h.Call, Fenced: true})
		return
	}
	fw.token = h.Token
	for len(fw.ended) > 0 && fw.ended[0].Number <= h.Acknowledged {
		e := fw.ended[0]
		if e.Kind == EndDone {
			w.noteDone(e.Task)
		}
		fw.ended = fw.ended[1:]
	}
	fw.extend(w, h.Deadline)
	life, answered := fw.life, false
	reply := func() {
		if answered || fw.life != life || !fw.up {
			return
		}
		answered = true
		e := HoldAnswered{Worker: h.Worker, Call: h.Call, Born: fw.info.Born, Clock: fw.clock(w)}
		for _, r := range fw.sorted() {
			e.Active = append(e.Active, ActiveRun{Task: r.id, Run: r.number, Percent: 1, Usage: fw.usage(w, r)})
		}
		e.Ended = append(e.Ended, fw.ended...)
		answer(e)
	}
	if h.Wait == 0 || len(fw.ended) > 0 {
		reply()
		return
	}
	fw.waiting = append(fw.waiting, reply)
	w.at(h.Wait, reply)
	w.at(h.Wait+700*msec, func() {
		if !answered {
			answered = true
			answer(HoldAnswered{Worker: h.Worker, Call: h.Call, Failed: true})
		}
	})
}

// noteDone records that a task's end was acknowledged.
func (w *simulation) noteDone(id TaskID) {
	if j := w.jobs[id.Job]; j != nil {
		j.acknowledgedDone[id] = true
	}
}

func (fw *fakeWorker) start(w *simulation, s StartTask) Event {
	e := StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Clock: fw.clock(w)}
	if s.Token < fw.token {
		e.Result = OrderFenced
		return e
	}
	fw.token = s.Token
	if r := fw.runs[s.Task]; r != nil && r.number == s.Run {
		return e
	}
	if fw.forbidden[s.Task] >= s.Run || fw.runs[s.Task] != nil {
		e.Result = OrderStaleRun
		fw.extend(w, s.Deadline)
		return e
	}
	if s.Deadline <= fw.clock(w) {
		e.Result = OrderLeaseExpired
		return e
	}
	fw.extend(w, s.Deadline)
	r := &fakeRun{id: s.Task, number: s.Run}
	fw.runs[s.Task] = r
	w.checkStart(fw, r, s)
	fw.work(w, r)
	return e
}

// checkStart checks a start against what must always hold.
func (w *simulation) checkStart(fw *fakeWorker, r *fakeRun, s StartTask) {
	j := w.jobs[r.id.Job]
	if j == nil {
		w.addViolation("task %s of a job that nobody handed in", r.id)
		return
	}
	if j.refused && !j.inDoubt && !j.accepted && w.attemptsOver(j) {
		w.addViolation("task %s starts, and its job was refused", r.id)
	}
	step := &j.spec.Steps[r.id.Step]
	used := Resources{}
	for _, o := range fw.runs {
		used.add(w.jobs[o.id.Job].spec.Steps[o.id.Step].charge())
	}
	if !fw.info.Capacity.fits(used) {
		w.addViolation("worker %s is over its capacity by task %s: %+v", fw.info.ID, r.id, used)
	}
	if j.acknowledgedDone[r.id] {
		w.addViolation("task %s run %d starts on %s after it was done", r.id, r.number, fw.info.ID)
	}
	for _, id := range w.workerIDs() {
		o := w.workers[id]
		if o != fw && o.up && o.runs[r.id] != nil {
			w.addViolation("task %s runs on %s (run %d) and %s (run %d)", r.id, o.info.ID, o.runs[r.id].number, fw.info.ID, r.number)
		}
	}
	for _, earlier := range step.After {
		for i := range j.spec.Steps[earlier].Count {
			if !j.done[TaskID{j.id, 0, earlier, i}] {
				w.addViolation("task %s starts before step %d is done", r.id, earlier)
				return
			}
		}
	}
	if j.cancelledAt != 0 && w.now.Sub(j.cancelledAt) > 3*time.Second {
		w.addViolation("task %s starts %v after its job was cancelled", r.id, w.now.Sub(j.cancelledAt))
	}
	if !adviceGood(r.id.StepName(), fw.info.ID) {
		w.addViolation("task %s starts on %s without a valid ticket", r.id, fw.info.ID)
	}
}

// attemptsOver reports that no request of the job is on its way any more.
func (w *simulation) attemptsOver(j *fakeJob) bool { return j.refused && j.sent }

// work lets a run end after its time.
func (fw *fakeWorker) work(w *simulation, r *fakeRun) {
	j := w.jobs[r.id.Job]
	step := &j.spec.Steps[r.id.Step]
	life := fw.life
	finish := func() {
		if fw.life != life || !fw.up || r.ended || fw.runs[r.id] != r {
			return
		}
		if w.rng.Float64() < w.faults.failureRate {
			fw.end(w, r, EndFailed)
			return
		}
		fw.end(w, r, EndDone)
	}
	if !step.Gang {
		w.at(step.Estimate, finish)
		return
	}
	w.at(fakeGangTimeout, func() {
		if fw.life == life && fw.up && !r.ended && fw.runs[r.id] == r && !r.begun {
			fw.end(w, r, EndGangTimeout)
		}
	})
	members := w.gang(r)
	if len(members) < step.Count {
		return
	}
	for _, m := range members {
		m.run.begun = true
	}
	w.at(step.Estimate, func() {
		members := w.gang(r)
		if len(members) < step.Count {
			return
		}
		kind := EndDone
		if w.rng.Float64() < w.faults.failureRate {
			kind = EndFailed
		}
		for _, m := range members {
			m.worker.end(w, m.run, kind)
		}
	})
}

type member struct {
	worker *fakeWorker
	run    *fakeRun
}

// gang lists the present members of a run's gang.
func (w *simulation) gang(r *fakeRun) []member {
	var members []member
	for _, id := range w.workerIDs() {
		fw := w.workers[id]
		for _, o := range fw.sorted() {
			if o.id.StepName() == r.id.StepName() && o.number == r.number && fw.up && !o.ended {
				members = append(members, member{fw, o})
			}
		}
	}
	return members
}

// end ends a run and tells the calls that wait for an end.
func (fw *fakeWorker) end(w *simulation, r *fakeRun, kind EndKind) {
	if r.ended || fw.runs[r.id] != r {
		return
	}
	r.ended = true
	delete(fw.runs, r.id)
	fw.forbidden[r.id] = max(fw.forbidden[r.id], r.number)
	fw.number++
	fw.ended = append(fw.ended, RunEnd{Number: fw.number, Task: r.id, Run: r.number, Kind: kind})
	if kind == EndDone {
		w.jobs[r.id.Job].done[r.id] = true
	}
	waiting := fw.waiting
	fw.waiting = nil
	for _, f := range waiting {
		f()
	}
}

func (fw *fakeWorker) stop(w *simulation, s StopTask) Event {
	e := StopAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run}
	if s.Token < fw.token {
		e.Result = OrderFenced
		return e
	}
	fw.token = s.Token
	fw.forbidden[s.Task] = max(fw.forbidden[s.Task], s.Run)
	if r := fw.runs[s.Task]; r != nil && r.number <= s.Run {
		w.at(time.Duration(w.rng.IntN(300))*msec, func() { fw.end(w, r, EndStopped) })
	}
	return e
}

// usage is the tail latency of a serving run: its base and what the scavenging runs
// beside it add.
func (fw *fakeWorker) usage(w *simulation, r *fakeRun) int64 {
	if w.jobs[r.id.Job].spec.Steps[r.id.Step].LatencyTarget == 0 {
		return 0
	}
	ms := w.faults.baseLatency
	for _, o := range fw.runs {
		if w.jobs[o.id.Job].spec.Steps[o.id.Step].Scavenging {
			ms += w.faults.interference * int64(fullPace-o.heldBack) / fullPace
		}
	}
	return ms
}

func (fw *fakeWorker) pace(w *simulation, p PaceTask) Event {
	e := PaceAnswered{Worker: p.Worker, Task: p.Task, Run: p.Run, Percent: p.Percent}
	if p.Token < fw.token {
		e.Result = OrderFenced
		return e
	}
	fw.token = p.Token
	if r := fw.runs[p.Task]; r != nil && r.number == p.Run {
		r.heldBack = fullPace - p.Percent
	}
	return e
}
