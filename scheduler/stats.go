package scheduler

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in the moving averages, which
	// then cover about the last twenty ends.
	sampleWeight = 0.05
	// minSamples is the number of samples from which an average is used.
	minSamples = 5
	// defaultDuration is assumed for tasks without an estimate.
	defaultDuration = 2 * time.Second
	// maxConsecutiveFailures is the number of failures in a row after which a
	// worker gets no new tasks for a while, whether or not the tasks succeed on
	// other workers.
	maxConsecutiveFailures = 3
	// minAvoidDuration is how long a failing worker gets no new tasks. It doubles
	// with each further failure, up to maxAvoidDuration.
	minAvoidDuration = 1500 * msec
	maxAvoidDuration = 12 * time.Second
	// speedSampleWeight is the weight of a new sample of a worker's speed.
	speedSampleWeight = 0.2
)

// queueStats holds statistics of a queue's tasks.
type queueStats struct {
	samples int
	// mean is the mean run time in nanoseconds, ratio the mean ratio of run time
	// to estimate.
	mean, ratio float64
	// meanError and ratioError are the mean absolute errors of predictions by the
	// two, as natural logarithms. The better predictor is used, since the
	// estimates of some callers are far off.
	meanError, ratioError float64
	// allowedShare is the share of workers that the advice service allows.
	allowedShare   float64
	allowedSamples int
}

// health holds a worker's failures and speed.
type health struct {
	consecutiveFailures int
	avoidUntil          Time
	// avoided means that no pass has run since avoidUntil.
	avoided       bool
	avoidDuration time.Duration
	// speed is the mean ratio of actual to expected run time on the worker, so
	// that faster workers have lower values.
	speed float64
}

func (h *health) reset() { *h = health{speed: 1} }

// noteNoAnswer avoids a worker for a short time after a call without an answer.
func (h *health) noteNoAnswer(now Time) {
	h.avoidUntil, h.avoided = max(h.avoidUntil, now.Add(noAnswerAvoidDuration)), true
}

// noAnswerAvoidDuration is how long a worker that did not answer gets no new
// tasks.
const noAnswerAvoidDuration = 500 * msec

// stats returns the statistics of a queue.
func (c *cell) stats(q QueueName) *queueStats {
	stats := c.queueStats[q]
	if stats == nil {
		stats = &queueStats{allowedShare: initialAllowedShare}
		c.queueStats[q] = stats
	}
	return stats
}

// expectedDuration predicts the run time of a stage's tasks on a worker of average
// speed.
func (c *cell) expectedDuration(s *stage) time.Duration {
	stats := c.stats(s.job.queue)
	estimate := s.step.Estimate
	if stats.samples < minSamples {
		if estimate > 0 {
			return estimate
		}
		return defaultDuration
	}
	if estimate > 0 && stats.ratioError <= stats.meanError {
		return time.Duration(float64(estimate) * stats.ratio)
	}
	return time.Duration(stats.mean)
}

// updateStats updates the statistics of a run's queue and worker at its end.
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

// clampRatio limits the effect of an outlier.
func clampRatio(x float64) float64 { return min(max(x, 0.25), 8) }

// addSample adds a run time, with the caller's estimate or 0 if there is none.
func (s *queueStats) addSample(took, estimate float64) {
	weight := max(sampleWeight, 1/float64(s.samples+1))
	if s.samples > 0 {
		s.meanError += weight * (math.Abs(math.Log(took/s.mean)) - s.meanError)
	}
	s.mean += weight * (took - s.mean)
	if estimate > 0 {
		if s.ratio > 0 {
			s.ratioError += weight * (math.Abs(math.Log(took/(estimate*s.ratio))) - s.ratioError)
		}
		s.ratio += weight * (clampRatio(took/estimate) - s.ratio)
	}
	s.samples++
}
