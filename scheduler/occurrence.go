package scheduler

import (
	"cmp"
	"slices"
)

const (
	// reservedOccurrences is the number of open occurrences of a job for which there is
	// always memory. Further ones open as long as there is memory for them.
	reservedOccurrences = 2
	// maxBacklogTasks is the number of waiting tasks of a first step from which no
	// further occurrences are opened for its sake. Those that are long due open as
	// earlier ones start.
	maxBacklogTasks = 100
	// maxOpenedPerTick bounds the occurrences that one tick opens.
	maxOpenedPerTick = 500
)

// occurrence is one execution of the steps of a job. Occurrences are created in ascending
// order when they are due and dropped when they are complete, so that a job with many of
// them takes memory only for those that are under way.
type occurrence struct {
	index int
	// due is when the occurrence is due, in milliseconds since the Unix epoch.
	due    int64
	stages []*stage
	// openStages is the number of stages that are not complete.
	openStages int
	// opened means that the stages may be queued.
	opened bool
	// critical holds the critical paths as of the last Step that enqueued a stage.
	critical criticalPaths
}

// dueAt returns when an occurrence is due, in milliseconds since the Unix epoch.
func (j *job) dueAt(index int) int64 {
	if j.spec.Repeat == 0 {
		return j.acceptedWall
	}
	return j.spec.First + int64(index)*j.spec.Interval.Milliseconds()
}

// newOccurrence creates the stages and tasks of an occurrence.
func newOccurrence(j *job, index int) *occurrence {
	o := &occurrence{index: index, openStages: len(j.spec.Steps), due: j.dueAt(index)}
	o.stages = make([]*stage, 0, len(j.spec.Steps))
	for i := range j.spec.Steps {
		s := &stage{job: j, occ: o, index: i, step: &j.spec.Steps[i]}
		s.waiting = s.step.Count
		block := make([]task, s.step.Count)
		s.tasks = make([]*task, s.step.Count)
		for n := range block {
			block[n] = task{stage: s, index: n}
			s.tasks[n] = &block[n]
		}
		o.stages = append(o.stages, s)
	}
	return o
}

// occurrence returns an occurrence that has been created and is not complete, or nil.
func (j *job) occurrence(index int) *occurrence {
	if i, found := j.occurrencePosition(index); found {
		return j.occurrences[i]
	}
	return nil
}

func (j *job) occurrencePosition(index int) (int, bool) {
	return slices.BinarySearchFunc(j.occurrences, index, func(o *occurrence, k int) int { return cmp.Compare(o.index, k) })
}

// createOccurrence creates an occurrence that is not complete, if it does not exist.
func (c *cell) createOccurrence(j *job, index int) {
	if i, found := j.occurrencePosition(index); !found {
		j.occurrences = slices.Insert(j.occurrences, i, newOccurrence(j, index))
		c.charge(j)
	}
}

// createThrough creates all occurrences up to one of which the log shows that an earlier
// owner has created it.
func (c *cell) createThrough(j *job, index int) {
	for last := min(index, j.spec.occurrences()-1); j.created <= last; j.created++ {
		c.createOccurrence(j, j.created)
	}
}

// dropOccurrence drops a complete occurrence.
func (c *cell) dropOccurrence(j *job, index int) {
	if i, found := j.occurrencePosition(index); found {
		j.occurrences = slices.Delete(j.occurrences, i, i+1)
		c.charge(j)
	}
}

// isComplete reports whether all occurrences of the job are complete.
func (j *job) isComplete() bool { return len(j.occurrences) == 0 && j.created >= j.spec.occurrences() }

// reservedOccurrences returns the number of open occurrences for which memory is reserved.
func (j *job) reservedOccurrences() int { return min(j.spec.occurrences(), reservedOccurrences) }

// openJob adds the stages of a job's occurrences to the ready list, now or when they
// become due.
func (c *cell) openJob(j *job) {
	for _, o := range j.occurrences {
		c.openStages(o)
	}
	if j.created < j.spec.occurrences() {
		c.scheduledJobs = append(c.scheduledJobs, j)
		c.openDue(j, maxOpenedPerTick)
	}
}

// openDueOccurrences opens the occurrences that are due.
func (c *cell) openDueOccurrences() {
	budget := maxOpenedPerTick
	c.scheduledJobs = slices.DeleteFunc(c.scheduledJobs, func(j *job) bool {
		if j.isEnding() {
			return true
		}
		budget -= c.openDue(j, budget)
		return j.created >= j.spec.occurrences()
	})
	// The jobs take turns in being first, since they share the budget.
	if n := len(c.scheduledJobs); n > 1 && budget == 0 {
		c.scheduledJobs = append(c.scheduledJobs[1:n:n], c.scheduledJobs[0])
	}
}

// openDue opens at most limit due occurrences of a job and returns their number. It stops
// when there is no memory for a further one, or each of the first steps has a backlog.
func (c *cell) openDue(j *job, limit int) int {
	if j.created >= j.spec.occurrences() || j.dueAt(j.created) > c.wall {
		return 0
	}
	backlog := j.backlog()
	opened := 0
	for ; opened < limit && j.created < j.spec.occurrences() && j.dueAt(j.created) <= c.wall; opened++ {
		if slices.Min(backlog) >= maxBacklogTasks || len(j.occurrences) >= j.reservedOccurrences() && !c.hasMemoryFor(j.occurrenceBytes) {
			break
		}
		c.createThrough(j, j.created)
		o := j.occurrences[len(j.occurrences)-1]
		c.openStages(o)
		o.addBacklog(backlog)
	}
	return opened
}

// backlog returns the number of waiting tasks of each first step, in all occurrences. A
// step that cannot start must not keep the others of later occurrences from starting, so
// the steps are counted separately.
func (j *job) backlog() []int {
	var backlog []int
	for i := range j.spec.Steps {
		if len(j.spec.Steps[i].After) == 0 {
			backlog = append(backlog, 0)
		}
	}
	for _, o := range j.occurrences {
		o.addBacklog(backlog)
	}
	return backlog
}

func (o *occurrence) addBacklog(backlog []int) {
	i := 0
	for _, s := range o.stages {
		if len(s.step.After) == 0 {
			backlog[i] += s.waiting
			i++
		}
	}
}
