// Command standin-2 runs the cases of the second review. It starts the project's host
// processes on loopback addresses against a stand-in of the users' platform: a metadata
// store, workers and callers.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout bounds a whole case.
const caseTimeout = 110 * time.Second

// reviewCase is a sequence of events and a check. With trouble false it leaves out the
// disruption. It returns the violations of the rule.
type reviewCase func(p *platform, trouble bool) ([]string, error)

// cases holds the cases by the name that the scripts give, and two further findings
// that have no folder of their own.
var cases = map[string]reviewCase{
	"owner-killed-twice": ownerKilledTwice,
	"repeated-jobs":      repeatedJobs,
	"lasting-failures":   lastingFailures,
	"lasting-headroom":   lastingHeadroom,
	"pending-refused":    pendingRefused,
	"jobs-behind-gang":   jobsBehindGang,
	"worker-other-kind":  workerOtherKind,
}

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("record", ".", "folder of record.txt")
	program := flag.String("host", "target/banyanrun-host", "the host program")
	flag.Parse()
	os.Exit(run(*name, *folder, *program, os.Getenv("TROUBLE") != "0"))
}

// run runs one case and returns the exit code.
func run(name, folder, program string, trouble bool) int {
	c := cases[name]
	if c == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	rec.printf("case %s, trouble %t", name, trouble)
	p, err := newPlatform(rec, program)
	if err != nil {
		rec.printf("cannot start: %v", err)
		return exitFailed
	}
	defer p.close()
	type result struct {
		violations []string
		err        error
	}
	done := make(chan result, 1)
	go func() {
		violations, err := c(p, trouble)
		done <- result{violations, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-time.After(caseTimeout):
		r.err = errors.New("the case has not ended in time")
	case <-interrupted:
		r.err = errors.New("interrupted")
	}
	return rec.conclude(r.violations, r.err)
}
