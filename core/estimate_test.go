package core

import (
	"testing"
	"time"
)

// TestEstimatesFollowReports guards against the use of declared values that the
// reported outcomes contradict.
func TestEstimatesFollowReports(t *testing.T) {
	j := &job{
		spec: JobSpec{Team: "t", Kind: "k"},
		kind: &Kind{Name: "k", RunTime: time.Hour, Request: Resources{MilliCPU: 1000}},
	}
	e := newEstimates()
	if got := e.runTime(j, medianPercentile); got != time.Hour {
		t.Errorf("without samples the run time is %s, want the declared one", got)
	}
	for range minSamples {
		if _, ok := e.overdeclaredCPU(j); ok {
			t.Error("too few reports count as proof of an overdeclared request")
		}
		e.recordOutcome(j, &TaskReport{State: ReportedSucceeded, RunTime: time.Minute})
		e.recordUsage(j, Resources{MilliCPU: 200})
	}
	const precision = 0.1 // one significant digit
	if got := e.runTime(j, medianPercentile); (got - time.Minute).Abs().Seconds() > precision*time.Minute.Seconds() {
		t.Errorf("the run time is %s, want about a minute", got)
	}
	if share, ok := e.overdeclaredCPU(j); !ok || share < 0.19 || share > 0.21 {
		t.Errorf("the CPU share is %v, %v; want about 0.2", share, ok)
	}
}
