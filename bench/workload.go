package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"banyanrun.example/banyanrun/core"
)

// plainWorker and acceleratorWorker are the workers of generated fleets.
var (
	plainWorker       = core.Resources{MilliCPU: 32_000, MemoryMB: 128 << 10, Slots: 8, Connections: 64}
	acceleratorWorker = core.Resources{MilliCPU: 32_000, MemoryMB: 128 << 10, Accelerators: 4, Slots: 8, Connections: 64}
)

// rackSize is the number of workers in a rack.
const rackSize = 8

// racks returns n workers, of which some have accelerators.
func workerGroups(n, withAccelerators int) []WorkerGroup {
	var out []WorkerGroup
	add := func(prefix string, n int, capacity core.Resources) {
		for i := 0; n > 0; i++ {
			out = append(out, WorkerGroup{Rack: fmt.Sprintf("%s-%d", prefix, i), Count: min(n, rackSize), Capacity: capacity})
			n -= rackSize
		}
	}
	add("plain", n-withAccelerators, plainWorker)
	add("accelerated", withAccelerators, acceleratorWorker)
	return out
}

// request is a task of some processors and memory on one slot.
func taskRequest(milliCPU, memoryMB, accelerators int64) core.Resources {
	return core.Resources{MilliCPU: milliCPU, MemoryMB: memoryMB, Accelerators: accelerators, Slots: 1}
}

// preemptible is the policy of work that may give way.
var allPreemption = core.PreemptionPolicy{Throttle: true, Checkpoint: true, Stop: true, MaxTimes: 4}

// kind returns a kind with generous limits.
func newKind(name core.KindName, u core.Urgency, need core.Resources, run time.Duration) core.Kind {
	return core.Kind{
		Name: name, Urgency: u, Idempotent: true, Request: need, RunTime: run,
		Deadline: 8 * time.Hour, MaxAttempts: 4,
	}
}

// arrivals draws Poisson arrivals of one kind with exponential run times.
type arrivalProcess struct {
	rng    *rand.Rand
	team   core.TeamName
	kind   core.KindName
	prefix string
	// perSecond is the rate, and mean the mean of the run time.
	perSecond   float64
	meanRunTime time.Duration
	fromMS      int64
	untilMS     int64
}

// draw returns the jobs.
func (a arrivalProcess) drawJobs() []Job {
	var out []Job
	t := float64(a.fromMS)
	for n := 0; ; n++ {
		t += a.rng.ExpFloat64() * 1000 / a.perSecond
		if int64(t) >= a.untilMS {
			return out
		}
		out = append(out, Job{
			ID: core.JobID(fmt.Sprintf("%s%s-%s-%d", a.prefix, a.team, a.kind, n)), AtMS: int64(t),
			Team: a.team, Kind: a.kind, RunMS: exponentialRunMS(a.rng, a.meanRunTime),
		})
	}
}

// runMS draws an exponential run time of at least one millisecond.
func exponentialRunMS(rng *rand.Rand, mean time.Duration) int64 {
	return 1 + int64(rng.ExpFloat64()*float64(mean.Milliseconds()))
}

// generator returns a source of draws. Streams of one seed are independent, so
// that one load stays the same when another is added.
func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
