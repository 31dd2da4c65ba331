package storeclient_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/internal/testaddr"
	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/standin/store"
	"banyanrun.example/banyanrun/storeclient"
	"banyanrun.example/banyanrun/wire"
)

// callTimeout is never reached, but by the test of a hanging store.
const callTimeout = time.Minute

// hangTimeout bounds the call to a hanging store.
const hangTimeout = 2 * time.Second

func startStore(t *testing.T, limits store.Limits) (*standin.Server, *storeclient.Client) {
	t.Helper()
	s, err := standin.Start(standin.Config{Topology: standin.DefaultTopology(), Limits: limits})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c := storeclient.New(storeclient.Config{Address: s.StoreAddress(), CallTimeout: callTimeout})
	t.Cleanup(c.Close)
	return s, c
}

func setFaults(t *testing.T, s *standin.Server, f store.Faults) {
	t.Helper()
	if err := s.SetStoreFaults(t.Context(), f); err != nil {
		t.Fatal(err)
	}
}

func wantOutcome(t *testing.T, what string, got storeclient.Result, want core.StoreOutcome) {
	t.Helper()
	if got.Outcome != want || (got.Err == nil) != (want == core.StoreOK) {
		t.Fatalf("%s: outcome %d, error %v; want outcome %d", what, got.Outcome, got.Err, want)
	}
}

// Guards against a call that differs between client and store, among them keys
// that need escaping.
func TestCallsReachTheStore(t *testing.T) {
	s, c := startStore(t, store.Limits{})
	ctx := t.Context()
	const key = "documents/a b?c%2F#d"
	put := c.Put(ctx, storeclient.Write{Key: key, Value: []byte{0, 255}})
	wantOutcome(t, "put", put, core.StoreOK)
	got := c.Get(ctx, key)
	wantOutcome(t, "get", got, core.StoreOK)
	if got.Items[0].Key != key || string(got.Items[0].Value) != "\x00\xff" || got.Revision != put.Revision {
		t.Errorf("got %+v", got)
	}
	conflict := c.Put(ctx, storeclient.Write{Key: key, IfRevision: put.Revision + 1})
	wantOutcome(t, "put with a wrong revision", conflict, core.StoreConflict)
	if len(conflict.Items) != 1 || conflict.Revision != put.Revision {
		t.Errorf("conflict shows %+v", conflict)
	}
	absent := c.Put(ctx, storeclient.Write{Key: "absent", IfRevision: 1})
	wantOutcome(t, "put of an absent key", absent, core.StoreConflict)
	if len(absent.Items) != 0 {
		t.Errorf("conflict on an absent key shows %+v", absent)
	}
	wantOutcome(t, "watch with a change", c.Watch(ctx, "documents/", 0, time.Minute), core.StoreOK)
	wantOutcome(t, "delete", c.Delete(ctx, []string{key}), core.StoreOK)
	wantOutcome(t, "get of an absent key", c.Get(ctx, key), core.StoreNotFound)
	wantOutcome(t, "too large a value", c.Put(ctx, storeclient.Write{Key: "big", Value: make([]byte, wire.MaxValueBytes+1)}), core.StoreNotSent)
	wantOutcome(t, "the largest value", c.Put(ctx, storeclient.Write{Key: "big", Value: make([]byte, wire.MaxValueBytes)}), core.StoreOK)
	if list := c.List(ctx, "b"); len(list.Items) != 1 || list.Revision < put.Revision {
		t.Errorf("list: outcome %d, %d items", list.Outcome, len(list.Items))
	}
	hosts := c.Hosts(ctx)
	if len(hosts.Workers) != 48 || hosts.Workers[0].Address != s.Workers()[0].Address || hosts.Workers[0].Capacity.Slots != 8 {
		t.Errorf("host list has %d workers, error %v", len(hosts.Workers), hosts.Err)
	}
}

