package entry

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"banyanrun.example/banyanrun/internal/loglimit"
)

// Limits on log lines with the same message, so that many requests or failures do
// not flood the log.
const (
	logBurst  = 60
	logPeriod = time.Minute
	// maxLogMessages bounds the number of messages with a limit of their own.
	// The program has fewer; any further ones share one limit.
	maxLogMessages = 256
)

// logLimiter limits the log lines with the same message.
type logLimiter struct {
	mu        sync.Mutex
	byMessage map[string]zerolog.Logger
}

// loggerFor returns the logger for a message, which drops lines beyond the limit
// and counts them.
func (l *logLimiter) loggerFor(message string, log zerolog.Logger, dropped *metrics.Counter) zerolog.Logger {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sampled, ok := l.byMessage[message]; ok {
		return sampled
	}
	if len(l.byMessage) >= maxLogMessages {
		message = ""
		if sampled, ok := l.byMessage[message]; ok {
			return sampled
		}
	}
	sampled := loglimit.New(log, logBurst, logPeriod, dropped)
	if l.byMessage == nil {
		l.byMessage = map[string]zerolog.Logger{}
	}
	l.byMessage[message] = sampled
	return sampled
}

// limitedLogger returns the rate-limited logger for lines with the given message.
func (d *Daemon) limitedLogger(message string) zerolog.Logger {
	return d.logLimiter.loggerFor(message, d.log, d.metrics.GetOrCreateCounter("banyanrun_log_lines_dropped_total"))
}

// logFailure logs an error with one field, within the limit for its message.
func (d *Daemon) logFailure(message string, err error, field, value string) {
	log := d.limitedLogger(message)
	log.Error().Err(err).Str(field, value).Msg(message)
}
