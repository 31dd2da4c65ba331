package scheduler

import "time"

// job is an accepted job, or one whose acceptance is being written.
type job struct {
	id    JobID
	queue QueueName
	// policy is the current configuration of the job's queue, or nil if it is
	// unknown.
	policy       *Queue
	spec         *JobSpec
	acceptedWall int64
	// acceptedAt is when the job was accepted, on this host's monotonic clock.
	acceptedAt Time
	// durable means that the acceptance is in the store.
	durable bool
	// submitWaiters are the requests that wait for the acceptance, cancelWaiters
	// those that wait for the cancellation.
	submitWaiters, cancelWaiters []Token
	// occurrences holds the occurrences that have been created and are not complete,
	// sorted by index. created is the number of those that have been created, in
	// ascending order.
	occurrences []*occurrence
	created     int
	// state is the current state, reported the state in answers to callers. A
	// terminal state is reported once it is in the store.
	state, reported JobState
	cancelled       bool
	// started means that a worker has said that it has started a task. A start that is
	// planned, under way or in doubt does not count.
	started bool
	// endedWall is when the job ended, in milliseconds since the Unix epoch.
	endedWall int64
	// chargedBytes is the memory that is charged for the job, specBytes that of its
	// specification and occurrenceBytes that of an open occurrence.
	chargedBytes, specBytes, occurrenceBytes int64
	// chargedText is the size that is charged for the job in the log, textBytes the
	// encoded size of its specification.
	chargedText, textBytes int64
}

// stage is a step of an occurrence.
type stage struct {
	job   *job
	occ   *occurrence
	index int
	step  *Step
	tasks []*task
	// waiting is the number of tasks that are neither assigned nor done, done the
	// number of tasks that are done.
	waiting, done int
	// queued means that the stage is in the ready list.
	queued bool
	// latestStart is the latest time at which the stage can start for its job to
	// meet its objective. The ready list is ordered by it.
	latestStart Time
	readyAt     Time
	// gangRun is the highest run number of the gang, failedRun the last one that was
	// counted in gangFailures.
	gangRun, failedRun int64
	gangFailures       int
	// reserved is the capacity that is reserved for a gang: until the next
	// scheduling pass, or until reservedUntil while its tickets are being requested.
	reserved      []allocation
	reservedUntil Time
	// turn is the state of a gang's reservations.
	turn   gangTurn
	advice advice
	// runsPerWorker counts the stage's runs on each worker. It is only kept if
	// MaxPerWorker is set.
	runsPerWorker map[*worker]int
	// lastFailedPass is the scheduling pass that last lacked capacity for the stage,
	// or 0 if the stage has to be compared with all workers.
	lastFailedPass int
}

// countRun changes the number of the stage's runs on a worker by n.
func (s *stage) countRun(w *worker, n int) {
	if s.step.MaxPerWorker == 0 {
		return
	}
	if s.runsPerWorker == nil {
		s.runsPerWorker = map[*worker]int{}
	}
	if s.runsPerWorker[w] += n; s.runsPerWorker[w] == 0 {
		delete(s.runsPerWorker, w)
	}
}

// taskState is the state of a task.
type taskState uint8

const (
	taskWaiting taskState = iota
	// taskAssigned means that the task has a run.
	taskAssigned
	taskDone
)

// task is a task of a stage.
type task struct {
	stage *stage
	index int
	state taskState
	// failures is the number of failed runs, failedRun the number of the last one.
	// lastRun is the highest run number that was used.
	failures   int
	failedRun  int64
	lastRun    int64
	checkpoint string
	// run is the current run, or nil.
	run *run
	// speculativeRun is the second run of a speculative task, or nil.
	speculativeRun *run
}

// id returns the ID of the task.
func (t *task) id() TaskID {
	return TaskID{Job: t.stage.job.id, Occurrence: t.stage.occ.index, Step: t.stage.index, Index: t.index}
}

// runs returns the current runs of the task.
func (t *task) runs() []*run {
	var runs []*run
	for _, r := range []*run{t.run, t.speculativeRun} {
		if r != nil {
			runs = append(runs, r)
		}
	}
	return runs
}

// stepName returns the name of the stage in calls to the advice service.
func (s *stage) stepName() string {
	return TaskID{Job: s.job.id, Occurrence: s.occ.index, Step: s.index}.StepName()
}

// addJob creates a job. The tasks of a job that is not repeated are created with it.
func (c *cell) addJob(id JobID, queue QueueName, spec *JobSpec, accepted int64) *job {
	j := &job{id: id, queue: queue, policy: c.queue(queue), spec: spec, acceptedWall: accepted}
	j.acceptedAt = c.now.Add(-time.Duration(max(0, c.wall-accepted)) * msec)
	j.specBytes, j.occurrenceBytes, j.textBytes = specBytes(spec), occurrenceCharge(spec), int64(spec.estimatedSize())
	if len(spec.Steps) > 0 && spec.Repeat == 0 {
		c.createThrough(j, 0)
	}
	c.charge(j)
	c.jobs[id] = j
	c.jobList = append(c.jobList, j)
	return j
}

// releaseEndedJob drops all of a job but its final state. Runs that are still being
// stopped keep what they need.
func (c *cell) releaseEndedJob(j *job) {
	j.spec, j.occurrences, j.created = &JobSpec{}, nil, 0
	c.charge(j)
}

// findTask returns the task with an ID, or nil.
func (c *cell) findTask(id TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	o := j.occurrence(id.Occurrence)
	if o == nil || id.Step < 0 || id.Step >= len(o.stages) || id.Index < 0 || id.Index >= len(o.stages[id.Step].tasks) {
		return nil
	}
	return o.stages[id.Step].tasks[id.Index]
}

// jobOrder returns the jobs in the order of acceptance.
func (c *cell) jobOrder() []*job { return c.jobList }

// removeExpiredJobs removes the jobs that ended longer ago than StatusRetention.
func (c *cell) removeExpiredJobs() {
	keep := c.jobList[:0]
	for _, j := range c.jobList {
		if j.reported.isTerminal() && c.wall-j.endedWall > c.limits.StatusRetention.Milliseconds()+retentionToleranceMS {
			delete(c.jobs, j.id)
			c.chargedBytes -= j.chargedBytes
			c.chargedText -= j.chargedText
			continue
		}
		keep = append(keep, j)
	}
	clear(c.jobList[len(keep):])
	c.jobList = keep
}

// retentionToleranceMS is added to the retention of job states, because the clocks of
// hosts can differ by seconds.
const retentionToleranceMS = 10_000
