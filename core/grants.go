package core

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Grant allows the traffic side of one host to have up to Slots interactive
// calls of one kind in progress at one worker. The capacity counts as assigned
// from the moment the grant is issued until it is returned.
type Grant struct {
	Team    TeamName
	Kind    KindName
	Worker  WorkerID
	Address string
	Slots   int
}

// InteractiveKind is what the traffic side needs to know of a kind that is
// served by calls.
type InteractiveKind struct {
	Team            TeamName
	Kind            KindName
	Idempotent      bool
	Deadline        time.Duration
	ProgressTimeout time.Duration
	MaxAttempts     int
	QueueLimit      int
}

const (
	// grantPeriod is how often grants are divided anew.
	grantInterval = 200 * time.Millisecond
	// grantHeadroom is how much more than the recent peak of use is granted,
	// so that a burst finds grants in place.
	grantPeakFactor = 1.3
	// grantLeast is the number of grants of a kind that a host always has.
	minGrants = 2
	// peakDecay shrinks the remembered peak each period; it halves within
	// about three seconds.
	peakDecay = 0.955
	// grantsPerTick bounds the grants added in one step.
	maxGrantsPerTick = 64
	// localGrantRenew is how often the own traffic side's grants are renewed.
	localGrantRenewInterval = time.Second
	// localGrantFor is how long they last without renewal. After a pause of the
	// process they have expired, so that no call goes to a worker that has left
	// meanwhile.
	localGrantTTL = 3 * time.Second
	// pauseNoticed is the time between two ticks that counts as a pause.
	pauseThreshold = 2 * time.Second
)

// grantEntry is what one host may use of one worker for one kind.
//
// Invariant: held is at least target and at least what the host may still use
// under a version it has not replaced yet; held counts as assigned.
type grantEntry struct {
	queue     queueKey
	worker    WorkerID
	need      Resources
	target    int
	allocated int
	// version is that of the grants in which target was last changed.
	version uint64
}

// grantDemand is the use of one kind by one host.
type grantDemand struct {
	inUse   int
	waiting int
	peak    float64
}

// hostGrants holds the grants of one host.
type hostGrants struct {
	host         HostID
	version      uint64
	ackedVersion uint64
	lastHeard    Time
	entries      []*grantEntry
	demand       map[queueKey]*grantDemand
	changed      bool
}

// grantTable divides capacity for interactive calls among hosts.
type grantTable struct {
	hosts  []*hostGrants
	nextAt Time
	// version is the last that any host was given. Versions are not used
	// again, since a host that was forgotten may return with an old one.
	version uint64
	// local is what the traffic side of this host has in force.
	localGrants  []Grant
	localEpoch   Epoch
	localVersion uint64
	localExpires Time
	elsewhere    []string
	localRenewAt Time
	// short holds the kinds that some host is short of.
	shortages     map[queueKey]shortage
	unsentCalls   []CallReport
	unsentVersion uint64
	unsentEpoch   Epoch
	inherited     []inheritedCalls
}

// leftoverCalls are calls that a worker had in progress when it was fenced.
type inheritedCalls struct {
	worker WorkerID
	need   Resources
	until  Time
}

func newGrantTable() grantTable { return grantTable{shortages: map[queueKey]shortage{}} }

// of returns the grants of a host, creating them.
func (g *grantTable) forHost(host HostID) *hostGrants {
	for _, h := range g.hosts {
		if h.host == host {
			return h
		}
	}
	h := &hostGrants{host: host, demand: map[queueKey]*grantDemand{}}
	g.hosts = append(g.hosts, h)
	slices.SortFunc(g.hosts, func(a, b *hostGrants) int {
		return strings.Compare(string(a.host), string(b.host))
	})
	return h
}

// tickGrants divides grants anew and renews those of the own traffic side.
func (r *Reducer) tickGrants() {
	g := &r.grants
	if !r.owner.active() || r.now < g.nextAt {
		return
	}
	g.nextAt = r.now.Add(grantInterval)
	g.forHost(r.cfg.Host).lastHeard = r.now
	r.releaseInheritedCalls()
	budget := maxGrantsPerTick
	for _, h := range g.hosts {
		if r.now.Sub(h.lastHeard) > r.grantLifetime() {
			r.releaseHost(h)
			continue
		}
		r.rebalanceHost(h, &budget)
	}
	g.hosts = slices.DeleteFunc(g.hosts, func(h *hostGrants) bool {
		return len(h.entries) == 0 && r.now.Sub(h.lastHeard) > r.grantLifetime()
	})
	r.setLocalGrants()
}

