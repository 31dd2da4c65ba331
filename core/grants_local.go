package core

import "slices"

// setLocalGrants applies the owner's grants to its own traffic side.
func (r *Reducer) setLocalGrants() {
	g := &r.grants
	h := g.forHost(r.cfg.Host)
	if h.version == g.localVersion && r.now < g.localRenewAt && g.localEpoch == r.owner.epoch {
		return
	}
	g.localRenewAt = r.now.Add(localGrantRenewInterval)
	g.elsewhere = r.remoteCallHosts()
	r.emitGrants(h.version, r.owner.epoch, h.list(&r.fleet), r.now.Add(localGrantTTL))
}

// emitGrants replaces the grants of the traffic side.
func (r *Reducer) emitGrants(version uint64, epoch Epoch, grants []Grant, until Time) {
	g := &r.grants
	g.localVersion, g.localEpoch, g.localGrants, g.localExpires = version, epoch, grants, until
	r.emit(SetGrants{
		Version: version, Epoch: epoch, Grants: r.withoutLeaving(grants), Expires: until, Kinds: r.interactiveKinds(),
		Elsewhere: g.elsewhere,
	})
}

// withoutLeaving filters out grants on workers that the platform lists as leaving.
// The owner withdraws such grants, but while it is silent the holding host must not
// use them until they expire.
func (r *Reducer) withoutLeaving(grants []Grant) []Grant {
	if r.owner.active() {
		return grants
	}
	var out []Grant
	for _, g := range grants {
		if w := r.fleet.get(g.Worker); w == nil || !w.leaving {
			out = append(out, g)
		}
	}
	return out
}

// holdsGrants reports whether grants of an owner are in force on this host.
func (r *Reducer) holdsGrants() bool {
	return len(r.grants.localGrants) > 0 && r.now < r.grants.localExpires
}

// announceKinds sends changed kinds to the traffic side, together with the grants
// in force. Without this, calls of a new kind would be refused as unknown after the
// operator was told that the document is in force.
func (r *Reducer) announceKinds() {
	g := &r.grants
	r.emitGrants(g.localVersion, g.localEpoch, g.localGrants, g.localExpires)
}

// interactiveKinds returns the settings of all interactive kinds.
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

// onCallsReported applies or stores the report of this host's own traffic side.
func (r *Reducer) onCallsReported(c CallsReported) {
	if r.owner.active() {
		r.applyCallReports(r.grants.forHost(r.cfg.Host), c.Version, c.Epoch, c.Calls)
		return
	}
	r.grants.reportCalls = mergeCallReports(r.grants.reportCalls, c.Calls)
	r.grants.reportVersion, r.grants.reportEpoch = c.Version, c.Epoch
	if slices.ContainsFunc(c.Calls, func(o CallReport) bool { return o.Waiting > 0 }) {
		r.peers.nextHeartbeat = min(r.peers.nextHeartbeat, r.now)
	}
}

// mergeCallReports merges a new report into the reports that have not been sent to
// the owner yet. Calls in use are taken from the new report; counts of finished
// calls are added.
func mergeCallReports(unsent, fresh []CallReport) []CallReport {
	type key struct {
		queue  queueKey
		worker WorkerID
	}
	index := map[key]int{}
	out := append([]CallReport(nil), fresh...)
	for i, c := range out {
		index[key{queueKey{c.Team, c.Kind}, c.Worker}] = i
	}
	for _, c := range unsent {
		i, ok := index[key{queueKey{c.Team, c.Kind}, c.Worker}]
		if !ok {
			if c.InUse = 0; c.Finished+c.Failed > 0 {
				out = append(out, c)
			}
			continue
		}
		out[i].Finished += c.Finished
		out[i].Failed += c.Failed
		out[i].Latency += c.Latency
	}
	return out
}

// withoutFinished returns a copy of a sent report without the counts of finished
// calls.
func withoutFinished(calls []CallReport) []CallReport {
	out := append([]CallReport(nil), calls...)
	for i := range out {
		out[i].Finished, out[i].Failed, out[i].Latency = 0, 0, 0
	}
	return out
}

// onGrantsFromOwner applies the owner's grants from a heartbeat.
func (r *Reducer) onGrantsFromOwner(hb *Heartbeat) {
	g := &r.grants
	until := r.now.Add(hb.GrantFor)
	g.elsewhere = hb.Elsewhere
	if hb.GrantVersion == g.localVersion && hb.Epoch == g.localEpoch {
		r.emitGrants(g.localVersion, g.localEpoch, g.localGrants, until)
		return
	}
	if hb.Grants != nil || hb.GrantsWhole {
		r.emitGrants(hb.GrantVersion, hb.Epoch, hb.Grants, until)
	}
}

// inheritCalls reserves the capacity of calls that a worker had in progress when it
// was first fenced. They end by the deadline of their kind.
func (g *grantTable) inheritCalls(r *Reducer, w *worker, calls []CallCount, first bool) {
	if !first {
		return
	}
	for _, c := range calls {
		k := r.docs.kind(c.Team, c.Kind)
		if k == nil {
			continue
		}
		need := k.Request.Times(int64(c.Count))
		r.fleet.adjustAssigned(w, need)
		g.inherited = append(g.inherited, inheritedCalls{w.id, need, r.now.Add(k.Deadline)})
	}
}

// releaseInheritedCalls releases the capacity of inherited calls that have reached
// their deadline.
func (r *Reducer) releaseInheritedCalls() {
	g := &r.grants
	g.inherited = slices.DeleteFunc(g.inherited, func(l inheritedCalls) bool {
		if r.now < l.expires {
			return false
		}
		if w := r.fleet.get(l.worker); w != nil {
			r.fleet.adjustAssigned(w, l.need.Times(-1))
		}
		return true
	})
}
