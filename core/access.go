package core

import "slices"

// Role is the role of a certificate's holder.
type Role string

// Certificate roles.
const (
	RoleHost     Role = "host"
	RoleOperator Role = "operator"
	RoleCaller   Role = "caller"
)

// Identity identifies the sender of a request.
type Identity struct {
	Name  string     `json:"name"`
	Role  Role       `json:"role"`
	Teams []TeamName `json:"teams,omitempty"`
}

// Action is a class of requests for access control.
type Action uint8

// Actions of the routes of an entry host.
const (
	// ActionNone is the zero value, which is never permitted.
	ActionNone Action = iota
	// ActionObserve reads metrics, health and readiness.
	ActionObserve
	// ActionPeer sends a message between entry hosts.
	ActionPeer
	// ActionForward forwards a request on behalf of another identity.
	ActionForward
	// ActionReadFleet reads hosts, workers and the list of all teams.
	ActionReadFleet
	// ActionReadTeam reads the usage of one team.
	ActionReadTeam
	// ActionReadDocument reads a team's document.
	ActionReadDocument
	// ActionEditDocument edits a team's document.
	ActionEditDocument
	// ActionSubmit submits a job for a team.
	ActionSubmit
	// ActionCall makes an interactive call for a team.
	ActionCall
	// ActionReadJob reads a team's job.
	ActionReadJob
	// ActionCancelJob cancels a team's job.
	ActionCancelJob
)

var actionNames = [...]string{
	"perform an action without rules", "observe", "send messages between hosts", "forward requests",
	"read the fleet", "read teams", "read documents", "edit documents",
	"submit jobs", "make calls", "read jobs", "cancel jobs",
}

// String returns a verb phrase for use in messages.
func (a Action) String() string {
	if int(a) < len(actionNames) {
		return actionNames[a]
	}
	return actionNames[ActionNone]
}

// scope is the set of teams for which a role may perform an action.
type scope uint8

const (
	scopeNone scope = iota
	// scopeOwn permits the teams named in the certificate.
	scopeOwn
	// scopeAll permits every team, and actions without a team.
	scopeAll
)

// permissions is the access control table. Actions that are not listed are denied.
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

// PermitAction checks whether an identity may perform an action for at least one
// team. Callers use it before the team of a request is known, and Permit after.
func PermitAction(id Identity, a Action) *Refusal {
	if permissions[id.Role][a] == scopeNone {
		return refuse(ReasonForbidden, "%q with role %q may not %s", id.Name, id.Role, a)
	}
	return nil
}

// Permit checks whether an identity may perform an action for a team.
func Permit(id Identity, a Action, team TeamName) *Refusal {
	if ref := PermitAction(id, a); ref != nil {
		return ref
	}
	if permissions[id.Role][a] == scopeOwn && !slices.Contains(id.Teams, team) {
		return refuse(ReasonForbidden, "%q may not %s of team %q, which its certificate does not name", id.Name, a, team)
	}
	return nil
}

// PermitAuthor returns the author of an edit. An identity may only use its own
// name, which is also the default for an empty author.
func PermitAuthor(id Identity, author string) (string, *Refusal) {
	if author != "" && author != id.Name {
		return "", refuse(ReasonForbidden, "author %q differs from the certificate's common name %q", author, id.Name)
	}
	return id.Name, nil
}
