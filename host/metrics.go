package host

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"banyanrun.example/banyanrun/scheduler"
)

// metricsPath is the path of the metrics, on the address of the readiness check and
// on the port of the flag --metrics-port.
const metricsPath = "/metrics"

// daemonMetrics holds the counters and histograms of a daemon.
type daemonMetrics struct {
	set *metrics.Set
	// decisionCounters caches the counters of decisions. It is used by the control
	// goroutine only.
	decisionCounters map[decisionKey]*metrics.Counter
	startWait        *metrics.Histogram
	logLinesDropped  *metrics.Counter
	// pendingJobs is the number of pending jobs while this host is the owner, otherwise 0.
	pendingJobs *metrics.Gauge
}

type decisionKey struct{ kind, outcome, reason string }

func newDaemonMetrics() *daemonMetrics {
	set := metrics.NewSet()
	return &daemonMetrics{
		set: set, decisionCounters: map[decisionKey]*metrics.Counter{},
		startWait:       set.NewHistogram("banyanrun_task_start_wait_seconds"),
		logLinesDropped: set.NewCounter("banyanrun_log_lines_left_out_total"),
		pendingJobs:     set.NewGauge("banyanrun_pending_jobs", nil),
	}
}

// countDecision counts a decision. The reason becomes a label only for kinds whose
// reasons are a fixed set, which bounds the number of time series.
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
	switch {
	case d.Kind == "cell" && d.Outcome == "load":
		for _, f := range d.Fields {
			if f.Name == "pending_jobs" {
				m.pendingJobs.Set(float64(f.Value))
			}
		}
	case d.Kind == "owner" && d.Outcome == "stepped_down":
		m.pendingJobs.Set(0)
	}
}

// observeRequest counts a caller's request and records its duration.
func (m *daemonMetrics) observeRequest(kind requestKind, status scheduler.Status, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("banyanrun_request_duration_seconds{kind=%q}", kind)).Update(took.Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf("banyanrun_requests_total{kind=%q,status=%q}", kind, status)).Inc()
}

// observeCall counts a call to a dependency and records its duration.
func (m *daemonMetrics) observeCall(to, outcome string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("banyanrun_call_duration_seconds{to=%q}", to)).Update(took.Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf("banyanrun_calls_total{to=%q,outcome=%q}", to, outcome)).Inc()
}

// ServeHTTP writes the metrics in the Prometheus text format.
func (m *daemonMetrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
