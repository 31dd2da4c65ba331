package core

import (
	"slices"
	"strings"
	"time"
)

const (
	// finishedRetention is how long a finished job is kept to answer repeated
	// submits.
	finishedRetention = 10 * time.Minute
	// maxSteps bounds the state changes that are kept per job for explanations.
	maxSteps = 16
)

// jobTable holds the jobs that have not been removed yet.
type jobTable struct {
	byID map[JobID]*job
	// timers orders the jobs by the time of their next timer.
	timers timeHeap
	// pendingResends lists the tasks whose start may have to be sent again.
	pendingResends []taskKey
	// waitingRequests maps open requests to the jobs that they wait for.
	waitingRequests map[RequestID]JobID
	// services holds the replicas of long-running services.
	services map[serviceKey][]*job
	// accepting counts the jobs of each kind whose accept record is not durable.
	accepting map[queueKey]int
	// recordBytes is the estimated size of the records of all jobs in the journal.
	recordBytes int
	// unfinished counts the jobs that are not in a final state.
	unfinished int
}

func newJobTable() jobTable {
	return jobTable{
		byID: map[JobID]*job{}, waitingRequests: map[RequestID]JobID{},
		services: map[serviceKey][]*job{}, accepting: map[queueKey]int{},
	}
}

func (t *jobTable) get(id JobID) *job { return t.byID[id] }

func (t *jobTable) add(j *job) {
	t.byID[j.spec.ID] = j
	t.unfinished++
}

// beginAccepting counts a submitted job as one whose accept record is not durable.
func (t *jobTable) beginAccepting(j *job, accept *pendingRecord) {
	j.acceptRecord, j.accepting = accept, true
	t.accepting[queueKey{j.spec.Team, j.spec.Kind}]++
}

// endAccepting reverses beginAccepting once the record is durable or dropped.
func (t *jobTable) endAccepting(j *job) {
	if !j.accepting {
		return
	}
	j.acceptRecord, j.accepting = nil, false
	key := queueKey{j.spec.Team, j.spec.Kind}
	if t.accepting[key]--; t.accepting[key] == 0 {
		delete(t.accepting, key)
	}
}

// scheduleTimer sets the job's next timer.
func (t *jobTable) scheduleTimer(j *job) {
	switch {
	case j.service != "":
	case j.state.Final():
		t.timers.add(j.endedAt.Add(finishedRetention), j.spec.ID)
	case j.wasDispatched():
		t.timers.add(j.deadline(), j.spec.ID)
	default:
		t.timers.add(j.startBy(), j.spec.ID)
	}
}

// remove removes a finished job.
func (t *jobTable) remove(j *job) {
	delete(t.byID, j.spec.ID)
	if j.journaled {
		t.recordBytes -= j.recordBytes()
	}
}

// markJournaled records that the job's first record is in the journal.
func (t *jobTable) markJournaled(j *job) {
	if !j.journaled {
		j.journaled = true
		t.recordBytes += j.recordBytes()
	}
}

// recordBytes estimates the size of the job's records in the journal. The result
// does not change during the life of the job.
func (j *job) recordBytes() int {
	const records = 2 // accepted, and assigned or finished
	return records*recordOverheadBytes + len(j.spec.Payload)*4/3
}

// sortedByID returns all jobs sorted by id, for work that must not depend on map
// iteration order.
func (t *jobTable) sortedByID() []*job {
	out := make([]*job, 0, len(t.byID))
	for _, j := range t.byID {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int {
		return strings.Compare(string(a.spec.ID), string(b.spec.ID))
	})
	return out
}

// abandonRequest removes an open request.
func (t *jobTable) abandonRequest(id RequestID) {
	j := t.byID[t.waitingRequests[id]]
	delete(t.waitingRequests, id)
	if j == nil {
		return
	}
	same := func(o RequestID) bool { return o == id }
	j.waiters = slices.DeleteFunc(j.waiters, same)
	j.submitters = slices.DeleteFunc(j.submitters, same)
}

// addWaiter registers a request for the outcome of a job.
func (t *jobTable) addWaiter(j *job, id RequestID) {
	j.waiters = append(j.waiters, id)
	t.waitingRequests[id] = j.spec.ID
}

// addStep records a state change for explanations.
func (t *jobTable) addStep(j *job, now Time, text string, w WorkerID) {
	if len(j.steps) == maxSteps {
		copy(j.steps, j.steps[1:])
		j.steps = j.steps[:maxSteps-1]
	}
	j.steps = append(j.steps, Step{At: now, Text: text, Worker: w})
}

// placedReplicasInRack counts the other placed replicas of j's service in a rack.
func (t *jobTable) placedReplicasInRack(j *job, rack string) int {
	n := 0
	for _, o := range t.services[serviceKey{j.spec.Team, j.service}] {
		if o != j && o.rack == rack && o.tasks[0].holdsCapacity() {
			n++
		}
	}
	return n
}

// newJob returns a job with all tasks waiting. If kind is nil because it is no
// longer declared, the job requests no resources; recovery ends such a job.
func (r *Reducer) newJob(spec JobSpec, kind *Kind) *job {
	if kind == nil {
		kind = &Kind{Name: spec.Kind, GangSize: 1, MaxAttempts: 1}
	}
	size := max(1, kind.GangSize)
	j := &job{spec: spec, kind: kind, team: r.docs.team(spec.Team), tasks: make([]task, size)}
	for i := range j.tasks {
		j.tasks[i].index = i
	}
	return j
}
