package hostsoak_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"banyanrun.example/banyanrun/integration/cluster"
	"banyanrun.example/banyanrun/integration/hostsoak"
)

// regressions are seeds that found a fault, with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{104, "advice calls were retried repeatedly through a host at which each of them failed immediately"},
	{210, "the emulator counted task ends that were read after the worker's lease had expired"},
	{212, "same as 210"},
	{216, "the soak expected a host that it had paused to exit in time"},
	{409, "a planned stop waited for a moment without any request"},
	{411, "a host hung when its second port was in use"},
	{512, "same as 409"},
}

// maxParallelRounds limits the number of concurrent processes, so that they do not
// starve each other.
const maxParallelRounds = 2

// Guards against failures that only occur with real processes: lost jobs, tasks
// that run twice or after they have completed, false refusals, workers assigned
// more than their capacity, and requests that a planned stop interrupts. Faults are
// injected for a shorter time than by default in the soak program.
func TestHostsUnderRandomFaults(t *testing.T) {
	folder := t.TempDir()
	binary, err := cluster.BuildProgram(folder, "banyanrun-host", "-race")
	if err != nil {
		t.Fatal(err)
	}
	// Seed 1 injects faults of several kinds, seed 102 planned stops only.
	seeds := []uint64{1, 102}
	for _, r := range regressions {
		seeds = append(seeds, r.seed)
	}
	slots := make(chan struct{}, maxParallelRounds)
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			cfg := hostsoak.Config{Binary: binary, Folder: t.TempDir(), Hosts: 3, Workers: 4, FaultDuration: 8 * time.Second}
			violations, err := hostsoak.RunRound(cfg, seed, os.Stdout)
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range violations {
				t.Error(violation)
			}
		})
	}
}
