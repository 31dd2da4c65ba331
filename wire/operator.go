package wire

import (
	"encoding/json"
	"time"

	"banyanrun.example/banyanrun/core"
)

// Headers, path segments and query parameters of the HTTP API for callers and
// operators.
const (
	// HeaderIfMatch holds the base revision of an edit; 0 creates the document.
	HeaderIfMatch = "If-Match"
	// HeaderAuthor names the author of an edit.
	HeaderAuthor = "Banyanrun-Author"

	// SegmentHistory follows PathDocuments/<team>.
	SegmentHistory = "history"
	// SegmentWait and SegmentExplain follow PathJobs/<id>.
	SegmentWait    = "wait"
	SegmentExplain = "explain"

	// ParamTimeoutMS limits a wait. When the timeout expires, the response is
	// the status at that time, which is not final.
	ParamTimeoutMS = "timeout_ms"
	// ParamTeam restricts the teams view to one team.
	ParamTeam = "team"
)

// MaxDocumentBytes limits the body of PUT /v1/documents/<team>. A store value
// holds several versions of a document with their metadata, so a document must
// be well below MaxValueBytes.
const MaxDocumentBytes = 256 << 10

// DocumentVersion is the response to GET and PUT /v1/documents/<team>. Document
// is encoded by package document.
type DocumentVersion struct {
	Team       core.TeamName   `json:"team"`
	Revision   core.Revision   `json:"revision"`
	Author     string          `json:"author"`
	TimeUnixMS int64           `json:"time_unix_ms"`
	Document   json.RawMessage `json:"document"`
}

// DocumentHistory is the response to GET /v1/documents/<team>/history, newest
// version first.
type DocumentHistory struct {
	Versions []DocumentVersion `json:"versions"`
}

// DocumentConflict is the body of the 409 response to an edit whose base revision
// is not the current one. It holds both the current and the proposed document.
type DocumentConflict struct {
	Error Error `json:"error"`
	// Current is nil if no document exists.
	Current  *DocumentVersion `json:"in_force,omitempty"`
	Proposed json.RawMessage  `json:"proposed"`
}

// HostsView is the response to GET /v1/hosts.
type HostsView struct {
	Hosts []HostView `json:"hosts"`
}

// HostView is the JSON form of core.HostView. HeartbeatAgeMS is negative if no
// heartbeat has been received from the host.
type HostView struct {
	ID             core.HostID     `json:"id"`
	Address        string          `json:"address"`
	DataCentre     core.DataCentre `json:"data_centre"`
	Region         core.Region     `json:"region"`
	Owner          bool            `json:"owner"`
	Epoch          core.Epoch      `json:"epoch"`
	HeartbeatAgeMS int64           `json:"heartbeat_age_ms"`
	Draining       bool            `json:"draining"`
}

// WorkersView is the response to GET /v1/workers.
type WorkersView struct {
	Workers []WorkerView `json:"workers"`
}

// WorkerView is the JSON form of core.WorkerView.
type WorkerView struct {
	ID         core.WorkerID    `json:"id"`
	Rack       string           `json:"rack"`
	DataCentre core.DataCentre  `json:"data_centre"`
	State      core.WorkerState `json:"state"`
	Capacity   Resources        `json:"capacity"`
	Assigned   Resources        `json:"assigned"`
	Tasks      int              `json:"tasks"`
	Epoch      core.Epoch       `json:"epoch"`
}

// TeamsView is the response to GET /v1/teams.
type TeamsView struct {
	Teams []TeamView `json:"teams"`
}

// TeamView is the JSON form of core.TeamView.
type TeamView struct {
	Team         core.TeamName `json:"team"`
	Weight       int64         `json:"weight"`
	Quota        Resources     `json:"quota"`
	InUse        Resources     `json:"in_use"`
	Share        float64       `json:"share"`
	Queued       []KindCount   `json:"queued"`
	OldestWaitMS int64         `json:"oldest_wait_ms"`
	Revision     core.Revision `json:"revision"`
}

// KindCount is the number of jobs of one kind.
type KindCount struct {
	Kind  core.KindName `json:"kind"`
	Count int           `json:"count"`
}

