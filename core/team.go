package core

import (
	"slices"
	"strings"
)

// team is a team's current document and resource usage.
type team struct {
	name    TeamName
	version DocumentVersion
	// used is the capacity held by the team's tasks and grants in this data
	// centre.
	used Resources
	// queues are those of the team's kinds. headsStale is set if their heads
	// must be recomputed because used has changed.
	queues     []*kindQueue
	headsStale bool
	queued     int
}

// doc returns the current document.
func (t *team) doc() *Document { return &t.version.Document }

// documents contains the current documents.
//
// Invariant: the revision of a team's document never decreases.
type documents struct {
	teams  []*team
	byName map[TeamName]*team
	// listed is set once all documents have been read from the store.
	listed bool
	// confirmed is set once a peer has sent its documents, or no peer was heard
	// in time.
	confirmed       bool
	watching        bool
	watchRevision   int64
	nextList        Time
	nextWatch       Time
	startedAt       Time
	pendingRequests map[uint64]*documentRequest
	// recent contains recently accepted versions, which the owner sends to
	// hosts whose digest differs.
	recent []DocumentVersion
}

func newDocuments() documents {
	return documents{byName: map[TeamName]*team{}, pendingRequests: map[uint64]*documentRequest{}}
}

func (d *documents) team(name TeamName) *team { return d.byName[name] }

// kind returns a kind of a team, or nil.
func (d *documents) kind(name TeamName, kind KindName) *Kind {
	t := d.byName[name]
	if t == nil {
		return nil
	}
	k, _ := t.doc().Kind(kind)
	return k
}

// apply replaces the team's document if v is newer, and reports whether it did.
func (d *documents) apply(v DocumentVersion) bool {
	name := v.Document.Team
	t := d.byName[name]
	if t == nil {
		t = &team{name: name}
		d.byName[name] = t
		d.teams = append(d.teams, t)
		slices.SortFunc(d.teams, func(a, b *team) int {
			return strings.Compare(string(a.name), string(b.name))
		})
	}
	if v.Revision <= t.version.Revision {
		return false
	}
	t.version = v
	return true
}

// digest returns a hash of the current revisions.
func (d *documents) digest() uint64 {
	const prime = 1099511628211
	sum := uint64(14695981039346656037)
	for _, t := range d.teams {
		for _, c := range []byte(t.name) {
			sum = (sum ^ uint64(c)) * prime
		}
		sum = (sum ^ uint64(t.version.Revision)) * prime
	}
	return sum
}

// versions returns the current versions of all documents.
func (d *documents) versions() []DocumentVersion {
	var out []DocumentVersion
	for _, t := range d.teams {
		if t.version.Revision > 0 {
			out = append(out, t.version)
		}
	}
	return out
}
