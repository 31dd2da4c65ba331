package core

import (
	"math"
	"time"
)

// gaugeInterval is the minimum time between two updates of a gauge.
const gaugeInterval = time.Second

// gauges tracks the emitted values, so that only changes are emitted.
type gauges struct {
	nextAt Time
	// last maps each gauge, with a zero Value, to its last emitted value.
	last map[Gauge]float64
	// agedQueues lists the queues whose age was emitted last.
	agedQueues []queueKey
}

func newGauges() gauges { return gauges{last: map[Gauge]float64{}} }

// setGauge emits a gauge if its value has changed.
func (r *Reducer) setGauge(g Gauge) {
	value := g.Value
	g.Value = 0
	if last, known := r.gauges.last[g]; known && last == value {
		return
	}
	r.gauges.last[g] = value
	g.Value = value
	r.emit(g)
}

// tickGauges emits the gauges that have changed. Its cost depends on the number of
// teams and of nonempty queues, but not on the number of jobs.
func (r *Reducer) tickGauges() {
	if r.now < r.gauges.nextAt {
		return
	}
	r.gauges.nextAt = r.now.Add(gaugeInterval)
	epoch, free := Epoch(0), Resources{}
	if r.owner.active() {
		epoch, free = r.owner.epoch, r.fleet.total
	}
	for _, t := range r.docs.teams {
		r.setGauge(Gauge{Metric: MetricDocumentRevision, Team: t.name, Value: float64(t.version.Revision)})
		if r.owner.active() {
			free = free.Sub(t.used)
		}
	}
	r.setGauge(Gauge{Metric: MetricEpoch, Value: float64(epoch)})
	for i, name := range dimensionNames {
		r.setGauge(Gauge{Metric: MetricFree, Resource: name, Value: float64(free.vector()[i])})
	}
	r.emitQueueAges()
}

// emitQueueAges emits the age of the oldest job of each queue in whole seconds,
// and zero for queues that have become empty.
func (r *Reducer) emitQueueAges() {
	before := r.gauges.agedQueues
	r.gauges.agedQueues = make([]queueKey, 0, len(r.queues.busy))
	for _, k := range r.queues.busy {
		j := k.first()
		if j == nil {
			continue
		}
		// The clock of the host that accepted the job may be ahead.
		age := max(0, math.Floor(r.now.Sub(j.spec.Submitted).Seconds()))
		r.setGauge(Gauge{Metric: MetricQueueAge, Team: k.key.team, Kind: k.key.kind, Value: age})
		r.gauges.agedQueues = append(r.gauges.agedQueues, k.key)
	}
	for _, key := range before {
		if k := r.queues.byKey[key]; k == nil || k.size == 0 {
			r.setGauge(Gauge{Metric: MetricQueueAge, Team: key.team, Kind: key.kind})
		}
	}
}
