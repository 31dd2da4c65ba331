package scheduler

import (
	"testing"
	"time"
)

// benchmarkReducers runs a load on 350 workers, the size of a large deployment.
func benchmarkReducers(b *testing.B, jobsPerSecond float64) {
	for b.Loop() {
		sim := newSimulation(&testing.T{}, 1, 4, 350)
		sim.faults.failureRate = 0.03
		sim.run(2 * time.Second)
		sim.submitLoad(5*time.Second, jobsPerSecond)
		sim.run(6 * time.Second)
	}
}

// BenchmarkOwner measures the reducers under a usual load of about 350 starts a
// second.
func BenchmarkOwner(b *testing.B) { benchmarkReducers(b, 130) }

// BenchmarkFlood measures the reducers at twice the workers' capacity, where
// hundreds of stages wait.
func BenchmarkFlood(b *testing.B) { benchmarkReducers(b, 700) }
