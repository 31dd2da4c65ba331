package core

import (
	"testing"
	"time"
)

// TestBudgetIsSpentOnRetriesAlone guards against a takeover that exhausts the retry
// budget of a kind. Refusals because of a stale epoch cost the workers nothing, so
// they must not count as retries.
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
		{"a retry spends one", true, MayHaveRun, ReasonUpstream, true, CallAttempt, 1},
		{"a retry without budget is refused", true, MayHaveRun, ReasonUpstream, false, CallRefuse, 1},
		{"a stale epoch spends none", true, NotRun, ReasonStaleEpoch, false, CallAttempt, 0},
		{"a non-idempotent call spends none", false, MayHaveRun, ReasonUpstream, true, CallRefuse, 0},
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
				t.Errorf("action %d with %d retries spent, want %d with %d", step.Act, spent, c.act, c.spent)
			}
		})
	}
}
