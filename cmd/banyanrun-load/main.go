// Command banyanrun-load runs a trace or a mix of arrival rates against entry
// hosts.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"banyanrun.example/banyanrun/bench"
	"banyanrun.example/banyanrun/internal/cli"
	"banyanrun.example/banyanrun/load"
)

// settings are the command's flags.
type settings struct {
	Trace      string        `long:"trace" env:"BANYANRUN_LOAD_TRACE" description:"trace file"`
	Mix        string        `long:"mix" env:"BANYANRUN_LOAD_MIX" description:"file with a mix of arrival rates by kind, instead of a trace"`
	Hosts      []string      `long:"host" env:"BANYANRUN_LOAD_HOSTS" env-delim:"," default:"127.0.0.1:7600" description:"ip:port of an entry host; repeatable"`
	Admin      string        `long:"ledger" env:"BANYANRUN_LOAD_LEDGER" description:"ip:port of the stand-in's admin API, whose ledger shows lost and doubled work"`
	Speed      float64       `long:"speed" env:"BANYANRUN_LOAD_SPEED" default:"60" description:"divides the arrival and run times of the trace"`
	Prefix     string        `long:"prefix" env:"BANYANRUN_LOAD_PREFIX" description:"prefix of the ids; by default from the start time"`
	Settle     time.Duration `long:"settle" env:"BANYANRUN_LOAD_SETTLE" default:"1m" description:"time to wait for answers after the last arrival"`
	MaxOpen    int           `long:"max-open" env:"BANYANRUN_LOAD_MAX_OPEN" default:"2000" description:"maximum number of requests in progress"`
	Picture    []string      `long:"picture" env:"BANYANRUN_LOAD_PICTURE" env-delim:"," description:"SVG or PNG file for the plot; repeatable"`
	FloodFrom  time.Duration `long:"flood-from" env:"BANYANRUN_LOAD_FLOOD_FROM" description:"start of the flood that the plot shades, from the start of the run"`
	FloodUntil time.Duration `long:"flood-until" env:"BANYANRUN_LOAD_FLOOD_UNTIL" description:"end of the flood that the plot shades, from the start of the run"`
}

func main() { os.Exit(run()) }

func run() int {
	var set settings
	if code, ok := cli.Parse(&set, os.Args[1:]); !ok {
		return code
	}
	if err := runLoad(&set); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// runLoad executes the run, prints its report and writes the plots.
func runLoad(set *settings) error {
	name, arrivals, err := readArrivals(set)
	if err != nil {
		return err
	}
	if set.Prefix == "" {
		set.Prefix = fmt.Sprintf("load-%x-", time.Now().UnixNano())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := load.Run(ctx, load.Config{
		Arrivals: arrivals, Hosts: set.Hosts, Admin: set.Admin, Prefix: set.Prefix,
		Settle: set.Settle, MaxOpen: set.MaxOpen, Progress: printProgress,
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr)
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	for _, path := range set.Picture {
		if err := report.Draw(path, name, set.FloodFrom, set.FloodUntil); err != nil {
			return err
		}
	}
	return nil
}

// readArrivals reads the trace or the mix and returns its name and arrivals.
func readArrivals(set *settings) (name string, list []load.Arrival, err error) {
	switch {
	case (set.Trace == "") == (set.Mix == ""):
		return "", nil, errors.New("exactly one of --trace and --mix is required")
	case set.Trace != "":
		trace, err := bench.Load(set.Trace)
		if err != nil {
			return "", nil, err
		}
		list, err = load.FromTrace(trace, set.Speed)
		return trace.Name, list, err
	}
	mix, err := load.ReadMix(set.Mix)
	if err != nil {
		return "", nil, err
	}
	return mix.Name, mix.Arrivals(), nil
}

// printProgress overwrites the progress line.
func printProgress(l load.Snapshot) {
	fmt.Fprintf(os.Stderr, "\r%6.0fs due %d accepted %d completed %d failed %d not_run %d may_have_run %d open %d p50 %s p99 %s ",
		l.At.Seconds(), l.Due, l.Accepted, l.Completed, l.Failed, l.NotRun, l.MayHaveRun, l.InFlight,
		l.P50.Round(time.Millisecond), l.P99.Round(time.Millisecond))
}
