package scheduler

import (
	"math"
	"time"
)

const (
	// learnRate is the weight of a new sample. About the last twenty ends count.
	sampleWeight = 0.05
	// minSamples is the number of ends before a learned figure is used.
	minSamples = 5
	// unknownDuration is assumed of tasks without an estimate.
	defaultDuration = 2 * time.Second
	// maxFailureRow is the number of failures in a row, of jobs that succeed
	// elsewhere or not, after which a worker gets no new tasks for a while.
	maxConsecutiveFailures = 3
	// avoidFor is how long a failing worker gets no new tasks. It doubles with
	// each further failure, up to avoidAtMost.
	minAvoidDuration = 1500 * msec
	maxAvoidDuration = 12 * time.Second
	// speedRate is the weight of a new sample of a worker's speed.
	speedSampleWeight = 0.2
)

// durations is what is known of the run times of a queue's tasks.
type queueStats struct {
	samples int
	// mean is the mean run time, ratio the mean of run time to estimate.
	mean, ratio float64
	// meanError and ratioError are the mean errors of the two, as logarithms.
	// Estimates of some callers are far off, so the better predictor is used.
	meanError, ratioError float64
	// goodShare is the share of workers that the advice service allows.
	allowedShare   float64
	allowedSamples int
}

// health is what is known of a worker's fitness.
type health struct {
	// row counts failures in a row.
	consecutiveFailures int
	avoidUntil          Time
	// avoided means that no pass has found the time of avoidUntil over yet.
	avoided       bool
	avoidDuration time.Duration
	// speed is the worker's mean run time against the expected one.
	speed float64
}

func (h *health) reset() { *h = health{speed: 1} }

// noAnswer notes that the worker does not answer.
func (h *health) noteNoAnswer(now Time) {
	h.avoidUntil, h.avoided = max(h.avoidUntil, now.Add(noAnswerAvoidDuration)), true
}

// noAnswerPause is how long a worker that did not answer gets no new tasks.
const noAnswerAvoidDuration = 500 * msec

// stats returns the figures of a queue.
func (c *cell) stats(q QueueName) *queueStats {
	d := c.queueStats[q]
	if d == nil {
		d = &queueStats{allowedShare: initialAllowedShare}
		c.queueStats[q] = d
	}
	return d
}

// expectedDuration predicts how long a task of a stage runs on a usual worker.
func (c *cell) expectedDuration(s *stage) time.Duration {
	d := c.stats(s.job.queue)
	estimate := s.step.Estimate
	if d.samples < minSamples {
		if estimate > 0 {
			return estimate
		}
		return defaultDuration
	}
	if estimate > 0 && d.ratioError <= d.meanError {
		return time.Duration(float64(estimate) * d.ratio)
	}
	return time.Duration(d.mean)
}

// learn takes the end of a run into the figures of its queue and worker.
func (c *cell) updateStats(r *run, kind EndKind) {
	w, s := r.worker, r.task.stage
	switch kind {
	case EndFailed:
		w.health.consecutiveFailures++
		if w.health.consecutiveFailures >= maxConsecutiveFailures {
			w.health.avoidDuration = min(max(minAvoidDuration, w.health.avoidDuration*2), maxAvoidDuration)
			w.health.avoidUntil, w.health.avoided = c.now.Add(w.health.avoidDuration), true
			c.logDecision(Decision{Kind: "worker", Outcome: "avoided", Worker: w.info.ID, Reason: "failures",
				Fields: []Field{{"row", int64(w.health.consecutiveFailures)}, {"for_ms", w.health.avoidDuration.Milliseconds()}}})
		}
	case EndDone:
		w.health.consecutiveFailures, w.health.avoidDuration = 0, 0
		if s.step.LongRunning || s.step.Scavenging || r.answeredAt == 0 || r.task.checkpoint != "" ||
			s.step.DataRack != "" && w.info.Rack != s.step.DataRack {
			return
		}
		took := float64(r.duration(c.now))
		if r.expectedDuration > 0 {
			w.health.speed += speedSampleWeight * (clampRatio(took/float64(r.expectedDuration)) - w.health.speed)
		}
		c.stats(s.job.queue).addSample(took, float64(s.step.Estimate))
	}
}

// clampRatio bounds the weight of a single odd sample.
func clampRatio(x float64) float64 { return min(max(x, 0.25), 8) }

// sample takes one run time in.
func (d *queueStats) addSample(took, estimate float64) {
	rate := max(sampleWeight, 1/float64(d.samples+1))
	if d.samples > 0 {
		d.meanError += rate * (math.Abs(math.Log(took/d.mean)) - d.meanError)
	}
	d.mean += rate * (took - d.mean)
	if estimate > 0 {
		if d.ratio > 0 {
			d.ratioError += rate * (math.Abs(math.Log(took/(estimate*d.ratio))) - d.ratioError)
		}
		d.ratio += rate * (clampRatio(took/estimate) - d.ratio)
	}
	d.samples++
}
