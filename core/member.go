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
	// GrantVersion, Grants and GrantFor are what an owner gives the receiver.
	GrantVersion uint64
	Grants       []Grant
	GrantFor     time.Duration
	// Calls is the sender's use of grants and its waiting requests.
	Calls []CallReport
	// Documents carries versions that the receiver may lack.
	Documents []DocumentVersion
	// Revisions tells which revisions the sender has in force.
	Revisions []TeamRevision
	Draining  bool
}

// TeamRevision names the revision of a team's document.
type TeamRevision struct {
	Team     TeamName
	Revision Revision
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
