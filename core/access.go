package core

import "slices"

// Role is what the holder of a certificate is to an entry host.
type Role string

// Roles of a certificate.
const (
	RoleHost     Role = "host"
	RoleOperator Role = "operator"
	RoleCaller   Role = "caller"
)

// Identity is whom a request comes from.
type Identity struct {
	Name  string     `json:"name"`
	Role  Role       `json:"role"`
	Teams []TeamName `json:"teams,omitempty"`
}

// Action is what a request asks for, as far as access depends on it.
type Action uint8

// Actions of the routes of an entry host.
const (
	// ActionNone is the zero value. Nobody may perform it.
	ActionNone Action = iota
	// ActionObserve reads metrics, health and readiness.
	ActionObserve
	// ActionPeer sends a message between entry hosts.
	ActionPeer
	// ActionForward passes on the request of another identity.
	ActionForward
	// ActionReadFleet reads hosts, workers and the list of all teams.
	ActionReadFleet
	// ActionReadTeam reads the figures of one team.
	ActionReadTeam
	// ActionReadDocument reads the document of a team.
	ActionReadDocument
	// ActionEditDocument puts the document of a team in force.
	ActionEditDocument
	// ActionSubmit submits a job of a team.
	ActionSubmit
	// ActionCall makes an interactive request of a team.
	ActionCall
	// ActionReadJob reads a job of a team.
	ActionReadJob
	// ActionCancelJob cancels a job of a team.
	ActionCancelJob
)

var actionNames = [...]string{
	"perform an action without rules", "observe", "send messages between hosts", "forward requests",
	"read the fleet", "read teams", "read documents", "edit documents",
	"submit jobs", "make calls", "read jobs", "cancel jobs",
}

// String names the action in messages.
func (a Action) String() string {
	if int(a) < len(actionNames) {
		return actionNames[a]
	}
	return actionNames[ActionNone]
}

// scope says for which teams a role may perform an action.
type scope uint8

const (
	scopeNone scope = iota
	// scopeOwn allows the teams that the certificate names.
	scopeOwn
	// scopeAll allows every team and actions that concern no team.
	scopeAll
)

// access is the table of rights. What it does not list is forbidden.
var permissions = map[Role]map[Action]scope{
	RoleHost: {ActionObserve: scopeAll, ActionPeer: scopeAll, ActionForward: scopeAll},
	RoleOperator: {
		ActionObserve: scopeAll, ActionReadFleet: scopeAll, ActionReadTeam: scopeAll,
		ActionReadDocument: scopeAll, ActionEditDocument: scopeOwn,
		ActionReadJob: scopeOwn, ActionCancelJob: scopeOwn,
	},
	RoleCaller: {
		ActionObserve: scopeAll, ActionReadTeam: scopeOwn, ActionReadDocument: scopeOwn,
		ActionSubmit: scopeOwn, ActionCall: scopeOwn,
		ActionReadJob: scopeOwn, ActionCancelJob: scopeOwn,
	},
}

// PermitAction decides whether an identity may perform an action for some team.
// It is asked before the team of a request is known; Permit follows.
func PermitAction(id Identity, a Action) *Refusal {
	if permissions[id.Role][a] == scopeNone {
		return refuse(ReasonForbidden, "%q with role %q may not %s", id.Name, id.Role, a)
	}
	return nil
}

// Permit decides whether an identity may perform an action for a team.
func Permit(id Identity, a Action, team TeamName) *Refusal {
	if ref := PermitAction(id, a); ref != nil {
		return ref
	}
	if permissions[id.Role][a] == scopeOwn && !slices.Contains(id.Teams, team) {
		return refuse(ReasonForbidden, "%q may not %s of team %q, which its certificate does not name", id.Name, a, team)
	}
	return nil
}

// PermitAuthor returns the author of an edit. An identity signs with its own
// name only, which an empty author stands for.
func PermitAuthor(id Identity, author string) (string, *Refusal) {
	if author != "" && author != id.Name {
		return "", refuse(ReasonForbidden, "author %q differs from the certificate's common name %q", author, id.Name)
	}
	return id.Name, nil
}
