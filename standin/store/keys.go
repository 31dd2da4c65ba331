package store

import (
	"strings"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"

	"github.com/google/btree"
)

const treeDegree = 32

// version is one value of a key, or its deletion.
type version struct {
	at       core.Time
	value    []byte
	revision int64
	deleted  bool
}

// keyEntry is a key with its versions, oldest first. Versions other than the
// latest are kept only for stale reads.
type keyEntry struct {
	key      string
	lease    string
	versions []version
}

func (e *keyEntry) latest() *version { return &e.versions[len(e.versions)-1] }

// asOf returns the version that was current at a time, or nil.
func (e *keyEntry) asOf(at core.Time) *version {
	for i := len(e.versions) - 1; i >= 0; i-- {
		if v := &e.versions[i]; v.at <= at {
			return v
		}
	}
	return nil
}

// keySpace holds the keys in order. liveKeys and valueBytes count the keys that
// exist now.
type keySpace struct {
	tree       *btree.BTreeG[*keyEntry]
	liveKeys   int
	valueBytes int64
}

func newKeySpace() *keySpace {
	return &keySpace{tree: btree.NewG(treeDegree, func(a, b *keyEntry) bool { return a.key < b.key })}
}

// find returns the entry of a key that exists now, or nil.
func (k *keySpace) find(key string) *keyEntry {
	e, ok := k.tree.Get(&keyEntry{key: key})
	if !ok || e.latest().deleted {
		return nil
	}
	return e
}

// set appends a version. It drops the versions that reads as of keepFrom or
// later cannot see, and the key itself if only its deletion is left.
func (k *keySpace) set(key, lease string, v version, keepFrom core.Time) {
	e, ok := k.tree.Get(&keyEntry{key: key})
	if !ok {
		if v.deleted {
			return
		}
		e = &keyEntry{key: key}
		k.tree.ReplaceOrInsert(e)
	} else if old := e.latest(); !old.deleted {
		k.liveKeys--
		k.valueBytes -= int64(len(old.value))
	}
	if !v.deleted {
		k.liveKeys++
		k.valueBytes += int64(len(v.value))
	}
	e.lease = lease
	e.versions = append(e.versions, v)
	e.trim(keepFrom)
	if len(e.versions) == 1 && v.deleted {
		k.tree.Delete(e)
	}
}

// trim drops the versions that reads as of keepFrom or later cannot see.
func (e *keyEntry) trim(keepFrom core.Time) {
	first := 0
	for i, v := range e.versions {
		if v.at <= keepFrom {
			first = i
		}
	}
	e.versions = append([]version(nil), e.versions[first:]...)
}

// trimAll trims every key and drops those of which only the deletion is left.
func (k *keySpace) trimAll(keepFrom core.Time) {
	var deleted []*keyEntry
	k.tree.Ascend(func(e *keyEntry) bool {
		e.trim(keepFrom)
		if len(e.versions) == 1 && e.latest().deleted {
			deleted = append(deleted, e)
		}
		return true
	})
	for _, e := range deleted {
		k.tree.Delete(e)
	}
}

// get reads a key as of a time.
func (k *keySpace) get(key string, at core.Time) (wire.Item, bool) {
	e, ok := k.tree.Get(&keyEntry{key: key})
	if !ok {
		return wire.Item{}, false
	}
	v := e.asOf(at)
	if v == nil || v.deleted {
		return wire.Item{}, false
	}
	return wire.Item{Key: key, Value: v.value, Revision: v.revision}, true
}

// list returns the keys with a prefix, as of a time, whose revision is greater
// than since.
func (k *keySpace) list(prefix string, since int64, at core.Time) []wire.Item {
	items := []wire.Item{}
	k.tree.AscendGreaterOrEqual(&keyEntry{key: prefix}, func(e *keyEntry) bool {
		if !strings.HasPrefix(e.key, prefix) {
			return false
		}
		if v := e.asOf(at); v != nil && !v.deleted && v.revision > since {
			items = append(items, wire.Item{Key: e.key, Value: v.value, Revision: v.revision})
		}
		return true
	})
	return items
}
