package store

import (
	"testing"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// harness steps a reducer at explicit times in milliseconds.
type harness struct {
	t    *testing.T
	r    *Reducer
	next RequestID
}

func newHarness(t *testing.T, limits Limits, list wire.HostList) *harness {
	return &harness{t: t, r: New(limits, Faults{}, list)}
}

func at(ms int64) core.Time { return core.Time(ms * int64(time.Millisecond)) }

func (h *harness) step(ms int64, body EventBody) []Effect {
	return h.r.Step(Event{At: at(ms), Body: body})
}

// call returns the answers that a call causes immediately.
func (h *harness) call(ms int64, call Call) []Answer {
	h.next++
	return answers(h.step(ms, CallReceived{Request: h.next, Call: call}))
}

// expectOne fails the test unless the call gets a single answer with the
// status.
func (h *harness) expectOne(ms int64, call Call, want Status) Answer {
	h.t.Helper()
	got := h.call(ms, call)
	if len(got) != 1 || got[0].Status != want || got[0].Request != h.next {
		h.t.Fatalf("%T at %d ms: answers %+v, want status %d for request %d", call, ms, got, want, h.next)
	}
	return got[0]
}

func (h *harness) put(ms int64, key, value string, ifRevision int64) int64 {
	h.t.Helper()
	a := h.expectOne(ms, Put{Key: key, Value: []byte(value), IfRevision: ifRevision}, OK)
	return a.Body.(wire.PutResponse).Revision
}

func answers(effects []Effect) (list []Answer) {
	for _, f := range effects {
		if a, ok := f.(Answer); ok {
			list = append(list, a)
		}
	}
	return list
}

// Guards against reporting success to two writers of the same revision.
func TestCompareAndSwapAdmitsOneWriter(t *testing.T) {
	h := newHarness(t, Limits{}, wire.HostList{})
	first := h.put(0, "k", "a", 0)
	a := h.expectOne(1, Put{Key: "k", Value: []byte("b")}, Conflict)
	if item := a.Body.(wire.Item); string(item.Value) != "a" || item.Revision != first {
		t.Errorf("conflict shows %+v", item)
	}
	second := h.put(2, "k", "c", first)
	h.expectOne(3, Put{Key: "k", IfRevision: first}, Conflict)
	h.expectOne(4, Delete{Keys: []string{"k", "absent"}}, OK)
	h.expectOne(5, Get{Key: "k"}, NotFound)
	if third := h.put(6, "k", "d", 0); third <= second {
		t.Errorf("revision went from %d to %d", second, third)
	}
	h.expectOne(7, Put{Key: "big", Value: make([]byte, wire.MaxValueBytes+1)}, TooLarge)
}

// Guards against a lease that outlives its time to live, or expires although it
// is renewed.
func TestExpiredLeaseDeletesItsKeys(t *testing.T) {
	h := newHarness(t, Limits{}, wire.HostList{})
	lease := h.expectOne(0, Grant{TimeToLive: 6 * time.Second}, OK).Body.(wire.LeaseResponse).ID
	h.expectOne(1, Put{Key: "owner", Lease: lease}, OK)
	h.put(1, "other", "x", 0)
	h.expectOne(4000, Renew{Lease: lease}, OK)
	h.expectOne(9999, Get{Key: "owner"}, OK)
	h.expectOne(10_000, Get{Key: "owner"}, NotFound)
	h.expectOne(10_000, Renew{Lease: lease}, NotFound)
	h.expectOne(10_000, Put{Key: "owner", Lease: lease}, NotFound)
	h.expectOne(10_000, Get{Key: "other"}, OK)

	revoked := h.expectOne(11_000, Grant{TimeToLive: time.Minute}, OK).Body.(wire.LeaseResponse).ID
	h.expectOne(11_000, Put{Key: "owner", Lease: revoked}, OK)
	h.expectOne(11_001, Revoke{Lease: revoked}, OK)
	h.expectOne(11_002, Get{Key: "owner"}, NotFound)
}

// Guards against a dropped answer whose write has no effect. An owner that
// reads back such a write must find it, as in a real store.
func TestDroppedAnswerTakesEffect(t *testing.T) {
	h := newHarness(t, Limits{}, wire.HostList{})
	h.step(0, FaultsSet{Faults{LoseNext: 1}})
	if a := h.expectOne(0, Put{Key: "k", Value: []byte("a")}, OK); !a.Dropped {
		t.Error("answer was not dropped")
	}
	if a := h.expectOne(1, Get{Key: "k"}, OK); a.Dropped || string(a.Body.(wire.Item).Value) != "a" {
		t.Errorf("read back %+v", a)
	}
	if a := h.expectOne(2, Put{Key: "l"}, OK); a.Dropped {
		t.Error("more answers were dropped than the switch says")
	}
}

// Guards against a watch that misses a change, answers without one, or is
// answered after its caller has given up.
func TestWatchAnswersOnChangeOnly(t *testing.T) {
	h := newHarness(t, Limits{}, wire.HostList{})
	since := h.put(0, "documents/a", "1", 0)
	h.expectOne(1, Watch{Prefix: "documents/", Wait: time.Second}, OK)
	if got := h.call(2, Watch{Prefix: "documents/", Since: since, Wait: time.Second}); len(got) != 0 {
		t.Fatalf("watch without a change was answered: %+v", got)
	}
	waiting := h.next
	h.put(3, "elsewhere", "x", 0)
	got := h.call(4, Put{Key: "documents/b", Value: []byte("2")})
	if len(got) != 2 || got[0].Request != waiting || len(got[0].Body.(wire.ItemList).Items) != 1 {
		t.Fatalf("answers to a change: %+v", got)
	}
	h.call(5, Watch{Prefix: "none/", Wait: time.Second})
	if got := answers(h.step(1005, Tick{})); len(got) != 1 || len(got[0].Body.(wire.ItemList).Items) != 0 {
		t.Fatalf("answers at the end of the wait: %+v", got)
	}
	h.call(1006, Watch{Prefix: "none/", Wait: time.Second})
	h.step(1007, RequestAbandoned{Request: h.next})
	if got := answers(h.step(9000, Tick{})); len(got) != 0 {
		t.Errorf("abandoned watch was answered: %+v", got)
	}
}

// Guards against stale reads that return current data, or data older than the
// switch allows.
func TestStaleReads(t *testing.T) {
	h := newHarness(t, Limits{}, wire.HostList{})
	first := h.put(0, "k", "old", 0)
	h.step(100, FaultsSet{Faults{StaleMS: 1000}})
	second := h.put(200, "k", "new", first)
	h.put(200, "added", "x", 0)
	if got := h.expectOne(1199, List{}, OK).Body.(wire.ItemList); len(got.Items) != 1 || string(got.Items[0].Value) != "old" || got.Revision != first {
		t.Errorf("list before the new values are old enough: %+v", got)
	}
	h.expectOne(1199, Get{Key: "added"}, NotFound)
	if got := h.expectOne(1200, Get{Key: "k"}, OK).Body.(wire.Item); string(got.Value) != "new" || got.Revision != second {
		t.Errorf("get once the new value is old enough: %+v", got)
	}
	h.expectOne(1300, Delete{Keys: []string{"k"}}, OK)
	h.expectOne(1400, Get{Key: "k"}, OK)
	h.step(1500, FaultsSet{})
	h.expectOne(1500, Get{Key: "k"}, NotFound)
}

// Guards against refused calls that take effect, and against wrong counters,
// from which the load of the hosts on the store is measured.
func TestRefusedCallsTakeNoEffectAndAreCounted(t *testing.T) {
	h := newHarness(t, Limits{Reads: 3, Writes: 2}, wire.HostList{})
	h.put(1000, "a", "", 0)
	h.put(1000, "b", "", 0)
	h.expectOne(1000, Put{Key: "c"}, RateLimited)
	h.expectOne(1000, Get{Key: "c"}, NotFound)
	h.put(1500, "c", "", 0) // half a second refills one token
	h.call(1500, Watch{Prefix: "w", Wait: time.Minute})
	waiting := h.next
	if got := answers(h.step(1600, FaultsSet{Faults{Outage: OutageRefuse}})); len(got) != 1 || got[0].Request != waiting || got[0].Status != Unavailable {
		t.Errorf("waiting watch in an outage: %+v", got)
	}
	h.expectOne(2500, Put{Key: "d"}, Unavailable)
	h.step(2500, FaultsSet{Faults{Outage: OutageHang}})
	if got := h.call(2500, Put{Key: "d"}); len(got) != 0 {
		t.Errorf("hanging store answered: %+v", got)
	}
	h.step(2500, FaultsSet{})
	h.expectOne(2500, Get{Key: "d"}, NotFound)
	got := answers(h.step(2500, ReportRequested{}))[0].Body.(Report)
	if got.Writes != 6 || got.Reads != 2 || got.Watches != 1 || got.RateLimited != 1 || got.Unavailable != 2 || got.Keys != 3 {
		t.Errorf("report %+v", got)
	}
}

// Guards against a host list that shows changes without the lag, and against a
// worker that is notified that it is leaving before the list shows it.
func TestHostListLags(t *testing.T) {
	list := wire.HostList{Workers: []wire.ListedWorker{{ID: "w1"}, {ID: "w2"}}}
	h := newHarness(t, Limits{}, list)
	h.step(0, FaultsSet{Faults{HostLagMS: 500}})
	if effects := h.step(100, WorkerLeft{ID: "w1"}); len(effects) != 1 || effects[0] != (WakeAt{at(600)}) {
		t.Errorf("effects of a change: %+v", effects)
	}
	h.step(200, HostListed{wire.ListedHost{ID: "h1"}})
	if got := h.expectOne(599, Hosts{}, OK).Body.(wire.HostList); got.Workers[0].Leaving || len(got.Hosts) != 0 {
		t.Errorf("list before the lag: %+v", got)
	}
	effects := h.step(600, Tick{})
	if len(effects) == 0 || effects[0] != (WorkerListingChanged{ID: "w1", Leaving: true}) {
		t.Errorf("effects at the lag: %+v", effects)
	}
	h.step(650, WorkerLeft{ID: "w2", Removed: true})
	got := h.expectOne(2000, Hosts{}, OK).Body.(wire.HostList)
	if len(got.Workers) != 1 || !got.Workers[0].Leaving || len(got.Hosts) != 1 {
		t.Errorf("list after the lag: %+v", got)
	}
	if list.Workers[0].Leaving {
		t.Error("list that was passed to New has changed")
	}
}
