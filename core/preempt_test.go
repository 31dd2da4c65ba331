package core

import "testing"

// TestWorkThatIsNotIdempotentIsOnlyThrottled guards against preemption that starts
// non-idempotent work a second time, even if its document allows checkpoint or
// stop.
func TestWorkThatIsNotIdempotentIsOnlyThrottled(t *testing.T) {
	everything := PreemptionPolicy{Throttle: true, Checkpoint: true, Stop: true, MaxTimes: 2}
	interrupting := PreemptionPolicy{Checkpoint: true, Stop: true, MaxTimes: 2}
	cases := []struct {
		name       string
		idempotent bool
		policy     PreemptionPolicy
		maxSignal  Signal
		want       Signal
		ok         bool
	}{
		{"not idempotent, everything allowed", false, everything, SignalStop, SignalThrottle, true},
		{"not idempotent, checkpoint and stop allowed", false, interrupting, SignalStop, 0, false},
		{"idempotent, everything allowed", true, everything, SignalStop, SignalCheckpoint, true},
		{"idempotent, everything allowed, only throttling requested", true, everything, SignalThrottle, SignalThrottle, true},
		{"idempotent, only stop allowed", true, PreemptionPolicy{Stop: true, MaxTimes: 1}, SignalStop, SignalStop, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := New(Config{Host: "h", DataCentre: "dc", Seed: 1})
			j := &job{kind: &Kind{Name: "k", Idempotent: tc.idempotent, Preemption: tc.policy}, tasks: make([]task, 1)}
			j.tasks[0].allocated = Resources{MilliCPU: 1000}
			got, ok := r.chooseVictimAction(placement{job: j, task: &j.tasks[0]}, tc.maxSignal)
			if ok != tc.ok || ok && got.signal != tc.want {
				t.Errorf("signal %v %v, want %v %v", got.signal, ok, tc.want, tc.ok)
			}
		})
	}
}
