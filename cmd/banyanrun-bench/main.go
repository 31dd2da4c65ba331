// Command banyanrun-bench measures the scheduler and compares the results with
// the bounds of the design page. It prints one line per measure and writes the
// same rows as JSON.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"runtime/pprof"

	"banyanrun.example/banyanrun/bench"
	"banyanrun.example/banyanrun/bench/processes"
	"banyanrun.example/banyanrun/internal/cli"
)

// settings are the command's flags.
type settings struct {
	Quick    bool     `long:"quick" env:"BANYANRUN_BENCH_QUICK" description:"run only decision cost, growth, packing and waiting"`
	Seed     uint64   `long:"seed" env:"BANYANRUN_BENCH_SEED" default:"1" description:"seed of the generated traces"`
	Out      string   `long:"out" env:"BANYANRUN_BENCH_OUT" default:"out/bench.json" description:"file for the rows as JSON"`
	Commit   string   `long:"commit" env:"BANYANRUN_BENCH_COMMIT" description:"commit to state in the report; by default that of the build"`
	Only     []string `long:"only" env:"BANYANRUN_BENCH_ONLY" env-delim:"," description:"run only this measure: decision, packing, wait, flood, urgent, store, takeover, document or share; repeatable"`
	Profile  string   `long:"profile" env:"BANYANRUN_BENCH_PROFILE" description:"file for a CPU profile of the run"`
	Traces   string   `long:"traces" env:"BANYANRUN_BENCH_TRACES" description:"write the generated traces of both deployments to this folder and stop"`
	Examples string   `long:"examples" env:"BANYANRUN_BENCH_EXAMPLES" default:"examples" description:"folder of the deployments' documents and topologies, for --traces"`
}

// Exit codes in addition to those of package cli.
const (
	exitBoundMissed = 3
)

func main() { os.Exit(run()) }

func run() int {
	var set settings
	if code, ok := cli.Parse(&set, os.Args[1:]); !ok {
		return code
	}
	err := measure(&set)
	switch {
	case errors.Is(err, errBoundMissed):
		fmt.Fprintln(os.Stderr, err)
		return exitBoundMissed
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return cli.ExitFailed
	}
	return 0
}

// errBoundMissed reports that a measure is outside its bound.
var errBoundMissed = errors.New("at least one measure misses its bound")

// measure runs the measures and writes the report.
func measure(set *settings) error {
	if set.Traces != "" {
		return bench.WriteTraces(set.Examples, set.Traces, set.Seed)
	}
	if set.Profile != "" {
		file, err := os.Create(set.Profile)
		if err != nil {
			return fmt.Errorf("create profile: %w", err)
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			return fmt.Errorf("start profile: %w", err)
		}
		defer pprof.StopCPUProfile()
	}
	measures := append(bench.VirtualMeasures(), processes.Measures()...)
	if set.Quick {
		measures = bench.QuickMeasures()
	}
	measures, err := bench.Select(measures, set.Only)
	if err != nil {
		return err
	}
	report, err := bench.Run(os.Stdout, measures, commitID(set.Commit), set.Seed)
	if err != nil {
		return err
	}
	if err := report.Write(set.Out); err != nil {
		return err
	}
	for _, row := range report.Rows {
		if !row.Met {
			return errBoundMissed
		}
	}
	return nil
}

// commitID returns the given commit, or else the one that the build recorded.
func commitID(given string) string {
	if given != "" {
		return given
	}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value
			}
		}
	}
	return "unknown"
}
