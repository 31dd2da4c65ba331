package scheduler

import (
	"testing"
	"time"
)

// benchmarkLoad plays a load on 350 workers, the size of a grown deployment.
func benchmarkReducers(b *testing.B, jobsPerSecond float64) {
	for b.Loop() {
		w := newWorld(&testing.T{}, 1, 4, 350)
		w.faults.failure = 0.03
		w.run(2 * time.Second)
		w.submitLoad(5*time.Second, jobsPerSecond)
		w.run(6 * time.Second)
	}
}

// BenchmarkOwner measures the reducers under a usual load, which is some 350 starts
// a second.
func BenchmarkOwner(b *testing.B) { benchmarkReducers(b, 130) }

// BenchmarkFlood measures them when twice the work arrives that the workers can do,
// so that hundreds of stages wait.
func BenchmarkOverload(b *testing.B) { benchmarkReducers(b, 700) }
