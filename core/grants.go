package core

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Grant permits one host to have up to Slots interactive calls of one kind in
// progress at one worker. The capacity counts as assigned from the time the grant
// is issued until it is returned.
type Grant struct {
	Team    TeamName
	Kind    KindName
	Worker  WorkerID
	Address string
	Slots   int
}

// InteractiveKind holds the settings of an interactive kind that the traffic side
// needs to serve its calls.
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
	// grantInterval is the time between two rebalancings of the grants.
	grantInterval = 200 * time.Millisecond
	// grantPeakFactor scales the recent peak of use to the number of granted slots,
	// so that a burst does not have to wait for new grants.
	grantPeakFactor = 1.3
	// minGrants is the least number of slots of a kind that a live host is granted.
	minGrants = 2
	// peakDecay is the factor by which the recorded peak shrinks per grantInterval.
	// It halves the peak in about 3 s.
	peakDecay = 0.955
	// maxGrantsPerTick bounds the slots added in one step.
	maxGrantsPerTick = 64
	// localGrantRenewInterval is the time between renewals of the grants of the
	// owner's own traffic side.
	localGrantRenewInterval = time.Second
	// localGrantTTL is how long those grants last without renewal. It is short so
	// that they have expired after a pause of the process and no call goes to a
	// worker that left in the meantime.
	localGrantTTL = 3 * time.Second
	// pauseThreshold is the time between two ticks from which the process counts as
	// having been paused.
	pauseThreshold = 2 * time.Second
)

// grantEntry is the share of one host in one worker for one kind.
//
// Invariant: allocated counts as assigned on the worker. It is at least target, and
// at least what the host may still use under an older version that it has not
// replaced yet.
type grantEntry struct {
	queue     queueKey
	worker    WorkerID
	need      Resources
	target    int
	allocated int
	// version is the version of the grants in which target last changed.
	version uint64
}

// grantDemand is one host's use of one kind.
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

// grantTable distributes capacity for interactive calls among hosts.
type grantTable struct {
	hosts  []*hostGrants
	nextAt Time
	// version is the last version issued to any host. Versions are never reused,
	// because a host that was removed may return with an old one.
	version uint64
	// localGrants are the grants in force on the traffic side of this host.
	localGrants  []Grant
	localEpoch   Epoch
	localVersion uint64
	localExpires Time
	elsewhere    []string
	localRenewAt Time
	// shortages holds the kinds for which some host is short of slots.
	shortages map[queueKey]shortage
	// reportCalls, reportVersion and reportEpoch are the traffic side's report for the
	// next heartbeat to the owner.
	reportCalls   []CallReport
	reportVersion uint64
	reportEpoch   Epoch
	inherited     []inheritedCalls
}

// inheritedCalls are calls that were already in progress at a worker when it was
// fenced.
type inheritedCalls struct {
	worker  WorkerID
	need    Resources
	expires Time
}

func newGrantTable() grantTable { return grantTable{shortages: map[queueKey]shortage{}} }

// forHost returns the grants of a host and creates the entry if needed.
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

// tickGrants rebalances the grants of all hosts and renews those of this host's own
// traffic side.
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

// grantLifetime is the time after which a silent host cannot be using any grant:
// its grants have expired and the calls made under them have reached their
// deadline.
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

// rebalanceHost adjusts the grants of one host to its use.
func (r *Reducer) rebalanceHost(h *hostGrants, budget *int) {
	// A draining host keeps its grants until its remaining calls have ended.
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
			// Only one slot is withdrawn per interval, so that its effect on response
			// times is visible before the next one.
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

// rebalanceKind adjusts one host's grants of one kind.
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

// totalTarget returns the number of slots of a kind that the host should have.
func (h *hostGrants) totalTarget(key queueKey) int {
	n := 0
	for _, e := range h.entries {
		if e.queue == key {
			n += e.target
		}
	}
	return n
}

// addGrant grants a host one more slot of a kind. A team that exceeds its quota
// gets the slot only if no other team is waiting for capacity within its quota.
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

// otherTeamWaitsWithinQuota reports whether a team other than t has queued work
// within its quota.
func (r *Reducer) otherTeamWaitsWithinQuota(t *team) bool {
	r.refreshHeads()
	for i := range r.queues.heads {
		if !r.queues.heads[i].borrowed() && r.queues.busy[i].team != t {
			return true
		}
	}
	return false
}

// entry returns the entry of a worker and creates it if needed.
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

// setTarget changes the number of granted slots. An increase counts as assigned
// immediately; a decrease does so once the host has confirmed the new version.
func (r *Reducer) setTarget(h *hostGrants, e *grantEntry, target int) {
	if e.target == target {
		return
	}
	e.target, e.version = target, r.grants.version+1
	h.changed = true
	r.setAllocated(e, max(e.allocated, target))
}

// setAllocated changes the number of slots that count as assigned on the entry's
// worker.
func (r *Reducer) setAllocated(e *grantEntry, slots int) {
	delta := e.need.Times(int64(slots - e.allocated))
	e.allocated = slots
	if w := r.fleet.get(e.worker); w != nil && !delta.IsZero() {
		r.fleet.adjustAssigned(w, delta)
	}
	r.fleet.adjustTeamUsage(r.docs.team(e.queue.team), delta, 1)
}

// applyCallReports applies a host's report about the use of its grants.
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

// releaseHost releases the capacity of all grants of a host whose grants have
// expired.
func (r *Reducer) releaseHost(h *hostGrants) {
	for _, e := range h.entries {
		e.target = 0
		r.setAllocated(e, 0)
	}
	h.entries = nil
}

// list returns the grants of the host sorted by team, kind and worker.
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

// revokeOnWorker withdraws the grants on a lost worker. Their capacity is released
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
