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

// callTimeout is long enough that no test reaches it.
const callTimeout = time.Minute

// hangTimeout limits the call to a store that does not respond.
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

// Guards against a call that the client and the store interpret differently, for
// instance with a key that needs escaping.
func TestClientAndStoreAgreeOnCalls(t *testing.T) {
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

// Guards against an owner that continues to hold a lease after the store has
// ended it.
func TestRevokedLeaseIsNotRenewed(t *testing.T) {
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

// Guards against treating a write whose response was lost as not sent: the write
// may have taken effect.
func TestLostResponseLeavesWriteInDoubt(t *testing.T) {
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

// Guards against wrong outcomes during an outage: a write that the store may have
// received is in doubt, and a write that it refused or never received is not sent.
func TestOutcomesDuringOutage(t *testing.T) {
	s, c := startStore(t, store.Limits{Writes: 1})
	w := storeclient.Write{Key: "k"}
	setFaults(t, s, store.Faults{Outage: store.OutageRefuse})
	wantOutcome(t, "status 503", c.Put(t.Context(), w), core.StoreNotSent)
	setFaults(t, s, store.Faults{Outage: store.OutageHang})
	shortTimeoutClient := storeclient.New(storeclient.Config{Address: s.StoreAddress(), CallTimeout: hangTimeout})
	defer shortTimeoutClient.Close()
	wantOutcome(t, "no response", shortTimeoutClient.Put(t.Context(), w), core.StoreInDoubt)
	unreachable := storeclient.New(storeclient.Config{Address: testaddr.Refusing(t), CallTimeout: time.Minute})
	defer unreachable.Close()
	wantOutcome(t, "refused connection", unreachable.Put(t.Context(), w), core.StoreNotSent)
}

// Guards against trusting the response of a faulty server, or of one that is not
// the store, as the outcome of a call.
func TestOutcomesByStatus(t *testing.T) {
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

// Guards against reporting a call as in doubt when no connection to the store was
// established.
func TestUnreachableStoreIsNotInDoubt(t *testing.T) {
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
