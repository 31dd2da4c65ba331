// Package capacity measures the cost of the control state of an owner: memory, time
// per event and message sizes, for scenarios of several sizes, so that the slopes
// can be extrapolated to the target size.
//
// A scenario runs in virtual time and records the events of the owner. The
// recording is then replayed into a new reducer, whose memory and step times
// contain the cost of the control state only.
package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/store"
	"banyanrun.example/banyanrun/standin/worker"
	"banyanrun.example/banyanrun/virtual"
	"banyanrun.example/banyanrun/wire"
)

// Size is the size of a scenario. Each runs in one data centre with one entry host.
type Size struct {
	Workers int
	// Running is the number of tasks that run beyond the end of the scenario.
	Running int
	// Queued is the number of jobs that wait because no worker has capacity.
	Queued int
	// Finished is the number of jobs that have ended and are still kept in memory.
	Finished int
	Teams    int
}

// Names and parameters of the scenarios.
const (
	dataCentre = "dc-a"
	ownerHost  = "host-1"

	kindLong  = "long"
	kindShort = "short"
	kindLarge = "large"

	longRun  = time.Hour
	shortRun = 200 * time.Millisecond
	// submitsPerSecond is the rate at which a scenario submits its jobs.
	submitsPerSecond = 200
	// payloadBytes is the payload size in the measured messages.
	payloadBytes = 256
)

// recordedStep is one step of the owner in its encoded form, with its event type.
type recordedStep struct {
	step      wire.RecordedStep
	eventType string
}

// recording holds the recorded steps and the counts of a scenario.
type recording struct {
	config core.Config
	steps  []recordedStep
	counts virtual.Counts
	jobs   int
}

// teamDocument returns the document of one team, which declares its kinds.
func teamDocument(name core.TeamName) core.Document {
	kind := func(name core.KindName, cpu int64, run time.Duration) core.Kind {
		return core.Kind{
			Name: name, Urgency: core.Normal, Idempotent: true, RunTime: run,
			Request:  core.Resources{MilliCPU: cpu, MemoryMB: 64, Slots: 1, Connections: 1},
			Deadline: 24 * time.Hour, GangSize: 1, MaxAttempts: 3, QueueLimit: 1 << 20,
		}
	}
	return core.Document{
		Team: name, Service: "measured", Weight: 1,
		Quota: core.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40, Slots: 1 << 40, Connections: 1 << 40},
		Kinds: []core.Kind{
			kind(kindLong, 100, longRun), kind(kindShort, 100, shortRun), kind(kindLarge, 60_000, longRun),
		},
	}
}

// listedWorkers returns n workers in racks of eight. They are identical except for
// the first, the only one large enough for a job of kind large. One such job keeps
// it full, so that all others queue.
func listedWorkers(n int) []core.ListedWorker {
	var out []core.ListedWorker
	for i := range n {
		out = append(out, core.ListedWorker{
			ID: core.WorkerID(fmt.Sprintf("worker-%04d", i)), Rack: fmt.Sprintf("rack-%03d", i/8),
			Capacity: core.Resources{MilliCPU: 32_000, MemoryMB: 128 << 10, Slots: 320, Connections: 320},
		})
	}
	out[0].Capacity.MilliCPU = 64_000
	return out
}

// runScenario runs a scenario and returns its recording.
func runScenario(s Size, seed uint64) (*recording, error) {
	r := &recording{}
	var recordErr error
	docs := make([]core.Document, s.Teams)
	for i := range docs {
		docs[i] = teamDocument(core.TeamName(fmt.Sprintf("team-%03d", i)))
	}
	c := virtual.New(virtual.Config{
		Seed: seed, Documents: docs, Limits: store.Limits{},
		DataCentres: []virtual.DataCentre{{
			Name: dataCentre, Region: dataCentre, Hosts: []core.HostID{ownerHost}, Workers: listedWorkers(s.Workers),
		}},
		AdjustConfig: func(cfg *core.Config) { r.config = *cfg },
		OnStep: func(_ core.HostID, e core.Event, effects []core.Effect) {
			if err := r.recordStep(e, effects); err != nil && recordErr == nil {
				recordErr = err
			}
		},
	})
	c.RunFor(5 * time.Second)
	r.submitJobs(c, s)
	c.RunFor(10 * time.Second)
	r.counts = c.Counts()
	return r, recordErr
}

// recordStep appends one step to the recording.
func (r *recording) recordStep(e core.Event, effects []core.Effect) error {
	data, err := wire.EncodeStep(e, effects)
	if err != nil {
		return err
	}
	var step wire.RecordedStep
	if err := json.Unmarshal(data, &step); err != nil {
		return err
	}
	r.steps = append(r.steps, recordedStep{step: step, eventType: step.Event.Type})
	return nil
}

// submitJobs submits the jobs of a scenario at a steady rate.
func (r *recording) submitJobs(c *virtual.Cluster, s Size) {
	submit := func(n int, kind core.KindName, run time.Duration) {
		for range n {
			team := core.TeamName(fmt.Sprintf("team-%03d", r.jobs%s.Teams))
			c.Submit(virtual.Job{
				ID: core.JobID(fmt.Sprintf("job-%07d", r.jobs)), Team: team, Kind: kind, Host: ownerHost,
				Program:    worker.Program{RunMS: run.Milliseconds(), Result: "done"},
				SubmitOnly: true, Deadline: 24 * time.Hour,
			})
			r.jobs++
			c.RunFor(time.Second / submitsPerSecond)
		}
	}
	submit(s.Running, kindLong, longRun)
	submit(s.Finished, kindShort, shortRun)
	if s.Queued > 0 {
		submit(s.Queued+1, kindLarge, longRun)
	}
}
