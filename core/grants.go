package core

import "time"

// Grant allows the traffic side of one host to have up to Slots interactive
// calls of one kind in progress at one worker. The capacity counts as assigned
// from the moment the grant is issued until it is returned.
type Grant struct {
	Team    TeamName
	Kind    KindName
	Worker  WorkerID
	Address string
	Slots   int
}

// InteractiveKind is what the traffic side needs to know of a kind that is
// served by calls.
type InteractiveKind struct {
	Team            TeamName
	Kind            KindName
	Idempotent      bool
	Deadline        time.Duration
	ProgressTimeout time.Duration
	MaxAttempts     int
	QueueLimit      int
}
