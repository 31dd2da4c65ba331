package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/keys"
	"banyanrun.example/banyanrun/wire"
)

// identityContextKey is the context key of a request's identity.
type identityContextKey struct{}

// identityOf returns the identity of a request. A request without one has the
// zero identity, which has no permissions.
func identityOf(r *http.Request) core.Identity {
	id, _ := r.Context().Value(identityContextKey{}).(core.Identity)
	return id
}

// authorize returns a handler that identifies the caller and refuses the request
// if the caller's role does not permit the action, or does not permit it for the
// team in the path.
func (d *Daemon) authorize(action core.Action, next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		if d.keys == nil {
			next(w, r, p)
			return
		}
		id, refusal := identify(r, time.Now())
		if refusal == nil {
			refusal = core.PermitAction(id, action)
		}
		if team := p.ByName("team"); refusal == nil && team != "" {
			refusal = core.Permit(id, action, core.TeamName(team))
		}
		if refusal != nil {
			d.writeForbidden(w, refusal)
			return
		}
		next(w, r.WithContext(context.WithValue(r.Context(), identityContextKey{}, id)), p)
	}
}

// identify returns the identity in the verified certificate. For a request that
// an entry host forwarded, it returns the identity of the original caller.
func identify(r *http.Request, now time.Time) (core.Identity, *core.Refusal) {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return core.Identity{}, forbidden("connection has no verified certificate")
	}
	id, err := keys.IdentityOf(r.TLS.VerifiedChains[0][0], now)
	if err != nil {
		return core.Identity{}, forbidden("%v", err)
	}
	if !isForwarded(r) {
		return id, nil
	}
	if refusal := core.PermitAction(id, core.ActionForward); refusal != nil {
		return core.Identity{}, refusal
	}
	var caller core.Identity
	if err := json.Unmarshal([]byte(r.Header.Get(wire.HeaderForwardedFor)), &caller); err != nil {
		return core.Identity{}, forbidden("header %s: %v", wire.HeaderForwardedFor, err)
	}
	if caller.Role == core.RoleHost {
		return core.Identity{}, forbidden("requests of entry hosts cannot be forwarded")
	}
	return caller, nil
}

// encodeIdentity returns the identity of a request as the value of
// HeaderForwardedFor.
func (d *Daemon) encodeIdentity(r *http.Request) string {
	if d.keys == nil {
		return ""
	}
	data, err := json.Marshal(identityOf(r))
	if err != nil {
		return "" // The receiving host refuses a request without an identity.
	}
	return string(data)
}

// permit returns a refusal if the caller may not perform the action for a team.
func (d *Daemon) permit(r *http.Request, action core.Action, team core.TeamName) *core.Refusal {
	if d.keys == nil {
		return nil
	}
	return core.Permit(identityOf(r), action, team)
}

// permitJob returns a refusal if the caller may not perform the action for the
// team of the job in the reply. A reply without a job is permitted. The refusal
// does not reveal the team.
func (d *Daemon) permitJob(r *http.Request, action core.Action, reply core.Reply) *core.Refusal {
	status := reply.Status
	if reply.Explain != nil {
		status = &reply.Explain.Status
	}
	if status == nil {
		return nil
	}
	refusal := d.permit(r, action, status.Team)
	if refusal != nil {
		refusal.Message = fmt.Sprintf("%q may not %s of this job's team", identityOf(r).Name, action)
	}
	return refusal
}

// author returns the author to record for an edit, or a refusal if the caller may
// not edit under that name.
func (d *Daemon) author(r *http.Request) (string, *core.Refusal) {
	author := r.Header.Get(wire.HeaderAuthor)
	if d.keys == nil {
		return author, nil
	}
	return core.PermitAuthor(identityOf(r), author)
}

// forbidden returns the refusal of a request without a usable identity.
func forbidden(format string, args ...any) *core.Refusal {
	return &core.Refusal{Reason: core.ReasonForbidden, Message: fmt.Sprintf(format, args...)}
}

// writeForbidden counts and writes a refusal. The counter has no team label: a
// caller could create any number of series by making up team names.
func (d *Daemon) writeForbidden(w http.ResponseWriter, refusal *core.Refusal) {
	d.addToCounter(core.Count{Metric: core.MetricRefusals, Reason: refusal.Reason, Add: 1})
	writeRefusal(w, refusal)
}
