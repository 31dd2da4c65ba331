package bench

import (
	"time"

	"banyanrun.example/banyanrun/core"
)

const (
	dataCentre core.DataCentre = "dc-1"
	region     core.Region     = "region-1"
	// storeLatency and workerLatency are one round trip to the store and one
	// way to a worker.
	storeLatency  = 5 * time.Millisecond
	workerLatency = time.Millisecond
	// syncFailure is when a request to a silent worker is given up.
	requestTimeout = 5 * time.Second
	// failAfter is the run time of a task that fails.
	failedRunTime = 200 * time.Millisecond
	// throttleFactor is how much longer a throttled task runs.
	throttleFactor = 2
	// warmUp is the virtual time in which the cell elects its owner and fences
	// the workers before a trace begins.
	warmUp = 10 * time.Second
)

// Meter is told what a step cost. It may be nil.
type StepObserver func(body core.EventBody, effects []core.Effect, cost time.Duration)

// Cell drives one reducer as the owner of one data centre in virtual time.
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
	// Stats is what the workers and the callers saw.
	Stats    Stats
	observer StepObserver
}

// Stats is what the workers and the callers saw.
type Stats struct {
	// Started is when each job first started at a worker.
	Started map[core.JobID]core.Time
	// Outcome is the last answer about each job.
	FinalStatus map[core.JobID]*core.JobStatus
	// Ended is when the final answer arrived.
	Ended map[core.JobID]core.Time
	// Refused holds the refusals of submits.
	Refusals map[core.JobID]*core.Refusal
	// Attempts counts the starts of each task.
	Attempts map[core.TaskRef]int
	// Tasks counts the starts at workers.
	Starts       int
	OverAssigned int
	// Doubled counts tasks that started while another attempt of theirs ran.
	Overlapping int
	// Used integrates the requests of running tasks over time, in
	// resource-milliseconds.
	UsedResources core.Resources
	liveAttempts  map[taskID]int
}

// taskID names a task regardless of its attempt.
type taskID struct {
	job  core.JobID
	task int
}

// NewCell returns a cell for a trace. The warm-up is done and the trace's
// documents are in force; the arrivals follow with Run.
func NewCell(t *Trace, meter StepObserver) *Cell {
	c := newUnstartedCell(t, meter)
	c.runWarmUp()
	return c
}

// warm elects the owner and fences the workers.
func (c *Cell) runWarmUp() {
	c.scheduleTicks()
	c.run(traceTime(0))
}

// emptyCell returns a cell whose clock stands at the start of the warm-up.
func newUnstartedCell(t *Trace, meter StepObserver) *Cell {
	c := &Cell{
		reducer: core.New(core.Config{
			Host: "entry-1", Address: "entry-1", DataCentre: dataCentre, Region: region,
			Incarnation: 1, Seed: t.Seed,
		}),
		store: newFakeStore(), workers: map[core.WorkerID]*fakeWorker{}, listed: t.listedWorkers(),
		trace: t, jobs: map[core.JobID]*Job{}, checkpoints: map[core.JobID]time.Duration{},
		openRequests: map[core.RequestID]core.JobID{}, observer: meter,
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

// Run plays the trace's arrivals and faults up to a time in milliseconds.
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

// submit posts one job.
func (c *Cell) submit(j *Job) {
	c.jobs[j.ID] = j
	c.step(core.Submitted{Request: c.newRequest(j.ID), Spec: core.JobSpec{
		ID: j.ID, Team: j.Team, Kind: j.Kind, Digest: 1, Origin: dataCentre, Submitted: c.now,
	}})
}

// ask returns a new request about a job.
func (c *Cell) newRequest(id core.JobID) core.RequestID {
	c.lastRequest++
	c.openRequests[c.lastRequest] = id
	return c.lastRequest
}

// after runs do after a time.
func (c *Cell) after(d time.Duration, do func()) { c.virtualClock.schedule(c.now.Add(d), do) }

// tick posts Tick for ever.
func (c *Cell) scheduleTicks() {
	c.after(core.TickPeriod, func() {
		c.step(core.Tick{})
		c.scheduleTicks()
	})
}

// step runs the reducer and carries out its effects.
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

// execute carries out one effect.
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

// onReply notes an answer and waits for the final one.
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

// runTime is the true run time of a job. Replicas of services run on.
func (c *Cell) runTime(id core.JobID) time.Duration {
	if j := c.jobs[id]; j != nil {
		return time.Duration(j.RunMS) * time.Millisecond
	}
	const serviceRunTime = 1000 * time.Hour
	return serviceRunTime
}

// noteStart counts a start at a worker.
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

// noteEnd accounts for a run that ended.
func (c *Cell) recordEnd(ref core.TaskRef, run *fakeRun) {
	c.Stats.liveAttempts[taskID{ref.Job, ref.Task}]--
	c.Stats.UsedResources = c.Stats.UsedResources.Add(run.request.Times(c.now.Sub(run.started).Milliseconds()))
}
