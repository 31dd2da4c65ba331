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

// keptDocument is the memory of a decoded document as a multiple of its length.
const keptDocument = 3

// putDocument applies an operator's edit of a document. The response is sent once
// the store has accepted the edit.
func (d *Daemon) putDocument(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	body, refusal := readBody(w, r, wire.MaxDocumentBytes)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	var doc *core.Document
	refusal = decodeBody(r, body, keptDocument, func() *core.Refusal {
		var err error
		if doc, _, err = document.Validate(body, nil); err != nil {
			return invalid("document: %v", err)
		}
		return nil
	})
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	team := core.TeamName(p.ByName("team"))
	if doc.Team != team {
		writeRefusal(w, invalid("document belongs to team %q, not %q", doc.Team, team))
		return
	}
	baseRevision, err := strconv.ParseInt(strings.Trim(r.Header.Get(wire.HeaderIfMatch), `"`), 10, 64)
	if err != nil || baseRevision < 0 {
		writeRefusal(w, invalid("header %s must contain the revision that was edited, or 0 for a new document", wire.HeaderIfMatch))
		return
	}
	author, refusal := d.author(r)
	if refusal != nil {
		d.writeForbidden(w, refusal)
		return
	}
	d.askReducer(w, r, reducerRequest{
		timeout: defaultReplyTimeout,
		newEvent: func(id core.RequestID) core.EventBody {
			return core.DocumentProposed{
				Request: id, Document: *doc, Base: core.Revision(baseRevision), Author: author,
			}
		},
		onReply: func(reply core.Reply) { writeEditResult(w, doc, reply) },
	})
}

// writeEditResult writes the result of an edit as the response.
func writeEditResult(w http.ResponseWriter, proposed *core.Document, reply core.Reply) {
	switch {
	case reply.Applied != nil:
		writeJSON(w, http.StatusOK, wireVersion(reply.Applied))
	case reply.Conflict != nil:
		c := wire.DocumentConflict{
			Error: wire.Error{
				Reason: core.ReasonConflict, Verdict: core.NotRun,
				Message: "another edit was accepted first; the response contains both versions",
			},
			Proposed: document.Encode(proposed),
		}
		if reply.Conflict.Revision != 0 {
			c.Current = wireVersion(reply.Conflict)
		}
		w.Header().Set(wire.HeaderVerdict, c.Error.Verdict.String())
		w.Header().Set(wire.HeaderReason, string(c.Error.Reason))
		writeJSON(w, http.StatusConflict, c)
	default:
		writeStatus(w, http.StatusOK, reply)
	}
}

// wireVersion converts a document version to its wire form.
func wireVersion(v *core.DocumentVersion) *wire.DocumentVersion {
	return wire.FromDocumentVersion(v, document.Encode(&v.Document))
}

// getDocument responds with the document version in force at this host.
func (d *Daemon) getDocument(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	event := core.ViewRequested{View: core.ViewDocuments, Team: core.TeamName(p.ByName("team"))}
	d.serveView(w, r, event, func(view any) any {
		versions := view.([]core.DocumentVersion)
		return wireVersion(&versions[0])
	})
}

// documentHistory responds with the versions of a document.
func (d *Daemon) documentHistory(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	d.askReducer(w, r, reducerRequest{
		timeout: defaultReplyTimeout,
		newEvent: func(id core.RequestID) core.EventBody {
			return core.HistoryRequested{Request: id, Team: core.TeamName(p.ByName("team"))}
		},
		onReply: func(reply core.Reply) {
			if reply.History == nil {
				writeStatus(w, http.StatusOK, reply)
				return
			}
			out := wire.DocumentHistory{}
			for i := range reply.History {
				out.Versions = append(out.Versions, *wireVersion(&reply.History[i]))
			}
			writeJSON(w, http.StatusOK, out)
		},
	})
}

// serveView responds with one of the operators' views in its wire form.
func (d *Daemon) serveView(w http.ResponseWriter, r *http.Request, event core.ViewRequested, encode func(any) any) {
	d.askReducer(w, r, reducerRequest{
		timeout: defaultReplyTimeout,
		newEvent: func(id core.RequestID) core.EventBody {
			event.Request, event.Forwarded = id, isForwarded(r)
			return event
		},
		onReply: func(reply core.Reply) {
			if reply.View == nil {
				writeStatus(w, http.StatusOK, reply)
				return
			}
			writeJSON(w, http.StatusOK, encode(reply.View))
		},
	})
}

func (d *Daemon) viewHosts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	d.serveView(w, r, core.ViewRequested{View: core.ViewHosts}, func(v any) any {
		return wire.FromHostViews(v.([]core.HostView))
	})
}

func (d *Daemon) viewWorkers(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	d.serveView(w, r, core.ViewRequested{View: core.ViewWorkers}, func(v any) any {
		return wire.FromWorkerViews(v.([]core.WorkerView))
	})
}

func (d *Daemon) viewTeams(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	event := core.ViewRequested{View: core.ViewTeams, Team: core.TeamName(r.URL.Query().Get(wire.ParamTeam))}
	action := core.ActionReadTeam
	if event.Team == "" {
		action = core.ActionReadFleet
	}
	if refusal := d.permit(r, action, event.Team); refusal != nil {
		d.writeForbidden(w, refusal)
		return
	}
	d.serveView(w, r, event, func(v any) any { return wire.FromTeamViews(v.([]core.TeamView)) })
}
