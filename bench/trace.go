package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"banyanrun.example/banyanrun/core"
)

// Trace is a reproducible load on one data centre.
type Trace struct {
	Name      string
	Seed      uint64
	HorizonMS int64
	Workers   []WorkerGroup
	Documents []core.Document
	Jobs      []Job
	Faults    []Fault
}

// WorkerGroup is a rack of equal workers. Worker n is named <Rack>-<n>, from 1.
type WorkerGroup struct {
	Rack     string
	Count    int
	Capacity core.Resources
}

// Job is one arrival. The declared run time is in the document; RunMS is the true
// one. A job of an interactive kind is a call.
type Job struct {
	ID    core.JobID
	AtMS  int64
	Team  core.TeamName
	Kind  core.KindName
	RunMS int64
	// Fails is set for a job that fails on every worker.
	Fails bool `json:",omitempty"`
	// CancelMS is when the caller cancels, or zero.
	CancelMS int64 `json:",omitempty"`
	// Outcomes lists the allowed final states; none means that only success
	// is allowed.
	Outcomes []core.JobState `json:",omitempty"`
}

// Fault makes a worker fail or restart.
type Fault struct {
	AtMS   int64
	Worker core.WorkerID
	Kind   FaultKind
	// UntilMS ends FaultFailAll and FaultSilent.
	UntilMS int64 `json:",omitempty"`
}

// FaultKind names what is wrong with a worker.
type FaultKind string

// The faults.
const (
	// FaultFailAll fails every task that the worker starts.
	FaultFailAll FaultKind = "fail_all"
	// FaultSilent answers nothing.
	FaultSilent FaultKind = "silent"
	// FaultRestart loses all tasks of the worker.
	FaultRestart FaultKind = "restart"
)

// at converts milliseconds since the start of a trace to a time. Times start at
// one hour, since the reducer takes zero for "never".
func traceTime(ms int64) core.Time {
	return core.Time(time.Hour).Add(time.Duration(ms) * time.Millisecond)
}

// Allows reports whether a final state is one of the stated outcomes.
func (j *Job) Allows(s core.JobState) bool {
	for _, o := range j.Outcomes {
		if o == s {
			return true
		}
	}
	return len(j.Outcomes) == 0 && s == core.JobSucceeded
}

// Load reads a trace file.
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

// decode reads a trace.
func decodeTrace(data []byte) (*Trace, error) {
	var t Trace
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, err
	}
	return &t, t.validate()
}

// Encode returns the trace as JSON with one job a line.
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

// check refuses traces that name unknown teams or kinds.
func (t *Trace) validate() error {
	for i := range t.Jobs {
		if t.kind(&t.Jobs[i]) == nil {
			return fmt.Errorf("trace %s: job %s: team %q declares no kind %q",
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

// listed returns the workers as the platform lists them.
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

// total is the capacity of all workers.
func (t *Trace) totalCapacity() core.Resources {
	var sum core.Resources
	for _, g := range t.Workers {
		sum = sum.Add(g.Capacity.Times(int64(g.Count)))
	}
	return sum
}
