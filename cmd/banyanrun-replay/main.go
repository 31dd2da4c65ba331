// Command banyanrun-replay replays a recording made with banyanrun-entry
// --record and reports the first step whose effects differ.
package main

import (
	"fmt"
	"os"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/internal/cli"
	"banyanrun.example/banyanrun/replay"
)

// settings are the command's flags.
type settings struct {
	Until int    `long:"until" env:"BANYANRUN_REPLAY_UNTIL" description:"number of steps to replay; 0 replays all"`
	Job   string `long:"job" env:"BANYANRUN_REPLAY_JOB" description:"print the outcome of this job only"`
	Args  struct {
		Recording string `positional-arg-name:"recording" description:"file written by banyanrun-entry --record"`
	} `positional-args:"yes" required:"yes"`
}

// Exit codes in addition to those of package cli.
const (
	exitDifferent = 3
)

func main() { os.Exit(run()) }

func run() int {
	var set settings
	if code, ok := cli.Parse(&set, os.Args[1:]); !ok {
		return code
	}
	if set.Until < 0 {
		fmt.Fprintf(os.Stderr, "setting until is %d; allowed: 0 or more\n", set.Until)
		return cli.ExitUsage
	}
	file, err := os.Open(set.Args.Recording)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cli.ExitFailed
	}
	defer file.Close()
	result, err := replay.Run(file, replay.Options{Until: set.Until, Job: core.JobID(set.Job)})
	if result != nil {
		printResult(result)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return cli.ExitFailed
	case result.Difference != nil:
		return exitDifferent
	}
	return 0
}

// printResult prints the outcomes, the first difference and a summary line.
func printResult(r *replay.Result) {
	for _, o := range r.Outcomes {
		fmt.Printf("job=%s state=%s reason=%s step=%d\n", o.Job, o.State, o.Reason, o.Step)
	}
	if d := r.Difference; d != nil {
		fmt.Printf("difference step=%d at=%d event=%s\nrecorded %s\nreplayed %s\n",
			d.Step, d.At, d.Event, d.Recorded, d.Replayed)
	}
	fmt.Printf("host=%s incarnation=%d steps=%d torn=%t equal=%t\n",
		r.HostID, r.Incarnation, r.Steps, r.Torn, r.Difference == nil)
}
