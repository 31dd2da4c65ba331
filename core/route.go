package core

import "time"

const (
	// remoteSummaryTTL is how long the summary of another data centre is valid.
	remoteSummaryTTL = 10 * time.Second
	// sameRegionRoundTrip and crossRegionRoundTrip are the assumed costs of
	// sending a job to another data centre.
	sameRegionRoundTrip  = 4 * time.Millisecond
	crossRegionRoundTrip = 40 * time.Millisecond
)

// summary describes this data centre to others.
func (r *Reducer) summary() Summary {
	s := Summary{
		From: r.cfg.Host, Address: r.cfg.Address, DataCentre: r.cfg.DataCentre,
		Region: r.cfg.Region, Epoch: r.owner.epoch, Largest: r.fleet.index.largest(),
	}
	used := Resources{}
	for _, t := range r.docs.teams {
		used = used.Add(t.used)
	}
	s.Free = r.fleet.total.Sub(used)
	for _, k := range r.queues.busy {
		s.Wait[k.urgency] = max(s.Wait[k.urgency], k.expectedWait(r.now))
	}
	return s
}

// remoteOwnerOf returns the known owner of another data centre, or nil.
func (r *Reducer) remoteOwnerOf(dc DataCentre) *remoteOwner {
	for _, m := range r.peers.remoteOwners {
		if m.summary.DataCentre == dc {
			return m
		}
	}
	return nil
}

// onSummaryHeard handles the summary of another data centre.
func (r *Reducer) onSummaryHeard(s Summary) {
	m := r.remoteOwnerOf(s.DataCentre)
	if m == nil {
		m = &remoteOwner{}
		r.peers.remoteOwners = append(r.peers.remoteOwners, m)
	}
	if s.Epoch >= m.summary.Epoch {
		m.summary, m.lastHeard = s, r.now
	}
}

// tryMove moves a job to another data centre if waiting here costs more, and
// reports whether it did. Within the region, the wait there must be shorter by
// more than the round trip. Across regions the link is metered, so it is used only
// if the kind allows it and only to meet a start deadline that would be missed
// here.
func (r *Reducer) tryMove(s Submitted, kind *Kind) bool {
	k := r.queues.byKey[queueKey{s.Spec.Team, s.Spec.Kind}]
	if k == nil || k.size == 0 {
		return false
	}
	localWait := k.expectedWait(r.now)
	for _, m := range r.peers.remoteOwners {
		if r.now.Sub(m.lastHeard) > remoteSummaryTTL || !kind.Request.Fits(m.summary.Largest) {
			continue
		}
		remoteWait := m.summary.Wait[kind.Urgency]
		if r.shouldMove(kind, m, localWait, remoteWait) {
			r.move(s, kind, m.summary.DataCentre)
			r.count(MetricForwarded, "", s.Spec.Team, s.Spec.Kind)
			r.countLinkBytes(s, m)
			return true
		}
	}
	return false
}

// countLinkBytes counts the bytes of a job that is sent over a metered link.
func (r *Reducer) countLinkBytes(s Submitted, m *remoteOwner) {
	if m.summary.Region != r.cfg.Region {
		r.emit(Count{
			Metric: MetricLinkBytes, Team: s.Spec.Team, Kind: s.Spec.Kind, Add: len(s.Spec.Payload),
		})
	}
}

// shouldMove compares the expected waits here and there.
func (r *Reducer) shouldMove(kind *Kind, m *remoteOwner, localWait, remoteWait time.Duration) bool {
	if m.summary.Region == r.cfg.Region {
		return localWait > remoteWait+sameRegionRoundTrip
	}
	limit := kind.StartWithin
	return kind.CrossRegion && limit > 0 && localWait > limit && remoteWait+crossRegionRoundTrip < limit
}

// remoteCallHosts lists the owners of other data centres that can serve
// interactive calls while no worker here is usable. Those of the own region come
// first.
func (r *Reducer) remoteCallHosts() []string {
	if r.fleet.index.usable > 0 {
		return nil
	}
	var near, far []string
	for _, m := range r.peers.remoteOwners {
		switch {
		case r.now.Sub(m.lastHeard) > remoteSummaryTTL || m.summary.Largest.Negative():
		case m.summary.Region == r.cfg.Region:
			near = append(near, m.summary.Address)
		default:
			far = append(far, m.summary.Address)
		}
	}
	return append(near, far...)
}
