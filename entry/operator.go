package entry

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/julienschmidt/httprouter"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/document"
	"banyanrun.example/banyanrun/wire"
)

// putDocument applies an operator's edit. The answer follows when the store has
// accepted it.
func (d *Daemon) putDocument(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	body, ref := readBody(w, r, wire.MaxDocumentBytes)
	if ref != nil {
		writeRefusal(w, ref)
		return
	}
	doc, _, err := document.Validate(body, nil)
	if err != nil {
		writeRefusal(w, invalid("document: %v", err))
		return
	}
	team := core.TeamName(p.ByName("team"))
	if doc.Team != team {
		writeRefusal(w, invalid("document belongs to team %q, not %q", doc.Team, team))
		return
	}
	base, err := strconv.ParseInt(strings.Trim(r.Header.Get(wire.HeaderIfMatch), `"`), 10, 64)
	if err != nil || base < 0 {
		writeRefusal(w, invalid("header %s must carry the revision that was edited, or 0", wire.HeaderIfMatch))
		return
	}
	author, ref := d.author(r)
	if ref != nil {
		d.forbid(w, ref)
		return
	}
	d.ask(w, r, question{
		wait: defaultWait,
		event: func(id core.RequestID) core.EventBody {
			return core.DocumentProposed{
				Request: id, Document: *doc, Base: core.Revision(base), Author: author,
			}
		},
		answer: func(reply core.Reply) { writeEdit(w, doc, reply) },
	})
}

// writeEdit answers an edit.
func writeEdit(w http.ResponseWriter, proposed *core.Document, reply core.Reply) {
	switch {
	case reply.Applied != nil:
		writeJSON(w, http.StatusOK, version(reply.Applied))
	case reply.Conflict != nil:
		c := wire.DocumentConflict{
			Error: wire.Error{
				Reason: core.ReasonConflict, Verdict: core.NotRun,
				Message: "another edit was accepted first; both versions are below",
			},
			Proposed: document.Encode(proposed),
		}
		if reply.Conflict.Revision != 0 {
			c.Current = version(reply.Conflict)
		}
		w.Header().Set(wire.HeaderVerdict, c.Error.Verdict.String())
		w.Header().Set(wire.HeaderReason, string(c.Error.Reason))
		writeJSON(w, http.StatusConflict, c)
	default:
		writeStatus(w, http.StatusOK, reply)
	}
}

// version converts a document version.
func version(v *core.DocumentVersion) *wire.DocumentVersion {
	return wire.FromDocumentVersion(v, document.Encode(&v.Document))
}

// getDocument answers with the version in force at this host.
func (d *Daemon) getDocument(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	ask := core.ViewRequested{View: core.ViewDocuments, Team: core.TeamName(p.ByName("team"))}
	d.view(w, r, ask, func(view any) any {
		versions := view.([]core.DocumentVersion)
		return version(&versions[0])
	})
}

// history answers with the versions of a document.
func (d *Daemon) history(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	d.ask(w, r, question{
		wait: defaultWait,
		event: func(id core.RequestID) core.EventBody {
			return core.HistoryRequested{Request: id, Team: core.TeamName(p.ByName("team"))}
		},
		answer: func(reply core.Reply) {
			if reply.History == nil {
				writeStatus(w, http.StatusOK, reply)
				return
			}
			out := wire.DocumentHistory{}
			for i := range reply.History {
				out.Versions = append(out.Versions, *version(&reply.History[i]))
			}
			writeJSON(w, http.StatusOK, out)
		},
	})
}

// view answers one of the operators' views.
func (d *Daemon) view(w http.ResponseWriter, r *http.Request, ask core.ViewRequested, form func(any) any) {
	d.ask(w, r, question{
		wait: defaultWait,
		event: func(id core.RequestID) core.EventBody {
			ask.Request, ask.Forwarded = id, isForwarded(r)
			return ask
		},
		answer: func(reply core.Reply) {
			if reply.View == nil {
				writeStatus(w, http.StatusOK, reply)
				return
			}
			writeJSON(w, http.StatusOK, form(reply.View))
		},
	})
}

func (d *Daemon) viewHosts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	d.view(w, r, core.ViewRequested{View: core.ViewHosts}, func(v any) any {
		return wire.FromHostViews(v.([]core.HostView))
	})
}

func (d *Daemon) viewWorkers(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	d.view(w, r, core.ViewRequested{View: core.ViewWorkers}, func(v any) any {
		return wire.FromWorkerViews(v.([]core.WorkerView))
	})
}

func (d *Daemon) viewTeams(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ask := core.ViewRequested{View: core.ViewTeams, Team: core.TeamName(r.URL.Query().Get(wire.ParamTeam))}
	action := core.ActionReadTeam
	if ask.Team == "" {
		action = core.ActionReadFleet
	}
	if ref := d.permit(r, action, ask.Team); ref != nil {
		d.forbid(w, ref)
		return
	}
	d.view(w, r, ask, func(v any) any { return wire.FromTeamViews(v.([]core.TeamView)) })
}
