package core

import (
	"slices"
	"time"
)

const (
	// parkFor is how long a request waits for a host that can answer it. It
	// exceeds a takeover, so that a takeover fails no request.
	deferTimeout = 20 * time.Second
	// maxParked bounds the requests that wait.
	maxDeferred = 4096
)

// parkedRequest waits until the owner of the data centre is known.
type deferredRequest struct {
	id RequestID
	// verdict is what is known if nobody answers.
	verdict Verdict
	reason  Reason
	since   Time
	// moved names the job if the request waits for the data centre that the
	// job was moved to.
	moved JobID
}

// parkedRequests are in the order of their arrival.
type deferredRequests []deferredRequest

func (p *deferredRequests) remove(id RequestID) {
	*p = slices.DeleteFunc(*p, func(q deferredRequest) bool { return q.id == id })
}

// forward passes a request on to the owner, or parks it until one is known.
// Every request about jobs may be sent twice: it names its job.
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

// park lets a request wait for an owner.
func (r *Reducer) deferRequest(id RequestID, v Verdict, reason Reason) {
	if len(r.deferred) >= maxDeferred {
		ref := refuse(reason, "no host schedules %s at the moment; ask again", r.cfg.DataCentre)
		ref.Verdict = v
		r.refuse(id, ref, "", "")
		return
	}
	r.deferred = append(r.deferred, deferredRequest{id: id, verdict: v, reason: reason, since: r.now})
}

// parkOpenRequests parks every request that waits for a job, since this host
// stops to be the owner. An accepted job lives on in the journal, so nothing
// counts as not run unless its record was never sent.
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

// tickParked forwards parked requests once it is known who answers them and
// refuses those that have waited too long.
func (r *Reducer) tickDeferred() {
	parked := r.deferred
	r.deferred = nil
	for _, p := range parked {
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
			// This host answers itself when it forwards to its own address.
			r.emit(Forward{Request: p.id, Host: r.cfg.Host, Address: r.cfg.Address, Verdict: p.verdict})
		case expired:
			r.refuseDeferred(&p)
		default:
			r.deferred = append(r.deferred, p)
		}
	}
}
