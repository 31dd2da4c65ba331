package core

import (
	"slices"
	"time"
)

// GrantPool is the traffic side's state of grants: which slots are free and who
// uses them. It is a value without locks; package grant guards it.
type GrantPool struct {
	version uint64
	epoch   Epoch
	expires Time
	kinds   map[queueKey]*poolKind
	// elsewhere lists hosts of other data centres, see SetGrants.
	elsewhere []string
	// order lists the keys of kinds in the order of their first appearance.
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

// poolSlot is a grant with its use.
type poolSlot struct {
	Grant
	inUse    int
	finished int
	failed   int
	latency  time.Duration
	// doubts are the ends of the use by attempts of unknown fate, in order.
	unresolvedUntil []Time
}

// Ticket allows one attempt of a call.
type Ticket struct {
	Team    TeamName
	Kind    KindName
	Worker  WorkerID
	Address string
	Epoch   Epoch
}

// NewGrantPool returns a pool without grants.
func NewGrantPool() *GrantPool { return &GrantPool{kinds: map[queueKey]*poolKind{}} }

// kind returns the state of a kind, creating it.
func (p *GrantPool) kind(key queueKey) *poolKind {
	k := p.kinds[key]
	if k == nil {
		k = &poolKind{retryTokens: retryBurst}
		p.kinds[key] = k
		p.keys = append(p.keys, key)
	}
	return k
}

// Set replaces the grants. Calls in progress keep their slot until they end,
// also if it is no longer granted.
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

// slot returns the slot of a worker, creating it.
func (k *poolKind) slot(w WorkerID) *poolSlot {
	for i := range k.slots {
		if k.slots[i].Worker == w {
			return &k.slots[i]
		}
	}
	k.slots = append(k.slots, poolSlot{Grant: Grant{Worker: w}})
	return &k.slots[len(k.slots)-1]
}

// Rules returns the rules of an interactive kind.
func (p *GrantPool) Rules(team TeamName, kind KindName) (InteractiveKind, bool) {
	k := p.kinds[queueKey{team, kind}]
	if k == nil || !k.declared {
		return InteractiveKind{}, false
	}
	return k.rules, true
}

// Elsewhere returns a host of another data centre that can serve calls, while
// this data centre cannot.
func (p *GrantPool) RemoteHost() string {
	if len(p.elsewhere) == 0 {
		return ""
	}
	return p.elsewhere[0]
}

// Take uses a free slot, on a worker not in avoid if there is one.
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

// betterThan prefers workers that were not tried, and then the most free slots.
func (s *poolSlot) betterThan(o *poolSlot, avoid []WorkerID) bool {
	a, b := slices.Contains(avoid, s.Worker), slices.Contains(avoid, o.Worker)
	if a != b {
		return b
	}
	return s.Slots-s.inUse > o.Slots-o.inUse
}

// Return gives a slot back after a call.
func (p *GrantPool) Release(t Ticket, ok bool, took time.Duration) {
	k := p.kind(queueKey{t.Team, t.Kind})
	s := k.slot(t.Worker)
	s.inUse = max(0, s.inUse-1)
	if ok {
		s.finished++
		s.latency += took
		k.retryTokens = min(retryBurst, k.retryTokens+retryRatio)
		return
	}
	s.failed++
}

// Doubt keeps the slot of an attempt of unknown fate in use. The worker may still
// carry the attempt out, also if its caller no longer waits, so the slot returns
// only when the deadline of the kind has passed once more.
func (p *GrantPool) HoldUncertain(now Time, t Ticket) {
	k := p.kind(queueKey{t.Team, t.Kind})
	s := k.slot(t.Worker)
	s.failed++
	s.unresolvedUntil = append(s.unresolvedUntil, now.Add(k.rules.Deadline))
}

// Expire returns the slots of attempts that have surely ended.
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

// SpendRetry takes one retry from the budget of a kind and reports whether there
// was room for it.
func (p *GrantPool) SpendRetry(team TeamName, kind KindName) bool {
	k := p.kind(queueKey{team, kind})
	if k.retryTokens < 1 {
		return false
	}
	k.retryTokens--
	return true
}

// Wait counts a request that waits for a slot, or no longer does. It reports
// false when the kind's queue is full.
func (p *GrantPool) AddWaiting(team TeamName, kind KindName, by int) bool {
	k := p.kind(queueKey{team, kind})
	if by > 0 && k.rules.QueueLimit > 0 && k.waiting >= k.rules.QueueLimit {
		return false
	}
	k.waiting += by
	return true
}

// Report returns the use of grants since the last report.
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