// Guards against an owner that keeps a lease the store has ended.
func TestLeases(t *testing.T) {
	_, c := startStore(t, store.Limits{})
	ctx := t.Context()
	lease := c.GrantLease(ctx, time.Minute)
	if lease.Outcome != core.StoreOK || lease.TimeToLive != time.Minute {
		t.Fatalf("grant: %+v", lease)
	}
	wantOutcome(t, "put", c.Put(ctx, storeclient.Write{Key: "k", Lease: lease.Lease}), core.StoreOK)
	if got := c.RenewLease(ctx, lease.Lease); got.Outcome != core.StoreOK {
		t.Errorf("renew: %+v", got)
	}
	if got := c.RevokeLease(ctx, lease.Lease); got.Outcome != core.StoreOK {
		t.Errorf("revoke: %+v", got)
	}
	if got := c.RenewLease(ctx, lease.Lease); got.Outcome != core.StoreNotFound {
		t.Errorf("renew after revoke: %+v", got)
	}
	wantOutcome(t, "get after revoke", c.Get(ctx, "k"), core.StoreNotFound)
}

// Guards against a lost answer that counts as a refusal: the write took effect.
func TestLostAnswerLeavesTheWriteInDoubt(t *testing.T) {
	s, c := startStore(t, store.Limits{})
	setFaults(t, s, store.Faults{LoseNext: 1})
	wantOutcome(t, "put", c.Put(t.Context(), storeclient.Write{Key: "k", Value: []byte("v")}), core.StoreInDoubt)
	got := c.Get(t.Context(), "k")
	wantOutcome(t, "read back", got, core.StoreOK)
	if string(got.Items[0].Value) != "v" {
		t.Errorf("read back %+v", got)
	}
	if report, err := s.StoreReport(t.Context()); err != nil || report.Writes != 1 || report.LostAnswers != 1 {
		t.Errorf("the write was repeated or not counted: %+v, %v", report, err)
	}
}

// Guards against outcomes that promise too much or too little in an outage.
func TestOutcomesInAnOutage(t *testing.T) {
	s, c := startStore(t, store.Limits{Writes: 1})
	w := storeclient.Write{Key: "k"}
	setFaults(t, s, store.Faults{Outage: store.OutageRefuse})
	wantOutcome(t, "status 503", c.Put(t.Context(), w), core.StoreNotSent)
	setFaults(t, s, store.Faults{Outage: store.OutageHang})
	hasty := storeclient.New(storeclient.Config{Address: s.StoreAddress(), CallTimeout: hangTimeout})
	defer hasty.Close()
	wantOutcome(t, "no answer", hasty.Put(t.Context(), w), core.StoreInDoubt)
	refused := storeclient.New(storeclient.Config{Address: testaddr.Refusing(t), CallTimeout: time.Minute})
	defer refused.Close()
	wantOutcome(t, "refused connection", refused.Put(t.Context(), w), core.StoreNotSent)
}

// Guards against answers of a broken or foreign server that pass as outcomes.
func TestAnswersByStatus(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		want   core.StoreOutcome
	}{
		{"rate limited", http.StatusTooManyRequests, "", core.StoreNotSent},
		{"an internal error leaves the effect unknown", http.StatusInternalServerError, "", core.StoreInDoubt},
		{"a success that cannot be decoded", http.StatusOK, "{", core.StoreInDoubt},
		{"a conflict that cannot be decoded", http.StatusConflict, "conflict", core.StoreInDoubt},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			client := storeclient.New(storeclient.Config{Address: server.Listener.Addr().String(), CallTimeout: callTimeout})
			defer client.Close()
			wantOutcome(t, c.name, client.Put(t.Context(), storeclient.Write{Key: "k"}), c.want)
		})
	}
}

// Guards against a client that calls a store it never reached "in doubt".
func TestUnreachableStoreGetsNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	c := storeclient.New(storeclient.Config{Address: l.Addr().String(), CallTimeout: callTimeout})
	if got := c.GrantLease(t.Context(), time.Second); got.Outcome != core.StoreNotSent {
		t.Errorf("grant: %+v", got)
	}
}
