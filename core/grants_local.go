package core

import "slices"

// setLocalGrants puts the own grants of an owner in force on its traffic side.
func (r *Reducer) setLocalGrants() {
	g := &r.grants
	h := g.of(r.cfg.Host)
	if h.version == g.localVer && r.now < g.localRenew && g.localEpoch == r.owner.epoch {
		return
	}
	g.localRenew = r.now.Add(localGrantRenew)
	r.emitGrants(h.version, r.owner.epoch, h.list(&r.fleet), r.now.Add(r.cfg.GrantFor))
}

// emitGrants replaces the grants of the traffic side.
func (r *Reducer) emitGrants(version uint64, epoch Epoch, grants []Grant, until Time) {
	g := &r.grants
	g.localVer, g.localEpoch, g.local, g.localUntil = version, epoch, grants, until
	r.emit(SetGrants{
		Version: version, Epoch: epoch, Grants: grants, Expires: until, Kinds: r.interactiveKinds(),
	})
}

// interactiveKinds lists the kinds that are served by calls.
func (r *Reducer) interactiveKinds() []InteractiveKind {
	var out []InteractiveKind
	for _, t := range r.docs.teams {
		for i := range t.doc().Kinds {
			k := &t.doc().Kinds[i]
			if k.Urgency != Interactive {
				continue
			}
			out = append(out, InteractiveKind{
				Team: t.name, Kind: k.Name, Idempotent: k.Idempotent, Deadline: k.Deadline,
				ProgressTimeout: k.ProgressTimeout, MaxAttempts: k.MaxAttempts, QueueLimit: k.QueueLimit,
			})
		}
	}
	return out
}

// onCallsReported takes over the own traffic side's report.
func (r *Reducer) onCallsReported(c CallsReported) {
	r.grants.localCalls = c.Calls
	if r.owner.active() {
		r.noteUse(r.grants.of(r.cfg.Host), c.Version, c.Epoch, c.Calls)
		r.noteCallResults(c.Calls)
		return
	}
	r.grants.localAck, r.grants.ackEpoch = c.Version, c.Epoch
	if slices.ContainsFunc(c.Calls, func(o CallReport) bool { return o.Waiting > 0 }) {
		r.peers.nextBeat = min(r.peers.nextBeat, r.now)
	}
}

// noteCallResults counts the outcomes of calls towards the health of workers.
func (r *Reducer) noteCallResults(calls []CallReport) {
	for _, c := range calls {
		if w := r.fleet.get(c.Worker); w != nil && c.Finished > 0 {
			r.noteSuccess(w)
		}
	}
}

// onGrantsFromOwner puts grants of the owner in force on this host.
func (r *Reducer) onGrantsFromOwner(hb *Heartbeat) {
	g := &r.grants
	until := r.now.Add(hb.GrantFor)
	if hb.GrantVersion == g.localVer && hb.Epoch == g.localEpoch {
		r.emitGrants(g.localVer, g.localEpoch, g.local, until)
		return
	}
	if hb.Grants != nil || hb.GrantsWhole {
		r.emitGrants(hb.GrantVersion, hb.Epoch, hb.Grants, until)
	}
}

// noteCalls holds the capacity of calls that a worker had in progress when it
// was first fenced. They end at the deadline of their kind.
func (g *grantTable) noteCalls(r *Reducer, w *worker, calls []CallCount, first bool) {
	if !first {
		return
	}
	for _, c := range calls {
		k := r.docs.kind(c.Team, c.Kind)
		if k == nil {
			continue
		}
		need := k.Request.Times(int64(c.Count))
		r.fleet.hold(w, need)
		g.leftovers = append(g.leftovers, leftoverCalls{w.id, need, r.now.Add(k.Deadline)})
	}
}

// releaseLeftovers returns the capacity of calls that have reached their
// deadline.
func (r *Reducer) releaseLeftovers() {
	g := &r.grants
	g.leftovers = slices.DeleteFunc(g.leftovers, func(l leftoverCalls) bool {
		if r.now < l.until {
			return false
		}
		if w := r.fleet.get(l.worker); w != nil {
			r.fleet.hold(w, l.need.Times(-1))
		}
		return true
	})
}
