package core

import "time"

// JobSpec is what a caller submits.
type JobSpec struct {
	ID   JobID
	Team TeamName
	Kind KindName
	// Digest is a hash of the submitted content. A repeated submit with the
	// same id must carry the same digest.
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
	// JobAccepting waits for its journal record.
	JobAccepting JobState = iota
	// JobQueued waits for a worker.
	JobQueued
	// JobStarting has been sent to a worker that has not answered.
	JobStarting
	// JobRunning runs.
	JobRunning
	// JobSettling waits to learn from a worker whether it ran.
	JobSettling
	// JobMoved is left to another data centre, which knows its state.
	JobMoved
	// JobSucceeded has run with success.
	JobSucceeded
	// JobFailed has ended without success; the refusal says why.
	JobFailed
	// JobCancelled was cancelled by its caller.
	JobCancelled
	// JobRefused was never started.
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

// Final reports whether the state is never left.
func (s JobState) Final() bool { return s >= JobSucceeded }

// TaskRef names one attempt of one task of a job.
type TaskRef struct {
	Job     JobID
	Task    int
	Attempt int
}

// taskState is the state of one task inside the reducer.
type taskState uint8

const (
	taskWaiting taskState = iota
	// taskAssigned holds capacity and waits for its journal record.
	taskAssigned
	// taskStarting has been sent to its worker.
	taskStarting
	taskRunning
	// taskUncertain holds capacity; whether it runs is not known.
	taskUncertain
	taskDone
)

// task is one task of a job. While its state is neither taskWaiting nor
// taskDone, its request counts as assigned on worker.
type task struct {
	index   int
	attempt int
	// highest is the highest attempt that was seen in a worker's ledger.
	highestAttempt int
	state          taskState
	worker         WorkerID
	// incarnation is that of the worker when the task was assigned.
	incarnation uint64
	// held is what counts as assigned on worker.
	allocated Resources
	// sent is when the start was last sent, and doubtful is set when an
	// earlier copy of it may still reach the worker.
	sentAt          Time
	startUnresolved bool
	unresolvedSince Time
	// asking is set until the worker is asked for its whole ledger.
	awaitsFullSync bool
	// resend is when the start is sent again, or zero.
	resendAt  Time
	startedAt Time
	throttled bool
	// preemptible is set while the task counts in fleet.preemptible.
	preemptible bool
	// unthrottling is set until the worker confirms the end of throttling.
	unthrottling bool
	stopping     bool
	// checkpoint is the worker's reference to saved progress, or empty.
	checkpoint string
	// failedOn lists workers on which attempts failed.
	failedOn []WorkerID
}

// job is one accepted or waiting job.
type job struct {
	spec    JobSpec
	kind    *Kind
	team    *team
	state   JobState
	tasks   []task
	refusal *Refusal
	result  []byte
	endedAt Time
	// service is set for replicas of a long-running service, which have no
	// deadline and are kept by the document and not by a caller.
	service string
	// replica is the number of the replica, from 0.
	replica int
	// cancelled is set once a caller has asked for cancellation.
	cancelled bool
	// began is set once a worker is known to have started any task.
	hasStarted bool
	// doubtful is set once an attempt was given up of which nobody can tell
	// whether it ran.
	outcomeUnknown bool
	// unconfirmed is set while the final outcome is not durable. A successor
	// may then come to another one, so callers are not told.
	unconfirmed bool
	preemptions int
	// inQueue is kept by queues.
	inQueue bool
	// arrival is the job's number among all that were queued, from 1.
	queueNumber uint64
	// reserved is set while room is kept for the job.
	reserved bool
	// notBefore holds the job back after a failed attempt.
	notBefore Time
	// submitters wait for the accept record and waiters for the outcome.
	submitters []RequestID
	waiters    []RequestID
	steps      []Step
	failures   int
	// rack is that of a replica's worker.
	rack string
	// journaled is set once the accept record, or that of the move, is in the
	// journal.
	journaled bool
	// accept is the open accept record, or that of the move. It is nil once
	// the record is durable or dropped.
	acceptRecord *pendingRecord
	// accepting is set while the job is counted in jobTable.accepting.
	accepting bool
	// movedTo is the data centre that the job goes to, or empty.
	movedTo DataCentre
	// movedUntil is when a moved job is forgotten.
	movedUntil Time
	// copiesSent counts the requests about a moved job that may have reached
	// its data centre.
	copiesSent int
}

// ref returns the reference of the current attempt of t.
func (j *job) ref(t *task) TaskRef {
	return TaskRef{Job: j.spec.ID, Task: t.index, Attempt: t.attempt}
}

// startBy is the latest time at which the job may start.
func (j *job) startBy() Time {
	by := j.deadline()
	if j.kind.StartWithin > 0 {
		by = min(by, j.spec.Submitted.Add(j.kind.StartWithin))
	}
	return by
}

// deadline is the time by which the job must have ended.
func (j *job) deadline() Time {
	if j.service != "" {
		return Time(1<<63 - 1)
	}
	return j.spec.Submitted.Add(j.kind.Deadline)
}

// holdsCapacity reports whether the task's request counts as assigned.
func (t *task) holdsCapacity() bool { return t.state != taskWaiting && t.state != taskDone }

// settled reports whether the job has a final outcome that callers may be told.
func (j *job) hasConfirmedOutcome() bool { return j.state.Final() && !j.unconfirmed }

// everStarted reports whether any attempt of any task has left for a worker.
func (j *job) wasDispatched() bool {
	for i := range j.tasks {
		if j.tasks[i].attempt > 0 {
			return true
		}
	}
	return false
}

// JobStatus is the view of a job that callers get.
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

// TaskStatus is the view of one task.
type TaskStatus struct {
	Index     int
	Attempt   int
	State     string
	Worker    WorkerID
	Throttled bool
}

var taskStateNames = [...]string{"waiting", "assigned", "starting", "running", "uncertain", "done"}

// String implements fmt.Stringer.
func (s taskState) String() string { return taskStateNames[s] }

// status builds the caller's view of j.
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

// verdict is what can be said now about whether j has run.
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
