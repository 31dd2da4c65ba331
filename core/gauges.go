package core

import (
	"math"
	"time"
)

// gaugePeriod is the least time between two values of a gauge.
const gaugePeriod = time.Second

// gauges holds what was emitted last, so that only changes are.
type gauges struct {
	next Time
	// last maps each gauge, with its value left out, to its value.
	last map[Gauge]float64
	// waiting lists the queues whose age was emitted last.
	waiting []queueKey
}

func newGauges() gauges { return gauges{last: map[Gauge]float64{}} }

// set emits a gauge if its value has changed.
func (r *Reducer) set(g Gauge) {
	value := g.Value
	g.Value = 0
	if last, known := r.gauges.last[g]; known && last == value {
		return
	}
	r.gauges.last[g] = value
	g.Value = value
	r.emit(g)
}

// tickGauges emits the gauges that have changed. It passes once over the teams
// and once over the queues that are not empty, whatever the number of jobs.
func (r *Reducer) tickGauges() {
	if r.now < r.gauges.next {
		return
	}
	r.gauges.next = r.now.Add(gaugePeriod)
	epoch, free := Epoch(0), Resources{}
	if r.owner.active() {
		epoch, free = r.owner.epoch, r.fleet.total
	}
	for _, t := range r.docs.teams {
		r.set(Gauge{Metric: MetricDocumentRevision, Team: t.name, Value: float64(t.version.Revision)})
		if r.owner.active() {
			free = free.Sub(t.used)
		}
	}
	r.set(Gauge{Metric: MetricEpoch, Value: float64(epoch)})
	for i, name := range dimensionNames {
		r.set(Gauge{Metric: MetricFree, Resource: name, Value: float64(free.vector()[i])})
	}
	r.gaugeQueues()
}

// gaugeQueues emits the age of the oldest job of each queue in whole seconds, and
// zero for a queue that has become empty.
func (r *Reducer) gaugeQueues() {
	before := r.gauges.waiting
	r.gauges.waiting = make([]queueKey, 0, len(r.queues.busy))
	for _, k := range r.queues.busy {
		j := k.first()
		if j == nil {
			continue
		}
		// Another host's clock may be ahead.
		age := max(0, math.Floor(r.now.Sub(j.spec.Submitted).Seconds()))
		r.set(Gauge{Metric: MetricQueueAge, Team: k.key.team, Kind: k.key.kind, Value: age})
		r.gauges.waiting = append(r.gauges.waiting, k.key)
	}
	for _, key := range before {
		if k := r.queues.byKey[key]; k == nil || k.size == 0 {
			r.set(Gauge{Metric: MetricQueueAge, Team: key.team, Kind: key.kind})
		}
	}
}
