package core

import (
	"fmt"
	"time"
)

// onViewRequested replies with an operator view.
func (r *Reducer) onViewRequested(v ViewRequested) {
	switch v.View {
	case ViewHosts:
		r.emit(Reply{Request: v.Request, View: r.hostViews()})
	case ViewWorkers:
		if !r.owner.active() && !v.Forwarded && r.ownerKnown() {
			r.forward(v.Request, false)
			return
		}
		r.emit(Reply{Request: v.Request, View: r.workerViews()})
	case ViewTeams:
		if !r.owner.active() && !v.Forwarded && r.ownerKnown() {
			r.forward(v.Request, false)
			return
		}
		r.emit(Reply{Request: v.Request, View: r.teamViews(v.Team)})
	default:
		r.documentView(v)
	}
}

// documentView replies with this host's current documents.
func (r *Reducer) documentView(v ViewRequested) {
	if v.Team == "" {
		r.emit(Reply{Request: v.Request, View: r.docs.versions()})
		return
	}
	t := r.docs.team(v.Team)
	if t == nil {
		r.refuse(v.Request, refuse(ReasonUnknownTeam, "team %q has no document", v.Team), v.Team, "")
		return
	}
	r.emit(Reply{Request: v.Request, View: []DocumentVersion{t.version}})
}

// hostViews lists the entry hosts known to this one.
func (r *Reducer) hostViews() []HostView {
	o := &r.owner
	out := []HostView{{
		ID: r.cfg.Host, Address: r.cfg.Address, DataCentre: r.cfg.DataCentre, Region: r.cfg.Region,
		Owner: o.active(), Epoch: o.epoch, Draining: r.draining,
	}}
	for _, p := range r.peers.list {
		age := time.Duration(-1)
		if p.lastHeard != 0 {
			age = r.now.Sub(p.lastHeard)
		}
		out = append(out, HostView{
			ID: p.host.ID, Address: p.host.Address, DataCentre: p.host.DataCentre,
			Region: p.host.Region, Epoch: p.lastHeartbeat.Epoch,
			// A host that claims an earlier epoch has stopped or has not
			// heard of its successor yet.
			Owner:        p.lastHeartbeat.Owner && p.lastHeartbeat.Epoch >= max(o.epoch, o.ownerEpoch),
			HeartbeatAge: age, Draining: p.lastHeartbeat.Draining || p.host.Leaving,
		})
	}
	for _, h := range r.peers.remoteHosts {
		v := HostView{ID: h.ID, Address: h.Address, DataCentre: h.DataCentre, Region: h.Region, HeartbeatAge: -1}
		if m := r.remoteOwnerOf(h.DataCentre); m != nil && m.summary.From == h.ID {
			v.Owner, v.Epoch, v.HeartbeatAge = true, m.summary.Epoch, r.now.Sub(m.lastHeard)
		}
		out = append(out, v)
	}
	return out
}

// workerViews lists the workers of the data centre.
func (r *Reducer) workerViews() []WorkerView {
	out := make([]WorkerView, 0, len(r.fleet.workers))
	for _, w := range r.fleet.workers {
		v := WorkerView{
			ID: w.id, Rack: w.rack, DataCentre: w.dataCentre, State: w.state(),
			Capacity: w.capacity, Assigned: w.assigned, Tasks: len(w.placements) + len(w.orphans),
		}
		if w.fenced {
			v.Epoch = r.owner.epoch
		}
		out = append(out, v)
	}
	return out
}

// state returns whether the worker gets new work and, if not, why.
func (w *worker) state() WorkerState {
	switch {
	case w.lost || w.sync.failingSince != 0:
		return WorkerSilent
	case !w.fenced:
		return WorkerUnfenced
	case w.leaving || !w.listed:
		return WorkerLeaving
	case w.health.quarantined:
		return WorkerSuspended
	}
	return WorkerReady
}

// teamViews lists all teams, or the named one.
func (r *Reducer) teamViews(name TeamName) []TeamView {
	var out []TeamView
	for _, t := range r.docs.teams {
		if name != "" && t.name != name {
			continue
		}
		v := TeamView{
			Team: t.name, Weight: t.doc().Weight, Quota: t.doc().Quota, InUse: t.used,
			Share: t.used.DominantShare(r.fleet.total), Revision: t.version.Revision,
		}
		for i := range t.doc().Kinds {
			name := t.doc().Kinds[i].Name
			k := r.queues.byKey[queueKey{t.name, name}]
			if k == nil || k.size == 0 {
				continue
			}
			v.Queued = append(v.Queued, KindCount{Kind: name, Count: k.size})
			if j := k.first(); j != nil {
				v.OldestWait = max(v.OldestWait, r.now.Sub(j.spec.Submitted))
			}
		}
		out = append(out, v)
	}
	return out
}

// explain returns why a job is waiting, or where it was placed and why.
func (r *Reducer) explain(j *job) *Explanation {
	e := &Explanation{Status: *j.status(r.now), Steps: append([]Step(nil), j.steps...)}
	if j.refusal != nil {
		e.Reasons = append(e.Reasons, j.refusal.Message)
	}
	if r.movedHere(&j.spec) {
		e.Reasons = append(e.Reasons, fmt.Sprintf("it was submitted in data centre %s and moved to %s",
			j.spec.Origin, r.cfg.DataCentre))
	}
	switch j.state {
	case JobAccepting:
		e.Reasons = append(e.Reasons, "its record in the journal is not durable yet")
		if j.movedTo != "" {
			e.Reasons = append(e.Reasons, "it is then moved to data centre "+string(j.movedTo))
		}
	case JobSettling:
		e.Reasons = append(e.Reasons, "a former owner may have started it; not every worker has answered yet")
	case JobQueued:
		r.explainWait(e, j)
	case JobStarting, JobRunning:
		for i := range j.tasks {
			if t := &j.tasks[i]; t.worker != "" {
				e.Reasons = append(e.Reasons, "task "+t.state.String()+" on the worker that was left fullest among those with room: "+string(t.worker))
			}
		}
	}
	return e
}

// explainWait adds the reasons why a queued job is waiting.
func (r *Reducer) explainWait(e *Explanation, j *job) {
	k := r.queues.queueFor(j)
	e.Position = k.position(j)
	switch {
	case j.notBefore > r.now:
		e.Reasons = append(e.Reasons, "it failed and waits before its next attempt")
	case e.Position > 1:
		e.Reasons = append(e.Reasons, "older jobs of its kind wait before it")
	}
	if r.fitsTeamQuota(j.team, j.waitingDemand()) {
		e.Reasons = append(e.Reasons, "its team is within its quota")
	} else {
		e.Reasons = append(e.Reasons, "its team has used its quota, so it waits for capacity that no other team needs")
	}
	if share, ok := r.estimates.overdeclaredCPU(j); ok {
		e.Reasons = append(e.Reasons, fmt.Sprintf(
			"tasks of its kind use about %.0f%% of the processors that its document asks for", 100*share))
	}
	if len(r.reservations.forID(j.spec.ID)) > 0 {
		e.Reasons = append(e.Reasons, "room is being gathered for it")
	}
	e.Rejected = r.fleet.rejections(&constraint{need: j.kind.Request, job: j.spec.ID, avoid: j.tasks[0].failedOn})
}
