package scheduler

import (
	"slices"
	"time"
)

// enqueue adds a stage to the ready list if it has waiting tasks, its occurrence is
// due and the stages that it depends on are complete.
func (c *cell) enqueue(s *stage) {
	j := s.job
	if s.queued || s.waiting == 0 || j.isEnding() || !s.occ.opened || !s.dependenciesDone() {
		return
	}
	s.queued = true
	s.readyAt = c.now
	s.latestStart = c.objective(s.occ).Add(-c.criticalPaths(s.occ).from[s.index])
	c.insertReady(s)
	c.dirty = true
}

// insertReady inserts a stage into the ready list, which is sorted by latest start.
// A job that ends on time is worth five times as much as a late one, so the stage
// with the least slack goes first.
func (c *cell) insertReady(s *stage) {
	i, _ := slices.BinarySearchFunc(c.ready, s, compareStages)
	c.ready = slices.Insert(c.ready, i, s)
}

func compareStages(a, b *stage) int {
	if a.latestStart != b.latestStart {
		if a.latestStart < b.latestStart {
			return -1
		}
		return 1
	}
	return compareRuns(TaskID{Job: a.job.id, Occurrence: a.occ.index, Step: a.index}, 0,
		TaskID{Job: b.job.id, Occurrence: b.occ.index, Step: b.index}, 0)
}

// objective returns the time by which an occurrence must be complete to be on time.
func (c *cell) objective(o *occurrence) Time {
	j := o.job()
	q := j.policy
	if q == nil {
		return j.acceptedAt.Add(defaultObjective)
	}
	longest := c.criticalPaths(o).longest
	begin := j.acceptedAt
	if j.spec.Repeat > 0 {
		begin = c.now.Add(time.Duration(o.due-c.wall) * msec)
	}
	return begin.Add(time.Duration(q.Stretch*float64(longest)) + q.SLO)
}

// defaultObjective is the objective of jobs whose queue is not known.
const defaultObjective = 20 * time.Second

func (o *occurrence) job() *job { return o.stages[0].job }

// criticalPaths holds the expected durations of the longest chains of dependent stages
// of an occurrence.
type criticalPaths struct {
	// from holds, for each stage, the duration of the longest chain that begins with it.
	from []time.Duration
	// longest is the largest of these durations.
	longest time.Duration
	// at is the time of the Step that computed them.
	at Time
}

// criticalPaths returns the critical paths of an occurrence, including the calls for
// advice. They are computed once per Step, in which all stages of a job may be enqueued.
//
// Each dependency is visited once, from the last stage to the first, because the number
// of chains can double with each stage.
func (c *cell) criticalPaths(o *occurrence) *criticalPaths {
	p := &o.critical
	if p.from != nil && p.at == c.now {
		return p
	}
	if p.from == nil {
		p.from = make([]time.Duration, len(o.stages))
	}
	clear(p.from)
	p.longest, p.at = 0, c.now
	for i, s := range slices.Backward(o.stages) {
		// A stage depends on earlier ones only, so from[i] already holds the longest
		// chain after it.
		p.from[i] += c.expectedDuration(s)
		if s.advised() {
			q := s.job.policy
			p.from[i] += q.Advice.Base + typicalAdviceWorkers*q.Advice.PerWorker
		}
		p.longest = max(p.longest, p.from[i])
		for _, earlier := range s.step.After {
			p.from[earlier] = max(p.from[earlier], p.from[i])
		}
	}
	return p
}

// typicalAdviceWorkers is the usual number of workers in a call for advice.
const typicalAdviceWorkers = 30
