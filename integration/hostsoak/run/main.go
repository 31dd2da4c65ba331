// Command run runs rounds of the banyanrun-host soak with new or given seeds. It
// keeps the logs of failed rounds.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"banyanrun.example/banyanrun/integration/cluster"
	"banyanrun.example/banyanrun/integration/hostsoak"
)

// options are the command-line flags.
type options struct {
	Seed          uint64        `long:"seed" description:"seed of the first round; zero selects the current time"`
	Rounds        int           `long:"rounds" default:"10" description:"number of rounds"`
	Hosts         int           `long:"hosts" default:"4" description:"number of host processes"`
	Workers       int           `long:"workers" default:"8" description:"number of emulated workers"`
	FaultDuration time.Duration `long:"faulty" default:"15s" description:"time for which faults are injected in each round"`
	Out           string        `long:"out" default:"out/hostsoak" description:"folder for the logs of failed rounds"`
	Race          bool          `long:"race" description:"build the hosts with the race detector"`
}

func main() { os.Exit(run()) }

// run runs the rounds and returns the exit code.
func run() int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		return 2
	}
	folder, err := os.MkdirTemp("", "banyanrun-hostsoak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	var buildFlags []string
	if opts.Race {
		buildFlags = append(buildFlags, "-race")
	}
	binary, err := cluster.BuildProgram(folder, "banyanrun-host", buildFlags...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	seed := opts.Seed
	if seed == 0 {
		seed = uint64(time.Now().UnixMilli())
	}
	failed := 0
	for i := range opts.Rounds {
		cfg := hostsoak.Config{Binary: binary, Folder: opts.Out, Hosts: opts.Hosts, Workers: opts.Workers, FaultDuration: opts.FaultDuration, CheckMemory: !opts.Race}
		if !runSeed(cfg, seed+uint64(i)) {
			failed++
		}
	}
	fmt.Printf("%d rounds, %d failed\n", opts.Rounds, failed)
	if failed > 0 {
		return 1
	}
	return 0
}

// runSeed runs one round and reports whether it passed.
func runSeed(cfg hostsoak.Config, seed uint64) bool {
	fmt.Printf("seed %d\n", seed)
	violations, err := hostsoak.RunRound(cfg, seed, os.Stdout)
	if err != nil {
		fmt.Println("  round could not run:", err)
		return false
	}
	for _, violation := range violations {
		fmt.Println("  VIOLATION:", violation)
	}
	if len(violations) > 0 {
		fmt.Printf("  repeat with --rounds 1 --seed %d; logs in %s\n", seed, cfg.Folder)
		return false
	}
	if err := os.RemoveAll(filepath.Join(cfg.Folder, fmt.Sprintf("seed-%d", seed))); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return true
}