// Explanation is the response to GET /v1/jobs/<id>/explain.
type Explanation struct {
	Status   *JobStatus    `json:"status"`
	Position int           `json:"position"`
	Reasons  []string      `json:"reasons"`
	Rejected []FilterCount `json:"rejected,omitempty"`
	Steps    []Step        `json:"steps"`
}

// FilterCount is the number of workers that a placement filter rejected.
type FilterCount struct {
	Filter  string `json:"filter"`
	Workers int    `json:"workers"`
}

// Step is one state transition of a job.
type Step struct {
	AtUnixMS int64         `json:"at_unix_ms"`
	Text     string        `json:"text"`
	Worker   core.WorkerID `json:"worker,omitempty"`
}

// UnixMS converts a time to milliseconds since the Unix epoch.
func UnixMS(t core.Time) int64 { return int64(t) / int64(time.Millisecond) }

// FromUnixMS converts milliseconds since the Unix epoch to a time.
func FromUnixMS(ms int64) core.Time { return core.Time(ms * int64(time.Millisecond)) }

// FromDocumentVersion converts a version. encoded is its document, encoded by
// package document.
func FromDocumentVersion(v *core.DocumentVersion, encoded json.RawMessage) *DocumentVersion {
	return &DocumentVersion{
		Team: v.Document.Team, Revision: v.Revision, Author: v.Author,
		TimeUnixMS: UnixMS(v.Time), Document: encoded,
	}
}

// FromHostViews converts the views of hosts.
func FromHostViews(views []core.HostView) *HostsView {
	out := &HostsView{Hosts: make([]HostView, 0, len(views))}
	for _, v := range views {
		age := v.HeartbeatAge.Milliseconds()
		if v.HeartbeatAge < 0 {
			age = -1 // a fraction of a millisecond must not be rounded to 0, which means just received
		}
		out.Hosts = append(out.Hosts, HostView{
			ID: v.ID, Address: v.Address, DataCentre: v.DataCentre, Region: v.Region,
			Owner: v.Owner, Epoch: v.Epoch, HeartbeatAgeMS: age, Draining: v.Draining,
		})
	}
	return out
}

// FromWorkerViews converts the views of workers.
func FromWorkerViews(views []core.WorkerView) *WorkersView {
	out := &WorkersView{Workers: make([]WorkerView, 0, len(views))}
	for _, v := range views {
		out.Workers = append(out.Workers, WorkerView{
			ID: v.ID, Rack: v.Rack, DataCentre: v.DataCentre, State: v.State,
			Capacity: FromResources(v.Capacity), Assigned: FromResources(v.Assigned),
			Tasks: v.Tasks, Epoch: v.Epoch,
		})
	}
	return out
}

// FromTeamViews converts the views of teams.
func FromTeamViews(views []core.TeamView) *TeamsView {
	out := &TeamsView{Teams: make([]TeamView, 0, len(views))}
	for _, v := range views {
		team := TeamView{
			Team: v.Team, Weight: v.Weight, Quota: FromResources(v.Quota),
			InUse: FromResources(v.InUse), Share: v.Share,
			Queued:       make([]KindCount, 0, len(v.Queued)),
			OldestWaitMS: v.OldestWait.Milliseconds(), Revision: v.Revision,
		}
		for _, q := range v.Queued {
			team.Queued = append(team.Queued, KindCount(q))
		}
		out.Teams = append(out.Teams, team)
	}
	return out
}

// FromExplanation converts an explanation.
func FromExplanation(e *core.Explanation) *Explanation {
	out := &Explanation{
		Status: FromJobStatus(&e.Status), Position: e.Position, Reasons: e.Reasons,
		Steps: make([]Step, 0, len(e.Steps)),
	}
	for _, r := range e.Rejected {
		out.Rejected = append(out.Rejected, FilterCount(r))
	}
	for _, s := range e.Steps {
		out.Steps = append(out.Steps, Step{AtUnixMS: UnixMS(s.At), Text: s.Text, Worker: s.Worker})
	}
	return out
}
