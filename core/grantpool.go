package core

import (
	"slices"
	"time"
)

// GrantPool is the traffic side's state of the grants: the free slots and the calls
// that use the others. It has no lock of its own; package grant serializes access.
type GrantPool struct {
	version uint64
	epoch   Epoch
	expires Time
	kinds   map[queueKey]*poolKind
	// elsewhere lists the addresses of hosts in other data centres; see SetGrants.
	elsewhere []string
	// keys lists the keys of kinds in the order of their first appearance, so that
	// iteration is deterministic.
	keys []queueKey
}

// poolKind is the state of one interactive kind.
type poolKind struct {
	rules       InteractiveKind
	declared    bool
	slots       []poolSlot
	waiting     int
	retryTokens float64
}

// poolSlot is a grant and its current use.
type poolSlot struct {
	Grant
	inUse    int
	finished int
	failed   int
	latency  time.Duration
	// unresolvedUntil holds, in ascending order, the times at which the slots of
	// attempts with unknown outcome are released.
	unresolvedUntil []Time
}

// Ticket permits one attempt of a call.
type Ticket struct {
	Team    TeamName
	Kind    KindName
	Worker  WorkerID
	Address string
	Epoch   Epoch
}

// NewGrantPool returns a pool without grants.
func NewGrantPool() *GrantPool { return &GrantPool{kinds: map[queueKey]*poolKind{}} }

// kind returns the state of a kind and creates it if needed.
func (p *GrantPool) kind(key queueKey) *poolKind {
	k := p.kinds[key]
	if k == nil {
		k = &poolKind{retryTokens: retryBurst}
		p.kinds[key] = k
		p.keys = append(p.keys, key)
	}
	return k
}

// Set replaces the grants. A call in progress keeps its slot until it ends, even if
// the slot is no longer granted.
func (p *GrantPool) Set(s SetGrants) {
	p.version, p.epoch, p.expires, p.elsewhere = s.Version, s.Epoch, s.Expires, s.Elsewhere
	for _, key := range p.keys {
		k := p.kinds[key]
		k.declared = false
		for i := range k.slots {
			k.slots[i].Slots = 0
		}
	}
	for _, rules := range s.Kinds {
		k := p.kind(queueKey{rules.Team, rules.Kind})
		k.rules, k.declared = rules, true
	}
	for _, g := range s.Grants {
		k := p.kind(queueKey{g.Team, g.Kind})
		slot := k.slot(g.Worker)
		slot.Grant = g
	}
	for _, key := range p.keys {
		k := p.kinds[key]
		k.slots = slices.DeleteFunc(k.slots, func(s poolSlot) bool {
			return s.Slots == 0 && s.inUse == 0 && s.finished == 0 && s.failed == 0
		})
	}
}

// slot returns the slot of a worker and creates it if needed.
func (k *poolKind) slot(w WorkerID) *poolSlot {
	for i := range k.slots {
		if k.slots[i].Worker == w {
			return &k.slots[i]
		}
	}
	k.slots = append(k.slots, poolSlot{Grant: Grant{Worker: w}})
	return &k.slots[len(k.slots)-1]
}

// Rules returns the settings of an interactive kind.
func (p *GrantPool) Rules(team TeamName, kind KindName) (InteractiveKind, bool) {
	k := p.kinds[queueKey{team, kind}]
	if k == nil || !k.declared {
		return InteractiveKind{}, false
	}
	return k.rules, true
}

// RemoteHost returns the address of a host of another data centre that can serve
// calls while this data centre cannot, or "".
func (p *GrantPool) RemoteHost() string {
	if len(p.elsewhere) == 0 {
		return ""
	}
	return p.elsewhere[0]
}

