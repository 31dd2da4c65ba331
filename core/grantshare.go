package core

import "time"

// shortageTTL is how long a shortage is remembered after the last grant that could
// not be issued.
const shortageTTL = 2 * time.Second

// shortage records that a host has waiting calls but could not be granted a slot.
type shortage struct {
	host    HostID
	expires Time
}

// recordShortage records that a host with waiting calls could not be granted a
// slot, so that the other hosts give up their unused slots.
func (r *Reducer) recordShortage(h *hostGrants, key queueKey, d *grantDemand) {
	if d.waiting > 0 {
		r.grants.shortages[key] = shortage{host: h.host, expires: r.now.Add(shortageTTL)}
	}
}

// limitToFairShare limits a host's target for a kind while another host is short of
// slots: no unused slots, and no more than its share. Otherwise one host could keep
// every slot that the workers' limits allow while calls at the other wait until
// their deadline.
func (r *Reducer) limitToFairShare(h *hostGrants, key queueKey, d *grantDemand, want int) int {
	s, ok := r.grants.shortages[key]
	if !ok || s.host == h.host || r.now >= s.expires {
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
