package core

import (
	"slices"
	"strings"
)

// placement is a task with capacity allocated on a worker.
type placement struct {
	job  *job
	task *task
}

// worker is the reducer's view of one worker.
//
// Invariant: assigned is the sum of the resources of its placements, orphans,
// grants and inherited calls. No decision of this package makes it exceed capacity.
type worker struct {
	id         WorkerID
	address    string
	rack       string
	dataCentre DataCentre
	capacity   Resources
	assigned   Resources
	listed     bool
	leaving    bool
	// fenced is set once the worker has confirmed the current epoch.
	fenced bool
	// lost is set once the leases of its tasks are known to have expired.
	lost         bool
	incarnation  uint64
	lastSequence uint64
	// needsFullSync makes the next sync request the worker's full ledger.
	needsFullSync bool
	placements    map[taskKey]placement
	// orphans are tasks that run on the worker but belong to no known job.
	orphans map[TaskRef]Resources
	health  workerHealth
	// limits bounds the concurrent calls of each interactive kind.
	limits map[queueKey]*callLimit
	sync   syncState
	// index is the worker's position in fleet.workers and the capacity index.
	index int
	// reservedBy is the job or queue that the worker is reserved for, or empty.
	reservedBy JobID
	// inFreedList is set while the worker is in fleet.freed.
	inFreedList bool
	// expectedFreeAt is when the worker is expected to have capacity for the job it
	// is reserved for. Other work that ends by then may use it.
	expectedFreeAt Time
}

// taskKey identifies a task regardless of its attempt.
type taskKey struct {
	job  JobID
	task int
}

// copiesKey is the key of fleet.copiesCache.
type copiesKey struct {
	need  Resources
	limit int64
}

// fleet holds the workers of the data centre.
type fleet struct {
	// workers is sorted by worker.index: workers with accelerators come last, so
	// that work without accelerators takes the plain workers first; within each
	// group the order is by rack and id.
	workers []*worker
	byID    map[WorkerID]*worker
	index   capacityIndex
	total   Resources
	// freed lists the workers that have released capacity since the last scheduling
	// pass. freedAll is set when any worker may have done so.
	freed    []*worker
	freedAll bool
	// changedTeams lists the teams whose usage has changed since their queue heads
	// were last ranked.
	changedTeams []*team
	// copiesCache caches the results of copiesWhenEmpty.
	copiesCache map[copiesKey]int64
	// assigned is the sum of assigned over all workers. headroom is the capacity
	// that work on borrowed capacity must leave free.
	assigned Resources
	headroom Resources
	// preemptible counts the placed tasks whose documents allow preemption.
	preemptible int
	// takeover is when this host began to fence workers.
	takeover Time
}

func newFleet() fleet {
	return fleet{
		byID: map[WorkerID]*worker{}, copiesCache: map[copiesKey]int64{}, index: newCapacityIndex(0),
	}
}

func (f *fleet) get(id WorkerID) *worker { return f.byID[id] }

// free returns the unassigned capacity of the worker. It may be negative.
func (w *worker) free() Resources { return w.capacity.Sub(w.assigned) }

// isUsable reports whether the worker may get new work.
func (w *worker) isUsable() bool {
	return w.listed && w.fenced && !w.lost && !w.leaving && !w.health.quarantined
}

// update replaces the list of workers. It returns the workers that are no longer
// listed.
func (f *fleet) update(listed []ListedWorker) []*worker {
	seen := map[WorkerID]bool{}
	changed := false
	for i := range listed {
		l := &listed[i]
		seen[l.ID] = true
		changed = f.mergeListed(l) || changed
	}
	var removed []*worker
	for _, w := range f.workers {
		if !seen[w.id] && w.listed {
			w.listed = false
			removed = append(removed, w)
			changed = true
		}
	}
	if changed {
		f.rebuild()
	}
	return removed
}

// mergeListed updates one worker from the list and reports whether anything changed
// that the index depends on.
func (f *fleet) mergeListed(l *ListedWorker) bool {
	w := f.byID[l.ID]
	if w == nil {
		w = &worker{
			id: l.ID, placements: map[taskKey]placement{}, orphans: map[TaskRef]Resources{},
		}
		f.byID[l.ID] = w
		f.workers = append(f.workers, w)
	}
	changed := !w.listed || w.capacity != l.Capacity || w.rack != l.Rack
	w.listed, w.address, w.rack, w.dataCentre = true, l.Address, l.Rack, l.DataCentre
	w.capacity = l.Capacity
	if l.Leaving != w.leaving {
		w.leaving = l.Leaving
		changed = true
	}
	return changed
}

// rebuild sorts the workers and rebuilds the index. It removes workers that are
// unlisted and have no capacity assigned.
func (f *fleet) rebuild() {
	f.workers = slices.DeleteFunc(f.workers, func(w *worker) bool {
		drop := !w.listed && len(w.placements) == 0 && len(w.orphans) == 0 && w.assigned.IsZero()
		if drop {
			delete(f.byID, w.id)
		}
		return drop
	})
	slices.SortFunc(f.workers, compareWorkers)
	f.index = newCapacityIndex(len(f.workers))
	f.total = Resources{}
	f.copiesCache = map[copiesKey]int64{}
	for i, w := range f.workers {
		w.index = i
		if w.listed && !w.leaving {
			f.total = f.total.Add(w.capacity)
		}
		f.refreshIndex(w)
	}
	f.freedAll = true
}

