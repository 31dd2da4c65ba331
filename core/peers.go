package core

import (
	"slices"
	"strings"
	"time"
)

const (
	// heartbeatInterval is the time between two heartbeats to a peer.
	heartbeatInterval = time.Second
	// idleHeartbeatRounds is the number of heartbeat intervals between two
	// heartbeats of hosts that are neither the owner nor the standby. The
	// resulting time must stay below peerSilenceLimit, after which a peer counts
	// as dead.
	idleHeartbeatRounds = 3
	// sameRegionSummaryInterval and crossRegionSummaryInterval are the times
	// between two summaries to another data centre.
	sameRegionSummaryInterval  = time.Second
	crossRegionSummaryInterval = 5 * time.Second
	// hostListInterval is how often the owner reads the platform's host list.
	// Together with the sync interval it ensures that a leaving worker gets no
	// new work after 3 s.
	hostListInterval = time.Second
	// followerHostListInterval is how often other hosts read the list.
	followerHostListInterval = 10 * time.Second
	// hostListOwnerTimeout is how long the owner's heartbeat may be missing
	// before hosts that hold its grants read the list as often as the owner.
	// It leaves 1 s of the 3 s above.
	hostListOwnerTimeout = 2 * heartbeatInterval
)

// peer is another entry host of the data centre.
type peer struct {
	host          ListedHost
	lastHeard     Time
	lastHeartbeat Heartbeat
}

// remoteOwner is the owner of another data centre.
type remoteOwner struct {
	summary   Summary
	lastHeard Time
}

// peers tracks the other entry hosts.
type peers struct {
	list         []*peer
	remoteOwners []*remoteOwner
	// remoteHosts contains the entry hosts of other data centres.
	remoteHosts []ListedHost
	// lastHeard is when the last heartbeat of any peer arrived. peersListed is
	// set if the platform lists another host of this data centre.
	lastHeard      Time
	peersListed    bool
	nextHeartbeat  Time
	heartbeatRound uint64
	nextList       Time
	// lastListRequest is when the platform's list was last requested.
	lastListRequest Time
	listed          bool
}

func newPeers() peers { return peers{} }

func (p *peers) get(id HostID) *peer {
	for _, o := range p.list {
		if o.host.ID == id {
			return o
		}
	}
	return nil
}

// isDraining reports whether a host of the data centre is shutting down.
func (p *peers) isDraining(id HostID) bool {
	o := p.get(id)
	return o != nil && (o.lastHeartbeat.Draining || o.host.Leaving)
}

// onHostsListed applies the platform's host list.
func (r *Reducer) onHostsListed(l HostsListed) {
	r.peers.listed = true
	var local []ListedWorker
	for _, w := range l.Workers {
		if w.DataCentre == r.cfg.DataCentre {
			local = append(local, w)
		}
	}
	for _, w := range r.fleet.update(local) {
		if r.owner.active() && len(w.placements) > 0 && w.sync.failingSince != 0 {
			// The platform removed a worker that does not respond.
			r.resolveLostTasks(w, false)
		}
	}
	r.peers.update(r.cfg, l.Hosts)
	if !r.owner.active() && r.holdsGrants() {
		r.announceKinds()
	}
}

// update applies the listed entry hosts.
func (p *peers) update(cfg Config, listed []ListedHost) {
	var list []*peer
	p.remoteHosts = p.remoteHosts[:0]
	for _, h := range listed {
		if h.ID == cfg.Host {
			continue
		}
		if h.DataCentre != cfg.DataCentre {
			p.remoteHosts = append(p.remoteHosts, h)
			continue
		}
		o := p.get(h.ID)
		if o == nil {
			o = &peer{}
		}
		o.host = h
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b *peer) int {
		return strings.Compare(string(a.host.ID), string(b.host.ID))
	})
	p.list, p.peersListed = list, len(list) > 0
}

// tickHostList requests the platform's list when it is due.
func (r *Reducer) tickHostList() {
	if !r.owner.active() && r.holdsGrants() && r.now.Sub(r.owner.ownerLastHeard) > hostListOwnerTimeout {
		r.peers.nextList = min(r.peers.nextList, r.peers.lastListRequest.Add(hostListInterval))
	}
	if r.now < r.peers.nextList {
		return
	}
	period := hostListInterval
	if !r.owner.active() && r.peers.listed {
		period = r.jitter(followerHostListInterval)
	}
	r.peers.nextList, r.peers.lastListRequest = r.now.Add(period), r.now
	r.emit(ListHosts{})
}

// tickPeers sends heartbeats and summaries that are due.
func (r *Reducer) tickPeers() {
	if r.now < r.peers.nextHeartbeat {
		return
	}
	r.peers.nextHeartbeat = r.now.Add(heartbeatInterval)
	r.peers.heartbeatRound++
	for _, p := range r.peers.list {
		if r.isIdlePeer(p) && r.peers.heartbeatRound%idleHeartbeatRounds != 0 {
			continue
		}
		r.emit(SendHeartbeat{Address: p.host.Address, Heartbeat: r.heartbeatFor(p)})
	}
	if r.owner.role == roleOwner {
		r.sendSummaries()
	}
}

