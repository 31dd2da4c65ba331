package entry

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"banyanrun.example/banyanrun/core"
)

// observe records the time of one step and the events that wait.
func (d *Daemon) observe(step time.Duration, backlog int) {
	d.metrics.GetOrCreateHistogram("banyanrun_control_step_seconds").Update(step.Seconds())
	d.metrics.GetOrCreateHistogram("banyanrun_control_backlog_events").Update(float64(backlog))
}

// count adds to a counter of the reducer.
func (d *Daemon) count(c core.Count) {
	labels := ""
	add := func(name, value string) {
		if value == "" {
			return
		}
		if labels != "" {
			labels += ","
		}
		labels += fmt.Sprintf("%s=%q", name, value)
	}
	add("reason", string(c.Reason))
	add("team", string(c.Team))
	add("kind", string(c.Kind))
	name := string(c.Metric)
	if labels != "" {
		name += "{" + labels + "}"
	}
	d.metrics.GetOrCreateCounter(name).Add(c.Add)
}

var storeOutcomeNames = [...]string{"ok", "conflict", "not_found", "not_sent", "in_doubt", "unreadable"}

// countStore counts a call to the store by its result.
func (d *Daemon) countStore(op core.StoreOp, o core.StoreOutcome) {
	name := fmt.Sprintf("banyanrun_store_calls_total{purpose=%q,result=%q}", op.Purpose.String(), storeOutcomeNames[o])
	d.metrics.GetOrCreateCounter(name).Inc()
}

// logLine writes a line for the reducer.
func (d *Daemon) logLine(l core.Log) {
	levels := [...]zerolog.Level{zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel}
	e := d.log.WithLevel(levels[l.Level])
	for _, f := range []struct{ name, value string }{
		{"job", string(l.Job)}, {"team", string(l.Team)}, {"worker", string(l.Worker)},
		{"host", string(l.Host)}, {"reason", string(l.Reason)},
	} {
		if f.value != "" {
			e = e.Str(f.name, f.value)
		}
	}
	if l.Epoch != 0 {
		e = e.Uint64("epoch", uint64(l.Epoch))
	}
	if l.Revision != 0 {
		e = e.Int64("revision", int64(l.Revision))
	}
	e.Msg(l.Message)
}
