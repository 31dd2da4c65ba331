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
	// logLines is the number of lines that may wait for a slow reader.
	logBufferLines = 1024
	// logPerSecond bounds the lines of a second. At 250 starts a second a job's
	// path takes some three lines a task.
	maxLogLinesPerSecond = 1500
	// logPriorityShare is the part of the bound that starts and ends of single
	// tasks may use; it leaves room for the decisions that explain most.
	perTaskLogShare = 0.8
)

// logWriter passes lines to a goroutine that writes them. It never blocks: a line
// that finds no room is dropped and counted.
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
			// Nobody is left to be told when standard output is gone.
			_, _ = out.Write(batch)
		}
	}()
	return w
}

// Write implements io.Writer.
func (w *logWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes what is left.
func (w *logWriter) Close() {
	close(w.lines)
	w.done.Wait()
}

// decisionLog writes the scheduler's decisions, a bounded number each second.
// Only the control goroutine uses it.
type decisionLog struct {
	log          zerolog.Logger
	second       int64
	count        int
	dropped      int64
	droppedTotal *metrics.Counter
}

// frequent are the kinds of decisions of which there is one for each task.
var perTaskKinds = map[string]bool{"start": true, "end": true, "stop": true, "advice": true, "pace": true}

// write writes a decision, or counts it as left out.
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
