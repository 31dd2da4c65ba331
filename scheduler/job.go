package scheduler

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// JobID names a job. Its caller chooses it.
type JobID string

// QueueName names a queue, as the configuration does.
type QueueName string

// WorkerID names a worker.
type WorkerID string

// Resources are an amount of what a worker has.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"cpu,omitempty"`
	// MemoryMB is in mebibytes.
	MemoryMB int64 `json:"mem,omitempty"`
	// Accelerators is a number of devices.
	Accelerators int64 `json:"acc,omitempty"`
}

func (r *Resources) add(o Resources) {
	r.MilliCPU += o.MilliCPU
	r.MemoryMB += o.MemoryMB
	r.Accelerators += o.Accelerators
}

// addTimes adds n times o, or takes it away for a negative n.
func (r *Resources) addScaled(o Resources, n int) {
	r.MilliCPU += o.MilliCPU * int64(n)
	r.MemoryMB += o.MemoryMB * int64(n)
	r.Accelerators += o.Accelerators * int64(n)
}

func (r *Resources) sub(o Resources) {
	r.MilliCPU -= o.MilliCPU
	r.MemoryMB -= o.MemoryMB
	r.Accelerators -= o.Accelerators
}

// fits reports whether need is available in r.
func (r Resources) fits(need Resources) bool {
	return need.MilliCPU <= r.MilliCPU && need.MemoryMB <= r.MemoryMB && need.Accelerators <= r.Accelerators
}

// Step is a set of like tasks of a job.
type Step struct {
	Count int       `json:"n"`
	Need  Resources `json:"need"`
	// Estimate is the caller's rough estimate of a task's duration.
	Estimate time.Duration `json:"est,omitempty"`
	// After lists earlier steps, all tasks of which must be done first.
	After []int `json:"after,omitempty"`
	// Gang means that the tasks work only while all of them are present.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks are slower when spread over racks.
	SameRack bool `json:"rack,omitempty"`
	// Checkpointing means that the tasks save their progress.
	Checkpointing bool `json:"ckpt,omitempty"`
	// Speculative allows copies of a task to run in parallel.
	Speculative bool `json:"spec,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool `json:"long,omitempty"`
	// Scavenging means that the tasks run on processor time that others leave
	// unused; their processors do not count against a worker's capacity.
	Scavenging bool `json:"scav,omitempty"`
	// Label, if set, is one that the worker must have.
	Label string `json:"label,omitempty"`
	// DataRack, if set, is the rack on which the step's data lies.
	DataRack string `json:"data,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker, if it is not zero.
	MaxPerWorker int `json:"apart,omitempty"`
	// MaxUnavailable bounds the long-running tasks that the scheduler may make
	// unavailable at a time.
	MaxUnavailable int `json:"maxun,omitempty"`
	// Image names what the tasks run.
	Image string `json:"image,omitempty"`
	// LatencyTarget bounds the tail latency of a task that serves users.
	LatencyTarget time.Duration `json:"target,omitempty"`
}

// charge is what a task of the step takes from a worker's capacity.
func (s *Step) charge() Resources {
	need := s.Need
	if s.Scavenging {
		need.MilliCPU = 0
	}
	return need
}

// JobSpec is a job as its caller submits it.
type JobSpec struct {
	// Payload is passed to each task as it is.
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	// Repeat is the number of scheduled occurrences, 0 for a job that runs once
	// at once.
	Repeat int `json:"repeat,omitempty"`
	// First is when the first occurrence is due, in milliseconds since 1970.
	First int64 `json:"first,omitempty"`
	// Interval lies between two occurrences.
	Interval time.Duration `json:"interval,omitempty"`
}

// occurrences returns how often the steps run.
func (s *JobSpec) occurrences() int { return max(1, s.Repeat) }

// Check returns what is wrong with a submitted job, or nil.
func (s *JobSpec) Check() *SpecError {
	if len(s.Steps) == 0 {
		return &SpecError{Field: "steps", Problem: "a job needs at least one step"}
	}
	for i := range s.Steps {
		step := &s.Steps[i]
		field := fmt.Sprintf("steps[%d]", i)
		if step.Count < 1 {
			return &SpecError{Field: field + ".count", Problem: fmt.Sprintf("%d tasks, want at least 1", step.Count)}
		}
		if step.Need.MilliCPU < 0 || step.Need.MemoryMB < 0 || step.Need.Accelerators < 0 {
			return &SpecError{Field: field, Problem: "a resource is negative"}
		}
		for _, earlier := range step.After {
			if earlier < 0 || earlier >= i {
				return &SpecError{Field: field + ".after", Problem: fmt.Sprintf("step %d is not an earlier step", earlier)}
			}
		}
	}
	return nil
}

// SpecError says which field of a submitted job is wrong.
type SpecError struct{ Field, Problem string }

// Error implements error.
func (e *SpecError) Error() string { return fmt.Sprintf("job field %s: %s", e.Field, e.Problem) }

// TaskID names a task.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the form JOB.OCCURRENCE.STEP.INDEX that workers know.
func (t TaskID) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the form JOB.OCCURRENCE.STEP.
func (t TaskID) StepName() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID reads the form that String returns.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task name %q does not have four parts", s)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil {
			return TaskID{}, fmt.Errorf("task name %q: %w", s, err)
		}
		n[i] = v
	}
	return TaskID{Job: JobID(parts[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// JobState is what a caller is told of a job.
type JobState uint8

// States of a job.
const (
	JobQueued JobState = iota
	JobRunning
	JobComplete
	JobFailed
	JobCancelled
)

var jobStateNames = [...]string{"queued", "running", "complete", "failed", "cancelled"}

// String names the state.
func (s JobState) String() string { return jobStateNames[s] }

// final reports whether the state is the last one of a job.
func (s JobState) isTerminal() bool { return s >= JobComplete }
