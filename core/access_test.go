package core

import (
	"fmt"
	"testing"
)

// TestPermit guards against rights beyond the role or the teams of a certificate.
func TestPermit(t *testing.T) {
	identities := map[string]Identity{
		"host":     {Name: "h", Role: RoleHost, Teams: []TeamName{"a"}},
		"operator": {Name: "o", Role: RoleOperator, Teams: []TeamName{"a"}},
		"caller":   {Name: "c", Role: RoleCaller, Teams: []TeamName{"a"}},
		"unknown":  {Name: "u", Role: "admin", Teams: []TeamName{"a"}},
		"nobody":   {},
	}
	// allowed lists, for each action, who may perform it for their own team a
	// and who also for other teams.
	allowed := map[Action]struct{ own, other []string }{
		ActionNone:         {},
		ActionObserve:      {[]string{"host", "operator", "caller"}, []string{"host", "operator", "caller"}},
		ActionPeer:         {[]string{"host"}, []string{"host"}},
		ActionForward:      {[]string{"host"}, []string{"host"}},
		ActionReadFleet:    {[]string{"operator"}, []string{"operator"}},
		ActionReadTeam:     {[]string{"operator", "caller"}, []string{"operator"}},
		ActionReadDocument: {[]string{"operator", "caller"}, []string{"operator"}},
		ActionEditDocument: {[]string{"operator"}, nil},
		ActionSubmit:       {[]string{"caller"}, nil},
		ActionCall:         {[]string{"caller"}, nil},
		ActionReadJob:      {[]string{"operator", "caller"}, nil},
		ActionCancelJob:    {[]string{"operator", "caller"}, nil},
	}
	if len(allowed) != len(actionNames) {
		t.Fatalf("table covers %d actions, want %d", len(allowed), len(actionNames))
	}
	for a, want := range allowed {
		for _, c := range []struct {
			team TeamName
			who  []string
		}{{"a", want.own}, {"b", want.other}, {"", want.other}} {
			for name, id := range identities {
				t.Run(fmt.Sprintf("%s may %s of team %q", name, a, c.team), func(t *testing.T) {
					expected := false
					for _, w := range c.who {
						expected = expected || w == name
					}
					ref := Permit(id, a, c.team)
					if (ref == nil) != expected {
						t.Fatalf("refusal %v, want permitted: %v", ref, expected)
					}
					if ref != nil && (ref.Reason != ReasonForbidden || ref.Verdict != NotRun) {
						t.Errorf("refusal %v, want forbidden and not_run", ref)
					}
				})
			}
		}
	}
}

// TestPermitAuthor guards against edits under another identity's name.
func TestPermitAuthor(t *testing.T) {
	id := Identity{Name: "ada"}
	for _, c := range []struct {
		name, author string
		permitted    bool
	}{
		{"an empty author defaults to the certificate's name", "", true},
		{"the certificate's name is accepted", "ada", true},
		{"another name is refused", "bob", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			author, ref := PermitAuthor(id, c.author)
			if (ref == nil) != c.permitted || c.permitted && author != "ada" {
				t.Errorf("author %q, refusal %v", author, ref)
			}
		})
	}
}
