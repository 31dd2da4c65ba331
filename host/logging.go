package host

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"banyanrun.example/banyanrun/scheduler"
)

const (
	// logBufferLines is the number of lines that are buffered for a slow reader.
	logBufferLines = 1024
	// maxLogLinesPerSecond bounds the decisions that are logged in a second. At 250
	// starts a second, jobs log about three lines for each task.
	maxLogLinesPerSecond = 1500
	// perTaskLogShare is the share of the bound up to which decisions about single
	// tasks are logged. The rest is reserved for the other decisions, which explain
	// more.
	perTaskLogShare = 0.8
	// maxClientLogLines bounds the lines in a second about refused requests and
	// connections, which any client can cause. It bounds separately those about failed
	// calls, which requests and orders of other hosts can cause.
	maxClientLogLines = 200
	// maxLoggedText bounds a client's text in a line.
	maxLoggedText = 200
)

// clip shortens a client's text for a log line or a response.
func clip(text string) string {
	if len(text) <= maxLoggedText {
		return text
	}
	return text[:maxLoggedText] + "..."
}

// logWriter passes lines to a goroutine that writes them. It never blocks: while
// its buffer is full, lines are dropped and counted.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// newLogWriter starts the goroutine that writes to out.
func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logBufferLines)}
	w.done.Add(1)
	go func() {
		defer w.done.Done()
		var batch []byte
		for line := range w.lines {
			batch = append(batch[:0], line...)
			for more := true; more && len(batch) < 32<<10; {
				select {
				case line, ok := <-w.lines:
					if !ok {
						more = false
						break
					}
					batch = append(batch, line...)
				default:
					more = false
				}
			}
			// There is no other place to report that the log cannot be written.
			_, _ = out.Write(batch)
		}
	}()
	return w
}

// Write implements io.Writer. It never fails.
func (w *logWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes the buffered lines and ends the goroutine.
func (w *logWriter) Close() {
	close(w.lines)
	w.done.Wait()
}

// decisionLog logs the scheduler's decisions, a bounded number each second. It is
// used by the control goroutine only.
type decisionLog struct {
	log          zerolog.Logger
	second       int64
	count        int
	dropped      int64
	droppedTotal *metrics.Counter
}

// perTaskKinds are the kinds of decisions that are made for each task.
var perTaskKinds = map[string]bool{"start": true, "end": true, "stop": true, "advice": true, "pace": true}

// write logs a decision, or counts it as dropped if the second's bound is reached.
func (l *decisionLog) write(d scheduler.Decision) {
	if second := time.Now().Unix(); second != l.second {
		if l.dropped > 0 && l.droppedTotal != nil {
			l.droppedTotal.Add(int(l.dropped))
		}
		if l.dropped > 0 {
			l.log.Warn().Str("event", "log").Str("outcome", "lines_left_out").Int64("lines", l.dropped).Send()
		}
		l.second, l.count, l.dropped = second, 0, 0
	}
	bound := maxLogLinesPerSecond
	if perTaskKinds[d.Kind] {
		bound = int(maxLogLinesPerSecond * perTaskLogShare)
	}
	if l.count++; l.count > bound {
		l.dropped++
		return
	}
	e := l.log.Info().Str("event", d.Kind).Str("outcome", d.Outcome)
	if d.Task != "" {
		e = e.Str("task", d.Task)
	} else if d.Job != "" {
		e = e.Str("job", string(d.Job))
	}
	if d.Queue != "" {
		e = e.Str("queue", string(d.Queue))
	}
	if d.Worker != "" {
		e = e.Str("worker", string(d.Worker))
	}
	if d.Run != 0 {
		e = e.Int64("run", d.Run)
	}
	if d.Reason != "" {
		e = e.Str("reason", d.Reason)
	}
	for _, f := range d.Fields {
		e = e.Int64(f.Name, f.Value)
	}
	e.Send()
}
