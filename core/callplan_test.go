package core

import (
	"testing"
	"time"
)

// TestBudgetIsSpentOnRetriesAlone guards against a takeover, whose refusals for a
// stale epoch cost no worker anything, that uses up the retry budget of a kind.
func TestBudgetIsSpentOnRetriesAlone(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		verdict    Verdict
		reason     Reason
		budget     bool
		act        CallAction
		spent      int
	}{
		{"a retry takes one", true, MayHaveRun, ReasonUpstream, true, CallAttempt, 1},
		{"a retry without budget is refused", true, MayHaveRun, ReasonUpstream, false, CallRefuse, 1},
		{"a stale epoch takes none", true, NotRun, ReasonStaleEpoch, false, CallAttempt, 0},
		{"a call that must not run twice takes none", false, MayHaveRun, ReasonUpstream, true, CallRefuse, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := CallPlan{Rules: InteractiveKind{Idempotent: c.idempotent, Deadline: time.Minute, MaxAttempts: 3}, Began: 1}
			p.First("")
			spent := 0
			step := p.Failed(2, AttemptResult{Worker: "w", Verdict: c.verdict, Reason: c.reason, SpendRetry: func() bool {
				spent++
				return c.budget
			}})
			if step.Act != c.act || spent != c.spent {
				t.Errorf("act %d with %d retries spent, want %d with %d", step.Act, spent, c.act, c.spent)
			}
		})
	}
}
