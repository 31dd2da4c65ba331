package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"banyanrun.example/banyanrun/core"
)

// Trace describes a reproducible load on one data centre.
type Trace struct {
	Name      string
	Seed      uint64
	HorizonMS int64
	Workers   []WorkerGroup
	Documents []core.Document
	Jobs      []Job
	Faults    []Fault
}

// WorkerGroup is a rack of identical workers. Their ids are <Rack>-<n>, with n
// starting at 1.
type WorkerGroup struct {
	Rack     string
	Count    int
	Capacity core.Resources
}

// Job is one arrival. RunMS is its true run time; the declared one is in the
// document. A job of an interactive kind is a call.
type Job struct {
	ID    core.JobID
	AtMS  int64
	Team  core.TeamName
	Kind  core.KindName
	RunMS int64
	// Fails is set if the job fails on every worker.
	Fails bool `json:",omitempty"`
	// CancelMS is the time at which the caller cancels the job, or zero.
	CancelMS int64 `json:",omitempty"`
	// Outcomes lists the allowed final states. If it is empty, only success is
	// allowed.
	Outcomes []core.JobState `json:",omitempty"`
}

// Fault is a fault of one worker.
type Fault struct {
	AtMS   int64
	Worker core.WorkerID
	Kind   FaultKind
	// UntilMS is the end of a FaultFailAll or FaultSilent.
	UntilMS int64 `json:",omitempty"`
}

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultFailAll makes every task fail that the worker starts.
	FaultFailAll FaultKind = "fail_all"
	// FaultSilent makes the worker answer no requests.
	FaultSilent FaultKind = "silent"
	// FaultRestart restarts the worker, which loses all its tasks.
	FaultRestart FaultKind = "restart"
)

// traceTime converts milliseconds since the start of a trace to a time. A trace
// starts at one hour, since the reducer treats time zero as "never".
func traceTime(ms int64) core.Time {
	return core.Time(time.Hour).Add(time.Duration(ms) * time.Millisecond)
}

// Allows reports whether a final state is allowed for the job.
func (j *Job) Allows(s core.JobState) bool {
	for _, o := range j.Outcomes {
		if o == s {
			return true
		}
	}
	return len(j.Outcomes) == 0 && s == core.JobSucceeded
}

// Load reads and validates a trace file.
func Load(path string) (*Trace, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	t, err := decodeTrace(data)
	if err != nil {
		return nil, fmt.Errorf("decode trace %s: %w", path, err)
	}
	return t, nil
}

// decodeTrace decodes and validates a trace.
func decodeTrace(data []byte) (*Trace, error) {
	var t Trace
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, err
	}
	return &t, t.validate()
}

// Encode returns the trace as JSON with one job per line.
func (t *Trace) Encode() ([]byte, error) {
	head := *t
	head.Jobs = nil
	data, err := json.Marshal(head)
	if err != nil {
		return nil, fmt.Errorf("encode trace %s: %w", t.Name, err)
	}
	data = append(data[:len(data)-1], ",\"Jobs\":[\n"...)
	for i := range t.Jobs {
		line, err := json.Marshal(&t.Jobs[i])
		if err != nil {
			return nil, fmt.Errorf("encode job %s: %w", t.Jobs[i].ID, err)
		}
		data = append(data, line...)
		if i < len(t.Jobs)-1 {
			data = append(data, ',')
		}
		data = append(data, '\n')
	}
	return append(data, "]}\n"...), nil
}

// validate returns an error if a job refers to an unknown team or kind.
func (t *Trace) validate() error {
	for i := range t.Jobs {
		if t.kind(&t.Jobs[i]) == nil {
			return fmt.Errorf("trace %s: job %s: team %q does not declare kind %q",
				t.Name, t.Jobs[i].ID, t.Jobs[i].Team, t.Jobs[i].Kind)
		}
	}
	return nil
}

// kind returns the declaration of a job's kind, or nil.
func (t *Trace) kind(j *Job) *core.Kind {
	for i := range t.Documents {
		if d := &t.Documents[i]; d.Team == j.Team {
			if k, ok := d.Kind(j.Kind); ok {
				return k
			}
		}
	}
	return nil
}

// Kind returns the declaration of a job's kind, or nil.
func (t *Trace) Kind(j *Job) *core.Kind { return t.kind(j) }

// listedWorkers returns the workers in the form in which the platform lists them.
func (t *Trace) listedWorkers() []core.ListedWorker {
	var list []core.ListedWorker
	for _, g := range t.Workers {
		for n := 1; n <= g.Count; n++ {
			id := core.WorkerID(fmt.Sprintf("%s-%d", g.Rack, n))
			list = append(list, core.ListedWorker{
				ID: id, Address: string(id), Rack: g.Rack, DataCentre: dataCentre,
				Region: region, Capacity: g.Capacity,
			})
		}
	}
	return list
}

// totalCapacity returns the sum of the capacities of all workers.
func (t *Trace) totalCapacity() core.Resources {
	var sum core.Resources
	for _, g := range t.Workers {
		sum = sum.Add(g.Capacity.Times(int64(g.Count)))
	}
	return sum
}
