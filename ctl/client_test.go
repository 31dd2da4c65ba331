package ctl

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"

	"banyanrun.example/banyanrun/internal/testaddr"
)

// TestFailoverToSecondEntryHost guards against sending a request twice although
// the first host may have executed it, and against giving up although the first
// host cannot have received it.
func TestFailoverToSecondEntryHost(t *testing.T) {
	dropped := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer dropped.Close()
	requests := 0
	serving := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests++
		w.Write([]byte("a"))
	}))
	defer serving.Close()
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	cases := []struct {
		name  string
		first string
		req   Request
		want  int
	}{
		{"a request that was not sent goes to the second host", testaddr.Refusing(t), Request{Method: "POST", Path: "/"}, 1},
		{"a request that may have run goes to no other host", address(dropped), Request{Method: "POST", Path: "/"}, 0},
		{"a read that may have run goes to the second host", address(dropped), Request{Method: "GET", Path: "/", ReadOnly: true}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			requests = 0
			c := NewClient([]string{tc.first, address(serving)}, 10*time.Second)
			resp := c.send(context.Background(), &tc.req)
			if requests != tc.want || (resp.Failure == nil) != (tc.want == 1) {
				t.Errorf("second host got %d requests, want %d; %+v", requests, tc.want, resp.Failure)
			}
		})
	}
}

// TestUnreachableHostExitCode guards against reporting "may have run" for a
// request that was never sent.
func TestUnreachableHostExitCode(t *testing.T) {
	for _, command := range []string{"hosts", "call a b", "cancel x", "submit --team a --kind b"} {
		var stdout, stderr bytes.Buffer
		args := append([]string{"--entry", testaddr.Refusing(t)}, strings.Fields(command)...)
		if exit := Main(context.Background(), args, nil, &stdout, &stderr); exit != ExitUnreachable {
			t.Errorf("%s: exit code %d, want %d; %s", command, exit, ExitUnreachable, stderr.String())
		}
	}
}

// TestCommandRequestLimit guards against a command that never ends.
func TestCommandRequestLimit(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	sent := 0
	var again func(*Response) Step
	again = func(*Response) Step {
		sent++
		return Step{Send: &Request{Method: "GET", Path: "/"}, Then: again}
	}
	c := NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, time.Minute)
	if r := Run(context.Background(), c, again(nil)); r.Exit != ExitUnfinished || sent != maxCommandRequests+1 {
		t.Errorf("exit code %d after %d steps", r.Exit, sent)
	}
}

// TestEveryFlagHasAnEnvironmentVariable guards against a setting that can only
// be given on the command line.
func TestEveryFlagHasAnEnvironmentVariable(t *testing.T) {
	data := map[string]any{"settings": &Settings{}}
	for _, c := range commands() {
		data[c.name] = c.planner
	}
	count := 0
	for name, d := range data {
		p := flags.NewParser(d, flags.None)
		for _, group := range p.Groups() {
			for _, o := range group.Options() {
				count++
				want := "BANYANCTL_" + strings.ToUpper(strings.ReplaceAll(o.LongName, "-", "_"))
				if o.EnvDefaultKey != want || o.Description == "" {
					t.Errorf("%s --%s has variable %q, want %q, and description %q", name, o.LongName, o.EnvDefaultKey, want, o.Description)
				}
			}
		}
	}
	if count < 20 {
		t.Errorf("only %d flags were found", count)
	}
}

// TestEnvironmentVariablesAreRead guards against a variable that the help text
// lists but that is not read.
func TestEnvironmentVariablesAreRead(t *testing.T) {
	t.Setenv("BANYANCTL_ENTRY", "127.0.0.1:1,nowhere")
	var stdout, stderr bytes.Buffer
	exit := Main(context.Background(), []string{"hosts"}, nil, &stdout, &stderr)
	const want = "setting --entry (BANYANCTL_ENTRY): \"nowhere\" is not allowed; allowed: an IP address and a port, such as 127.0.0.1:7600\n"
	if exit != ExitUsage || stderr.String() != want {
		t.Errorf("exit code %d, %q", exit, stderr.String())
	}
}

// TestHelp guards against reporting a request for help as an error.
func TestHelp(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if exit := Main(context.Background(), []string{"--help"}, nil, &stdout, &stderr); exit != ExitOK || stderr.Len() > 0 {
		t.Errorf("exit code %d, %s", exit, stderr.String())
	}
	for _, c := range commands() {
		if !strings.Contains(stdout.String(), "\n  "+c.name+" ") {
			t.Errorf("command %s is not in the help text", c.name)
		}
	}
}

// TestStateCompletion guards against offering completions that the flag
// rejects.
func TestStateCompletion(t *testing.T) {
	var s stateFlag
	items := s.Complete("s")
	for _, c := range items {
		if err := s.UnmarshalFlag(c.Item); err != nil {
			t.Error(err)
		}
	}
	if len(items) != 2 {
		t.Errorf("got %v, want silent and suspended", items)
	}
}