// grantLifetime is the time after which a silent host surely uses no grant: its
// grants have expired and the calls made under them have reached their deadline.
func (r *Reducer) grantLifetime() time.Duration {
	longest := time.Duration(0)
	for _, t := range r.docs.teams {
		for i := range t.doc().Kinds {
			if k := &t.doc().Kinds[i]; k.Urgency == Interactive {
				longest = max(longest, k.Deadline)
			}
		}
	}
	return r.cfg.GrantFor + longest
}

// divide adjusts the grants of one host to its use.
func (r *Reducer) rebalanceHost(h *hostGrants, budget *int) {
	// A host that is about to stop serves the calls that it has before it stops.
	live := r.now.Sub(h.lastHeard) < peerSilenceLimit && (h.busy() || !r.peers.isDraining(h.host))
	for _, t := range r.docs.teams {
		for i := range t.doc().Kinds {
			k := &t.doc().Kinds[i]
			if k.Urgency == Interactive {
				r.rebalanceKind(h, t, k, live, budget)
			}
		}
	}
	for _, e := range h.entries {
		if k := r.docs.kind(e.queue.team, e.queue.kind); k == nil || k.Urgency != Interactive {
			r.setTarget(h, e, 0)
		}
		w := r.fleet.get(e.worker)
		switch {
		case w == nil || !w.isUsable():
			r.setTarget(h, e, 0)
		case e.target > 0 && r.grants.grantedCalls(e.queue, w.id) > w.callLimitOf(e.queue).current():
			// One slot a period, so that the effect is seen before the next.
			r.setTarget(h, e, e.target-1)
		}
	}
	if h.changed {
		r.grants.version++
		h.version = r.grants.version
		h.changed = false
	}
}

// busy reports whether the host has calls in progress or waiting.
func (h *hostGrants) busy() bool {
	for _, d := range h.demand {
		if d.inUse+d.waiting > 0 {
			return true
		}
	}
	return false
}

// divideKind adjusts the grants of one kind.
func (r *Reducer) rebalanceKind(h *hostGrants, t *team, k *Kind, live bool, budget *int) {
	key := queueKey{t.name, k.Name}
	d := h.demand[key]
	if d == nil {
		d = &grantDemand{}
		h.demand[key] = d
	}
	d.peak = max(float64(d.inUse), d.peak*peakDecay)
	want := minGrants + int(d.peak*grantPeakFactor) + d.waiting
	if !live {
		want = 0
	}
	want = r.limitToFairShare(h, key, d, want)
	have := h.totalTarget(key)
	for ; have < want && *budget > 0; have++ {
		*budget--
		if !r.addGrant(h, t, k, key) {
			r.recordShortage(h, key, d)
			return
		}
	}
	for i := len(h.entries) - 1; i >= 0 && have > want; i-- {
		if e := h.entries[i]; e.queue == key && e.target > 0 {
			drop := min(e.target, have-want)
			r.setTarget(h, e, e.target-drop)
			have -= drop
		}
	}
}

// targets is how many slots of a kind the host is to have.
func (h *hostGrants) totalTarget(key queueKey) int {
	n := 0
	for _, e := range h.entries {
		if e.queue == key {
			n += e.target
		}
	}
	return n
}

// addGrant grants one more slot of a kind to a host. Beyond its quota a team
// gets only what nobody entitled waits for.
func (r *Reducer) addGrant(h *hostGrants, t *team, k *Kind, key queueKey) bool {
	entitled := r.fitsTeamQuota(t, k.Request)
	if !entitled && r.otherTeamWaitsWithinQuota(t) {
		return false
	}
	id := JobID("grant:" + string(t.name) + "/" + string(k.Name))
	w := r.selectWorker(&constraint{
		need: k.Request, job: id, endsBy: r.now.Add(k.Deadline),
		filter: func(w *worker) bool {
			return r.grants.grantedCalls(key, w.id) < w.callLimitOf(key).current()
		},
	}, nil)
	if w == nil {
		if entitled && len(r.reservations.forID(id)) == 0 {
			c := preemptor{id: id, team: t, urgency: Interactive, need: k.Request}
			if plan, ok := r.planPreemption(&c, nil); ok {
				r.executePlans(&c, []preemptionPlan{plan})
			}
		}
		return false
	}
	r.reservations.drop(r, id)
	r.setTarget(h, h.entry(key, w.id, k.Request), h.entry(key, w.id, k.Request).target+1)
	return true
}

