// Package ctl implements the commands of banyanctl, the command line tool for
// operators and callers.
//
// A command is a chain of steps. Each step is data: either a request to send
// and the function that decides the next step from its response, or the result
// to print. Only Run sends requests, so every decision can be tested without a
// network.
package ctl

import (
	"net/http"
	"net/url"
)

// ExitCode is the exit status of the program.
type ExitCode int

// The exit codes. Scripts depend on them; docs/banyanctl.md lists them.
const (
	// ExitOK means that the request succeeded.
	ExitOK ExitCode = 0
	// ExitNotRun means that the request was refused and has not run.
	ExitNotRun ExitCode = 1
	// ExitUsage means that the command line, a setting or a file is invalid, or
	// that the output could not be written.
	ExitUsage ExitCode = 2
	// ExitMayHaveRun means that the request may have taken effect.
	ExitMayHaveRun ExitCode = 3
	// ExitConflict means that another edit of the document came first.
	ExitConflict ExitCode = 4
	// ExitUnreachable means that no entry host returned a usable response and
	// that the request took no effect.
	ExitUnreachable ExitCode = 5
	// ExitFailed means that the job or request ran and failed.
	ExitFailed ExitCode = 6
	// ExitUnfinished means that the job had not ended when the wait did, or
	// that the command was stopped early.
	ExitUnfinished ExitCode = 7
)

// severity orders exit codes. A command that acts on several jobs returns the
// most severe one.
var severity = map[ExitCode]int{
	ExitOK: 0, ExitUnfinished: 1, ExitFailed: 2, ExitNotRun: 3,
	ExitConflict: 4, ExitUsage: 5, ExitUnreachable: 6, ExitMayHaveRun: 7,
}

// worseExit returns the more severe of two exit codes.
func worseExit(a, b ExitCode) ExitCode {
	if severity[b] > severity[a] {
		return b
	}
	return a
}

// Request is one request to an entry host.
type Request struct {
	Method string
	// Path is escaped.
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
	// ReadOnly is set if the request has no effect, so that it can be repeated
	// and a lost response leaves no doubt.
	ReadOnly bool
}

// Response is the outcome of a request. Failure is set if there is no complete
// response; the other fields are then empty.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Failure *Failure
}

// Failure tells why a request has no complete response.
type Failure struct {
	// Sent is set if any part of the request may have reached a host.
	Sent    bool
	Message string
}

func (f *Failure) Error() string { return f.Message }

// Step is one step of a command. If Send is set, Then decides the next step;
// otherwise Result ends the command.
type Step struct {
	Send   *Request
	Then   func(*Response) Step
	Result Result
}

// Result is the output and the exit code of a command.
type Result struct {
	Stdout string
	Stderr string
	Exit   ExitCode
}

// finalStep returns the last step of a command.
func finalStep(r Result) Step { return Step{Result: r} }

// usageStep returns the last step of a command with invalid arguments, settings
// or input files.
func usageStep(err error) Step {
	return finalStep(Result{Stderr: err.Error() + "\n", Exit: ExitUsage})
}
