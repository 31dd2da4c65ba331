package bench

import (
	"time"

	"banyanrun.example/banyanrun/core"
)

const (
	dataCentre core.DataCentre = "dc-1"
	region     core.Region     = "region-1"
	// storeLatency is the round trip time to the store, and workerLatency the
	// one-way delay to a worker.
	storeLatency  = 5 * time.Millisecond
	workerLatency = time.Millisecond
	// requestTimeout is the timeout of a request to a worker that does not answer.
	requestTimeout = 5 * time.Second
	// failedRunTime is the maximum run time of a task that fails.
	failedRunTime = 200 * time.Millisecond
	// throttleFactor is the slowdown of a throttled task.
	throttleFactor = 2
	// warmUp is the virtual time before a trace begins, during which the cell
	// elects its owner and fences the workers.
	warmUp = 10 * time.Second
)

// StepObserver is called with the event, the effects and the CPU time of each
// step. It may be nil.
type StepObserver func(body core.EventBody, effects []core.Effect, cost time.Duration)

// Cell drives one reducer, as the owner of one data centre, with a fake store and
// fake workers in virtual time.
type Cell struct {
	virtualClock
	reducer      *core.Reducer
	store        fakeStore
	workers      map[core.WorkerID]*fakeWorker
	listed       []core.ListedWorker
	hosts        []core.ListedHost
	trace        *Trace
	jobs         map[core.JobID]*Job
	checkpoints  map[core.JobID]time.Duration
	openRequests map[core.RequestID]core.JobID
	lastRequest  core.RequestID
	// Stats holds the results of the run.
	Stats    Stats
	observer StepObserver
}

// Stats holds what the workers and the callers observed.
type Stats struct {
	// Started is when each job first started at a worker.
	Started map[core.JobID]core.Time
	// FinalStatus is the final status returned for each job.
	FinalStatus map[core.JobID]*core.JobStatus
	// Ended is when the final status of each job arrived.
	Ended map[core.JobID]core.Time
	// Refusals holds the refusal of each submit that was refused.
	Refusals map[core.JobID]*core.Refusal
	// Attempts counts the starts of each task.
	Attempts map[core.TaskRef]int
	// Starts counts the task starts at workers.
	Starts int
	// OverAssigned counts starts that exceeded the capacity of the worker.
	OverAssigned int
	// Overlapping counts starts of tasks of which another attempt still ran.
	Overlapping int
	// UsedResources integrates the requests of running tasks over time, in
	// resource-milliseconds.
	UsedResources core.Resources
	liveAttempts  map[taskID]int
}

// taskID identifies a task regardless of its attempt.
type taskID struct {
	job  core.JobID
	task int
}

// NewCell returns a cell that has completed its warm-up and applied the documents
// of the trace. Run adds the arrivals.
func NewCell(t *Trace, observer StepObserver) *Cell {
	c := newUnstartedCell(t, observer)
	c.runWarmUp()
	return c
}

// runWarmUp runs the owner election and the fencing of the workers.
func (c *Cell) runWarmUp() {
	c.scheduleTicks()
	c.run(traceTime(0))
}

// newUnstartedCell returns a cell at the start of its warm-up.
func newUnstartedCell(t *Trace, observer StepObserver) *Cell {
	c := &Cell{
		reducer: core.New(core.Config{
			Host: "entry-1", Address: "entry-1", DataCentre: dataCentre, Region: region,
			Incarnation: 1, Seed: t.Seed,
		}),
		store: newFakeStore(), workers: map[core.WorkerID]*fakeWorker{}, listed: t.listedWorkers(),
		trace: t, jobs: map[core.JobID]*Job{}, checkpoints: map[core.JobID]time.Duration{},
		openRequests: map[core.RequestID]core.JobID{}, observer: observer,
		Stats: Stats{
			Started: map[core.JobID]core.Time{}, FinalStatus: map[core.JobID]*core.JobStatus{},
			Ended: map[core.JobID]core.Time{}, Refusals: map[core.JobID]*core.Refusal{},
			Attempts: map[core.TaskRef]int{}, liveAttempts: map[taskID]int{},
		},
	}
	c.hosts = []core.ListedHost{{ID: "entry-1", Address: "entry-1", DataCentre: dataCentre, Region: region}}
	for _, l := range c.listed {
		c.workers[l.ID] = &fakeWorker{listed: l, incarnation: 1, sequence: 1, running: map[core.TaskRef]*fakeRun{}}
	}
	for i, d := range t.Documents {
		revision := int64(i + 1)
		c.store.revision = revision
		key := "documents/" + string(d.Team)
		c.store.items[key] = core.StoreItem{Key: key, Revision: revision, Value: core.DocumentRecord{
			Current: core.DocumentVersion{Document: d, Revision: core.Revision(revision)},
		}}
	}
	c.now = traceTime(0).Add(-warmUp)
	return c
}

