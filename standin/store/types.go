// Package store is the stand-in's reducer for the platform: the key-value store
// with leases and watches, its fault switches, and the lagging host list.
//
// Reducer.Step takes an Event with its time and returns Effects. The package
// performs no I/O and reads no clock.
package store

import (
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// RequestID names an open request; its Answer carries it back.
type RequestID uint64

// Event is one input of the reducer.
type Event struct {
	At   core.Time
	Body EventBody
}

// EventBody is one of the event types of this package.
type EventBody interface{ eventBody() }

// The events.
type (
	// Asked is a call on the store or the host list.
	CallReceived struct {
		Request RequestID
		Call    Call
	}
	// Abandoned says that a caller no longer waits.
	RequestAbandoned struct{ Request RequestID }
	// Elapsed says that time has passed.
	Tick struct{}
	// FaultsSet replaces the fault switches.
	FaultsSet struct{ Faults Faults }
	// StatusAsked asks for the counts; it is not counted itself.
	ReportRequested struct{ Request RequestID }
	// WorkerListed adds or changes a worker of the host list.
	WorkerListed struct{ Worker wire.ListedWorker }
	// WorkerLeft marks a worker as leaving, or removes it if Gone is set.
	WorkerLeft struct {
		ID      string
		Removed bool
	}
	// HostListed adds or changes an entry host of the host list.
	HostListed struct{ Host wire.ListedHost }
	// HostLeft marks an entry host as leaving, or removes it if Gone is set.
	HostLeft struct {
		ID      string
		Removed bool
	}
)

// Call is one of the call types of this package.
type Call interface{ kind() Kind }

// The calls.
type (
	// Get reads one key.
	Get struct{ Key string }
	// List reads the keys with a prefix.
	List struct{ Prefix string }
	// Put is a compare-and-swap.
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
	// Watch waits for a change after Since.
	Watch struct {
		Prefix string
		Since  int64
		Wait   time.Duration
	}
	// Hosts reads the host list if it has changed since a version.
	Hosts struct{ Since int64 }
)

// Kind is a kind of call; calls are counted by it.
type Kind string

// The kinds.
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

// write reports whether calls of kind k change the store.
func (k Kind) write() bool {
	switch k {
	case KindPut, KindDelete, KindGrant, KindRenew, KindRevoke:
		return true
	}
	return false
}

// Status is the result of a call.
type Status uint8

// The results.
const (
	OK Status = iota
	NotFound
	Conflict
	TooLarge
	RateLimited
	Unavailable
)

// Effect is one of the effect types of this package.
type Effect interface{ effect() }

// The effects.
type (
	// Answer answers a request.
	Answer struct {
		Request RequestID
		Status  Status
		// Body is a wire type, a Report, or nil.
		Body any
		// Delay is how long to hold the answer back.
		Delay time.Duration
		// Lost closes the connection instead of answering.
		Dropped bool
	}
	// WakeAt asks for Elapsed at a time, instead of the time asked for before.
	WakeAt struct{ At core.Time }
	// WorkerShown says that the published list has changed for a worker. A
	// worker that is no longer listed counts as leaving.
	WorkerListingChanged struct {
		ID      string
		Leaving bool
	}
)

// Outage is a way in which the store is down.
type Outage string

// The outages.
const (
	OutageNone Outage = ""
	// OutageRefuse answers every call as unavailable.
	OutageRefuse Outage = "refuse"
	// OutageHang accepts calls, does nothing and never answers them.
	OutageHang Outage = "hang"
)

// Faults are the switches of the store.
type Faults struct {
	Outage  Outage `json:"outage"`
	DelayMS int64  `json:"delay_ms"`
	// LoseNext cuts the connection of this many writes after they took effect.
	LoseNext int `json:"lose_next"`
	// LoseEvery does the same for every n-th write.
	LoseEvery int64 `json:"lose_every"`
	// StaleMS serves gets and lists with data of this age, but none older
	// than the moment at which the switch was set.
	StaleMS int64 `json:"stale_ms"`
	// HostLagMS is the lag of the host list.
	HostLagMS int64 `json:"host_lag_ms"`
}

// Report is the answer to StatusAsked.
type Report struct {
	Faults Faults `json:"faults"`
	// Calls counts by kind, including refused ones.
	Calls map[Kind]int64 `json:"calls"`
	// Reads, Writes and Watches sum Calls; the host list is not included.
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
