package bench

import (
	"fmt"
	"time"

	"banyanrun.example/banyanrun/core"
)

const (
	packingWarmUpMS    = 120_000
	packingHorizonMS   = 720_000
	packingMeanRunTime = 60 * time.Second
)

// packingTrace returns a trace that keeps jobs of many sizes queued on a small
// cell. CPU is the dominant resource.
func packingTrace(seed uint64) *Trace {
	t := &Trace{Name: "packing", Seed: seed, HorizonMS: packingHorizonMS, Workers: workerGroups(smallWorkers, 0)}
	sizes := []int64{2, 3, 4, 5, 6, 8, 12}
	var kinds []core.Kind
	for _, s := range sizes {
		kinds = append(kinds, newKind(core.KindName(fmt.Sprintf("size-%d", s)), core.Normal,
			taskRequest(s*1000, s*2048, 0), packingMeanRunTime))
	}
	for _, team := range []core.TeamName{"alpha", "beta", "gamma"} {
		t.Documents = append(t.Documents, core.Document{Team: team, Weight: 1, Kinds: kinds})
	}
	rng := newRand(seed, 1)
	capacity := t.totalCapacity().MilliCPU / 1000
	// Twice the work that the cell can complete within the horizon, all of it
	// queued from the start.
	work := 2 * capacity * packingHorizonMS / packingMeanRunTime.Milliseconds()
	for n := 0; work > 0; n++ {
		size := sizes[rng.IntN(len(sizes))]
		work -= size
		t.Jobs = append(t.Jobs, Job{
			ID: core.JobID(fmt.Sprintf("job-%05d", n)), Team: t.Documents[rng.IntN(3)].Team,
			Kind: core.KindName(fmt.Sprintf("size-%d", size)), RunMS: exponentialRunMS(rng, packingMeanRunTime),
		})
	}
	return t
}

// measurePacking returns the mean share of the CPUs that running tasks hold over
// the measured interval. The queue is never empty and CPU is the dominant
// resource, so the upper bound for fractional placement is 1.
func measurePacking(t *Trace) float64 {
	c := NewCell(t, nil)
	c.Run(packingWarmUpMS)
	sum, samples := 0.0, 0
	for c.now < traceTime(packingHorizonMS) {
		c.run(c.now.Add(time.Second))
		sum += float64(c.totalInUse().MilliCPU)
		samples++
	}
	return sum / float64(samples) / float64(t.totalCapacity().MilliCPU)
}

// totalInUse returns the resources that running tasks hold now.
func (c *Cell) totalInUse() core.Resources {
	var sum core.Resources
	for _, w := range c.workers {
		sum = sum.Add(w.inUse)
	}
	return sum
}

// measureBaselinePacking returns the share of the CPUs that a baseline uses.
func measureBaselinePacking(t *Trace, pick placementPolicy) float64 {
	b := runBaseline(t, pick, packingWarmUpMS, packingHorizonMS)
	return float64(b.used.MilliCPU) / float64(t.totalCapacity().MilliCPU) / (packingHorizonMS - packingWarmUpMS)
}

// packingRows compares packing with its bound and with the baselines.
func packingRows(seed uint64) []Row {
	const bound = 0.95
	t := packingTrace(seed)
	share := measurePacking(t)
	firstFitShare, randomFitShare := measureBaselinePacking(t, firstFit), measureBaselinePacking(t, randomFit(newRand(seed, 2)))
	return []Row{
		AtLeast("packing_dominant", share, "share", bound).WithBaseline(firstFitShare),
		AtLeast("packing_to_first_fit", share/firstFitShare, "ratio", 1).WithBaseline(firstFitShare),
		Unbounded("packing_to_random", share/randomFitShare, "ratio").WithBaseline(randomFitShare),
	}
}
