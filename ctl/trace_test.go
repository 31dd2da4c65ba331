package ctl

import (
	"strings"
	"testing"
)

const traceLog = `12.0 h1 {"time":"2026-01-01T00:00:02.250Z","host":"h1","event":"start","outcome":"ordered","task":"00000000000000aa.0.0.0","worker":"w1","run":1,"waited_ms":40}
{"time":"2026-01-01T00:00:02.100Z","host":"h1","event":"submit","outcome":"accepted","job":"00000000000000aa","generation":3}
{"time":"2026-01-01T00:00:03.000Z","host":"h2","event":"owner","outcome":"claimed","generation":4}
{"time":"2026-01-01T00:00:59.000Z","host":"h2","event":"owner","outcome":"claimed","generation":5}
{"time":"2026-01-01T00:00:02.300Z","host":"h1","event":"start","outcome":"ordered","task":"00000000000000ab.0.0.0","worker":"w1","run":1}
{broken
`

// TestTraceOrdersJobLines guards against a trace that is out of order, hides
// missing steps, or shows lines of other jobs or from other times.
func TestTraceOrdersJobLines(t *testing.T) {
	got := Trace("00000000000000aa", []byte(traceLog))
	if got.Exit != ExitOK {
		t.Fatalf("exit %d: %s", got.Exit, got.Stderr)
	}
	accepted, started, claimed := strings.Index(got.Stdout, "accepted"), strings.Index(got.Stdout, "ordered"), strings.Index(got.Stdout, "claimed")
	if accepted < 0 || started < accepted || claimed < started {
		t.Errorf("lines are not in order of time:\n%s", got.Stdout)
	}
	for text, want := range map[string]int{"claimed": 1, "ordered": 1, "has no end": 1, "no final state": 1} {
		if n := strings.Count(got.Stdout, text); n != want {
			t.Errorf("%q occurs %d times, want %d:\n%s", text, n, want, got.Stdout)
		}
	}
}

// TestTraceOfUnknownJob guards against an empty trace that looks like a
// success.
func TestTraceOfUnknownJob(t *testing.T) {
	if got := Trace("00000000000000ff", []byte(traceLog)); got.Exit == ExitOK || !strings.Contains(got.Stderr, "1 unreadable") {
		t.Errorf("got %+v", got)
	}
}
