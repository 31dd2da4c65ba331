// Package store implements the stand-in's platform as a reducer: a key-value
// store with leases and watches, its fault switches, and a host list that shows
// changes with a lag.
//
// Reducer.Step takes an Event with its time and returns Effects. The package
// performs no I/O and reads no clock.
package store

import (
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// RequestID identifies an open request; the Answer to it carries the same id.
type RequestID uint64

// Event is one input of the reducer.
type Event struct {
	At   core.Time
	Body EventBody
}

// EventBody is implemented by the event types of this package.
type EventBody interface{ eventBody() }

// The event types.
type (
	// CallReceived is a call on the store or the host list.
	CallReceived struct {
		Request RequestID
		Call    Call
	}
	// RequestAbandoned says that the caller no longer waits for its answer.
	RequestAbandoned struct{ Request RequestID }
	// Tick lets due timers fire.
	Tick struct{}
	// FaultsSet replaces the fault switches.
	FaultsSet struct{ Faults Faults }
	// ReportRequested requests the counters. It is not counted itself.
	ReportRequested struct{ Request RequestID }
	// WorkerListed adds a worker to the host list or replaces its entry.
	WorkerListed struct{ Worker wire.ListedWorker }
	// WorkerLeft marks a worker as leaving, or removes it if Removed is
	// set.
	WorkerLeft struct {
		ID      string
		Removed bool
	}
	// HostListed adds an entry host to the host list or replaces its entry.
	HostListed struct{ Host wire.ListedHost }
	// HostLeft marks an entry host as leaving, or removes it if Removed is
	// set.
	HostLeft struct {
		ID      string
		Removed bool
	}
)

// Call is implemented by the call types of this package.
type Call interface{ kind() Kind }

// The call types.
type (
	// Get reads one key.
	Get struct{ Key string }
	// List reads the keys with a prefix.
	List struct{ Prefix string }
	// Put writes a key if its revision is IfRevision; zero means that the
	// key must not exist.
	Put struct {
		Key        string
		Value      []byte
		IfRevision int64
		Lease      string
	}
	// Delete deletes keys.
	Delete struct{ Keys []string }
	// Grant creates a lease.
	Grant struct{ TimeToLive time.Duration }
	// Renew renews a lease.
	Renew struct{ Lease string }
	// Revoke ends a lease.
	Revoke struct{ Lease string }
	// Watch waits until a key with the prefix has a revision above Since.
	Watch struct {
		Prefix string
		Since  int64
		Wait   time.Duration
	}
	// Hosts reads the host list; its content is left out if Since is the
	// current version.
	Hosts struct{ Since int64 }
)

// Kind is the name of a call type in the counters.
type Kind string

// The kinds of call.
const (
	KindGet    Kind = "get"
	KindList   Kind = "list"
	KindPut    Kind = "put"
	KindDelete Kind = "delete"
	KindGrant  Kind = "lease_grant"
	KindRenew  Kind = "lease_renew"
	KindRevoke Kind = "lease_revoke"
	KindWatch  Kind = "watch"
	KindHosts  Kind = "hosts"
)

// write reports whether calls of this kind change the store.
func (k Kind) write() bool {
	switch k {
	case KindPut, KindDelete, KindGrant, KindRenew, KindRevoke:
		return true
	}
	return false
}

// Status is the result of a call.
type Status uint8

// The results of a call.
const (
	OK Status = iota
	NotFound
	Conflict
	TooLarge
	RateLimited
	Unavailable
)

// Effect is implemented by the effect types of this package.
type Effect interface{ effect() }

// The effect types.
type (
	// Answer answers a request.
	Answer struct {
		Request RequestID
		Status  Status
		// Body is a wire type, a Report, or nil.
		Body any
		// Delay is how long the answer is delayed.
		Delay time.Duration
		// Dropped means that the connection is closed instead.
		Dropped bool
	}
	// WakeAt requests a Tick at a time. It replaces the WakeAt before it.
	WakeAt struct{ At core.Time }
	// WorkerListingChanged says that the published entry of a worker has
	// changed. A worker that was removed counts as leaving.
	WorkerListingChanged struct {
		ID      string
		Leaving bool
	}
)

// Outage selects how the store fails.
type Outage string

// The kinds of outage.
const (
	OutageNone Outage = ""
	// OutageRefuse answers every call with Unavailable.
	OutageRefuse Outage = "refuse"
	// OutageHang accepts calls but neither executes nor answers them.
	OutageHang Outage = "hang"
)

// Faults are the store's fault switches.
type Faults struct {
	Outage  Outage `json:"outage"`
	DelayMS int64  `json:"delay_ms"`
	// LoseNext closes the connection instead of answering the next n
	// successful writes. The writes take effect.
	LoseNext int `json:"lose_next"`
	// LoseEvery does the same for every n-th successful write.
	LoseEvery int64 `json:"lose_every"`
	// StaleMS is the age of the data that gets and lists return. They never
	// return data from before the switch was set.
	StaleMS int64 `json:"stale_ms"`
	// HostLagMS is the delay with which the host list shows changes.
	HostLagMS int64 `json:"host_lag_ms"`
}

// Report is the answer to ReportRequested.
type Report struct {
	Faults Faults `json:"faults"`
	// Calls counts the calls by kind, refused ones included.
	Calls map[Kind]int64 `json:"calls"`
	// Reads, Writes and Watches sum Calls by category; reads of the host
	// list are not included.
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	Watches     int64 `json:"watches"`
	RateLimited int64 `json:"rate_limited"`
	Unavailable int64 `json:"unavailable"`
	LostAnswers int64 `json:"lost"`
	Revision    int64 `json:"revision"`
	Keys        int   `json:"keys"`
	Leases      int   `json:"leases"`
	ValueBytes  int64 `json:"value_bytes"`
}

func (CallReceived) eventBody()     {}
func (RequestAbandoned) eventBody() {}
func (Tick) eventBody()             {}
func (FaultsSet) eventBody()        {}
func (ReportRequested) eventBody()  {}
func (WorkerListed) eventBody()     {}
func (WorkerLeft) eventBody()       {}
func (HostListed) eventBody()       {}
func (HostLeft) eventBody()         {}

func (Get) kind() Kind    { return KindGet }
func (List) kind() Kind   { return KindList }
func (Put) kind() Kind    { return KindPut }
func (Delete) kind() Kind { return KindDelete }
func (Grant) kind() Kind  { return KindGrant }
func (Renew) kind() Kind  { return KindRenew }
func (Revoke) kind() Kind { return KindRevoke }
func (Watch) kind() Kind  { return KindWatch }
func (Hosts) kind() Kind  { return KindHosts }

func (Answer) effect()               {}
func (WakeAt) effect()               {}
func (WorkerListingChanged) effect() {}
