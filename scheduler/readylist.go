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
	s.latestStart = c.objective(s.occ).Add(-c.criticalPath(s))
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
	longest := time.Duration(0)
	for _, s := range o.stages {
		if len(s.step.After) == 0 {
			longest = max(longest, c.criticalPath(s))
		}
	}
	begin := j.acceptedAt
	if j.spec.Repeat > 0 {
		begin = c.now.Add(time.Duration(o.due-c.wall) * msec)
	}
	return begin.Add(time.Duration(q.Stretch*float64(longest)) + q.SLO)
}

// defaultObjective is the objective of jobs whose queue is not known.
const defaultObjective = 20 * time.Second

func (o *occurrence) job() *job { return o.stages[0].job }

// criticalPath returns the expected duration of the longest chain of dependent
// stages that begins with a stage, including the calls for advice.
func (c *cell) criticalPath(s *stage) time.Duration {
	longest := time.Duration(0)
	for _, next := range s.occ.stages[s.index+1:] {
		if slices.Contains(next.step.After, s.index) {
			longest = max(longest, c.criticalPath(next))
		}
	}
	duration := c.expectedDuration(s)
	if s.advised() {
		q := s.job.policy
		duration += q.Advice.Base + typicalAdviceWorkers*q.Advice.PerWorker
	}
	return duration + longest
}

// typicalAdviceWorkers is the usual number of workers in a call for advice.
const typicalAdviceWorkers = 30
