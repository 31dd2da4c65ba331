// Command soak injects random pairs of faults into clusters of real entry daemons
// under load, and checks each cluster's history against the workers' ledgers. The
// printed seed reproduces a failed round.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"banyanrun.example/banyanrun/integration/cluster"
)

// options are the command-line flags.
type options struct {
	Duration time.Duration `long:"duration" default:"3m" description:"time after which no further round starts"`
	Seed     uint64        `long:"seed" description:"seed of the first round; zero selects the current time"`
	Rounds   int           `long:"rounds" default:"1000" description:"maximum number of rounds"`
}

func main() { os.Exit(run()) }

// run runs the rounds and returns the exit code.
func run() int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		return 2
	}
	folder, err := os.MkdirTemp("", "banyanrun-soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	binary, err := cluster.Build(folder, "-race")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	seed := opts.Seed
	if seed == 0 {
		seed = uint64(time.Now().UnixMilli())
	}
	failed, rounds := 0, 0
	for start := time.Now(); time.Since(start) < opts.Duration && rounds < opts.Rounds; rounds++ {
		if !runSeed(binary, seed+uint64(rounds)) {
			failed++
		}
	}
	fmt.Printf("%d rounds, %d failed\n", rounds, failed)
	if failed > 0 {
		return 1
	}
	return 0
}

// runSeed runs one round and reports whether it passed.
func runSeed(binary string, seed uint64) bool {
	t := cluster.NewReporter(fmt.Sprintf("seed-%d", seed), os.Stdout)
	t.Run(func() { runRound(t, binary, seed) })
	result := "ok"
	if t.Failed() {
		result = "FAILED; repeat with --rounds 1 --seed " + fmt.Sprint(seed)
	}
	fmt.Printf("seed %d: %s\n", seed, result)
	return !t.Failed()
}
