package scheduler

import (
	"slices"
	"time"
)

// enqueue puts a stage into the ready list if its turn has come.
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

// insertReady keeps the ready list in the order of the latest start. Jobs that
// end in time are worth five times as much as late ones, so the one that has the
// least time left goes first.
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

// objective is when an occurrence has to be complete to count as in time.
func (c *cell) objective(o *occurrence) Time {
	j := o.job()
	q := j.policy
	if q == nil {
		return j.acceptedAt.Add(defaultObjective)
	}
	chain := time.Duration(0)
	for _, s := range o.stages {
		if len(s.step.After) == 0 {
			chain = max(chain, c.criticalPath(s))
		}
	}
	begin := j.acceptedAt
	if j.spec.Repeat > 0 {
		begin = c.now.Add(time.Duration(o.due-c.wall) * msec)
	}
	return begin.Add(time.Duration(q.Stretch*float64(chain)) + q.SLO)
}

// defaultObjective orders jobs whose queue is no longer in the configuration.
const defaultObjective = 20 * time.Second

// job returns the job of the occurrence.
func (o *occurrence) job() *job { return o.stages[0].job }

// remainingChain is the expected length of the longest chain of work that begins
// with a stage.
func (c *cell) criticalPath(s *stage) time.Duration {
	longest := time.Duration(0)
	for _, next := range s.occ.stages[s.index+1:] {
		if slices.Contains(next.step.After, s.index) {
			longest = max(longest, c.criticalPath(next))
		}
	}
	own := c.expectedDuration(s)
	if s.advised() {
		q := s.job.policy
		own += q.Advice.Base + typicalAdviceWorkers*q.Advice.PerWorker
	}
	return own + longest
}

// adviceSample is the number of workers that a call for advice names usually.
const typicalAdviceWorkers = 30
