package core

import "time"

// Heartbeat is exchanged between the hosts of a data centre.
type Heartbeat struct {
	From        HostID
	Address     string
	Incarnation uint64
	// Owner is set if the sender owns the data centre at Epoch.
	Owner bool
	Epoch Epoch
	// Acknowledged is the version of the receiver's grants that is in effect
	// on the sender.
	Acknowledged uint64
	// AckEpoch is the epoch of the grants that are in effect on the sender.
	AckEpoch Epoch
	// HighestEpoch is the highest epoch known to the sender. It informs an
	// owner that is partitioned from its successor that it has been replaced.
	HighestEpoch Epoch
	// GrantVersion, Grants and GrantFor are the receiver's grants from the
	// owner.
	GrantVersion uint64
	Grants       []Grant
	// GrantsWhole is set if Grants is the complete list, which may be empty.
	// The list is omitted while its version is unchanged.
	GrantsWhole bool
	GrantFor    time.Duration
	// Elsewhere is set while the data centre has no usable worker, see
	// SetGrants.
	Elsewhere []string
	// Calls contains the sender's usage of grants and its waiting requests.
	Calls []CallReport
	// DocumentDigest is a digest of the revisions of the sender's documents.
	// A list of the revisions would cost 3.6 KB/s with 120 teams.
	DocumentDigest uint64
	// NeedDocuments requests all documents from the receiver. A host sets it
	// after its start, because the store's response may be older than the
	// documents of its peers.
	NeedDocuments bool
	// Standby and StandbyEpoch are copied from the owner record.
	Standby      HostID
	StandbyEpoch Epoch
	Draining     bool
}

// Summary is exchanged between the owners of data centres.
type Summary struct {
	From       HostID
	Address    string
	DataCentre DataCentre
	Region     Region
	Epoch      Epoch
	Free       Resources
	// Largest is the largest free capacity of a single worker.
	Largest Resources
	// Wait is the expected wait by urgency.
	Wait [urgencies]time.Duration
}