// entitledWaiting reports whether another team has work within its quota that
// waits for room.
func (r *Reducer) otherTeamWaitsWithinQuota(t *team) bool {
	r.refreshHeads()
	for i := range r.queues.heads {
		if !r.queues.heads[i].borrowed() && r.queues.busy[i].team != t {
			return true
		}
	}
	return false
}

// entry returns the entry of a worker, creating it.
func (h *hostGrants) entry(key queueKey, w WorkerID, need Resources) *grantEntry {
	for _, e := range h.entries {
		if e.queue == key && e.worker == w && e.need == need {
			return e
		}
	}
	e := &grantEntry{queue: key, worker: w, need: need}
	h.entries = append(h.entries, e)
	return e
}

// setTarget changes the number of slots granted. More count at once; fewer are
// returned when the host has confirmed the change.
func (r *Reducer) setTarget(h *hostGrants, e *grantEntry, target int) {
	if e.target == target {
		return
	}
	e.target, e.version = target, r.grants.version+1
	h.changed = true
	r.setAllocated(e, max(e.allocated, target))
}

// setHeld changes what an entry holds on its worker.
func (r *Reducer) setAllocated(e *grantEntry, held int) {
	by := e.need.Times(int64(held - e.allocated))
	e.allocated = held
	if w := r.fleet.get(e.worker); w != nil && !by.IsZero() {
		r.fleet.adjustAssigned(w, by)
	}
	r.fleet.adjustTeamUsage(r.docs.team(e.queue.team), by, 1)
}

// noteUse takes over a host's report about its grants.
func (r *Reducer) applyCallReports(h *hostGrants, version uint64, epoch Epoch, calls []CallReport) {
	h.lastHeard = r.now
	r.recordCallResults(calls)
	if epoch == r.owner.epoch {
		h.ackedVersion = max(h.ackedVersion, version)
	}
	inUse := map[queueKey]int{}
	byEntry := map[queueKey]map[WorkerID]int{}
	for _, c := range calls {
		key := queueKey{c.Team, c.Kind}
		if c.Worker == "" {
			if d := h.demand[key]; d != nil {
				d.waiting = c.Waiting
			}
			continue
		}
		inUse[key] += c.InUse
		if byEntry[key] == nil {
			byEntry[key] = map[WorkerID]int{}
		}
		byEntry[key][c.Worker] = c.InUse
	}
	for key, d := range h.demand {
		d.inUse = inUse[key]
		d.peak = max(d.peak, float64(d.inUse))
	}
	for _, e := range h.entries {
		if e.version <= h.ackedVersion {
			r.setAllocated(e, max(e.target, byEntry[e.queue][e.worker]))
		}
	}
	h.entries = slices.DeleteFunc(h.entries, func(e *grantEntry) bool {
		return e.allocated == 0 && e.target == 0
	})
}

// dropHost returns everything that a silent host held.
func (r *Reducer) releaseHost(h *hostGrants) {
	for _, e := range h.entries {
		e.target = 0
		r.setAllocated(e, 0)
	}
	h.entries = nil
}

// list returns the grants of the host in a fixed order.
func (h *hostGrants) list(f *fleet) []Grant {
	var out []Grant
	for _, e := range h.entries {
		if w := f.get(e.worker); w != nil && e.target > 0 {
			out = append(out, Grant{
				Team: e.queue.team, Kind: e.queue.kind, Worker: e.worker,
				Address: w.address, Slots: e.target,
			})
		}
	}
	slices.SortFunc(out, compareGrants)
	return out
}

func compareGrants(a, b Grant) int {
	return cmp.Or(
		strings.Compare(string(a.Team), string(b.Team)),
		strings.Compare(string(a.Kind), string(b.Kind)),
		strings.Compare(string(a.Worker), string(b.Worker)),
	)
}

// withdrawFrom ends the grants on a worker that is lost. What they hold returns
// when the hosts confirm that they no longer use them.
func (g *grantTable) revokeOnWorker(r *Reducer, w *worker) {
	for _, h := range g.hosts {
		for _, e := range h.entries {
			if e.worker == w.id {
				r.setTarget(h, e, 0)
			}
		}
	}
}
