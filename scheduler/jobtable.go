package scheduler

import "time"

// job is an accepted job, or one that is being accepted.
type job struct {
	id    JobID
	queue QueueName
	// policy is the queue as it is now, nil if nobody knows it.
	policy       *Queue
	spec         *JobSpec
	acceptedWall int64
	// acceptedAt is when the job was accepted on this host's clock.
	acceptedAt Time
	// durable means that the job's acceptance is in the store.
	durable bool
	// waiting are the callers that wait for the acceptance, cancels those that
	// wait for the cancellation.
	submitWaiters, cancelWaiters []Token
	occurrences                  []*occurrence
	// state is what the scheduler knows, shown what callers are told: a final
	// state is shown once it is in the store.
	state, reported JobState
	cancelled       bool
	// begun means that some task has started.
	started bool
	// finalWall is when the job ended, in milliseconds since 1970.
	endedWall int64
	// unsettled are the occurrences that are not complete.
	openOccurrences int
}

// occurrence is one run of the steps of a job.
type occurrence struct {
	index  int
	due    int64
	stages []*stage
	// open are the stages that are not complete.
	openStages int
	// opened means that its stages have been looked at since it was due.
	opened bool
}

// stage is a step of one occurrence.
type stage struct {
	job   *job
	occ   *occurrence
	index int
	step  *Step
	tasks []*task
	// waiting is the number of tasks that have neither a run nor an end.
	waiting, done int
	// queued means that the stage is in the ready list.
	queued bool
	// latestStart is when the stage has to start for its job to meet its
	// objective; it orders the ready list.
	latestStart Time
	readyAt     Time
	// gangRun is the highest run of the gang, failedRun the last one that has
	// been counted in gangFailures.
	gangRun, failedRun int64
	gangFailures       int
	// reserved is the room that is kept free for a gang: until the next pass, or
	// until reservedUntil while its tickets are on their way.
	reserved      []allocation
	reservedUntil Time
	advice        advice
	// spread counts the stage's runs on each worker if MaxPerWorker bounds them.
	runsPerWorker map[*worker]int
	// triedPass is the pass that found no room for the stage, 0 if it has to be
	// compared with all workers.
	lastFailedPass int
}

// count adds a run of the stage on a worker, or takes one away.
func (s *stage) countRun(w *worker, n int) {
	if s.step.MaxPerWorker == 0 {
		return
	}
	if s.runsPerWorker == nil {
		s.runsPerWorker = map[*worker]int{}
	}
	s.runsPerWorker[w] += n
}

// taskState is the state of a task.
type taskState uint8

const (
	taskWaiting taskState = iota
	// taskAssigned means that a run exists.
	taskAssigned
	taskDone
)

// task is one task of a stage.
type task struct {
	stage *stage
	index int
	state taskState
	// failures counts the runs that have failed, failedRun is the last of them.
	failures   int
	failedRun  int64
	lastRun    int64
	checkpoint string
	// run is the task's current run, if it has one.
	run *run
	// copy is a second run of a speculative task, if it has one.
	speculativeRun *run
}

// id names the task.
func (t *task) id() TaskID {
	return TaskID{Job: t.stage.job.id, Occurrence: t.stage.occ.index, Step: t.stage.index, Index: t.index}
}

// stepName names the stage as the advice service knows it.
func (s *stage) stepName() string {
	return TaskID{Job: s.job.id, Occurrence: s.occ.index, Step: s.index}.StepName()
}

// addJob creates a job with all its occurrences and tasks.
func (c *cell) addJob(id JobID, queue QueueName, spec *JobSpec, accepted int64) *job {
	j := &job{id: id, queue: queue, policy: c.queue(queue), spec: spec, acceptedWall: accepted}
	j.acceptedAt = c.now.Add(-time.Duration(max(0, c.wall-accepted)) * msec)
	if len(spec.Steps) > 0 {
		for k := range spec.occurrences() {
			j.occurrences = append(j.occurrences, newOccurrence(j, k))
		}
	}
	j.openOccurrences = len(j.occurrences)
	c.jobs[id] = j
	c.jobList = append(c.jobList, j)
	return j
}

