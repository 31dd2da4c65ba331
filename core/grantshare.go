package core

import "time"

// shortageFor is how long a shortage is remembered after the last request for a
// grant that found no room.
const shortageTTL = 2 * time.Second

// shortage says that a host has calls waiting and got no grant.
type shortage struct {
	host  HostID
	until Time
}

// noteShortage remembers that a host with waiting calls got no grant, so that the
// other hosts give up slots that they keep in reserve.
func (r *Reducer) recordShortage(h *hostGrants, key queueKey, d *grantDemand) {
	if d.waiting > 0 {
		r.grants.shortages[key] = shortage{host: h.host, until: r.now.Add(shortageTTL)}
	}
}

// limitToShare reduces what a host is to have of a kind while another host is
// short of it: no reserve, and no more than its share. Without this a host could
// keep every slot that the limits of the workers allow, and the calls at another
// one waited until their deadline.
func (r *Reducer) limitToFairShare(h *hostGrants, key queueKey, d *grantDemand, want int) int {
	s, ok := r.grants.shortages[key]
	if !ok || s.host == h.host || r.now >= s.until {
		return want
	}
	total, hosts := 0, 0
	for _, o := range r.grants.hosts {
		total += o.totalTarget(key)
		if od := o.demand[key]; od != nil && od.inUse+od.waiting > 0 {
			hosts++
		}
	}
	share := max(1, total/max(1, hosts))
	return min(want, d.inUse+d.waiting, share)
}
