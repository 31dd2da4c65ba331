package ctl

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// getRequest returns a read-only request.
func getRequest(path string, query url.Values) *Request {
	return &Request{Method: http.MethodGet, Path: path, Query: query, ReadOnly: true}
}

// showView sends a read-only request and prints the response as a table or as
// JSON.
func showView[T any](req *Request, asJSON bool, toTable func(*T) string) Step {
	return Step{Send: req, Then: func(resp *Response) Step {
		var view T
		if p := decodeResponse(req, resp, &view); p != nil {
			return finalStep(p.result())
		}
		if asJSON {
			return finalStep(Result{Stdout: indentedJSON(&view)})
		}
		return finalStep(Result{Stdout: toTable(&view)})
	}}
}

// Hosts lists the entry hosts.
func Hosts(asJSON bool) Step {
	return showView(getRequest(wire.PathHostsView, nil), asJSON, hostsTable)
}

func hostsTable(v *wire.HostsView) string {
	rows := [][]string{{"HOST", "ADDRESS", "DATA_CENTRE", "REGION", "ROLE", "EPOCH", "HEARTBEAT", "STATE"}}
	for _, h := range v.Hosts {
		role, state, age := "traffic", "serving", "never"
		if h.Owner {
			role = "owner"
		}
		if h.Draining {
			state = "draining"
		}
		if h.HeartbeatAgeMS >= 0 {
			age = formatMillis(h.HeartbeatAgeMS)
		}
		rows = append(rows, []string{string(h.ID), orDash(h.Address), orDash(string(h.DataCentre)),
			orDash(string(h.Region)), role, fmt.Sprint(h.Epoch), age, state})
	}
	return table(rows...)
}

// Workers lists the workers of the entry host's data centre, or only those in
// the given state.
func Workers(state *core.WorkerState, asJSON bool) Step {
	req := getRequest(wire.PathWorkers, nil)
	return Step{Send: req, Then: func(resp *Response) Step {
		var view wire.WorkersView
		if p := decodeResponse(req, resp, &view); p != nil {
			return finalStep(p.result())
		}
		if state != nil {
			view.Workers = slices.DeleteFunc(view.Workers, func(w wire.WorkerView) bool { return w.State != *state })
		}
		if asJSON {
			return finalStep(Result{Stdout: indentedJSON(&view)})
		}
		return finalStep(Result{Stdout: workersTable(&view)})
	}}
}

func workersTable(v *wire.WorkersView) string {
	head := append([]string{"WORKER", "DATA_CENTRE", "RACK", "STATE", "TASKS"}, resourceHeadings...)
	rows := [][]string{append(head, "EPOCH")}
	for _, w := range v.Workers {
		row := []string{string(w.ID), orDash(string(w.DataCentre)), orDash(w.Rack),
			w.State.String(), strconv.Itoa(w.Tasks)}
		row = append(row, resourceCells(w.Assigned, w.Capacity)...)
		rows = append(rows, append(row, fmt.Sprint(w.Epoch)))
	}
	return table(rows...)
}

// Teams lists all teams, or only the given one.
func Teams(team core.TeamName, asJSON bool) Step {
	query := url.Values{}
	if team != "" {
		query.Set(wire.ParamTeam, string(team))
	}
	return showView(getRequest(wire.PathTeams, query), asJSON, teamsTable)
}

func teamsTable(v *wire.TeamsView) string {
	head := append([]string{"TEAM", "WEIGHT", "SHARE"}, resourceHeadings...)
	rows := [][]string{append(head, "QUEUED", "OLDEST_WAIT", "REVISION")}
	for _, t := range v.Teams {
		var queued []string
		for _, q := range t.Queued {
			if q.Count > 0 {
				queued = append(queued, fmt.Sprintf("%s:%d", q.Kind, q.Count))
			}
		}
		row := []string{string(t.Team), fmt.Sprint(t.Weight), fmt.Sprintf("%.1f%%", 100*t.Share)}
		row = append(row, resourceCells(t.InUse, t.Quota)...)
		rows = append(rows, append(row, orDash(strings.Join(queued, ",")),
			formatMillis(t.OldestWaitMS), fmt.Sprint(t.Revision)))
	}
	return table(rows...)
}
