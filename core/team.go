package core

import (
	"slices"
	"strings"
)

// team is a team's document in force and what the team uses.
type team struct {
	name    TeamName
	version DocumentVersion
	// used is what the team's tasks and grants hold in this data centre.
	used Resources
	// queues are those of the team's kinds, and stale is set while their heads
	// must be computed anew because used has changed.
	queues     []*kindQueue
	headsStale bool
	queued     int
}

// doc returns the document in force.
func (t *team) doc() *Document { return &t.version.Document }

// documents holds the documents in force.
//
// Invariant: the revision of a team's document never decreases.
type documents struct {
	teams  []*team
	byName map[TeamName]*team
	// listed is set once the whole list has been read from the store.
	listed bool
	// confirmed is set once a peer has sent its documents, or none exists.
	confirmed     bool
	watching      bool
	watchRevision int64
	nextList      Time
	nextWatch     Time
	startedAt     Time
	edits         map[uint64]*edit
	// recent are versions accepted lately, which the owner sends to hosts
	// whose digest differs.
	recent []DocumentVersion
}

func newDocuments() documents {
	return documents{byName: map[TeamName]*team{}, edits: map[uint64]*edit{}}
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

// apply puts a version in force if it is newer and reports whether it was.
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

// digest combines the revisions in force.
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

// versions returns all versions in force.
func (d *documents) versions() []DocumentVersion {
	var out []DocumentVersion
	for _, t := range d.teams {
		if t.version.Revision > 0 {
			out = append(out, t.version)
		}
	}
	return out
}
