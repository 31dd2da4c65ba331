package main

import "time"

// idleJobs holds for how long jobs had nothing running while less than half of the
// service was in use.
type idleJobs struct {
	idle      map[string]time.Duration
	longest   time.Duration
	leastUsed int64
}

// idLength is the length of a job's id.
const idLength = 16

// watchIdle watches jobs of which tasks wait. All running tasks need taskCPU.
func (f *fleet) watchIdle(jobs map[string]bool, capacity, taskCPU int64, d time.Duration) *idleJobs {
	const samplePeriod = 50 * time.Millisecond
	watched := &idleJobs{idle: map[string]time.Duration{}, leastUsed: capacity}
	since := map[string]time.Time{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(samplePeriod) {
		running, used := map[string]bool{}, int64(0)
		for _, w := range f.workers {
			w.mu.Lock()
			for _, r := range w.runs {
				running[r.task[:idLength]] = true
				used += taskCPU
			}
			w.mu.Unlock()
		}
		watched.leastUsed = min(watched.leastUsed, used)
		for id := range jobs {
			switch {
			case running[id] || 2*used >= capacity:
				delete(since, id)
			case since[id].IsZero():
				since[id] = time.Now()
			default:
				watched.idle[id] = max(watched.idle[id], time.Since(since[id]))
				watched.longest = max(watched.longest, watched.idle[id])
			}
		}
	}
	return watched
}

// lost returns the number of jobs that had nothing running for longer than the rule allows.
func (w *idleJobs) lost(rec *record) int {
	const allowed = 3 * time.Second
	n := 0
	for id, d := range w.idle {
		if d >= allowed {
			n++
			rec.add("LOST: job %s had nothing running for %.1f s", id, d.Seconds())
		}
	}
	return n
}
