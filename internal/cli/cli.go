// Package cli parses the settings of the programs from command-line flags and
// environment variables.
package cli

import (
	"errors"

	"github.com/jessevdk/go-flags"
)

// Exit codes of all programs.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Parse parses args into settings, a pointer to a struct with go-flags tags. It
// prints help and errors itself. If ok is false, the program must exit with code.
func Parse(settings any, args []string) (code int, ok bool) {
	_, err := flags.NewParser(settings, flags.Default).ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return ExitOK, true
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		return ExitOK, false
	}
	return ExitUsage, false
}
