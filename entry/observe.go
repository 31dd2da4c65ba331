package entry

import (
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"banyanrun.example/banyanrun/core"
)

// observeStep records the duration of one reducer step and the number of queued
// events.
func (d *Daemon) observeStep(step time.Duration, backlog int) {
	d.metrics.GetOrCreateHistogram("banyanrun_control_step_seconds").Update(step.Seconds())
	d.metrics.GetOrCreateHistogram("banyanrun_control_backlog_events").Update(float64(backlog))
}

// addToCounter adds to a counter of the reducer's metrics.
func (d *Daemon) addToCounter(c core.Count) {
	d.metrics.GetOrCreateCounter(seriesName(c.Metric,
		label{"reason", string(c.Reason)}, label{"team", string(c.Team)}, label{"kind", string(c.Kind)})).Add(c.Add)
}

// setGauge sets a gauge of the reducer's metrics.
func (d *Daemon) setGauge(g core.Gauge) {
	d.metrics.GetOrCreateGauge(seriesName(g.Metric,
		label{"team", string(g.Team)}, label{"kind", string(g.Kind)}, label{"resource", g.Resource}), nil).Set(g.Value)
}

// label is one label of a metric series.
type label struct{ name, value string }

// seriesName returns the full name of a metric series. Labels without a value are
// omitted.
func seriesName(metric core.Metric, labels ...label) string {
	var pairs []string
	for _, l := range labels {
		if l.value != "" {
			pairs = append(pairs, fmt.Sprintf("%s=%q", l.name, l.value))
		}
	}
	if len(pairs) == 0 {
		return string(metric)
	}
	return string(metric) + "{" + strings.Join(pairs, ",") + "}"
}

// storeOutcomeNames are the result labels of core.StoreOutcome values.
var storeOutcomeNames = [...]string{"ok", "conflict", "not_found", "not_sent", "in_doubt", "unreadable"}

// countStoreCall counts a store operation by its purpose and result.
func (d *Daemon) countStoreCall(op core.StoreOp, o core.StoreOutcome) {
	name := fmt.Sprintf("banyanrun_store_calls_total{purpose=%q,result=%q}", op.Purpose.String(), storeOutcomeNames[o])
	d.metrics.GetOrCreateCounter(name).Inc()
}

// writeLog writes a log line of the reducer, within the limit for its message.
func (d *Daemon) writeLog(l core.Log) {
	levels := [...]zerolog.Level{zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel}
	log := d.limitedLogger(l.Message)
	e := log.WithLevel(levels[l.Level])
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
