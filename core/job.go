package core

import "time"

// JobSpec is a job as a caller submits it.
type JobSpec struct {
	ID   JobID
	Team TeamName
	Kind KindName
	// Digest is a hash of the submitted content. A repeated submit with the same id
	// must have the same digest.
	Digest  uint64
	Payload []byte
	// Origin is the data centre at which the caller submitted.
	Origin DataCentre
	// Submitted is the time of the first submit.
	Submitted Time
}

// JobState is the state of a job as callers see it.
type JobState uint8

// The states of a job. The last four are final.
const (
	// JobAccepting means that the accept record is not durable yet.
	JobAccepting JobState = iota
	// JobQueued means that the job waits for a worker.
	JobQueued
	// JobStarting means that the start has been sent to a worker that has not
	// responded yet.
	JobStarting
	// JobRunning means that a worker runs the job.
	JobRunning
	// JobSettling means that a worker has yet to report whether the job ran.
	JobSettling
	// JobMoved means that another data centre has taken over the job and knows its
	// state.
	JobMoved
	// JobSucceeded means that every task has succeeded.
	JobSucceeded
	// JobFailed means that the job ended without success; the refusal has the
	// reason.
	JobFailed
	// JobCancelled means that the job was cancelled by its caller.
	JobCancelled
	// JobRefused means that the job was never started.
	JobRefused
)

var jobStateNames = [...]string{
	"accepting", "queued", "starting", "running", "settling", "moved",
	"succeeded", "failed", "cancelled", "refused",
}

// String returns the name used in answers to callers.
func (s JobState) String() string { return jobStateNames[s] }

