package core

import "time"

// Identifiers.
type (
	// TeamName identifies a team, which owns one service document.
	TeamName string
	// KindName identifies a kind of request within a team's document.
	KindName string
	// JobID identifies a job or an interactive request. The caller chooses it.
	JobID string
	// WorkerID identifies a worker (an upstream).
	WorkerID string
	// HostID identifies an entry host.
	HostID string
	// DataCentre identifies a data centre.
	DataCentre string
	// Region identifies a region, which contains one or more data centres.
	Region string
)

// Urgency is the scheduling class of a kind. A lower value is more urgent.
type Urgency uint8

// Urgency classes, most urgent first.
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

// MarshalText encodes u as its name.
func (u Urgency) MarshalText() ([]byte, error) { return []byte(u.String()), nil }

// UnmarshalText decodes an urgency name.
func (u *Urgency) UnmarshalText(text []byte) error {
	i, err := indexOfName("urgency", urgencyNames[:], string(text))
	*u = Urgency(i)
	return err
}

// Document is a team's declaration of its service.
type Document struct {
	Team    TeamName
	Service string
	// Weight is the team's fair-share weight relative to other teams.
	Weight int64
	// Quota is the capacity guaranteed to the team in each data centre. The
	// team may borrow idle capacity beyond it.
	Quota Resources
	Kinds []Kind
	// GiveUpFirst lists the kinds to shed when capacity is short, in order.
	GiveUpFirst []KindName
	Services    []Service
}

// Kind declares a kind of request.
type Kind struct {
	Name       KindName
	Urgency    Urgency
	Idempotent bool
	// Request is the resource request of one task.
	Request Resources
	// RunTime is the declared run time of one task.
	RunTime time.Duration
	// StartWithin limits the time from submission to start.
	StartWithin time.Duration
	// Deadline limits the time from submission to the final outcome.
	Deadline time.Duration
	// GangSize is the number of tasks that must start together.
	GangSize int
	// RestartGang restarts the whole gang when a member fails. Otherwise only
	// the failed member is restarted.
	RestartGang bool
	// MaxAttempts limits the number of starts of one task.
	MaxAttempts int
	// QueueLimit limits the number of waiting jobs of this kind in a data
	// centre.
	QueueLimit int
	Preemption PreemptionPolicy
	// CrossRegion allows jobs to be sent over a metered link.
	CrossRegion bool
	// ProgressTimeout is how long an interactive response may make no
	// progress before its connection is closed.
	ProgressTimeout time.Duration
}

// PreemptionPolicy specifies what may be done to a running task of a kind in
// favour of more urgent work.
type PreemptionPolicy struct {
	Throttle   bool
	Checkpoint bool
	Stop       bool
	// MaxTimes limits how often a job may be checkpointed or stopped.
	MaxTimes int
}

// Service declares a long-running service. It runs Replicas tasks in each of the
// listed data centres, or in every data centre if none is listed.
type Service struct {
	Name     string
	Kind     KindName
	Replicas int
	// Payload is passed to the worker with each start and interpreted only by
	// the worker.
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

// Revision is the store's revision of a document. It increases with each edit.
type Revision int64

// DocumentVersion is an accepted edit of a document.
type DocumentVersion struct {
	Document Document
	Revision Revision
	// Author is the operator who made the edit.
	Author string
	// Time is when the edit was proposed.
	Time Time
}