// Run runs the arrivals, cancellations and faults of the trace until untilMS.
// Interactive calls are left out.
func (c *Cell) Run(untilMS int64) {
	for i := range c.trace.Jobs {
		j := &c.trace.Jobs[i]
		if c.trace.kind(j).Urgency == core.Interactive {
			continue
		}
		c.virtualClock.schedule(traceTime(j.AtMS), func() { c.submit(j) })
		if j.CancelMS > 0 {
			c.virtualClock.schedule(traceTime(j.CancelMS), func() { c.step(core.CancelRequested{Request: c.newRequest(j.ID), Job: j.ID}) })
		}
	}
	for _, f := range c.trace.Faults {
		c.virtualClock.schedule(traceTime(f.AtMS), func() { c.injectFault(f) })
	}
	c.run(traceTime(untilMS))
}

// submit submits a job.
func (c *Cell) submit(j *Job) {
	c.jobs[j.ID] = j
	c.step(core.Submitted{Request: c.newRequest(j.ID), Spec: core.JobSpec{
		ID: j.ID, Team: j.Team, Kind: j.Kind, Digest: 1, Origin: dataCentre, Submitted: c.now,
	}})
}

// newRequest returns a new request id for a job.
func (c *Cell) newRequest(id core.JobID) core.RequestID {
	c.lastRequest++
	c.openRequests[c.lastRequest] = id
	return c.lastRequest
}

// after schedules do after a delay.
func (c *Cell) after(d time.Duration, do func()) { c.virtualClock.schedule(c.now.Add(d), do) }

// scheduleTicks posts a Tick every TickPeriod.
func (c *Cell) scheduleTicks() {
	c.after(core.TickPeriod, func() {
		c.step(core.Tick{})
		c.scheduleTicks()
	})
}

// step passes an event to the reducer and executes its effects.
func (c *Cell) step(body core.EventBody) {
	e := core.Event{At: c.now, Body: body}
	var effects []core.Effect
	if c.observer == nil {
		effects = c.reducer.Step(e)
	} else {
		cpuStart := threadCPUTime()
		effects = c.reducer.Step(e)
		c.observer(body, effects, threadCPUTime()-cpuStart)
	}
	for _, f := range effects {
		c.execute(f)
	}
}

// execute executes one effect. Effects that neither the Cell nor the fake store
// handles are ignored.
func (c *Cell) execute(f core.Effect) {
	switch e := f.(type) {
	case core.Resume:
		c.after(0, func() { c.step(core.Continue{}) })
	case core.ListHosts:
		c.after(storeLatency, func() {
			c.step(core.HostsListed{Workers: c.listed, Hosts: c.hosts})
		})
	case core.SyncWorker:
		c.onSync(e)
	case core.StartTask:
		c.onStart(e)
	case core.SignalTask:
		c.onSignal(e)
	case core.Reply:
		c.onReply(e)
	default:
		if answer, ok := c.store.execute(f); ok {
			c.after(storeLatency, func() { c.step(answer) })
		}
	}
}

// onReply records a reply and, unless it is final, requests the final status.
func (c *Cell) onReply(r core.Reply) {
	id, ok := c.openRequests[r.Request]
	if !ok {
		return
	}
	delete(c.openRequests, r.Request)
	switch {
	case r.Refusal != nil:
		c.Stats.Refusals[id] = r.Refusal
	case r.Status != nil && r.Status.Finished:
		c.Stats.FinalStatus[id] = r.Status
		if _, ok := c.Stats.Ended[id]; !ok {
			c.Stats.Ended[id] = c.now
		}
	case r.Status != nil:
		request := c.newRequest(id)
		c.after(0, func() { c.step(core.StatusRequested{Request: request, Job: id, Wait: true}) })
	}
}

// runTime returns the true run time of a job. Service replicas do not end.
func (c *Cell) runTime(id core.JobID) time.Duration {
	if j := c.jobs[id]; j != nil {
		return time.Duration(j.RunMS) * time.Millisecond
	}
	const serviceRunTime = 1000 * time.Hour
	return serviceRunTime
}

// recordStart counts a task start at a worker.
func (c *Cell) recordStart(s core.StartTask) {
	c.Stats.Starts++
	if _, ok := c.Stats.Started[s.Task.Job]; !ok {
		c.Stats.Started[s.Task.Job] = c.now
	}
	id := taskID{s.Task.Job, s.Task.Task}
	c.Stats.Attempts[core.TaskRef{Job: id.job, Task: id.task}]++
	c.Stats.liveAttempts[id]++
	if c.Stats.liveAttempts[id] > 1 {
		c.Stats.Overlapping++
	}
}

// recordEnd adds the resource use of an attempt that ended.
func (c *Cell) recordEnd(ref core.TaskRef, run *fakeRun) {
	c.Stats.liveAttempts[taskID{ref.Job, ref.Task}]--
	c.Stats.UsedResources = c.Stats.UsedResources.Add(run.request.Times(c.now.Sub(run.started).Milliseconds()))
}
