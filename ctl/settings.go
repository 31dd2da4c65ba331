package ctl

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/jessevdk/go-flags"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/keys"
)

// Limits of the settings.
const (
	minTimeout     = 100 * time.Millisecond
	maxTimeout     = 10 * time.Minute
	minWait        = time.Second
	maxWait        = 24 * time.Hour
	maxAuthorBytes = 64
)

// Settings are the flags that all commands share. Each flag has an environment
// variable.
type Settings struct {
	Entry   []string      `long:"entry" env:"BANYANCTL_ENTRY" env-delim:"," default:"127.0.0.1:7600" value-name:"IP:PORT" description:"entry host; repeatable, the next one is tried if one cannot be reached"`
	Timeout time.Duration `long:"timeout" env:"BANYANCTL_TIMEOUT" default:"10s" value-name:"DURATION" description:"time limit for each request"`
	Cert    string        `long:"cert" env:"BANYANCTL_CERT" value-name:"FILE" description:"certificate to present, in PEM form; without it requests are sent without TLS"`
	Key     string        `long:"key" env:"BANYANCTL_KEY" value-name:"FILE" description:"private key of the certificate, in PEM form"`
	CA      string        `long:"ca" env:"BANYANCTL_CA" value-name:"FILE" description:"certificate authorities that verify entry hosts, in PEM form"`
	JSON    bool          `long:"json" env:"BANYANCTL_JSON" description:"print JSON instead of tables"`
}

// settingError reports a setting whose value is not allowed.
type settingError struct {
	setting string
	value   any
	allowed string
}

func (e *settingError) Error() string {
	return fmt.Sprintf("setting %s: %q is not allowed; allowed: %s", e.setting, fmt.Sprint(e.value), e.allowed)
}

// check returns an error if a setting has a value that is not allowed.
func (s *Settings) check() error {
	for _, entry := range s.Entry {
		if addr, err := netip.ParseAddrPort(entry); err != nil || addr.Port() == 0 {
			return &settingError{"--entry (BANYANCTL_ENTRY)", entry, "an IP address and a port, such as 127.0.0.1:7600"}
		}
	}
	if files := s.files(); files.AnySet() && !files.AllSet() {
		return &settingError{
			"--cert, --key, --ca (BANYANCTL_CERT, BANYANCTL_KEY, BANYANCTL_CA)",
			strings.Join([]string{s.Cert, s.Key, s.CA}, ","), "a file for each, or none",
		}
	}
	return checkDuration("--timeout (BANYANCTL_TIMEOUT)", s.Timeout, minTimeout, maxTimeout)
}

// files returns the paths of the certificate, the key and the authorities.
func (s *Settings) files() keys.Files { return keys.Files{Cert: s.Cert, Key: s.Key, CA: s.CA} }

// keys loads the certificate and its key. It returns nil if none are given.
func (s *Settings) keys() (*keys.Store, error) {
	if !s.files().AnySet() {
		return nil, nil
	}
	store, err := keys.Load(s.files(), "")
	if err != nil {
		return nil, fmt.Errorf("settings --cert, --key and --ca: %w", err)
	}
	return store, nil
}

func checkDuration(setting string, d, low, high time.Duration) error {
	if d < low || d > high {
		return &settingError{setting, d, fmt.Sprintf("%v to %v", low, high)}
	}
	return nil
}

// checkAuthor returns an error if author cannot be sent in a header.
func checkAuthor(author string) error {
	printable := utf8.ValidString(author)
	for _, r := range author {
		printable = printable && r < unicode.MaxASCII && unicode.IsPrint(r)
	}
	if author == "" || len(author) > maxAuthorBytes || !printable {
		return &settingError{"--author (BANYANCTL_AUTHOR)", author, fmt.Sprintf("1 to %d printable ASCII characters", maxAuthorBytes)}
	}
	return nil
}

// checkPathElement returns an error if value cannot be an element of a URL
// path.
func checkPathElement[T ~string](setting string, value T) error {
	if value == "" || value == "." || value == ".." {
		return &settingError{setting, value, `any text but "", "." and ".."`}
	}
	return nil
}

// environment provides the inputs that planning a command may use.
type environment struct {
	Settings
	// readFile reads the named file, or the standard input if the name is "-".
	readFile func(name string) ([]byte, error)
	// newID returns a new unique id.
	newID func() string
}

// planner is a command. It holds the command's flags and plans its first step.
type planner interface{ plan(env *environment) Step }

