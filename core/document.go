package core

import "time"

// Identifiers of the parties that the reducer knows.
type (
	// TeamName names a team, which owns one service document.
	TeamName string
	// KindName names a kind of request within a team's document.
	KindName string
	// JobID is the caller's identifier of a job or an interactive request.
	JobID string
	// WorkerID names a worker (an upstream).
	WorkerID string
	// HostID names an entry host.
	HostID string
	// DataCentre names a data centre.
	DataCentre string
	// Region names a region, which holds one or more data centres.
	Region string
)

// Urgency orders kinds of work. A lower value is more urgent.
type Urgency uint8

// The urgencies, most urgent first.
const (
	Interactive Urgency = iota
	Urgent
	Normal
	Background

	urgencies = 4
)

var urgencyNames = [urgencies]string{"interactive", "urgent", "normal", "background"}

// String returns the name used in documents.
func (u Urgency) String() string { return urgencyNames[u] }

// MarshalText encodes the urgency by name.
func (u Urgency) MarshalText() ([]byte, error) { return []byte(u.String()), nil }

// UnmarshalText decodes an urgency name.
func (u *Urgency) UnmarshalText(text []byte) error {
	i, err := indexOfName("urgency", urgencyNames[:], string(text))
	*u = Urgency(i)
	return err
}

// Document is what a team declares about its service.
type Document struct {
	Team    TeamName
	Service string
	// Weight is the team's share relative to other teams.
	Weight int64
	// Quota is what the team is entitled to in each data centre. Idle
	// capacity beyond it may be borrowed.
	Quota Resources
	Kinds []Kind
	// GiveUpFirst lists kinds in the order in which they are shed when
	// capacity is short.
	GiveUpFirst []KindName
	Services    []Service
}

// Kind declares one kind of request.
type Kind struct {
	Name       KindName
	Urgency    Urgency
	Idempotent bool
	// Request is what one task takes.
	Request Resources
	// RunTime is the declared run time of one task.
	RunTime time.Duration
	// StartWithin bounds the time from submit to start.
	StartWithin time.Duration
	// Deadline bounds the time from submit to the final outcome.
	Deadline time.Duration
	// GangSize is the number of tasks that must start together.
	GangSize int
	// RestartGang restarts the whole gang when a member fails; otherwise
	// only the member is started again.
	RestartGang bool
	// MaxAttempts bounds the starts of one task.
	MaxAttempts int
	// QueueLimit bounds the waiting jobs of this kind in one data centre.
	QueueLimit int
	Preemption PreemptionPolicy
	// CrossRegion allows a job to be sent over a paid link.
	CrossRegion bool
	// ProgressTimeout is how long an interactive answer may stand still
	// before its connection is given up.
	ProgressTimeout time.Duration
}

// PreemptionPolicy says what may be done to a running task of a kind in favour
// of more urgent work.
type PreemptionPolicy struct {
	Throttle   bool
	Checkpoint bool
	Stop       bool
	// MaxTimes bounds how often one job may be checkpointed or stopped.
	MaxTimes int
}

// Service declares a long-running service with a number of replicas in each
// data centre that is listed, or in all when none is.
type Service struct {
	Name     string
	Kind     KindName
	Replicas int
	// Payload is handed to the worker with each start. Only the worker reads
	// it.
	Payload     string
	DataCentres []DataCentre
}

// Kind returns the kind with the given name.
func (d *Document) Kind(name KindName) (*Kind, bool) {
	for i := range d.Kinds {
		if d.Kinds[i].Name == name {
			return &d.Kinds[i], true
		}
	}
	return nil, false
}

// Revision is the store's revision of a document. It only grows.
type Revision int64

// DocumentVersion is one accepted edit of a document.
type DocumentVersion struct {
	Document Document
	Revision Revision
	// Author is the operator who made the edit.
	Author string
	// Time is when the edit was proposed.
	Time Time
}
