package core

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ServicePrefix is the prefix of the id of every service replica. It contains a
// slash so that no id chosen by a caller can start with it.
const ServicePrefix = "service/"

// serviceInterval is the time between reconciliations of the replicas with the
// documents.
const serviceInterval = time.Second

// serviceKey identifies one long-running service.
type serviceKey struct {
	team    TeamName
	service string
}

// replicaID returns the id of a replica. It does not depend on the owner, so that a
// new owner recognises the running replicas. It includes the data centre because no
// job id may run in two data centres.
func replicaID(dc DataCentre, key serviceKey, n int) JobID {
	return JobID(ServicePrefix + string(dc) + "/" + string(key.team) + "/" + key.service + "/" + strconv.Itoa(n))
}

// tickServices reconciles the replicas with the services that the documents
// declare.
func (r *Reducer) tickServices() {
	if r.owner.role != roleOwner || r.now < r.nextServices {
		return
	}
	r.nextServices = r.now.Add(serviceInterval)
	declared := map[serviceKey]bool{}
	for _, t := range r.docs.teams {
		for i := range t.doc().Services {
			s := &t.doc().Services[i]
			kind, ok := t.doc().Kind(s.Kind)
			if ok && s.runsIn(r.cfg.DataCentre) {
				key := serviceKey{t.name, s.Name}
				declared[key] = true
				r.reconcileReplicas(key, s, kind)
			}
		}
	}
	r.stopRemovedServices(declared)
}

// stopRemovedServices stops the replicas of services that are no longer declared.
// It iterates over the services only: sorting all jobs every second took 15 ms with
// 8,000 tasks.
func (r *Reducer) stopRemovedServices(declared map[serviceKey]bool) {
	var removed []serviceKey
	for key := range r.jobs.services {
		if !declared[key] {
			removed = append(removed, key)
		}
	}
	slices.SortFunc(removed, func(a, b serviceKey) int {
		return cmp.Or(strings.Compare(string(a.team), string(b.team)), strings.Compare(a.service, b.service))
	})
	for _, key := range removed {
		live := false
		for _, j := range r.jobs.services[key] {
			live = live || !j.state.Final()
			r.stopReplica(j)
		}
		if !live {
			delete(r.jobs.services, key)
		}
	}
}

// runsIn reports whether the service has replicas in a data centre.
func (s *Service) runsIn(dc DataCentre) bool {
	for _, d := range s.DataCentres {
		if d == dc {
			return true
		}
	}
	return len(s.DataCentres) == 0
}

// reconcileReplicas adds missing replicas of a service, stops surplus ones and
// restarts those that run an older document one at a time.
func (r *Reducer) reconcileReplicas(key serviceKey, s *Service, kind *Kind) {
	kept := r.jobs.services[key][:0]
	present := make([]bool, s.Replicas)
	down := 0
	for _, j := range r.jobs.services[key] {
		if j.state.Final() {
			continue
		}
		kept = append(kept, j)
		if j.replica >= s.Replicas {
			r.stopReplica(j)
			continue
		}
		present[j.replica] = true
		if j.state != JobRunning {
			down++
		}
	}
	for n, exists := range present {
		if !exists {
			kept = append(kept, r.addReplica(key, n, s, kind))
			down++
		}
	}
	r.jobs.services[key] = kept
	if down == 0 {
		r.restartOutdatedReplica(kept, s, kind)
	}
}

// addReplica creates a replica. Until every worker has answered the current epoch,
// the replica may already be running somewhere.
func (r *Reducer) addReplica(key serviceKey, n int, s *Service, kind *Kind) *job {
	id := replicaID(r.cfg.DataCentre, key, n)
	spec := JobSpec{ID: id, Team: key.team, Kind: kind.Name, Payload: []byte(s.Payload), Submitted: r.now}
	j := r.newJob(spec, kind)
	j.tasks = j.tasks[:1]
	j.service, j.replica = key.service, n
	// A worker's ledger may contain attempts of an earlier replica with the same
	// id. Starting from the clock gives higher attempt numbers.
	j.tasks[0].highestAttempt = int(r.now / Time(time.Millisecond))
	r.jobs.add(j)
	j.state = JobSettling
	if r.fleet.allFencedOrLost() {
		r.requeue(j)
	}
	return j
}

// stopReplica stops a replica that is no longer needed.
func (r *Reducer) stopReplica(j *job) {
	if j.state.Final() || j.cancelled {
		return
	}
	j.cancelled = true
	switch {
	case j.state == JobSettling:
	case j.hasAllocatedTask():
		r.stopJobTasks(j)
	default:
		r.endInactive(j)
	}
}

// restartOutdatedReplica restarts one replica whose kind or payload has changed
// since it started. The next one is restarted when all replicas are running again.
func (r *Reducer) restartOutdatedReplica(running []*job, s *Service, kind *Kind) {
	for _, j := range running {
		same := j.kind.Name == kind.Name && j.kind.Request == kind.Request &&
			string(j.spec.Payload) == s.Payload
		if same || j.cancelled {
			continue
		}
		j.kind, j.spec.Payload = kind, []byte(s.Payload)
		r.stopJobTasks(j)
		return
	}
}

// onKindsChanged applies changed documents to the waiting jobs.
func (r *Reducer) onKindsChanged() {
	if !r.owner.active() {
		return
	}
	r.placementDirty = true
	r.nextServices = r.now
	for _, k := range r.queues.busy {
		kind := r.docs.kind(k.key.team, k.key.kind)
		if kind == nil {
			continue
		}
		k.urgency, k.team = kind.Urgency, r.docs.team(k.key.team)
		for _, j := range k.jobs[k.head:] {
			if j != nil && j.inQueue && len(j.tasks) == max(1, kind.GangSize) {
				j.kind = kind
			}
		}
	}
	r.markAllStale()
}
