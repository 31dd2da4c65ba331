package core

import "time"

const (
	// remoteSilence is how long the summary of another data centre is used.
	remoteSilence = 10 * time.Second
	// roundTripNear and roundTripFar are charged for sending a job to another
	// data centre, within the region and across regions.
	roundTripNear = 4 * time.Millisecond
	roundTripFar  = 40 * time.Millisecond
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

// remoteOf returns what is known of another data centre, or nil.
func (r *Reducer) remoteOf(dc DataCentre) *remote {
	for _, m := range r.peers.remotes {
		if m.summary.DataCentre == dc {
			return m
		}
	}
	return nil
}

// onSummaryHeard takes over the summary of another data centre.
func (r *Reducer) onSummaryHeard(s Summary) {
	m := r.remoteOf(s.DataCentre)
	if m == nil {
		m = &remote{}
		r.peers.remotes = append(r.peers.remotes, m)
	}
	if s.Epoch >= m.summary.Epoch {
		m.summary, m.heard = s, r.now
	}
}

// sendElsewhere moves a job to another data centre when waiting here costs more. Within the region that is when the wait there is shorter by more than the
// round trip. Across regions the link is paid for, so it is used only for a kind
// that allows it, and only to keep a start deadline that would be missed here.
func (r *Reducer) sendElsewhere(s Submitted, kind *Kind) bool {
	k := r.queues.byKey[queueKey{s.Spec.Team, s.Spec.Kind}]
	if k == nil || k.size == 0 {
		return false
	}
	here := k.expectedWait(r.now)
	for _, m := range r.peers.remotes {
		if r.now.Sub(m.heard) > remoteSilence || !kind.Request.Fits(m.summary.Largest) {
			continue
		}
		there := m.summary.Wait[kind.Urgency]
		if r.worthMoving(kind, m, here, there) {
			r.move(s, kind, m.summary.DataCentre)
			r.count(MetricForwarded, "", s.Spec.Team, s.Spec.Kind)
			r.chargeLink(s, m)
			return true
		}
	}
	return false
}

// chargeLink counts what a job sends over a link that is paid for.
func (r *Reducer) chargeLink(s Submitted, m *remote) {
	if m.summary.Region != r.cfg.Region {
		r.emit(Count{
			Metric: MetricLinkBytes, Team: s.Spec.Team, Kind: s.Spec.Kind, Add: len(s.Spec.Payload),
		})
	}
}

// worthMoving compares the wait here with the wait there.
func (r *Reducer) worthMoving(kind *Kind, m *remote, here, there time.Duration) bool {
	if m.summary.Region == r.cfg.Region {
		return here > there+roundTripNear
	}
	limit := kind.StartWithin
	return kind.CrossRegion && limit > 0 && here > limit && there+roundTripFar < limit
}

// elsewhere lists the owners of other data centres for interactive calls while
// no worker here is usable, those of the own region first.
func (r *Reducer) elsewhere() []string {
	if r.fleet.index.usable > 0 {
		return nil
	}
	var near, far []string
	for _, m := range r.peers.remotes {
		switch {
		case r.now.Sub(m.heard) > remoteSilence || m.summary.Largest.Negative():
		case m.summary.Region == r.cfg.Region:
			near = append(near, m.summary.Address)
		default:
			far = append(far, m.summary.Address)
		}
	}
	return append(near, far...)
}
