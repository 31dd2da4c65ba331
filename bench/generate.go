package bench

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/document"
)

// Durations and sizes of the generated traces. They keep the files small: an
// ordinary day is reduced to its busiest two hours, and a flood lasts ten minutes.
const (
	ordinaryArrivalsMS    = 2 * 3600 * 1000
	ordinaryJobs          = 150
	backgroundArrivalsMS  = 3600 * 1000
	backgroundJobs        = 80
	floodingJobs          = 300
	teamFloodStartMS      = 600_000
	teamFloodDurationMS   = 600_000
	generatedHorizonMS    = 4 * 3600 * 1000
	failingWorkers        = 2
	floodingJobsPerCancel = 3  // one in three flooding jobs is cancelled
	jobsPerFailingJob     = 40 // one in forty jobs fails on every worker
	runTimeSpread         = 2  // width of the range of true run times, as a multiple of the declared one
	callsPerMinute        = 2
	callRunMS             = 40
	dataCentreIndex       = 0
	// minServiceRunTime is the run time from which a kind is treated as a service.
	minServiceRunTime = 12 * time.Hour
)

// topology is the part of a topology.json file that the traces use.
type topology struct {
	DataCentres []struct {
		Racks          int `json:"racks"`
		WorkersPerRack int `json:"workers_per_rack"`
		Capacity       struct {
			MilliCPU     int64 `json:"milli_cpu"`
			MemoryMB     int64 `json:"memory_mb"`
			Accelerators int64 `json:"accelerators"`
			Slots        int64 `json:"slots"`
			Connections  int64 `json:"connections"`
		} `json:"capacity"`
	} `json:"data_centres"`
}

// WriteTraces writes two traces to folder for each deployment below examples.
func WriteTraces(examples, folder string, seed uint64) error {
	documentPaths, err := filepath.Glob(filepath.Join(examples, "*", "document.json"))
	if err != nil || len(documentPaths) == 0 {
		return fmt.Errorf("folder %s contains no deployment with a document.json (%v)", examples, err)
	}
	for _, path := range documentPaths {
		base, err := readDeployment(filepath.Dir(path), seed)
		if err != nil {
			return err
		}
		for _, t := range []*Trace{ordinaryTrace(base), teamFloodTrace(base)} {
			data, err := t.Encode()
			if err != nil {
				return err
			}
			if err := os.WriteFile(filepath.Join(folder, t.Name+".json"), data, 0o644); err != nil {
				return fmt.Errorf("write trace: %w", err)
			}
		}
	}
	return nil
}

// readDeployment reads the document and the first data centre of a deployment
// into a trace without jobs. It adds a second team with the same kinds, which
// causes the flood.
func readDeployment(folder string, seed uint64) (*Trace, error) {
	text, err := os.ReadFile(filepath.Join(folder, "document.json"))
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	doc, err := document.Decode(text)
	if err != nil {
		return nil, fmt.Errorf("decode document of %s: %w", folder, err)
	}
	text, err = os.ReadFile(filepath.Join(folder, "topology.json"))
	if err != nil {
		return nil, fmt.Errorf("read topology: %w", err)
	}
	var topo topology
	if err := json.Unmarshal(text, &topo); err != nil || len(topo.DataCentres) <= dataCentreIndex {
		return nil, fmt.Errorf("topology of %s: %d data centres (%v)", folder, len(topo.DataCentres), err)
	}
	dc := topo.DataCentres[dataCentreIndex]
	t := &Trace{Name: filepath.Base(folder), Seed: seed}
	for n := range dc.Racks {
		t.Workers = append(t.Workers, WorkerGroup{
			Rack: fmt.Sprintf("rack-%d", n+1), Count: dc.WorkersPerRack, Capacity: core.Resources(dc.Capacity),
		})
	}
	doc.Services = nil
	doc.Kinds = slices.DeleteFunc(doc.Kinds, func(k core.Kind) bool { return k.RunTime >= minServiceRunTime })
	floodingTeam := *doc
	floodingTeam.Team = doc.Team + "-flood"
	t.Documents = []core.Document{*doc, floodingTeam}
	return t, nil
}

// ordinaryTrace returns a trace of light load, in which some jobs can never
// succeed.
func ordinaryTrace(base *Trace) *Trace {
	t := *base
	t.Name, t.HorizonMS = base.Name+"-ordinary", generatedHorizonMS
	rng := newRand(base.Seed, 1)
	for n := range ordinaryJobs {
		t.Jobs = append(t.Jobs, t.drawJob(rng, n, 0, ordinaryArrivalsMS))
	}
	for n := range callsPerMinute * 60 {
		if j, ok := t.drawCall(rng, n, ordinaryArrivalsMS); ok {
			t.Jobs = append(t.Jobs, j)
		}
	}
	t.sortJobs()
	return &t
}

