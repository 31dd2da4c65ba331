package core

import "testing"

// TestKindsReachTheTrafficSideWithTheDocument guards against calls that are refused
// as unknown after the operator was told that the document with their kind is in
// force.
func TestKindsReachTheTrafficSideWithTheDocument(t *testing.T) {
	r := New(Config{Host: "a", Address: "127.0.0.1:1", DataCentre: "dc", Region: "r", Seed: 1})
	effects := r.Step(Event{At: 1, Body: DocumentsRead{Versions: []DocumentVersion{{
		Revision: 3,
		Document: Document{Team: "team", Weight: 1, Kinds: []Kind{
			{Name: "lookup", Urgency: Interactive}, {Name: "batch", Urgency: Background},
		}},
	}}}})
	pool := NewGrantPool()
	for _, f := range effects {
		if grants, ok := f.(SetGrants); ok {
			pool.Set(grants)
		}
	}
	if _, ok := pool.Rules("team", "lookup"); !ok {
		t.Errorf("the interactive kind is unknown to the traffic side after %d effects: %+v", len(effects), effects)
	}
	if _, ok := pool.Rules("team", "batch"); ok {
		t.Error("a kind that is not interactive can be called")
	}
}
