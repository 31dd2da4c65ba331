// Package capacity measures what the control state of an owner costs: bytes of
// memory, processor time per event, and sizes of messages, each at several sizes,
// so that slopes can be extrapolated to the target.
//
// A scenario runs in virtual time and records the owner's events. The recording
// is then replayed into a fresh reducer, whose memory and step times are those of
// the control state alone.
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

// Size is the size of one scenario in a data centre with one entry host.
type Size struct {
	Workers int
	// Running tasks last beyond the end of the scenario.
	Running int
	// Queued jobs wait because no worker has room.
	Queued int
	// Finished jobs have ended and are still remembered.
	Finished int
	Teams    int
}

// Names and figures of the scenarios.
const (
	dataCentre = "dc-a"
	ownerHost  = "host-1"

	kindLong  = "long"
	kindShort = "short"
	kindLarge = "large"

	longRun  = time.Hour
	shortRun = 200 * time.Millisecond
	// submitsPerSecond is the rate of arrivals while a scenario fills up.
	submitsPerSecond = 200
	// payloadBytes is the payload of each job.
	payloadBytes = 256
)

// recorded is one step of the owner in its stored form.
type recordedStep struct {
	step      wire.RecordedStep
	eventType string
}

// run is what a scenario left behind.
type recording struct {
	config core.Config
	steps  []recordedStep
	counts virtual.Counts
	jobs   int
}

// document declares the kinds of one team.
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

// workers lists n equal workers in racks of eight. One worker of another size
// makes jobs of kind large acceptable; it is kept full.
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

// play runs a scenario.
func runScenario(s Size, seed uint64) (*recording, error) {
	r := &recording{}
	var recordErr error
	docs := make([]core.Document, s.Teams)
	for i := range docs {
		docs[i] = teamDocument(core.TeamName(fmt.Sprintf("team-%03d", i)))
	}
	c := virtual.New(virtual.Config{
		Seed: seed, Documents: docs, Limits: store.Limits{},
		Cells: []virtual.Cell{{
			DataCentre: dataCentre, Region: dataCentre, Hosts: []core.HostID{ownerHost}, Workers: listedWorkers(s.Workers),
		}},
		Tune: func(cfg *core.Config) { r.config = *cfg },
		Watch: func(_ core.HostID, e core.Event, effects []core.Effect) {
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

// record keeps one step.
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

// fill submits the jobs of a scenario at a steady rate.
func (r *recording) submitJobs(c *virtual.Cluster, s Size) {
	submit := func(n int, kind core.KindName, run time.Duration) {
		for range n {
			team := core.TeamName(fmt.Sprintf("team-%03d", r.jobs%s.Teams))
			c.Submit(virtual.Job{
				ID: core.JobID(fmt.Sprintf("job-%07d", r.jobs)), Team: team, Kind: kind, Host: ownerHost,
				Program:    worker.Program{RunMS: run.Milliseconds(), Result: "done"},
				Unfollowed: true, Deadline: 24 * time.Hour,
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
