package scheduler

import (
	"testing"
	"time"
)

// BenchmarkOwner measures the reducers under the load of a grown deployment: 350
// workers and 130 jobs a second, which are some 350 starts a second.
func BenchmarkOwner(b *testing.B) {
	for b.Loop() {
		w := newWorld(&testing.T{}, 1, 4, 350)
		w.faults.failure = 0.03
		w.run(2 * time.Second)
		w.load(5*time.Second, 130)
		w.run(6 * time.Second)
	}
}
