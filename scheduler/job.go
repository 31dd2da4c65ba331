package scheduler

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// JobID identifies a job. The caller chooses it.
type JobID string

// QueueName is the name of a queue in the configuration.
type QueueName string

// WorkerID identifies a worker.
type WorkerID string

// Resources is an amount of each kind of resource that a worker provides.
type Resources struct {
	// MilliCPU is CPU capacity in thousandths of a core.
	MilliCPU int64 `json:"cpu,omitempty"`
	// MemoryMB is memory in mebibytes.
	MemoryMB int64 `json:"mem,omitempty"`
	// Accelerators is the number of accelerator devices.
	Accelerators int64 `json:"acc,omitempty"`
}

func (r *Resources) add(o Resources) {
	r.MilliCPU += o.MilliCPU
	r.MemoryMB += o.MemoryMB
	r.Accelerators += o.Accelerators
}

// addScaled adds n times o. It subtracts for a negative n.
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

// fits reports whether r covers need.
func (r Resources) fits(need Resources) bool {
	return need.MilliCPU <= r.MilliCPU && need.MemoryMB <= r.MemoryMB && need.Accelerators <= r.Accelerators
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count int       `json:"n"`
	Need  Resources `json:"need"`
	// Estimate is the caller's rough estimate of a task's duration.
	Estimate time.Duration `json:"est,omitempty"`
	// After lists the indexes of the steps that must be complete before this one
	// starts.
	After []int `json:"after,omitempty"`
	// Gang means that all tasks have to run at the same time.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks run slower when they are spread over racks.
	SameRack bool `json:"rack,omitempty"`
	// Checkpointing means that the tasks save their progress.
	Checkpointing bool `json:"ckpt,omitempty"`
	// Speculative permits two runs of a task in parallel.
	Speculative bool `json:"spec,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool `json:"long,omitempty"`
	// Scavenging means that the tasks use CPU time that other tasks leave idle.
	// Their CPU need does not count against a worker's capacity.
	Scavenging bool `json:"scav,omitempty"`
	// Label, if set, is a label that the worker must have.
	Label string `json:"label,omitempty"`
	// DataRack, if set, is the rack that stores the step's data.
	DataRack string `json:"data,omitempty"`
	// MaxPerWorker, if not zero, limits the number of the step's tasks on one worker.
	MaxPerWorker int `json:"apart,omitempty"`
	// MaxUnavailable limits the number of long-running tasks that the scheduler may
	// make unavailable at a time.
	MaxUnavailable int `json:"maxun,omitempty"`
	// Image is the name of the image that the tasks run.
	Image string `json:"image,omitempty"`
	// LatencyTarget is the target for the tail latency of a task that serves users.
	LatencyTarget time.Duration `json:"target,omitempty"`
}

// charge returns the part of a worker's capacity that a task of the step occupies.
func (s *Step) charge() Resources {
	need := s.Need
	if s.Scavenging {
		need.MilliCPU = 0
	}
	return need
}

// JobSpec is a job as submitted by its caller.
type JobSpec struct {
	// Payload is passed to each task unchanged.
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	// Repeat is the number of scheduled occurrences, or 0 for a job that runs once,
	// immediately.
	Repeat int `json:"repeat,omitempty"`
	// First is when the first occurrence is due, in milliseconds since the Unix
	// epoch.
	First int64 `json:"first,omitempty"`
	// Interval is the time between two occurrences.
	Interval time.Duration `json:"interval,omitempty"`
}

// occurrences returns how many times the steps run.
func (s *JobSpec) occurrences() int { return max(1, s.Repeat) }

// Check validates a submitted job. It returns nil if the job is valid.
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
			return &SpecError{Field: field, Problem: "a resource amount is negative"}
		}
		for _, earlier := range step.After {
			if earlier < 0 || earlier >= i {
				return &SpecError{Field: field + ".after", Problem: fmt.Sprintf("step %d is not an earlier step", earlier)}
			}
		}
	}
	return nil
}

// SpecError reports an invalid field of a submitted job.
type SpecError struct{ Field, Problem string }

// Error implements the error interface.
func (e *SpecError) Error() string { return fmt.Sprintf("job field %s: %s", e.Field, e.Problem) }

// TaskID identifies a task.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the ID in the form JOB.OCCURRENCE.STEP.INDEX, which is used in calls
// to workers.
func (t TaskID) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step in the form JOB.OCCURRENCE.STEP.
func (t TaskID) StepName() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID parses the form that String returns.
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

// JobState is the state of a job.
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

// String returns the state's name in logs and metrics.
func (s JobState) String() string { return jobStateNames[s] }

// isTerminal reports whether the job has ended.
func (s JobState) isTerminal() bool { return s >= JobComplete }