// newOccurrence creates the stages and tasks of an occurrence.
func newOccurrence(j *job, k int) *occurrence {
	o := &occurrence{index: k, openStages: len(j.spec.Steps), due: j.acceptedWall}
	if j.spec.Repeat > 0 {
		o.due = j.spec.First + int64(k)*j.spec.Interval.Milliseconds()
	}
	for i := range j.spec.Steps {
		s := &stage{job: j, occ: o, index: i, step: &j.spec.Steps[i]}
		s.waiting = s.step.Count
		block := make([]task, s.step.Count)
		s.tasks = make([]*task, s.step.Count)
		for n := range block {
			block[n] = task{stage: s, index: n}
			s.tasks[n] = &block[n]
		}
		o.stages = append(o.stages, s)
	}
	return o
}

// find returns the task with an id, or nil.
func (c *cell) findTask(id TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil || id.Occurrence < 0 || id.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if id.Step < 0 || id.Step >= len(o.stages) || id.Index < 0 || id.Index >= len(o.stages[id.Step].tasks) {
		return nil
	}
	return o.stages[id.Step].tasks[id.Index]
}

// records returns the durable state of a job for a snapshot.
func (j *job) records(policy *Queue) []Record {
	if !j.durable {
		return nil
	}
	if j.reported.isTerminal() {
		return []Record{{Job: j.id, Queue: j.queue, Accepted: j.acceptedWall, Final: j.reported, FinalAt: j.endedWall}}
	}
	rec := Record{Job: j.id, Queue: j.queue, Accepted: j.acceptedWall, Spec: j.spec, Policy: policy, Cancelled: j.cancelled}
	for _, o := range j.occurrences {
		for _, s := range o.stages {
			for _, run := range syntheticFailedRuns(s.gangFailures, s.failedRun) {
				rec.Ends = append(rec.Ends, EndRecord{Occurrence: o.index, Step: s.index, Run: run, Kind: EndFailed})
			}
			for _, t := range s.tasks {
				rec.Ends = append(rec.Ends, t.endRecords()...)
				if t.run != nil {
					rec.Starts = append(rec.Starts, StartRecord{o.index, s.index, t.index, t.run.number, t.run.worker.info.ID})
				}
			}
		}
	}
	return []Record{rec}
}

// failedRuns returns rising run numbers that stand for n failures, the last of
// which was the given run.
func syntheticFailedRuns(n int, last int64) []int64 {
	runs := make([]int64, n)
	for i := range runs {
		runs[i] = last - int64(n-1-i)
	}
	return runs
}

// endRecords returns the ends that make up the durable state of a task.
func (t *task) endRecords() []EndRecord {
	base := EndRecord{Occurrence: t.stage.occ.index, Step: t.stage.index, Index: t.index}
	var ends []EndRecord
	if !t.stage.step.Gang {
		for _, run := range syntheticFailedRuns(t.failures, t.failedRun) {
			e := base
			e.Run, e.Kind = run, EndFailed
			ends = append(ends, e)
		}
	}
	if t.state == taskDone || t.checkpoint != "" {
		e := base
		e.Run, e.Kind, e.Checkpoint = t.lastRun, EndStopped, t.checkpoint
		if t.run != nil {
			// The checkpoint is that of an earlier run; the present one goes on.
			e.Run = t.run.number - 1
		}
		if t.state == taskDone {
			e.Kind, e.Checkpoint = EndDone, ""
		}
		ends = append(ends, e)
	}
	return ends
}

// jobOrder returns the jobs in the order of their acceptance.
func (c *cell) jobOrder() []*job { return c.jobList }

// forgetEnded removes jobs that ended longer ago than their state is kept.
func (c *cell) removeExpiredJobs() {
	keep := c.jobList[:0]
	for _, j := range c.jobList {
		if j.reported.isTerminal() && c.wall-j.endedWall > c.limits.StatusRetention.Milliseconds()+retentionTolerance {
			delete(c.jobs, j.id)
			continue
		}
		keep = append(keep, j)
	}
	clear(c.jobList[len(keep):])
	c.jobList = keep
}

// retentionSlack is added to the retention of job states, in milliseconds, for
// clocks of hosts that differ by seconds.
const retentionTolerance = 10_000
