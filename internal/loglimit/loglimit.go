// Package loglimit bounds the log lines that clients or repeated failures can cause.
package loglimit

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// New returns a logger that writes at most burst lines in a period and counts the
// others as dropped.
func New(log zerolog.Logger, burst uint32, period time.Duration, dropped *metrics.Counter) zerolog.Logger {
	return log.Sample(&countingSampler{next: &zerolog.BurstSampler{Burst: burst, Period: period}, dropped: dropped})
}

// countingSampler counts the lines that another sampler drops.
type countingSampler struct {
	next    zerolog.Sampler
	dropped *metrics.Counter
}

// Sample implements zerolog.Sampler.
func (s *countingSampler) Sample(level zerolog.Level) bool {
	if s.next.Sample(level) {
		return true
	}
	s.dropped.Inc()
	return false
}
