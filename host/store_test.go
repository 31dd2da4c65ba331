package host

import (
	"io"
	"testing"
	"time"

	"banyanrun.example/banyanrun/platform"
	"banyanrun.example/banyanrun/platform/emulator"
	"banyanrun.example/banyanrun/scheduler"
)

// newStoreDaemon returns a daemon that is not running, for calls to the store of an
// emulated platform.
func newStoreDaemon(t *testing.T) *Daemon {
	t.Helper()
	emulated, err := emulator.Start(emulator.Config{Workers: 1, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	d := New(&platform.Settings{Host: "host-0", StoreAddress: emulated.StoreAddress()}, io.Discard, Options{})
	t.Cleanup(func() {
		d.writer.Close()
		if violations := emulated.Close(); len(violations) > 0 {
			t.Errorf("violations at the workers: %v", violations)
		}
	})
	return d
}

// TestClaimWithOutdatedLogIsRejected guards against a host that becomes the owner with
// an outdated state: another owner has written the group with the next sequence number
// and has deleted it again after a snapshot.
func TestClaimWithOutdatedLogIsRejected(t *testing.T) {
	d, ctx := newStoreDaemon(t), t.Context()
	claim := func(sequence, preceding int64) scheduler.ClaimAnswered {
		return d.claimOwnership(ctx, scheduler.ClaimOwnership{
			Record: scheduler.OwnerRecord{Host: "host-0", Address: "a", Generation: 1}, TTL: time.Minute,
			Opening: scheduler.Group{Sequence: sequence, Generation: 1}, Preceding: preceding,
		})
	}
	first := claim(1, 0)
	if first.Outcome != scheduler.Done {
		t.Fatalf("the claim on an empty log has the outcome %v", first.Outcome)
	}
	write := func(sequence int64) scheduler.GroupWritten {
		written := d.writeGroup(ctx, scheduler.WriteGroup{Group: scheduler.Group{Sequence: sequence, Generation: 1}, OwnerRevision: first.Revision})
		if written.Outcome != scheduler.Done || written.Revision == 0 {
			t.Fatalf("group %d: outcome %v at revision %d", sequence, written.Outcome, written.Revision)
		}
		return written
	}
	written := write(2)
	read := d.readLog(ctx)
	if read.Err != nil || len(read.Groups) != 2 || read.LastRevision != written.Revision {
		t.Fatalf("read %d groups up to revision %d, error %v; want 2 up to %d", len(read.Groups), read.LastRevision, read.Err, written.Revision)
	}
	write(3)
	last := write(4)
	if deleted := d.deleteGroups(ctx, scheduler.DeleteGroups{From: 1, Through: 3, OwnerRevision: first.Revision}); deleted.Outcome != scheduler.Done {
		t.Fatalf("the deletion has the outcome %v", deleted.Outcome)
	}
	d.endLeaseDirect(ctx, first.Lease)
	if a := claim(3, read.LastRevision); a.Outcome != scheduler.Conflict || !a.LogChanged || a.OwnerExists {
		t.Errorf("claim with the outdated log: %+v, want a conflict because the log has changed", a)
	}
	if a := claim(5, last.Revision); a.Outcome != scheduler.Done {
		t.Errorf("claim with the current log: %+v", a)
	}
}
