package store

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// bucket is a token bucket that holds at most one second's tokens.
type bucket struct {
	rate   float64
	tokens float64
	last   core.Time
}

// take takes one token if there is one.
func (b *bucket) take(now core.Time) bool {
	if b.rate <= 0 {
		return true
	}
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// advance carries out everything that is due: lease expiry, the end of watches,
// and changes of the host list.
func (r *Reducer) advance() {
	for _, l := range slices.SortedFunc(maps.Values(r.leases), func(a, b *lease) int {
		return cmp.Or(cmp.Compare(a.expires, b.expires), cmp.Compare(a.id, b.id))
	}) {
		if l.expires <= r.now {
			r.endLease(l.id)
		}
	}
	if r.faults.Outage == OutageNone {
		r.watches = slices.DeleteFunc(r.watches, func(w watch) bool {
			if w.until > r.now {
				return false
			}
			r.answer(w.request, OK, wire.ItemList{Items: []wire.Item{}, Revision: r.revision})
			return true
		})
	}
	for _, shown := range r.hosts.publish(r.now, r.hostLag()) {
		r.emit(shown)
	}
}

func (r *Reducer) hostLag() time.Duration {
	return time.Duration(r.faults.HostLagMS) * time.Millisecond
}

// scheduleWake asks for the next moment at which something is due.
func (r *Reducer) scheduleWake() {
	var next core.Time
	due := func(at core.Time) {
		if at > r.now && (next == 0 || at < next) {
			next = at
		}
	}
	for _, l := range r.leases {
		due(l.expires)
	}
	for _, w := range r.watches {
		due(w.until)
	}
	if len(r.hosts.pending) > 0 {
		due(r.hosts.pending[0].at.Add(r.hostLag()))
	}
	if next != 0 && next != r.wake {
		r.wake = next
		r.emit(WakeAt{At: next})
	}
}

// setFaults replaces the switches.
func (r *Reducer) setFaults(f Faults) {
	if f.StaleMS != r.faults.StaleMS {
		r.staleSince = r.now
	}
	r.faults = f
	r.keys.trimAll(r.readTime())
	if f.Outage == OutageRefuse {
		for _, w := range r.watches {
			r.refused++
			r.answer(w.request, Unavailable, nil)
		}
		r.watches = nil
	}
	r.advance()
}

// report sums the counts.
func (r *Reducer) report() Report {
	report := Report{
		Faults: r.faults, Calls: maps.Clone(r.calls), Watches: r.calls[KindWatch],
		RateLimited: r.limited, Unavailable: r.refused, Lost: r.lost,
		Revision: r.revision, Keys: r.keys.live, Leases: len(r.leases),
		ValueBytes: r.keys.valueBytes,
	}
	for kind, n := range r.calls {
		switch {
		case kind.write():
			report.Writes += n
		case kind == KindGet || kind == KindList:
			report.Reads += n
		}
	}
	return report
}
