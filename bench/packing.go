package bench

import (
	"fmt"
	"time"

	"banyanrun.example/banyanrun/core"
)

const (
	packingWarmMS    = 120_000
	packingHorizonMS = 720_000
	packingMean      = 60 * time.Second
)

// packingTrace keeps queues of many sizes full on a small cell. Processors are
// the dominant resource.
func packingTrace(seed uint64) *Trace {
	t := &Trace{Name: "packing", Seed: seed, HorizonMS: packingHorizonMS, Workers: racks(smallWorkers, 0)}
	sizes := []int64{2, 3, 4, 5, 6, 8, 12}
	var kinds []core.Kind
	for _, s := range sizes {
		kinds = append(kinds, kind(core.KindName(fmt.Sprintf("size-%d", s)), core.Normal,
			request(s*1000, s*2048, 0), packingMean))
	}
	for _, team := range []core.TeamName{"alpha", "beta", "gamma"} {
		t.Documents = append(t.Documents, core.Document{Team: team, Weight: 1, Kinds: kinds})
	}
	rng := generator(seed, 1)
	capacity := t.total().MilliCPU / 1000
	// Twice what the cell can run within the horizon, all there from the start.
	work := 2 * capacity * packingHorizonMS / packingMean.Milliseconds()
	for n := 0; work > 0; n++ {
		size := sizes[rng.IntN(len(sizes))]
		work -= size
		t.Jobs = append(t.Jobs, Job{
			ID: core.JobID(fmt.Sprintf("job-%05d", n)), Team: t.Documents[rng.IntN(3)].Team,
			Kind: core.KindName(fmt.Sprintf("size-%d", size)), RunMS: runMS(rng, packingMean),
		})
	}
	return t
}

// packingShare is the mean share of the processors that running tasks hold over
// the measured time. With the queue never empty and processors the dominant
// resource, the fractional upper bound is all processors.
func packingShare(t *Trace) float64 {
	c := NewCell(t, nil)
	c.Run(packingWarmMS)
	sum, samples := 0.0, 0
	for c.now < at(packingHorizonMS) {
		c.run(c.now.Add(time.Second))
		sum += float64(c.inUse().MilliCPU)
		samples++
	}
	return sum / float64(samples) / float64(t.total().MilliCPU)
}

// inUse is what running tasks hold now.
func (c *Cell) inUse() core.Resources {
	var sum core.Resources
	for _, w := range c.workers {
		sum = sum.Add(w.inUse)
	}
	return sum
}

// baselineShare is the share of processors that a baseline uses.
func baselineShare(t *Trace, pick picker) float64 {
	b := runBaseline(t, pick, packingWarmMS, packingHorizonMS)
	return float64(b.used.MilliCPU) / float64(t.total().MilliCPU) / (packingHorizonMS - packingWarmMS)
}

// packingRows measures packing against the bound and the baselines.
func packingRows(seed uint64) []Row {
	const bound = 0.95
	t := packingTrace(seed)
	share := packingShare(t)
	first, random := baselineShare(t, firstFit), baselineShare(t, randomFit(generator(seed, 2)))
	return []Row{
		AtLeast("packing_dominant", share, "share", bound).Beside(first),
		AtLeast("packing_to_first_fit", share/first, "ratio", 1).Beside(first),
		Figure("packing_to_random", share/random, "ratio").Beside(random),
	}
}
