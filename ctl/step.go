// Package ctl holds the commands of banyanctl, the command line of operators and
// callers.
//
// A command is a chain of steps. Each step is data: either a request to send,
// with the function that decides the next step from its response, or the result
// to print. Run is the only place that performs the requests, so that every
// decision can be tested without a network.
package ctl

import (
	"net/http"
	"net/url"
)

// ExitCode is the exit status of the program.
type ExitCode int

// The exit codes. Scripts depend on them; docs/banyanctl.md lists them.
const (
	// ExitOK means that the request was carried out.
	ExitOK ExitCode = 0
	// ExitNotRun means that the request was refused and has not run.
	ExitNotRun ExitCode = 1
	// ExitUsage means that the command line, a setting or a file is wrong.
	ExitUsage ExitCode = 2
	// ExitMayHaveRun means that the request may have taken effect.
	ExitMayHaveRun ExitCode = 3
	// ExitConflict means that another edit of the document came first.
	ExitConflict ExitCode = 4
	// ExitUnreachable means that no entry host gave a usable answer and that
	// the request took no effect.
	ExitUnreachable ExitCode = 5
	// ExitFailed means that the job or request has run and failed.
	ExitFailed ExitCode = 6
	// ExitUnfinished means that the wait ended before the job did.
	ExitUnfinished ExitCode = 7
)

// severity orders exit codes for commands that act on several jobs: the code
// that needs the most attention is returned.
var severity = map[ExitCode]int{
	ExitOK: 0, ExitUnfinished: 1, ExitFailed: 2, ExitNotRun: 3,
	ExitConflict: 4, ExitUsage: 5, ExitUnreachable: 6, ExitMayHaveRun: 7,
}

// worse returns the code that needs more attention.
func worseExit(a, b ExitCode) ExitCode {
	if severity[b] > severity[a] {
		return b
	}
	return a
}

// Request is one request to an entry host.
type Request struct {
	Method string
	// Path is in its escaped form.
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
	// ReadOnly is set if the request has no effect, so that a lost answer
	// leaves nothing in doubt.
	ReadOnly bool
}

// Response is the outcome of a request. Failure is set if there is no complete
// answer; the other fields are then empty.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Failure *Failure
}

// Failure says why a request has no complete answer.
type Failure struct {
	// Sent is set if any part of the request may have reached a host.
	Sent    bool
	Message string
}

// Error implements error.
func (f *Failure) Error() string { return f.Message }

// Step is one step of a command. If Send is set, Then decides the next step;
// otherwise Result ends the command.
type Step struct {
	Send   *Request
	Then   func(*Response) Step
	Result Result
}

// Result is what a command prints and returns.
type Result struct {
	Stdout string
	Stderr string
	Exit   ExitCode
}

// finish returns the last step of a command.
func finalStep(r Result) Step { return Step{Result: r} }

// usage returns the last step of a command that was used wrongly.
func usageStep(err error) Step {
	return finalStep(Result{Stderr: err.Error() + "\n", Exit: ExitUsage})
}
