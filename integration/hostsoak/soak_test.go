package hostsoak_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"banyanrun.example/banyanrun/integration/cluster"
	"banyanrun.example/banyanrun/integration/hostsoak"
)

// regressions are seeds that have failed, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{104, "a host through which each call for advice failed at once was asked again and again"},
	{210, "the emulator counted ends that were read after their worker's lease had lapsed"},
	{212, "as 210"},
	{216, "the soak expected a host that it had paused to end in time"},
	{409, "a planned stop waited for a moment without a request"},
	{411, "a host whose second port was taken hung"},
	{512, "as 409"},
}

// roundsAtATime bounds the processes that run at a time, so that they do not starve
// each other.
const maxParallelRounds = 2

// Guards against faults that only real processes show: lost jobs, tasks that run
// twice or after they are done, refusals that are not true, workers over their
// capacity, and requests that a planned stop cuts. The faults are shorter than in a
// run by hand.
func TestHostsUnderRandomFaults(t *testing.T) {
	folder := t.TempDir()
	binary, err := cluster.BuildProgram(folder, "banyanrun-host", "-race")
	if err != nil {
		t.Fatal(err)
	}
	// Seed 1 has faults of several kinds, seed 102 planned stops only.
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