// compareWorkers defines the order of fleet.workers.
func compareWorkers(a, b *worker) int {
	if (a.capacity.Accelerators > 0) != (b.capacity.Accelerators > 0) {
		if b.capacity.Accelerators > 0 {
			return -1
		}
		return 1
	}
	if c := strings.Compare(a.rack, b.rack); c != 0 {
		return c
	}
	return strings.Compare(string(a.id), string(b.id))
}

// refreshIndex updates the index entry of a worker. Reserved workers are entered as
// unusable; selectWorker checks them separately.
func (f *fleet) refreshIndex(w *worker) {
	free := unusableCapacity
	if w.isUsable() && w.reservedBy == "" {
		free = w.free()
	}
	f.index.set(w.index, free)
}

// assign allocates need on w to a task.
func (f *fleet) assign(w *worker, j *job, t *task, need Resources) {
	t.worker, t.incarnation, t.allocated = w.id, w.incarnation, need
	w.placements[taskKey{j.spec.ID, t.index}] = placement{j, t}
	f.adjustAssigned(w, need)
	f.adjustTeamUsage(j.team, need, 1)
	if j.kind.allowedPreemption() != (PreemptionPolicy{}) {
		t.preemptible = true
		f.preemptible++
	}
}

// unassign releases the capacity allocated to a task.
func (f *fleet) unassign(j *job, t *task) {
	w := f.byID[t.worker]
	if w == nil {
		return
	}
	key := taskKey{j.spec.ID, t.index}
	if _, ok := w.placements[key]; !ok {
		return
	}
	delete(w.placements, key)
	f.adjustAssigned(w, t.allocated.Times(-1))
	f.adjustTeamUsage(j.team, t.allocated, -1)
	if t.preemptible {
		t.preemptible = false
		f.preemptible--
	}
	t.allocated = Resources{}
}

// adjustAssigned adds need, which may be negative, to the assigned capacity of w.
func (f *fleet) adjustAssigned(w *worker, need Resources) {
	w.assigned = w.assigned.Add(need)
	f.assigned = f.assigned.Add(need)
	if need.MilliCPU < 0 || need.MemoryMB < 0 || need.Slots < 0 || need.Accelerators < 0 || need.Connections < 0 {
		f.markFreed(w)
	}
	f.refreshIndex(w)
}

// markFreed records that w may have capacity that it did not have before.
func (f *fleet) markFreed(w *worker) {
	if !w.inFreedList {
		w.inFreedList = true
		f.freed = append(f.freed, w)
	}
}

// adjustTeamUsage adds sign times need to a team's usage.
func (f *fleet) adjustTeamUsage(t *team, need Resources, sign int64) {
	if t == nil {
		return
	}
	t.used = t.used.Add(need.Times(sign))
	if !t.headsStale {
		t.headsStale = true
		f.changedTeams = append(f.changedTeams, t)
	}
}

// addOrphan counts the resources of a task that belongs to no known job.
func (f *fleet) addOrphan(w *worker, ref TaskRef, need Resources) {
	if _, ok := w.orphans[ref]; ok {
		return
	}
	w.orphans[ref] = need
	f.adjustAssigned(w, need)
}

// removeOrphan releases the resources of an orphan that has ended.
func (f *fleet) removeOrphan(w *worker, ref TaskRef) {
	need, ok := w.orphans[ref]
	if !ok {
		return
	}
	delete(w.orphans, ref)
	f.adjustAssigned(w, need.Times(-1))
}

// resetUsage clears all state that depends on the tasks and grants on the workers.
func (f *fleet) resetUsage() {
	for _, w := range f.workers {
		w.placements = map[taskKey]placement{}
		w.orphans = map[TaskRef]Resources{}
		w.assigned = Resources{}
		w.fenced, w.lost, w.lastSequence, w.reservedBy = false, false, 0, ""
		w.sync = syncState{}
		w.health = workerHealth{}
		f.refreshIndex(w)
	}
	f.freedAll, f.preemptible, f.assigned = true, 0, Resources{}
}

// allFencedOrLost reports whether every listed worker has confirmed the epoch or is
// lost.
func (f *fleet) allFencedOrLost() bool {
	for _, w := range f.workers {
		if w.listed && !w.fenced && !w.lost {
			return false
		}
	}
	return true
}

// copiesWhenEmpty returns how many copies of need all workers together could hold
// if they were empty, at most limit. The result is cached until the fleet changes.
func (f *fleet) copiesWhenEmpty(need Resources, limit int64) int64 {
	key := copiesKey{need, limit}
	if n, ok := f.copiesCache[key]; ok {
		return n
	}
	n := int64(0)
	for _, w := range f.workers {
		if n >= limit {
			break
		}
		if w.listed && !w.leaving {
			n += need.Copies(w.capacity, limit-n)
		}
	}
	f.copiesCache[key] = n
	return n
}
