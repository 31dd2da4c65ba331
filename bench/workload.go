package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"banyanrun.example/banyanrun/core"
)

// plainWorker and acceleratorWorker are the worker capacities of generated fleets.
var (
	plainWorker       = core.Resources{MilliCPU: 32_000, MemoryMB: 128 << 10, Slots: 8, Connections: 64}
	acceleratorWorker = core.Resources{MilliCPU: 32_000, MemoryMB: 128 << 10, Accelerators: 4, Slots: 8, Connections: 64}
)

// rackSize is the number of workers per rack.
const rackSize = 8

// workerGroups returns n workers in racks; withAccelerators of them have
// accelerators.
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

// taskRequest returns the resource request of a task that uses one slot.
func taskRequest(milliCPU, memoryMB, accelerators int64) core.Resources {
	return core.Resources{MilliCPU: milliCPU, MemoryMB: memoryMB, Accelerators: accelerators, Slots: 1}
}

// allPreemption allows every form of preemption.
var allPreemption = core.PreemptionPolicy{Throttle: true, Checkpoint: true, Stop: true, MaxTimes: 4}

// newKind returns an idempotent kind with a long deadline and several attempts.
func newKind(name core.KindName, u core.Urgency, need core.Resources, run time.Duration) core.Kind {
	return core.Kind{
		Name: name, Urgency: u, Idempotent: true, Request: need, RunTime: run,
		Deadline: 8 * time.Hour, MaxAttempts: 4,
	}
}

// arrivalProcess generates Poisson arrivals of one kind with exponentially
// distributed run times.
type arrivalProcess struct {
	rng    *rand.Rand
	team   core.TeamName
	kind   core.KindName
	prefix string
	// perSecond is the mean arrival rate.
	perSecond   float64
	meanRunTime time.Duration
	fromMS      int64
	untilMS     int64
}

// drawJobs generates the jobs that arrive between fromMS and untilMS.
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

// exponentialRunMS generates an exponentially distributed run time of at least one
// millisecond.
func exponentialRunMS(rng *rand.Rand, mean time.Duration) int64 {
	return 1 + int64(rng.ExpFloat64()*float64(mean.Milliseconds()))
}

// newRand returns a random number generator. The streams of a seed are
// independent, so that adding a load does not change the others.
func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