// MarshalText encodes the state by name.
func (s JobState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a state name.
func (s *JobState) UnmarshalText(text []byte) error {
	i, err := indexOfName("job state", jobStateNames[:], string(text))
	*s = JobState(i)
	return err
}

// Final reports whether a job never leaves the state.
func (s JobState) Final() bool { return s >= JobSucceeded }

// TaskRef identifies one attempt of one task of a job.
type TaskRef struct {
	Job     JobID
	Task    int
	Attempt int
}

// taskState is the internal state of one task.
type taskState uint8

const (
	taskWaiting taskState = iota
	// taskAssigned means that capacity is allocated and the assignment's journal
	// record is not durable yet.
	taskAssigned
	// taskStarting means that the start has been sent to the worker.
	taskStarting
	taskRunning
	// taskUncertain means that capacity is allocated and it is unknown whether the
	// task runs.
	taskUncertain
	taskDone
)

// task is one task of a job. While its state is neither taskWaiting nor taskDone,
// its allocation counts as assigned on worker.
type task struct {
	index   int
	attempt int
	// highestAttempt is the highest attempt seen in any worker's ledger.
	highestAttempt int
	state          taskState
	worker         WorkerID
	// incarnation is the worker's incarnation when the task was assigned.
	incarnation uint64
	// endedOn is the worker that reported the success of the current attempt, or empty.
	endedOn WorkerID
	// allocated is the capacity that counts as assigned on worker.
	allocated Resources
	// sentAt is when the start was last sent. startUnresolved is set while an
	// earlier copy, sent at unresolvedSince, may still reach the worker.
	sentAt          Time
	startUnresolved bool
	unresolvedSince Time
	// awaitsFullSync is set until the worker's full ledger is requested.
	awaitsFullSync bool
	// resendAt is when the start is sent again, or zero.
	resendAt  Time
	startedAt Time
	throttled bool
	// preemptible is set while the task is counted in fleet.preemptible.
	preemptible bool
	// unthrottling is set until the worker confirms the end of throttling.
	unthrottling bool
	stopping     bool
	// checkpoint is the worker's reference to saved progress, or empty.
	checkpoint string
	// failedOn lists the workers on which attempts have failed.
	failedOn []WorkerID
}

// job is the reducer's state of one job.
type job struct {
	spec    JobSpec
	kind    *Kind
	team    *team
	state   JobState
	tasks   []task
	refusal *Refusal
	result  []byte
	endedAt Time
	// service is the name of the long-running service that the job is a replica of,
	// or empty. Replicas have no deadline and are controlled by the team's
	// document, not by a caller.
	service string
	// replica is the index of the replica in its service.
	replica int
	// cancelled is set once a caller has asked for cancellation.
	cancelled bool
	// hasStarted is set once a worker is known to have started any task.
	hasStarted bool
	// outcomeUnknown is set once an attempt has been abandoned without knowing
	// whether it ran.
	outcomeUnknown bool
	// unconfirmed is set while the final outcome is not durable. Callers are not
	// told it yet, because the next owner may reach a different one.
	unconfirmed bool
	preemptions int
	// inQueue is set while the job is in its queue. It is maintained by queues.
	inQueue bool
	// queueNumber is the job's position in the order in which jobs were first
	// queued, from 1.
	queueNumber uint64
	// reserved is set while workers are reserved for the job.
	reserved bool
	// notBefore is the earliest time of the next attempt after a failure.
	notBefore Time
	// submitters are the requests that wait for the accept record, and waiters
	// those that wait for the outcome.
	submitters []RequestID
	waiters    []RequestID
	steps      []Step
	failures   int
	// rack is the rack of the worker that the first task was last assigned to. It
	// is used to spread service replicas.
	rack string
	// journaled is set once the job's accept or move record is in the journal.
	journaled bool
	// acceptRecord is the pending accept or move record, or nil once that record is
	// durable or dropped.
	acceptRecord *pendingRecord
	// accepting is set while the job is counted in jobTable.accepting.
	accepting bool
	// movedTo is the data centre that the job is moved to, or empty.
	movedTo DataCentre
	// movedUntil is when a moved job is removed from the table.
	movedUntil Time
	// forwardsSent counts the requests about a moved job that may have reached its
	// data centre.
	forwardsSent int
}

// ref returns the reference of the current attempt of t.
func (j *job) ref(t *task) TaskRef {
	return TaskRef{Job: j.spec.ID, Task: t.index, Attempt: t.attempt}
}

// startBy returns the latest time at which the job may start.
func (j *job) startBy() Time {
	by := j.deadline()
	if j.kind.StartWithin > 0 {
		by = min(by, j.spec.Submitted.Add(j.kind.StartWithin))
	}
	return by
}

// deadline returns the time by which the job must have ended.
func (j *job) deadline() Time {
	if j.service != "" {
		return Time(1<<63 - 1)
	}
	return j.spec.Submitted.Add(j.kind.Deadline)
}

// holdsCapacity reports whether the task has capacity allocated.
func (t *task) holdsCapacity() bool { return t.state != taskWaiting && t.state != taskDone }

// hasConfirmedOutcome reports whether the job has a final outcome that callers may
// be told.
func (j *job) hasConfirmedOutcome() bool { return j.state.Final() && !j.unconfirmed }

// wasDispatched reports whether any task has been assigned an attempt, so that a
// worker may have been sent its start.
func (j *job) wasDispatched() bool {
	for i := range j.tasks {
		if j.tasks[i].attempt > 0 {
			return true
		}
	}
	return false
}

// JobStatus is a job as reported to callers.
type JobStatus struct {
	ID       JobID
	Team     TeamName
	Kind     KindName
	State    JobState
	Verdict  Verdict
	Refusal  *Refusal
	Result   []byte
	Tasks    []TaskStatus
	Age      time.Duration
	Finished bool
}

// TaskStatus is a task as reported to callers.
type TaskStatus struct {
	Index     int
	Attempt   int
	State     string
	Worker    WorkerID
	Throttled bool
}

var taskStateNames = [...]string{"waiting", "assigned", "starting", "running", "uncertain", "done"}

// String returns the name used in answers to callers.
func (s taskState) String() string { return taskStateNames[s] }

// status returns the caller's view of j.
func (j *job) status(now Time) *JobStatus {
	s := &JobStatus{
		ID: j.spec.ID, Team: j.spec.Team, Kind: j.spec.Kind, State: j.state,
		Verdict: j.verdict(), Refusal: j.refusal, Result: j.result,
		Age: now.Sub(j.spec.Submitted), Finished: j.state.Final(),
	}
	if j.unconfirmed {
		s.State, s.Verdict, s.Refusal, s.Result, s.Finished = JobSettling, MayHaveRun, nil, nil, false
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		s.Tasks = append(s.Tasks, TaskStatus{
			Index: t.index, Attempt: t.attempt, State: t.state.String(),
			Worker: t.worker, Throttled: t.throttled,
		})
	}
	return s
}

// verdict returns what is known now about whether j has run.
func (j *job) verdict() Verdict {
	switch {
	case j.refusal != nil:
		return j.refusal.Verdict
	case j.state == JobSucceeded, j.state == JobRunning, j.state == JobFailed:
		return Ran
	case j.wasDispatched():
		return MayHaveRun
	}
	return NotRun
}