type validateCommand struct {
	Topology flags.Filename `long:"topology" env:"BANYANCTL_TOPOLOGY" description:"check against the workers of this topology file"`
	Strict   bool           `long:"strict" env:"BANYANCTL_STRICT" description:"refuse a document with warnings"`
	Args     struct {
		File flags.Filename `positional-arg-name:"FILE" description:"document, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

type applyCommand struct {
	Topology flags.Filename `long:"topology" env:"BANYANCTL_TOPOLOGY" description:"check against the workers of this topology file"`
	Author   string         `long:"author" env:"BANYANCTL_AUTHOR" description:"author of the edit; with a certificate, defaults to its common name"`
	Base     *core.Revision `long:"base" env:"BANYANCTL_BASE" description:"revision that the edit started from; 0 creates the document; by default, the one in force"`
	Args     struct {
		File flags.Filename `positional-arg-name:"FILE" description:"document, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

type getCommand struct {
	Args struct {
		Team core.TeamName `positional-arg-name:"TEAM"`
	} `positional-args:"yes" required:"yes"`
}

type historyCommand struct {
	Args struct {
		Team core.TeamName `positional-arg-name:"TEAM"`
	} `positional-args:"yes" required:"yes"`
}

type diffCommand struct {
	Team core.TeamName `long:"team" env:"BANYANCTL_TEAM" description:"compare two revisions of this team instead of a file"`
	From core.Revision `long:"from" env:"BANYANCTL_FROM" description:"older revision, with --team"`
	To   core.Revision `long:"to" env:"BANYANCTL_TO" description:"newer revision, with --team"`
	Args struct {
		File flags.Filename `positional-arg-name:"FILE" description:"document to compare with the one in force"`
	} `positional-args:"yes"`
}

type submitCommand struct {
	File        flags.Filename `long:"file" env:"BANYANCTL_FILE" description:"file of jobs, or - for standard input"`
	Batch       bool           `long:"batch" env:"BANYANCTL_BATCH" description:"send all jobs of the file in one request"`
	Team        core.TeamName  `long:"team" env:"BANYANCTL_TEAM" description:"team of a single job"`
	Kind        core.KindName  `long:"kind" env:"BANYANCTL_KIND" description:"kind of a single job"`
	ID          core.JobID     `long:"id" env:"BANYANCTL_ID" description:"id of a single job; random by default"`
	Payload     string         `long:"payload" env:"BANYANCTL_PAYLOAD" description:"payload of a single job"`
	PayloadFile flags.Filename `long:"payload-file" env:"BANYANCTL_PAYLOAD_FILE" description:"file with the payload, or - for standard input"`
}

// jobsArgs are the arguments of commands that act on several jobs.
type jobsArgs struct {
	IDs []core.JobID `positional-arg-name:"ID" required:"1"`
}

type statusCommand struct {
	Args jobsArgs `positional-args:"yes"`
}

type waitCommand struct {
	Limit time.Duration `long:"limit" env:"BANYANCTL_LIMIT" default:"5m" value-name:"DURATION" description:"maximum time to wait for each job"`
	Args  jobsArgs      `positional-args:"yes"`
}

type cancelCommand struct {
	Args jobsArgs `positional-args:"yes"`
}

type explainCommand struct {
	Args struct {
		ID core.JobID `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

type callCommand struct {
	ID       string         `long:"id" env:"BANYANCTL_ID" description:"request id; random by default"`
	Data     string         `long:"data" env:"BANYANCTL_DATA" description:"body of the request"`
	DataFile flags.Filename `long:"data-file" env:"BANYANCTL_DATA_FILE" description:"file with the body, or - for standard input"`
	Args     struct {
		Team core.TeamName `positional-arg-name:"TEAM"`
		Kind core.KindName `positional-arg-name:"KIND"`
	} `positional-args:"yes" required:"yes"`
}

type hostsCommand struct{}

type workersCommand struct {
	State *stateFlag `long:"state" env:"BANYANCTL_STATE" description:"list only workers in this state"`
}

// stateFlag is a flag for the state of a worker, with shell completion.
type stateFlag struct{ core.WorkerState }

// UnmarshalFlag implements flags.Unmarshaler.
func (s *stateFlag) UnmarshalFlag(value string) error { return s.UnmarshalText([]byte(value)) }

// Complete implements flags.Completer.
func (s *stateFlag) Complete(match string) []flags.Completion {
	var out []flags.Completion
	for _, state := range core.WorkerStates() {
		if name := state.String(); strings.HasPrefix(name, match) {
			out = append(out, flags.Completion{Item: name})
		}
	}
	return out
}

type teamsCommand struct {
	Team core.TeamName `long:"team" env:"BANYANCTL_TEAM" description:"list only this team"`
}
