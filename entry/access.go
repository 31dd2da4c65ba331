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

// identityKey is the key of a request's identity in its context.
type identityContextKey struct{}

// identityOf returns the identity of a request. Without one it is the zero
// value, which nothing is permitted to.
func identityOf(r *http.Request) core.Identity {
	id, _ := r.Context().Value(identityContextKey{}).(core.Identity)
	return id
}

// guarded identifies a request and refuses it if its role, or its team where the
// path names one, does not permit the action.
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

// identify returns the identity of the verified certificate, or the one that an
// entry host forwards a request for.
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
		return core.Identity{}, forbidden("requests of hosts are not forwarded")
	}
	return caller, nil
}

// encodeIdentity returns the identity of a request for HeaderForwardedFor.
func (d *Daemon) encodeIdentity(r *http.Request) string {
	if d.keys == nil {
		return ""
	}
	data, err := json.Marshal(identityOf(r))
	if err != nil {
		return "" // The other host refuses the request.
	}
	return string(data)
}

// permit decides on a request whose team is known.
func (d *Daemon) permit(r *http.Request, action core.Action, team core.TeamName) *core.Refusal {
	if d.keys == nil {
		return nil
	}
	return core.Permit(identityOf(r), action, team)
}

// permitJob decides on a request about a job by the team that the reply names. A
// reply that names no job is permitted. The refusal does not reveal the team.
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

// author returns the author of an edit.
func (d *Daemon) author(r *http.Request) (string, *core.Refusal) {
	author := r.Header.Get(wire.HeaderAuthor)
	if d.keys == nil {
		return author, nil
	}
	return core.PermitAuthor(identityOf(r), author)
}

// forbidden builds the refusal of a request without a usable identity.
func forbidden(format string, args ...any) *core.Refusal {
	return &core.Refusal{Reason: core.ReasonForbidden, Message: fmt.Sprintf(format, args...)}
}

// forbid counts and writes a refusal. The counter has no team, since a caller
// could create any number of series with names of its own.
func (d *Daemon) writeForbidden(w http.ResponseWriter, refusal *core.Refusal) {
	d.addToCounter(core.Count{Metric: core.MetricRefusals, Reason: refusal.Reason, Add: 1})
	writeRefusal(w, refusal)
}
