package core

import (
	"slices"
	"time"
)

const (
	// deferTimeout is how long a request waits for a host that can answer it.
	// It exceeds the duration of a takeover, so that requests survive one.
	deferTimeout = 20 * time.Second
	// maxDeferred limits the number of waiting requests.
	maxDeferred = 4096
)

// deferredRequest waits until the owner of the data centre is known.
type deferredRequest struct {
	id RequestID
	// verdict is returned to the caller if the wait times out.
	verdict Verdict
	reason  Reason
	since   Time
	// moved is the job's ID if the request waits for the data centre that the
	// job was moved to.
	moved JobID
}

// deferredRequests are in order of arrival.
type deferredRequests []deferredRequest

func (p *deferredRequests) remove(id RequestID) {
	*p = slices.DeleteFunc(*p, func(q deferredRequest) bool { return q.id == id })
}

// forward sends a request to the owner, or defers it until the owner is known.
// Requests about jobs contain the job ID, so it is safe to send one twice.
func (r *Reducer) forward(id RequestID, forwarded bool) {
	if forwarded {
		ref := refuse(ReasonNoOwner, "this host does not schedule %s", r.cfg.DataCentre)
		r.refuse(id, ref, "", "")
		return
	}
	if r.ownerKnown() {
		r.emit(Forward{Request: id, Host: r.owner.ownerHost, Address: r.owner.ownerAddress})
		return
	}
	r.deferRequest(id, NotRun, ReasonNoOwner)
}

// ownerKnown reports whether another host is known to be the owner and alive.
func (r *Reducer) ownerKnown() bool {
	o := &r.owner
	return o.ownerAddress != "" && o.ownerHost != r.cfg.Host && r.now.Sub(o.ownerLastHeard) < ownerHeartbeatTimeout
}

// deferRequest defers a request until an owner is known.
func (r *Reducer) deferRequest(id RequestID, v Verdict, reason Reason) {
	if len(r.deferred) >= maxDeferred {
		ref := refuse(reason, "no host schedules %s at the moment; ask again", r.cfg.DataCentre)
		ref.Verdict = v
		r.refuse(id, ref, "", "")
		return
	}
	r.deferred = append(r.deferred, deferredRequest{id: id, verdict: v, reason: reason, since: r.now})
}

// deferOpenRequests defers all requests that wait for a job, because this host is
// stepping down. The journal may contain an accepted job, so the verdict is NotRun
// only if the job's record was never sent.
func (r *Reducer) deferOpenRequests(reason Reason) {
	for _, j := range r.jobs.sortedByID() {
		v := MayHaveRun
		if j.acceptRecordUnsent() {
			v = NotRun
		}
		for _, id := range append(j.submitters, j.waiters...) {
			r.deferRequest(id, v, reason)
		}
	}
}

// tickDeferred forwards deferred requests once the responsible host is known, and
// refuses those whose wait has timed out.
func (r *Reducer) tickDeferred() {
	waiting := r.deferred
	r.deferred = nil
	for _, p := range waiting {
		j := r.movedJob(p.moved)
		expired := r.now.Sub(p.since) > deferTimeout
		switch {
		case j != nil && !expired:
			r.sendMoved(p, j)
		case j == nil && r.ownerKnown():
			r.emit(Forward{
				Request: p.id, Host: r.owner.ownerHost, Address: r.owner.ownerAddress, Verdict: p.verdict,
			})
		case j == nil && r.owner.role == roleOwner:
			// Forwarding to this host's own address lets it answer the
			// request itself.
			r.emit(Forward{Request: p.id, Host: r.cfg.Host, Address: r.cfg.Address, Verdict: p.verdict})
		case expired:
			r.refuseDeferred(&p)
		default:
			r.deferred = append(r.deferred, p)
		}
	}
}
