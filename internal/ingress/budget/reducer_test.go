package budget

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testLimits = Limits{Bytes: 1000, Connections: 8, HeapBytes: 10, KernelBytes: 10, SmallBytes: 50}

// step runs events one second apart and returns the effects of the last one.
func step(r *Reducer, events ...Event) []Effect {
	var effects []Effect
	for _, e := range events {
		effects = r.Step(r.now+time.Second, e)
	}
	return effects
}

func TestChargesAreDecided(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []Event
		want   []Effect
	}{
		{"a request that fits is granted", []Event{Opened{1}, Resized{1, 800}}, []Effect{Grant{1}}},
		{"a request that never fits is refused as too large", []Event{Opened{1}, Resized{1, 1000}}, []Effect{Refuse{1, true}}},
		{"a smaller charge is granted at once", []Event{Opened{1}, Resized{1, 800}, Resized{1, 100}}, []Effect{Grant{1}}},
		{
			"the connection that holds most for longest makes room, and its memory is awaited",
			[]Event{Opened{1}, Opened{2}, Resized{1, 500}, Resized{2, 300}, Opened{3}, Resized{3, 200}},
			[]Effect{Evict{1, 520, 5 * time.Second}},
		},
		{
			"the memory of an evicted connection is granted once it is released",
			[]Event{Opened{1}, Resized{1, 800}, Opened{2}, Resized{2, 200}, Closed{1}},
			[]Effect{Grant{2}},
		},
		{
			"requests that were passed on are not evicted, and a further request is refused at once",
			[]Event{Opened{1}, Resized{1, 800}, PassedOn{1}, Opened{2}, PassedOn{2}, Opened{3}, PassedOn{3}, Resized{3, 200}},
			[]Effect{Refuse{3, false}},
		},
		{
			"a small request uses the part that large ones leave",
			[]Event{Opened{1}, Resized{1, 800}, PassedOn{1}, Opened{2}, Resized{2, 50}},
			[]Effect{Grant{2}},
		},
		{
			"the connection that asks is refused if it holds most for longest",
			[]Event{Opened{1}, Resized{1, 600}, Opened{2}, Resized{2, 200}, Resized{1, 850}},
			[]Effect{Refuse{1, false}},
		},
		{"work that outlives its request is charged", []Event{Held{1, 600}, Held{2, 600}}, []Effect{Refuse{2, false}}},
		{"an ended request holds only its connection", []Event{Opened{1}, Resized{1, 800}, RequestEnded{1}, Opened{2}, Resized{2, 800}}, []Effect{Grant{2}}},
		{
			"a full set of slots admits a connection in place of the longest idle one",
			[]Event{Opened{1}, Opened{2}, Opened{3}, Opened{4}, Opened{5}, Opened{6}, Opened{7}, Opened{8}, RequestBegun{1}, Opened{9}},
			[]Effect{Evict{2, 20, 8 * time.Second}, Grant{9}},
		},
		{
			"a connection that is closed while it waits is refused",
			[]Event{Opened{1}, Resized{1, 800}, Opened{2}, Resized{2, 200}, Closed{2}},
			[]Effect{Refuse{2, false}},
		},
		{"a closed connection is refused", []Event{Opened{1}, Closed{1}, Resized{1, 1}}, []Effect{Refuse{1, false}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := step(New(testLimits), c.events...); !slices.Equal(got, c.want) {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// Guards against a sum above the limit, a wait without an end and the eviction of a
// request that may take effect, whatever the order of events.
func TestBudgetInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(testLimits)
		m := model{reducer: r, connections: map[ID]*modelConnection{}}
		now, last := time.Duration(0), ID(0)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "milliseconds")) * time.Millisecond
			var e Event
			id := ID(rapid.IntRange(1, int(last)+1).Draw(t, "id"))
			switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
			case kind < 2 || last == 0:
				last++
				e = Opened{last}
			case kind < 3:
				last++
				e = Held{last, int64(rapid.IntRange(1, 300).Draw(t, "bytes"))}
			case kind < 6:
				e = Resized{id, int64(rapid.IntRange(0, 1000).Draw(t, "bytes"))}
			case kind < 7:
				e = PassedOn{id}
			case kind < 8:
				e = RequestEnded{id}
			default:
				e = Closed{id}
			}
			m.step(t, now, e)
		}
	})
}

// modelConnection is what a holder has been told.
type modelConnection struct{ waits, passedOn, evicted, closed bool }

// model checks the effects of a reducer against what its holders were told.
type model struct {
	reducer     *Reducer
	connections map[ID]*modelConnection
}

func (m *model) step(t *rapid.T, now time.Duration, e Event) {
	switch e := e.(type) {
	case Opened:
		m.connections[e.ID] = &modelConnection{waits: true}
	case Held:
		m.connections[e.ID] = &modelConnection{waits: true, passedOn: true}
	case Resized:
		if c := m.connections[e.ID]; c == nil || c.waits || c.closed {
			return
		} else {
			c.waits = true
		}
	case PassedOn:
		if c := m.connections[e.ID]; c == nil || c.waits || c.closed || c.evicted {
			return
		} else {
			c.passedOn = true
		}
	case RequestEnded:
		if c := m.connections[e.ID]; c == nil || c.waits || c.closed {
			return
		} else {
			c.passedOn = false
		}
	case Closed:
		if c := m.connections[e.ID]; c == nil || c.closed {
			return
		} else {
			c.closed = true
		}
	}
	for _, f := range m.reducer.Step(now, e) {
		m.apply(t, f)
	}
	m.check(t)
}

func (m *model) apply(t *rapid.T, f Effect) {
	switch f := f.(type) {
	case Grant:
		m.connections[f.ID].waits = false
	case Refuse:
		m.connections[f.ID].waits = false
		if m.reducer.byID[f.ID] == nil {
			m.connections[f.ID].closed = true
		}
	case Evict:
		if m.connections[f.ID].passedOn {
			t.Fatalf("connection %d was evicted after its request was passed on", f.ID)
		}
		m.connections[f.ID].evicted = true
	}
}

func (m *model) check(t *rapid.T) {
	r := m.reducer
	sum, evicted, waiting := int64(0), int64(0), 0
	for _, h := range r.holders {
		sum += h.bytes()
		if h.evicted {
			evicted += h.bytes()
		}
		if h.wanted > 0 {
			waiting++
		}
		if m.connections[h.id].waits != (h.wanted > 0) {
			t.Fatalf("holder %d waits for %d bytes, but was told otherwise", h.id, h.wanted)
		}
	}
	switch {
	case sum != r.sum || evicted != r.evictedBytes || waiting != len(r.waiting):
		t.Fatalf("sum %d, evicted %d, waiting %d; the reducer has %d, %d, %d", sum, evicted, waiting, r.sum, r.evictedBytes, len(r.waiting))
	case r.sum > r.limits.Bytes || r.sockets > r.limits.Connections:
		t.Fatalf("%d bytes and %d connections exceed the limits", r.sum, r.sockets)
	case waiting > 0 && evicted == 0:
		t.Fatalf("%d holders wait, and nothing will be released", waiting)
	}
}