// Acquire claims a free slot, preferably on a worker that is not in avoid.
func (p *GrantPool) Acquire(now Time, team TeamName, kind KindName, avoid []WorkerID) (Ticket, bool) {
	k := p.kinds[queueKey{team, kind}]
	if k == nil || now >= p.expires {
		return Ticket{}, false
	}
	p.Expire(now)
	var best *poolSlot
	for i := range k.slots {
		s := &k.slots[i]
		if s.inUse >= s.Slots {
			continue
		}
		if best == nil || s.betterThan(best, avoid) {
			best = s
		}
	}
	if best == nil {
		return Ticket{}, false
	}
	best.inUse++
	return Ticket{Team: team, Kind: kind, Worker: best.Worker, Address: best.Address, Epoch: p.epoch}, true
}

// betterThan reports whether s is preferred to o: workers not in avoid come first,
// then those with the most free slots.
func (s *poolSlot) betterThan(o *poolSlot, avoid []WorkerID) bool {
	a, b := slices.Contains(avoid, s.Worker), slices.Contains(avoid, o.Worker)
	if a != b {
		return b
	}
	return s.Slots-s.inUse > o.Slots-o.inUse
}

// Release frees the slot of an attempt that has ended.
func (p *GrantPool) Release(t Ticket, ok bool, latency time.Duration) {
	k := p.kind(queueKey{t.Team, t.Kind})
	s := k.slot(t.Worker)
	s.inUse = max(0, s.inUse-1)
	if ok {
		s.finished++
		s.latency += latency
		k.retryTokens = min(retryBurst, k.retryTokens+retryRatio)
		return
	}
	s.failed++
}

// HoldUncertain keeps the slot of an attempt with unknown outcome in use. The
// worker may still execute the attempt after its caller has stopped waiting, so the
// slot is released only after another full deadline of the kind.
func (p *GrantPool) HoldUncertain(now Time, t Ticket) {
	k := p.kind(queueKey{t.Team, t.Kind})
	s := k.slot(t.Worker)
	s.failed++
	s.unresolvedUntil = append(s.unresolvedUntil, now.Add(k.rules.Deadline))
}

// Expire releases the slots of attempts with unknown outcome that must have ended
// by now.
func (p *GrantPool) Expire(now Time) {
	for _, key := range p.keys {
		k := p.kinds[key]
		for i := range k.slots {
			s := &k.slots[i]
			for len(s.unresolvedUntil) > 0 && s.unresolvedUntil[0] <= now {
				s.unresolvedUntil = s.unresolvedUntil[1:]
				s.inUse = max(0, s.inUse-1)
			}
		}
	}
}

// SpendRetry takes one retry from the budget of a kind and reports whether the
// budget allowed it.
func (p *GrantPool) SpendRetry(team TeamName, kind KindName) bool {
	k := p.kind(queueKey{team, kind})
	if k.retryTokens < 1 {
		return false
	}
	k.retryTokens--
	return true
}

// AddWaiting adds by, which may be negative, to the number of requests that wait for
// a slot. If the kind's queue is full, it adds nothing and returns false.
func (p *GrantPool) AddWaiting(team TeamName, kind KindName, by int) bool {
	k := p.kind(queueKey{team, kind})
	if by > 0 && k.rules.QueueLimit > 0 && k.waiting >= k.rules.QueueLimit {
		return false
	}
	k.waiting += by
	return true
}

// Report returns the use of the grants since the last report.
func (p *GrantPool) Report() CallsReported {
	out := CallsReported{Version: p.version, Epoch: p.epoch}
	for _, key := range p.keys {
		k := p.kinds[key]
		for i := range k.slots {
			s := &k.slots[i]
			if s.inUse == 0 && s.finished == 0 && s.failed == 0 {
				continue
			}
			out.Calls = append(out.Calls, CallReport{
				Team: key.team, Kind: key.kind, Worker: s.Worker, InUse: s.inUse,
				Finished: s.finished, Failed: s.failed, Latency: s.latency,
			})
			s.finished, s.failed, s.latency = 0, 0, 0
		}
		out.Calls = append(out.Calls, CallReport{Team: key.team, Kind: key.kind, Waiting: k.waiting})
	}
	return out
}
