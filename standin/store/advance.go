package store

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// tokenBucket is a rate limiter that holds at most one second's tokens.
type tokenBucket struct {
	rate       float64
	tokens     float64
	refilledAt core.Time
}

// take consumes one token and reports whether there was one. A rate of zero
// admits every call.
func (b *tokenBucket) take(now core.Time) bool {
	if b.rate <= 0 {
		return true
	}
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// advance expires leases, ends watches whose wait is over, and publishes the
// changes of the host list whose lag has passed.
func (r *Reducer) advance() {
	for _, l := range slices.SortedFunc(maps.Values(r.leases), func(a, b *lease) int {
		return cmp.Or(cmp.Compare(a.expiresAt, b.expiresAt), cmp.Compare(a.id, b.id))
	}) {
		if l.expiresAt <= r.now {
			r.deleteLease(l.id)
		}
	}
	if r.faults.Outage == OutageNone {
		r.watches = slices.DeleteFunc(r.watches, func(w watch) bool {
			if w.deadline > r.now {
				return false
			}
			r.answer(w.request, OK, wire.ItemList{Items: []wire.Item{}, Revision: r.revision})
			return true
		})
	}
	for _, change := range r.hostList.applyChanges(r.now, r.hostLag()) {
		r.emit(change)
	}
}

func (r *Reducer) hostLag() time.Duration {
	return time.Duration(r.faults.HostLagMS) * time.Millisecond
}

// scheduleWake emits WakeAt for the next deadline if it differs from the last
// one requested.
func (r *Reducer) scheduleWake() {
	var next core.Time
	due := func(at core.Time) {
		if at > r.now && (next == 0 || at < next) {
			next = at
		}
	}
	for _, l := range r.leases {
		due(l.expiresAt)
	}
	for _, w := range r.watches {
		due(w.deadline)
	}
	if len(r.hostList.pending) > 0 {
		due(r.hostList.pending[0].at.Add(r.hostLag()))
	}
	if next != 0 && next != r.nextWake {
		r.nextWake = next
		r.emit(WakeAt{At: next})
	}
}

// setFaults replaces the fault switches. An outage that refuses calls also ends
// the waiting watches.
func (r *Reducer) setFaults(f Faults) {
	if f.StaleMS != r.faults.StaleMS {
		r.staleSince = r.now
	}
	r.faults = f
	r.keys.trimAll(r.readTime())
	if f.Outage == OutageRefuse {
		for _, w := range r.watches {
			r.unavailable++
			r.answer(w.request, Unavailable, nil)
		}
		r.watches = nil
	}
	r.advance()
}

// report returns the counters since the start.
func (r *Reducer) report() Report {
	report := Report{
		Faults: r.faults, Calls: maps.Clone(r.calls), Watches: r.calls[KindWatch],
		RateLimited: r.rateLimited, Unavailable: r.unavailable, LostAnswers: r.lostAnswers,
		Revision: r.revision, Keys: r.keys.liveKeys, Leases: len(r.leases),
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