// isIdlePeer reports whether a peer gets heartbeats at the idle rate: an owner is
// alive, and neither this host nor the peer is the owner or the standby.
func (r *Reducer) isIdlePeer(p *peer) bool {
	o := &r.owner
	return !r.draining && !o.active() && r.ownerKnown() && p.lastHeard != 0 &&
		p.host.ID != o.ownerHost && p.host.ID != o.standby && o.standby != r.cfg.Host
}

// heartbeatFor builds the heartbeat for a peer.
func (r *Reducer) heartbeatFor(p *peer) Heartbeat {
	o := &r.owner
	hb := Heartbeat{
		From: r.cfg.Host, Address: r.cfg.Address, Incarnation: r.cfg.Incarnation,
		HighestEpoch: max(o.epoch, o.ownerEpoch), DocumentDigest: r.docs.digest(),
		NeedDocuments: !r.docs.confirmed, Draining: r.draining,
	}
	if !o.active() {
		hb.Acknowledged, hb.AckEpoch = r.grants.reportVersion, r.grants.reportEpoch
		if p.host.ID == o.ownerHost {
			hb.Calls = r.grants.reportCalls
			r.grants.reportCalls = withoutFinished(hb.Calls)
		}
		return hb
	}
	hb.Owner, hb.Epoch = true, o.epoch
	hb.Standby, hb.StandbyEpoch = o.standby, o.standbyEpoch
	h := r.grants.forHost(p.host.ID)
	hb.GrantVersion, hb.GrantFor, hb.Elsewhere = h.version, r.cfg.GrantFor, r.remoteCallHosts()
	if h.version != h.ackedVersion || r.now.Sub(p.lastHeard) > peerSilenceLimit {
		hb.Grants, hb.GrantsWhole = h.list(&r.fleet), true
	}
	return hb
}

// onPeerHeard handles a heartbeat.
func (r *Reducer) onPeerHeard(hb Heartbeat) {
	if hb.From == r.cfg.Host {
		return
	}
	p := r.peers.get(hb.From)
	if p == nil {
		// The platform's list may lag behind, so the heartbeat itself is
		// sufficient to add the peer.
		p = &peer{host: ListedHost{
			ID: hb.From, Address: hb.Address, DataCentre: r.cfg.DataCentre, Region: r.cfg.Region,
		}}
		r.peers.list = append(r.peers.list, p)
		r.peers.peersListed = true
	}
	if hb.Incarnation < p.lastHeartbeat.Incarnation {
		return // sent before the peer restarted and delayed
	}
	p.lastHeard, p.lastHeartbeat, r.peers.lastHeard = r.now, hb, r.now
	r.updateOwner(p, &hb)
	if r.owner.active() && !hb.Owner {
		r.applyCallReports(r.grants.forHost(hb.From), hb.Acknowledged, hb.AckEpoch, hb.Calls)
	}
	r.exchangeDocuments(p, &hb)
}

// updateOwner updates the known owner of the data centre from a heartbeat.
func (r *Reducer) updateOwner(p *peer, hb *Heartbeat) {
	o := &r.owner
	if o.active() && max(hb.Epoch, hb.HighestEpoch) > o.epoch {
		r.onHigherEpoch(max(hb.Epoch, hb.HighestEpoch))
	}
	if !hb.Owner {
		if hb.From == o.ownerHost {
			// The former owner has stepped down or is draining.
			o.ownerHost, o.ownerAddress = "", ""
			o.nextPoll = min(o.nextPoll, r.now)
		}
		return
	}
	if hb.Epoch < o.ownerEpoch || o.active() {
		return
	}
	o.ownerHost, o.ownerAddress, o.ownerEpoch, o.ownerLastHeard = hb.From, p.host.Address, hb.Epoch, r.now
	o.standby, o.standbyEpoch = hb.Standby, hb.StandbyEpoch
	r.onGrantsFromOwner(hb)
}

// chooseStandby returns a live peer to take over if the store is unreachable.
func (r *Reducer) chooseStandby() HostID {
	for _, p := range r.peers.list {
		if r.isLivePeer(p.host.ID) {
			return p.host.ID
		}
	}
	return ""
}

// isLivePeer reports whether a peer was heard recently and is not shutting down.
func (r *Reducer) isLivePeer(id HostID) bool {
	p := r.peers.get(id)
	return p != nil && p.lastHeard != 0 && r.now.Sub(p.lastHeard) < peerSilenceLimit && !r.peers.isDraining(id)
}

// sendSummaries sends the free capacity of this data centre to the owners of the
// others. While the owner of a data centre is unknown, its hosts get the summary
// in turn.
func (r *Reducer) sendSummaries() {
	s := r.summary()
	for i, h := range r.peers.remoteHosts {
		m := r.remoteOwnerOf(h.DataCentre)
		if m != nil && m.summary.From != h.ID && r.now.Sub(m.lastHeard) < remoteSummaryTTL {
			continue
		}
		period := crossRegionSummaryInterval
		if h.Region == r.cfg.Region {
			period = sameRegionSummaryInterval
		}
		round := int64(r.now)/int64(heartbeatInterval) + int64(i)
		if round%int64(period/heartbeatInterval) == 0 {
			r.emit(SendSummary{Address: h.Address, Summary: s})
		}
	}
}