// teamFloodTrace returns a trace in which the second team floods the cell while
// some workers fail every task. A third of the flooding jobs is cancelled, all of
// them one second after the flood.
func teamFloodTrace(base *Trace) *Trace {
	t := *base
	t.Name, t.HorizonMS = base.Name+"-flood", generatedHorizonMS
	rng := newRand(base.Seed, 2)
	for n := range backgroundJobs {
		j := t.drawJob(rng, n, 0, backgroundArrivalsMS)
		t.allowFailure(&j)
		t.Jobs = append(t.Jobs, j)
	}
	kind := t.leastUrgentKind()
	for n := range floodingJobs {
		j := Job{
			ID: core.JobID(fmt.Sprintf("flood-%d", n)), Team: t.Documents[1].Team, Kind: kind.Name,
			AtMS: teamFloodStartMS + rng.Int64N(teamFloodDurationMS), RunMS: t.drawRunMS(rng, kind) / 10,
		}
		t.allowFailure(&j)
		if n%floodingJobsPerCancel == 0 {
			j.CancelMS = teamFloodStartMS + teamFloodDurationMS + 1000
			j.Outcomes = append(j.Outcomes, core.JobSucceeded, core.JobCancelled)
		}
		t.Jobs = append(t.Jobs, j)
	}
	for n := range failingWorkers {
		t.Faults = append(t.Faults, Fault{
			AtMS: teamFloodStartMS, Worker: core.WorkerID(fmt.Sprintf("%s-%d", t.Workers[n%len(t.Workers)].Rack, n+1)),
			Kind: FaultFailAll, UntilMS: teamFloodStartMS + teamFloodDurationMS,
		})
	}
	t.sortJobs()
	return &t
}

// drawJob generates a job of a kind that is not interactive.
func (t *Trace) drawJob(rng *rand.Rand, n int, fromMS, lengthMS int64) Job {
	doc := &t.Documents[0]
	k := &doc.Kinds[rng.IntN(len(doc.Kinds))]
	for k.Urgency == core.Interactive {
		k = &doc.Kinds[rng.IntN(len(doc.Kinds))]
	}
	j := Job{
		ID: core.JobID(fmt.Sprintf("job-%d", n)), AtMS: fromMS + rng.Int64N(lengthMS),
		Team: doc.Team, Kind: k.Name, RunMS: t.drawRunMS(rng, k),
	}
	if rng.IntN(jobsPerFailingJob) == 0 {
		j.Fails, j.Outcomes = true, []core.JobState{core.JobFailed}
	}
	return j
}

// drawCall generates a call of the first interactive kind, if there is one. Cell
// ignores calls; the load tool performs them.
func (t *Trace) drawCall(rng *rand.Rand, n int, lengthMS int64) (Job, bool) {
	doc := &t.Documents[0]
	for i := range doc.Kinds {
		if doc.Kinds[i].Urgency == core.Interactive {
			return Job{
				ID: core.JobID(fmt.Sprintf("call-%d", n)), AtMS: rng.Int64N(lengthMS),
				Team: doc.Team, Kind: doc.Kinds[i].Name, RunMS: callRunMS,
			}, true
		}
	}
	return Job{}, false
}

// drawRunMS generates a run time between 0.1 and 2.1 times the declared one.
func (t *Trace) drawRunMS(rng *rand.Rand, k *core.Kind) int64 {
	declared := k.RunTime.Milliseconds()
	return declared/10 + rng.Int64N(declared*runTimeSpread)
}

// allowFailure sets the allowed outcomes of a job that may run on a failing
// worker. Only a job that is not idempotent may fail because of it.
func (t *Trace) allowFailure(j *Job) {
	if k := t.kind(j); !k.Idempotent && len(j.Outcomes) == 0 {
		j.Outcomes = []core.JobState{core.JobSucceeded, core.JobFailed}
	}
}

// leastUrgentKind returns the least urgent kind that is not a gang.
func (t *Trace) leastUrgentKind() *core.Kind {
	var least *core.Kind
	for i := range t.Documents[0].Kinds {
		k := &t.Documents[0].Kinds[i]
		if k.GangSize <= 1 && (least == nil || k.Urgency > least.Urgency) {
			least = k
		}
	}
	return least
}

// sortJobs sorts the jobs by arrival time.
func (t *Trace) sortJobs() {
	slices.SortStableFunc(t.Jobs, func(a, b Job) int { return int(a.AtMS - b.AtMS) })
}
