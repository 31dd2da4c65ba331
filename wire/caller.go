package wire

import (
	"time"

	"banyanrun.example/banyanrun/core"
)

// Paths of the HTTP API that an entry host offers to callers and operators.
const (
	PathJobs      = "/v1/jobs"
	PathJobsBatch = "/v1/jobs/batch"
	PathCalls     = "/v1/call"
	PathDocuments = "/v1/documents"
	PathHostsView = "/v1/hosts"
	PathWorkers   = "/v1/workers"
	PathTeams     = "/v1/teams"
)

// JobRequest is the body of POST /v1/jobs. Submission is idempotent: a repeated
// request with the same id and content returns the state of the existing job.
type JobRequest struct {
	ID      core.JobID    `json:"id"`
	Team    core.TeamName `json:"team"`
	Kind    core.KindName `json:"kind"`
	Payload []byte        `json:"payload,omitempty"`
}

// BatchRequest is the body of POST /v1/jobs/batch.
type BatchRequest struct {
	Jobs []JobRequest `json:"jobs"`
}

// BatchResponse holds the result of each job at the job's index in the batch.
type BatchResponse struct {
	Jobs []BatchResult `json:"jobs"`
}

// BatchResult holds either a status or an error.
type BatchResult struct {
	Status *JobStatus `json:"status,omitempty"`
	Error  *Error     `json:"error,omitempty"`
}

// JobStatus is the response to submit, status, wait and cancel requests.
type JobStatus struct {
	ID       core.JobID    `json:"id"`
	Team     core.TeamName `json:"team"`
	Kind     core.KindName `json:"kind"`
	State    core.JobState `json:"state"`
	Verdict  core.Verdict  `json:"verdict"`
	Error    *Error        `json:"error,omitempty"`
	Result   []byte        `json:"result,omitempty"`
	Tasks    []TaskStatus  `json:"tasks,omitempty"`
	AgeMS    int64         `json:"age_ms"`
	Finished bool          `json:"finished"`
}

// TaskStatus is the status of one task of a job.
type TaskStatus struct {
	Index     int           `json:"index"`
	Attempt   int           `json:"attempt"`
	State     string        `json:"state"`
	Worker    core.WorkerID `json:"worker,omitempty"`
	Throttled bool          `json:"throttled,omitempty"`
}

// Error is the body of every error response.
type Error struct {
	Reason       core.Reason  `json:"reason"`
	Verdict      core.Verdict `json:"verdict"`
	Message      string       `json:"message"`
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
}

// FromRefusal converts a refusal, which may be nil.
func FromRefusal(r *core.Refusal) *Error {
	if r == nil {
		return nil
	}
	return &Error{
		Reason: r.Reason, Verdict: r.Verdict, Message: r.Message,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}
}

// Refusal converts e to the type of package core.
func (e *Error) Refusal() *core.Refusal {
	return &core.Refusal{
		Reason: e.Reason, Verdict: e.Verdict, Message: e.Message,
		RetryAfter: time.Duration(e.RetryAfterMS) * time.Millisecond,
	}
}

// FromJobStatus converts a job's status.
func FromJobStatus(s *core.JobStatus) *JobStatus {
	out := &JobStatus{
		ID: s.ID, Team: s.Team, Kind: s.Kind, State: s.State, Verdict: s.Verdict,
		Error: FromRefusal(s.Refusal), Result: s.Result,
		AgeMS: s.Age.Milliseconds(), Finished: s.Finished,
	}
	for _, t := range s.Tasks {
		out.Tasks = append(out.Tasks, TaskStatus(t))
	}
	return out
}
