package store

import (
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// hostList is the published host list and the changes that it does not show
// yet. A published list is copied on change, because answers may still refer to
// it.
type hostList struct {
	published wire.HostList
	pending   []listChange
}

// newHostList returns list published as version 1.
func newHostList(list wire.HostList) hostList {
	list.Version = 1
	return hostList{published: list}
}

// changedSince returns the published list, without its content if version is
// current.
func (h *hostList) changedSince(version int64) wire.HostList {
	if version == h.published.Version {
		return wire.HostList{Version: version, Unchanged: true}
	}
	return h.published
}

// listChange is a requested change of the list.
type listChange struct {
	at   core.Time
	body EventBody
}

// applyChanges publishes the changes that are at least lag old. It returns an
// effect for each change of a worker.
func (h *hostList) applyChanges(now core.Time, lag time.Duration) (changed []WorkerListingChanged) {
	for len(h.pending) > 0 && h.pending[0].at.Add(lag) <= now {
		body := h.pending[0].body
		h.published.Version++
		h.pending = h.pending[1:]
		switch b := body.(type) {
		case WorkerListed:
			h.published.Workers = upsert(h.published.Workers, b.Worker, b.Worker.ID, workerID)
			changed = append(changed, WorkerListingChanged{ID: b.Worker.ID, Leaving: b.Worker.Leaving})
		case WorkerLeft:
			h.published.Workers = markOrRemove(h.published.Workers, b.ID, b.Removed, workerID,
				func(w *wire.ListedWorker) { w.Leaving = true })
			changed = append(changed, WorkerListingChanged{ID: b.ID, Leaving: true})
		case HostListed:
			h.published.Hosts = upsert(h.published.Hosts, b.Host, b.Host.ID, hostID)
		case HostLeft:
			h.published.Hosts = markOrRemove(h.published.Hosts, b.ID, b.Removed, hostID,
				func(l *wire.ListedHost) { l.Leaving = true })
		}
	}
	return changed
}

func workerID(w wire.ListedWorker) string { return w.ID }
func hostID(h wire.ListedHost) string     { return h.ID }

// upsert returns a copy of list in which e replaces the element with its id or
// is appended.
func upsert[E any](list []E, e E, id string, idOf func(E) string) []E {
	list = slices.Clone(list)
	if i := slices.IndexFunc(list, func(o E) bool { return idOf(o) == id }); i >= 0 {
		list[i] = e
		return list
	}
	return append(list, e)
}

// markOrRemove returns a copy of list in which mark has been applied to the
// element with the id, or without that element if remove is set.
func markOrRemove[E any](list []E, id string, remove bool, idOf func(E) string, mark func(*E)) []E {
	list = slices.Clone(list)
	i := slices.IndexFunc(list, func(o E) bool { return idOf(o) == id })
	switch {
	case i < 0:
		return list
	case remove:
		return slices.Delete(list, i, i+1)
	}
	mark(&list[i])
	return list
}
