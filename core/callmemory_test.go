package core

import (
	"testing"
	"time"
)

// TestRepeatedCallGetsFirstOutcome guards against a non-idempotent call that runs
// twice because its caller repeated the request.
func TestRepeatedCallGetsFirstOutcome(t *testing.T) {
	key := CallKey{Team: "t", Kind: "k", ID: "r1"}
	answer := &CallAnswer{Status: 200, Body: []byte("whole")}
	mayHaveRun := &Refusal{Reason: ReasonUpstream, Verdict: MayHaveRun}
	cases := []struct {
		name    string
		answer  *CallAnswer
		refusal *Refusal
		later   time.Duration
		again   bool
	}{
		{"an answered call gets the same answer again", answer, nil, time.Second, false},
		{"a call that may have run is not run again", nil, mayHaveRun, time.Second, false},
		{"a call that has not run may run", nil, refuse(ReasonNoCapacity, "full"), time.Second, true},
		{"an outcome expires", answer, nil, callOutcomeTTL + time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := NewCallMemory()
			if _, first := m.Begin(1, key, 7); !first {
				t.Fatal("the first call did not begin")
			}
			if known, again := m.Begin(2, key, 7); again || !known.Running {
				t.Errorf("a second copy began while the first was running: %+v", known)
			}
			if known, again := m.Begin(2, key, 8); again || known.Refusal == nil || known.Refusal.Reason != ReasonDuplicateID {
				t.Errorf("different content under the same id gave %+v", known)
			}
			m.End(3, key, c.answer, c.refusal)
			known, again := m.Begin(Time(3).Add(c.later), key, 7)
			if again != c.again {
				t.Errorf("the repeated call began: %v, want %v", again, c.again)
			}
			if !again && (known.Answer != c.answer || known.Refusal != c.refusal) {
				t.Errorf("the repeated request got %+v", known)
			}
		})
	}
}

// TestCallMemoryIsBounded guards against stored answers that exhaust the memory of
// a host.
func TestCallMemoryIsBounded(t *testing.T) {
	m := NewCallMemory()
	for i := range 64 {
		key := CallKey{ID: string(rune('a' + i))}
		m.Begin(1, key, 7)
		m.End(1, key, &CallAnswer{Body: make([]byte, 1<<20)}, nil)
		if m.answerBytes > maxRememberedBytes {
			t.Fatalf("%d bytes are remembered, want at most %d", m.answerBytes, maxRememberedBytes)
		}
	}
	if len(m.calls) != len(m.ended) || len(m.calls) == 0 {
		t.Errorf("%d calls are remembered, %d of them as ended", len(m.calls), len(m.ended))
	}
}
