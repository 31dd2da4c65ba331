// Command banyanrun-capacity measures the slopes from which docs/CAPACITY.md is
// calculated.
package main

import (
	"fmt"
	"os"

	"banyanrun.example/banyanrun/capacity"
	"banyanrun.example/banyanrun/internal/cli"
)

// settings are the command's flags.
type settings struct {
	Seed uint64 `long:"seed" env:"BANYANRUN_CAPACITY_SEED" default:"1" description:"seed of the scenarios"`
}

// series is a scenario in which one size varies.
type series struct {
	name    string
	base    capacity.Size
	sizes   []int
	setSize func(*capacity.Size, int)
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var set settings
	if code, ok := cli.Parse(&set, args); !ok {
		return code
	}
	for _, s := range allSeries() {
		if err := measure(s, set.Seed); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	for _, m := range capacity.MessageSizes() {
		fmt.Printf("message=%s bytes=%d\n", m.Name, m.Bytes)
	}
	return 0
}

// allSeries returns the series to measure.
func allSeries() []series {
	return []series{
		{"worker", capacity.Size{Teams: 4}, []int{80, 160, 320, 640}, func(s *capacity.Size, n int) { s.Workers = n }},
		{"running_task", capacity.Size{Teams: 4, Workers: 40}, []int{600, 1200, 2400}, func(s *capacity.Size, n int) { s.Running = n }},
		{"queued_job", capacity.Size{Teams: 4, Workers: 8}, []int{600, 1200, 2400}, func(s *capacity.Size, n int) { s.Queued = n }},
		{"finished_job", capacity.Size{Teams: 4, Workers: 40}, []int{600, 1200, 2400}, func(s *capacity.Size, n int) { s.Finished = n }},
		{"team", capacity.Size{Workers: 8}, []int{30, 60, 120}, func(s *capacity.Size, n int) { s.Teams = n }},
	}
}

// measure measures one series and prints its samples and slopes.
func measure(s series, seed uint64) error {
	var x, bytes []float64
	means := map[string][]float64{}
	for _, n := range s.sizes {
		size := s.base
		s.setSize(&size, n)
		sample, err := capacity.Measure(size, seed)
		if err != nil {
			return fmt.Errorf("%s %d: %w", s.name, n, err)
		}
		x, bytes = append(x, float64(n)), append(bytes, float64(sample.HeapBytes))
		fmt.Printf("series=%s size=%d bytes=%d jobs=%d store_writes=%d\n", s.name, n, sample.HeapBytes, sample.Jobs, sample.StoreWrites)
		for _, c := range sample.Costs {
			means[c.Event] = append(means[c.Event], float64(c.Mean.Nanoseconds()))
			fmt.Printf("series=%s size=%d event=%s count=%d mean_us=%.2f p99_us=%.2f\n", s.name, n, c.Event,
				c.Count, float64(c.Mean.Nanoseconds())/1e3, float64(c.P99.Nanoseconds())/1e3)
		}
	}
	slope, intercept := capacity.FitLine(x, bytes)
	fmt.Printf("slope=%s bytes_per_unit=%.0f fixed_bytes=%.0f\n", s.name, slope, intercept)
	for _, event := range []string{"Tick", "WorkerSynced", "Submitted", "StartAnswered", "StoreAnswered"} {
		if len(means[event]) == len(x) {
			slope, intercept := capacity.FitLine(x, means[event])
			fmt.Printf("slope=%s event=%s ns_per_unit=%.2f fixed_ns=%.0f\n", s.name, event, slope, intercept)
		}
	}
	return nil
}
