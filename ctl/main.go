package ctl

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// maxInputBytes bounds a file or the standard input.
const maxInputBytes = 16 << 20

// commands returns the commands in the order of the help text.
func commands() []struct {
	name, short string
	planner     planner
} {
	return []struct {
		name, short string
		planner     planner
	}{
		{"validate", "check a document without an entry host", &validateCommand{}},
		{"apply", "put a document in force", &applyCommand{}},
		{"get", "print the document in force", &getCommand{}},
		{"history", "list the latest versions of a document", &historyCommand{}},
		{"diff", "compare a document with the one in force, or two revisions", &diffCommand{}},
		{"submit", "submit jobs", &submitCommand{}},
		{"status", "print the status of jobs", &statusCommand{}},
		{"wait", "wait until jobs have ended", &waitCommand{}},
		{"cancel", "cancel jobs", &cancelCommand{}},
		{"explain", "explain why a job is waiting or where it was placed", &explainCommand{}},
		{"trace", "print the log lines about a job from hosts on the platform", &traceCommand{}},
		{"call", "send an interactive request", &callCommand{}},
		{"hosts", "list the entry hosts", &hostsCommand{}},
		{"workers", "list the workers", &workersCommand{}},
		{"teams", "list the teams", &teamsCommand{}},
	}
}

// Main runs a command line and returns its exit code.
func Main(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) ExitCode {
	env := &environment{
		readFile: func(name string) ([]byte, error) { return readInput(name, stdin) },
		newID:    rand.Text,
	}
	step, help := parse(args, env)
	if help != "" {
		fmt.Fprint(stdout, help)
		return ExitOK
	}
	result := perform(ctx, env, step)
	_, outErr := io.WriteString(stdout, result.Stdout)
	_, errErr := io.WriteString(stderr, result.Stderr)
	if err := errors.Join(outErr, errErr); err != nil && result.Exit == ExitOK {
		return ExitUsage // the output is incomplete
	}
	return result.Exit
}

// perform executes the steps of a command. The certificate is loaded only if
// the command sends a request.
func perform(ctx context.Context, env *environment, step Step) Result {
	if step.Send == nil {
		return step.Result
	}
	store, err := env.keys()
	if err != nil {
		return usageStep(err).Result
	}
	return Run(ctx, NewSecureClient(env.Entry, env.Timeout, store), step)
}

// parse parses the command line and returns the first step of the command, or
// the help text if it was requested. With GO_FLAGS_COMPLETION set, go-flags
// prints completions and exits.
func parse(args []string, env *environment) (step Step, help string) {
	parser := flags.NewNamedParser("banyanctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", &env.Settings); err != nil {
		return usageStep(err), ""
	}
	planners := map[string]planner{}
	for _, c := range commands() {
		if _, err := parser.AddCommand(c.name, c.short, "", c.planner); err != nil {
			return usageStep(err), ""
		}
		planners[c.name] = c.planner
	}
	rest, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		return Step{}, flagErr.Message + "\n"
	}
	if err != nil {
		return usageStep(err), ""
	}
	if len(rest) > 0 {
		return usageStep(fmt.Errorf("unexpected argument %q", rest[0])), ""
	}
	if err := env.check(); err != nil {
		return usageStep(err), ""
	}
	return planners[parser.Active.Name].plan(env), ""
}

// readInput reads the named file, or stdin if the name is "-".
func readInput(name string, stdin io.Reader) ([]byte, error) {
	in := stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		in = file
	}
	text, err := io.ReadAll(io.LimitReader(in, maxInputBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	if len(text) > maxInputBytes {
		return nil, fmt.Errorf("%s has more than %d bytes", name, maxInputBytes)
	}
	return text, nil
}
