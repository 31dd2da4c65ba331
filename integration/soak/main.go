// Command soak draws pairs of faults at random, lets them meet real entry
// daemons under load, and checks the accounts after each pair. Its findings are
// reproduced with the seed that it prints, and become integration tests.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"banyanrun.example/banyanrun/integration/cluster"
)

// settings are the flags.
type options struct {
	Duration time.Duration `long:"duration" default:"3m" description:"time after which no further round begins"`
	Seed     uint64        `long:"seed" description:"seed of the first round; the time of the start if zero"`
	Rounds   int           `long:"rounds" default:"1000" description:"largest number of rounds"`
}

func main() { os.Exit(run()) }

// run returns the exit code.
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

// play plays one round and reports whether its accounts are right.
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
