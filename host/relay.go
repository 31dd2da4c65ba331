package host

import (
	"context"

	"banyanrun.example/banyanrun/scheduler"
)

// storeRequest asks another host to make a call to the store. Exactly one field is
// set: the group to write, or the lease to renew or to end.
type storeRequest struct {
	Write *scheduler.WriteGroup `json:"write,omitempty"`
	Renew int64                 `json:"renew,omitempty"`
	End   int64                 `json:"end,omitempty"`
}

// storeResponse is the result of a relayed call. The owner replaces Renewed.Sent by
// the time at which it sent the call itself, from which its lease counts.
type storeResponse struct {
	Written scheduler.GroupWritten `json:"written"`
	Renewed scheduler.LeaseRenewed `json:"renewed"`
}

// executeStoreRequest makes a call to the store for another host.
func (d *Daemon) executeStoreRequest(ctx context.Context, s storeRequest) storeResponse {
	var out storeResponse
	switch {
	case s.Write != nil:
		out.Written = d.writeGroupDirect(ctx, *s.Write)
	case s.Renew != 0:
		out.Renewed = d.renewLeaseDirect(ctx, scheduler.RenewLease{Lease: s.Renew})
	case s.End != 0:
		d.endLeaseDirect(ctx, s.End)
	}
	return out
}

// callStoreVia makes a call to the store through another host. It returns false if
// that host did not respond.
func (d *Daemon) callStoreVia(ctx context.Context, via string, s storeRequest) (storeResponse, bool) {
	var out storeResponse
	if failure := d.callPeer(ctx, via, pathStore, s, &out, storeTimeout); failure != nil {
		d.log.Info().Err(failure).Str("event", "relay").Str("outcome", "failed").Str("via", via).Send()
		return out, false
	}
	return out, true
}

// writeGroup appends a group to the log, directly or through the host in e.Via.
func (d *Daemon) writeGroup(ctx context.Context, e scheduler.WriteGroup) scheduler.GroupWritten {
	if e.Via == "" {
		return d.writeGroupDirect(ctx, e)
	}
	out, ok := d.callStoreVia(ctx, e.Via, storeRequest{Write: &e})
	if !ok {
		return e.Unanswered().(scheduler.GroupWritten)
	}
	out.Written.Via = e.Via
	return out.Written
}

// renewLease renews the owner's lease, directly or through the host in e.Via.
func (d *Daemon) renewLease(ctx context.Context, e scheduler.RenewLease) scheduler.LeaseRenewed {
	if e.Via == "" {
		return d.renewLeaseDirect(ctx, e)
	}
	sent := now()
	out, ok := d.callStoreVia(ctx, e.Via, storeRequest{Renew: e.Lease})
	if !ok {
		return scheduler.LeaseRenewed{Lease: e.Lease, Sent: sent, Outcome: scheduler.InDoubt, Via: e.Via}
	}
	out.Renewed.Sent, out.Renewed.Via = sent, e.Via
	return out.Renewed
}

// endLease ends the owner's lease, and with it the ownership, directly or through
// the host in e.Via.
func (d *Daemon) endLease(ctx context.Context, e scheduler.EndLease) {
	if e.Via == "" {
		d.endLeaseDirect(ctx, e.Lease)
		return
	}
	d.callStoreVia(ctx, e.Via, storeRequest{End: e.Lease})
}

// endLeaseDirect ends a lease from this host.
func (d *Daemon) endLeaseDirect(ctx context.Context, lease int64) {
	if err := d.store.EndLease(ctx, lease); err != nil {
		d.log.Warn().Err(err).Str("event", "owner").Str("outcome", "lease_not_ended").Send()
	}
}
