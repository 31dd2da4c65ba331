package host

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"banyanrun.example/banyanrun/scheduler"
)

// metricsPath is where the metrics are served, on the balancer's address and on
// the port of the flag --metrics-port.
const metricsPath = "/metrics"

// meters are the counters and histograms of a process.
type daemonMetrics struct {
	set *metrics.Set
	// decisions caches the counters of decisions. Only the control goroutine
	// uses it.
	decisionCounters map[decisionKey]*metrics.Counter
	startWait        *metrics.Histogram
	logLinesDropped  *metrics.Counter
}

type decisionKey struct{ kind, outcome, reason string }

func newDaemonMetrics() *daemonMetrics {
	set := metrics.NewSet()
	return &daemonMetrics{
		set: set, decisionCounters: map[decisionKey]*metrics.Counter{},
		startWait:       set.NewHistogram("banyanrun_task_start_wait_seconds"),
		logLinesDropped: set.NewCounter("banyanrun_log_lines_left_out_total"),
	}
}

// decision counts a decision. Reasons are labels only where they are a fixed set.
func (m *daemonMetrics) countDecision(d scheduler.Decision) {
	key := decisionKey{kind: d.Kind, outcome: d.Outcome}
	if d.Kind == "request" || d.Kind == "submit" {
		key.reason = d.Reason
	}
	c := m.decisionCounters[key]
	if c == nil {
		c = m.set.GetOrCreateCounter(fmt.Sprintf("banyanrun_decisions_total{kind=%q,outcome=%q,reason=%q}", key.kind, key.outcome, key.reason))
		m.decisionCounters[key] = c
	}
	c.Inc()
	if d.Kind == "start" && d.Outcome == "ordered" && len(d.Fields) > 0 {
		m.startWait.Update(float64(d.Fields[0].Value) / 1000)
	}
}

// request counts a caller's request and the time that it took.
func (m *daemonMetrics) observeRequest(kind requestKind, status scheduler.Status, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("banyanrun_request_duration_seconds{kind=%q}", kind)).Update(took.Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf("banyanrun_requests_total{kind=%q,status=%q}", kind, status)).Inc()
}

// call counts a call to a dependency and the time that it took.
func (m *daemonMetrics) observeCall(to, outcome string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("banyanrun_call_duration_seconds{to=%q}", to)).Update(took.Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf("banyanrun_calls_total{to=%q,outcome=%q}", to, outcome)).Inc()
}

// ServeHTTP writes the metrics as text.
func (m *daemonMetrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
