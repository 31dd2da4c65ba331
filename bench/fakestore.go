package bench

import (
	"slices"
	"strings"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// fakeStore is a store that never fails and whose leases never expire.
type fakeStore struct {
	items    map[string]core.StoreItem
	revision int64
	reads    int
	writes   int
	// journalBytes is the total size of the encoded journal groups. It is counted
	// only if measureBytes is set.
	journalBytes int
	measureBytes bool
}

func newFakeStore() fakeStore { return fakeStore{items: map[string]core.StoreItem{}} }

// put writes a value if its revision is the expected one.
func (s *fakeStore) put(p core.PutValue) core.StoreAnswered {
	s.writes++
	if s.items[p.Key].Revision != p.IfRevision {
		return core.StoreAnswered{Op: p.Op, Outcome: core.StoreConflict}
	}
	if g, ok := p.Value.(core.JournalGroup); ok && s.measureBytes {
		// Encoding a group cannot fail; the tests of package wire cover it.
		data, _ := wire.EncodeValue(g)
		s.journalBytes += len(data)
	}
	s.revision++
	s.items[p.Key] = core.StoreItem{Key: p.Key, Value: p.Value, Revision: s.revision}
	return core.StoreAnswered{Op: p.Op, Revision: s.revision}
}

func (s *fakeStore) get(g core.GetValue) core.StoreAnswered {
	s.reads++
	item, ok := s.items[g.Key]
	if !ok {
		return core.StoreAnswered{Op: g.Op, Outcome: core.StoreNotFound, Revision: s.revision}
	}
	return core.StoreAnswered{Op: g.Op, Items: []core.StoreItem{item}, Revision: s.revision}
}

func (s *fakeStore) list(l core.ListValues) core.StoreAnswered {
	s.reads++
	out := core.StoreAnswered{Op: l.Op, Revision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, l.Prefix) {
			out.Items = append(out.Items, item)
		}
	}
	slices.SortFunc(out.Items, func(a, b core.StoreItem) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// execute executes a store effect. It reports false for other effects and for a
// watch, which never returns because no document changes.
func (s *fakeStore) execute(f core.Effect) (core.StoreAnswered, bool) {
	switch e := f.(type) {
	case core.PutValue:
		return s.put(e), true
	case core.GetValue:
		return s.get(e), true
	case core.ListValues:
		return s.list(e), true
	case core.DeleteValues:
		s.writes++
		for _, key := range e.Keys {
			delete(s.items, key)
		}
		return core.StoreAnswered{Op: e.Op}, true
	case core.GrantLease:
		s.writes++
		return core.StoreAnswered{Op: e.Op, Lease: "lease-1"}, true
	case core.RenewLease:
		s.writes++
		return core.StoreAnswered{Op: e.Op, Lease: e.Lease}, true
	case core.RevokeLease:
		s.writes++
		return core.StoreAnswered{Op: e.Op}, true
	case core.WatchValues:
		s.reads++
	}
	return core.StoreAnswered{}, false
}
