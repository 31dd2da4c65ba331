// Package storeclient is the client for the platform's store, with its leases and
// watches, and for the platform's host list. Every result tells what is known
// about the effect of the call.
package storeclient

import (
	"context"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// Result is the outcome of a call on keys. Err is nil exactly when Outcome is
// StoreOK.
type Result struct {
	Outcome core.StoreOutcome
	// Items holds the items that were read or, after a conflict, the current
	// item if the key exists.
	Items    []wire.Item
	Revision int64
	Err      error
}

// LeaseResult is the outcome of a call on a lease.
type LeaseResult struct {
	Outcome    core.StoreOutcome
	Lease      core.LeaseID
	TimeToLive time.Duration
	Err        error
}

// HostsResult is the platform's list of workers and entry hosts.
type HostsResult struct {
	Outcome core.StoreOutcome
	// Unchanged is set when the list has not changed since this client last
	// read it. Workers and Hosts are then empty.
	Unchanged bool
	Workers   []core.ListedWorker
	Hosts     []core.ListedHost
	Err       error
}

// Write is a compare-and-swap of one key.
type Write struct {
	Key   string
	Value []byte
	// IfRevision is the revision that the key must have. Zero requires that
	// the key does not exist.
	IfRevision int64
	// Lease, if set, is the lease whose end deletes the key.
	Lease core.LeaseID
}

// Store is the platform's key-value store.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) Result
	// List reads all keys with a prefix, in key order.
	List(ctx context.Context, prefix string) Result
	// Put writes a key if it has the expected revision.
	Put(ctx context.Context, w Write) Result
	// Delete deletes keys in one call. Missing keys are not an error.
	Delete(ctx context.Context, keys []string) Result
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, timeToLive time.Duration) LeaseResult
	// RenewLease restarts a lease's time to live.
	RenewLease(ctx context.Context, lease core.LeaseID) LeaseResult
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, lease core.LeaseID) LeaseResult
	// Watch waits up to wait for a key with the prefix to have a revision
	// greater than since. Deletions are not reported.
	Watch(ctx context.Context, prefix string, since int64, wait time.Duration) Result
}

// HostLister reads the platform's host list.
type HostLister interface {
	// Hosts reads the list, which may be stale.
	Hosts(ctx context.Context) HostsResult
}
