package virtual

import (
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/worker"
)

// callerRetryInterval is how long a caller waits before it sends a request
// again.
const callerRetryInterval = time.Second

// Job is a submitted job and the responses to its caller.
type Job struct {
	ID      core.JobID
	Team    core.TeamName
	Kind    core.KindName
	Program worker.Program
	// Host is the host to which the job is submitted first.
	Host core.HostID
	// SubmitOnly means that the caller does not poll the status of the
	// accepted job.
	SubmitOnly bool
	// Deadline limits the time from submission to the final outcome. The
	// caller stops polling when PollGrace has passed after it.
	Deadline  time.Duration
	PollGrace time.Duration

	Submitted core.Time
	// Accepted and Ended are the times at which the caller received the
	// acceptance and the final outcome, or zero.
	Accepted core.Time
	Ended    core.Time
	State    core.JobState
	// Refusal is the refusal of the submission or of the final status.
	Refusal *core.Refusal
	// ReportedNotRun is set if any answer said that the job has not run.
	ReportedNotRun bool
	// UnknownAnswers counts the answers after the acceptance that did not
	// know the job.
	UnknownAnswers int
	// OutcomeChanged is set if two answers reported different final states.
	OutcomeChanged bool
}

// Submit submits a job. Its caller retries after a broken connection, or an
// answer that does not say whether the job was accepted, and then polls the
// status until the job has ended.
func (c *Cluster) Submit(j Job) *Job {
	job := &j
	job.Submitted = c.now
	if c.jobs[job.ID] == nil {
		c.jobIDs = append(c.jobIDs, job.ID)
	}
	c.jobs[job.ID] = job
	c.submitAt(job, job.Host)
	return job
}

func (c *Cluster) submitAt(job *Job, id core.HostID) {
	h := c.hosts[id]
	event := func(rid core.RequestID, forwarded bool) core.EventBody {
		return core.Submitted{Request: rid, Forwarded: forwarded, Spec: core.JobSpec{
			ID: job.ID, Team: job.Team, Kind: job.Kind, Origin: h.dataCentre.Name, Submitted: c.now,
			Digest: core.Digest(job.Team, job.Kind, nil),
		}}
	}
	c.sendCallerRequest(h, event, func(reply core.Reply, ok bool) {
		switch {
		case ok && reply.Status != nil:
			if job.Accepted == 0 {
				job.Accepted = c.now
			}
			c.recordStatus(job, reply.Status)
			c.pollStatus(job)
		case ok && reply.Refusal.Verdict == core.NotRun:
			job.Refusal, job.ReportedNotRun = reply.Refusal, true
			job.Ended, job.State = c.now, core.JobRefused
		case !job.stoppedPolling(c.now):
			c.After(callerRetryInterval, func() { c.submitAt(job, c.randomHost(h)) })
		}
	})
}

// stoppedPolling reports whether the caller no longer sends requests.
func (j *Job) stoppedPolling(now core.Time) bool {
	return now.Sub(j.Submitted) > j.Deadline+j.PollGrace
}

// pollStatus polls the status of an accepted job until it has ended.
func (c *Cluster) pollStatus(job *Job) {
	if job.Ended != 0 || job.SubmitOnly || job.stoppedPolling(c.now) {
		return
	}
	event := func(id core.RequestID, forwarded bool) core.EventBody {
		return core.StatusRequested{Request: id, Job: job.ID, Wait: true, Forwarded: forwarded}
	}
	c.sendCallerRequest(c.hosts[c.randomHost(c.hosts[job.Host])], event, func(reply core.Reply, ok bool) {
		switch {
		case !ok:
		case reply.Status != nil:
			c.recordStatus(job, reply.Status)
		case reply.Refusal.Reason == core.ReasonUnknownJob:
			job.UnknownAnswers++
		}
		if job.Ended == 0 {
			c.After(callerRetryInterval, func() { c.pollStatus(job) })
		}
	})
}

// recordStatus records a status that the caller was given.
func (c *Cluster) recordStatus(job *Job, s *core.JobStatus) {
	if !s.Finished {
		return
	}
	job.OutcomeChanged = job.OutcomeChanged || job.Ended != 0 && job.State != s.State
	if job.Ended == 0 {
		job.Ended = c.now
	}
	job.State, job.Refusal = s.State, s.Refusal
	job.ReportedNotRun = job.ReportedNotRun || s.Verdict == core.NotRun
}

// Cancel asks a host to cancel a job.
func (c *Cluster) Cancel(id core.JobID, at core.HostID) {
	event := func(rid core.RequestID, forwarded bool) core.EventBody {
		return core.CancelRequested{Request: rid, Job: id, Forwarded: forwarded}
	}
	c.sendCallerRequest(c.hosts[at], event, func(reply core.Reply, ok bool) {
		if job := c.jobs[id]; ok && reply.Status != nil && job != nil {
			c.recordStatus(job, reply.Status)
		}
	})
}

// Edit is an operator's edit of a document and the response to it.
type Edit struct {
	Document core.Document
	Base     core.Revision
	Author   string
	Host     core.HostID
	Done     bool
	Applied  *core.DocumentVersion
	Conflict *core.DocumentVersion
	Refusal  *core.Refusal
}

// Edit proposes a document at a host.
func (c *Cluster) Edit(e Edit) *Edit {
	out := &e
	c.edits = append(c.edits, out)
	event := func(id core.RequestID, _ bool) core.EventBody {
		return core.DocumentProposed{Request: id, Document: out.Document, Base: out.Base, Author: out.Author}
	}
	c.sendCallerRequest(c.hosts[out.Host], event, func(reply core.Reply, ok bool) {
		out.Done = ok
		out.Applied, out.Conflict, out.Refusal = reply.Applied, reply.Conflict, reply.Refusal
	})
	return out
}

// sendCallerRequest sends a caller's request. ok is false if the connection
// broke.
func (c *Cluster) sendCallerRequest(h *host, event eventBuilder, done func(reply core.Reply, ok bool)) {
	c.sendRequest(Callers, Endpoint(h.id), 2*requestTimeout, func(id uint64) {
		h.runInIncarnation(h.incarnation, func() { h.serve(id, event, false, false) })
	}, func(body any, result exchangeResult) {
		reply, _ := body.(core.Reply)
		done(reply, result == answered)
	})
}

// randomHost returns a random live host of the same data centre, as a load
// balancer does.
func (c *Cluster) randomHost(of *host) core.HostID {
	var live []core.HostID
	for _, h := range c.hostList {
		if h.alive && h.dataCentre.Name == of.dataCentre.Name {
			live = append(live, h.id)
		}
	}
	if len(live) == 0 {
		return of.id
	}
	return live[c.rng.IntN(len(live))]
}

// Drain begins a planned stop of a host.
func (c *Cluster) Drain(id core.HostID) {
	h := c.hosts[id]
	h.runInIncarnation(h.incarnation, func() { h.post(core.DrainRequested{}) })
}

// Drained reports whether a planned stop is complete.
func (c *Cluster) Drained(id core.HostID) bool { return c.hosts[id].stopped }

// Ready reports whether a host has declared itself ready.
func (c *Cluster) Ready(id core.HostID) bool { return c.hosts[id].ready }
