package core

import (
	"slices"
	"testing"
	"time"
)

// TestGaugesAreEmittedOnChange guards against a queue age that remains after the
// queue is empty, against emitting unchanged gauges, and against more than one
// update per second.
func TestGaugesAreEmittedOnChange(t *testing.T) {
	r := New(Config{Host: "h", DataCentre: "a", Region: "r", Incarnation: 1, Seed: 1})
	kind := Kind{Name: "k", Urgency: Normal, GangSize: 1, MaxAttempts: 1, Deadline: time.Hour, RunTime: time.Second}
	at := Time(time.Hour)
	tick := func(after time.Duration) (out []Gauge) {
		at = at.Add(after)
		for _, f := range r.Step(Event{At: at, Body: Tick{}}) {
			if g, ok := f.(Gauge); ok {
				out = append(out, g)
			}
		}
		return out
	}
	want := func(what string, got []Gauge, want ...Gauge) {
		t.Helper()
		if !slices.Equal(got, want) {
			t.Errorf("%s: gauges are %+v, want %+v", what, got, want)
		}
	}
	if first := tick(0); len(first) != 1+dimensions {
		t.Errorf("first tick emitted %+v, want the epoch and the free capacity", first)
	}
	r.Step(Event{At: at, Body: DocumentsRead{From: "p", Versions: []DocumentVersion{{Revision: 7, Document: Document{Team: "t", Kinds: []Kind{kind}}}}}})
	want("a new document", tick(gaugeInterval), Gauge{Metric: MetricDocumentRevision, Team: "t", Value: 7})
	want("no change", tick(gaugeInterval))

	j := r.newJob(JobSpec{ID: "j", Team: "t", Kind: "k", Submitted: at}, &kind)
	j.state = JobQueued
	r.queues.push(j)
	want("a job for 2.5 s", tick(2500*time.Millisecond), Gauge{Metric: MetricQueueAge, Team: "t", Kind: "k", Value: 2})
	want("less than a second later", tick(gaugeInterval/2))
	r.queues.remove(j)
	want("an empty queue", tick(gaugeInterval), Gauge{Metric: MetricQueueAge, Team: "t", Kind: "k"})

	r.owner.role, r.owner.epoch = roleOwner, 64
	r.fleet.total = Resources{Slots: 8}
	r.fleet.adjustTeamUsage(r.docs.team("t"), Resources{Slots: 3}, 1)
	owned := tick(gaugeInterval)
	for _, g := range []Gauge{{Metric: MetricEpoch, Value: 64}, {Metric: MetricFree, Resource: "slots", Value: 5}} {
		if !slices.Contains(owned, g) {
			t.Errorf("an owner: gauges are %+v, want %+v among them", owned, g)
		}
	}
}
