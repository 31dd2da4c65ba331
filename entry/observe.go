package entry

import (
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"banyanrun.example/banyanrun/core"
)

// observe records the time of one step and the events that wait.
func (d *Daemon) observeStep(step time.Duration, backlog int) {
	d.metrics.GetOrCreateHistogram("banyanrun_control_step_seconds").Update(step.Seconds())
	d.metrics.GetOrCreateHistogram("banyanrun_control_backlog_events").Update(float64(backlog))
}

// count adds to a counter of the reducer.
func (d *Daemon) addToCounter(c core.Count) {
	d.metrics.GetOrCreateCounter(seriesName(c.Metric,
		label{"reason", string(c.Reason)}, label{"team", string(c.Team)}, label{"kind", string(c.Kind)})).Add(c.Add)
}

// gauge sets a gauge of the reducer.
func (d *Daemon) setGauge(g core.Gauge) {
	d.metrics.GetOrCreateGauge(seriesName(g.Metric,
		label{"team", string(g.Team)}, label{"kind", string(g.Kind)}, label{"resource", g.Resource}), nil).Set(g.Value)
}

// label is one label of a series.
type label struct{ name, value string }

// series returns the name of a series. Labels without a value are left out.
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

var storeOutcomeNames = [...]string{"ok", "conflict", "not_found", "not_sent", "in_doubt", "unreadable"}

// countStore counts a call to the store by its result.
func (d *Daemon) countStoreCall(op core.StoreOp, o core.StoreOutcome) {
	name := fmt.Sprintf("banyanrun_store_calls_total{purpose=%q,result=%q}", op.Purpose.String(), storeOutcomeNames[o])
	d.metrics.GetOrCreateCounter(name).Inc()
}

// logLine writes a line for the reducer, within the bound for its message.
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
