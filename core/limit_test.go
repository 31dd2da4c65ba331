package core

import (
	"testing"
	"time"
)

// TestCallLimitFollowsAnswerTimes guards against calls that pile up at a worker
// that slows down with each one, and against a limit that never recovers.
func TestCallLimitFollowsAnswerTimes(t *testing.T) {
	const fast = 20 * time.Millisecond
	cases := []struct {
		name string
		mean time.Duration
		// busy is set when as many calls as the limit allows are in progress.
		busy  bool
		check func(before, after int) bool
	}{
		{"it grows while a full worker answers as fast as ever", fast, true, func(b, a int) bool { return a > b }},
		{"it shrinks when answers take five times as long", 5 * fast, true, func(b, a int) bool { return a < b }},
		{"it stays when the worker is mostly idle", fast, false, func(b, a int) bool { return a == b }},
		{"it never falls below one call", time.Minute, true, func(_, a int) bool { return a >= minCallLimit }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l callLimit
			l.observe(fast, 1)
			before := l.current()
			for range 100 {
				inUse := 1
				if c.busy {
					inUse = l.current()
				}
				l.observe(c.mean, inUse)
			}
			if after := l.current(); !c.check(before, after) {
				t.Errorf("the limit changed from %d to %d", before, after)
			}
		})
	}
}
