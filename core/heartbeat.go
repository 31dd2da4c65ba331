package core

import "time"

// Heartbeat is what the hosts of a data centre tell each other.
type Heartbeat struct {
	From        HostID
	Address     string
	Incarnation uint64
	// Owner is set when the sender owns the data centre at Epoch.
	Owner bool
	Epoch Epoch
	// Acknowledged is the version of the receiver's grants that the sender
	// has in force.
	Acknowledged uint64
	// AckEpoch is the epoch of the grants that the sender has in force.
	AckEpoch Epoch
	// HighestEpoch is the highest epoch that the sender has heard of. It
	// tells an owner that is cut off from its successor that it has one.
	HighestEpoch Epoch
	// GrantVersion, Grants and GrantFor are what an owner gives the receiver.
	GrantVersion uint64
	Grants       []Grant
	// GrantsWhole is set when Grants is the whole list, even if it is empty.
	// Heartbeats of an unchanged version leave the list out.
	GrantsWhole bool
	GrantFor    time.Duration
	// Elsewhere is set while the data centre has no usable worker, see
	// SetGrants.
	Elsewhere []string
	// Calls is the sender's use of grants and its waiting requests.
	Calls []CallReport
	// DocumentDigest is a digest over the revisions that the sender has in
	// force. A list of them would cost 3.6 KB/s with 120 teams.
	DocumentDigest uint64
	// NeedDocuments asks the receiver for all documents. A host asks after
	// its start, since the store's answer may be older than what its peers
	// have in force.
	NeedDocuments bool
	// Standby and StandbyEpoch are those of the owner's record.
	Standby      HostID
	StandbyEpoch Epoch
	Draining     bool
}

// Summary is what the owners of data centres tell each other.
type Summary struct {
	From       HostID
	Address    string
	DataCentre DataCentre
	Region     Region
	Epoch      Epoch
	Free       Resources
	// Largest is the largest free room on one worker.
	Largest Resources
	// Wait is the expected wait by urgency.
	Wait [urgencies]time.Duration
}
