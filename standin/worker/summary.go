package worker

import (
	"cmp"
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
)

// maxStartDelayAfterLeaving is how long after the host list shows a worker as
// leaving a start is still allowed (P6 of the design).
const maxStartDelayAfterLeaving = 3 * time.Second

// Summary sums up the audit logs of all workers.
type Summary struct {
	Starts int             `json:"starts"`
	Ends   map[Outcome]int `json:"ends"`
	// Overlapping lists the work that ran more than once at the same time,
	// at one worker or several.
	Overlapping []RepeatedWork `json:"doubled"`
	// Repeated lists the work that was started more than once. For
	// idempotent kinds, which Summarize does not know, that is allowed.
	Repeated []RepeatedWork `json:"repeated"`
	// OverAssigned counts the entries that exceeded a worker's capacity at
	// their start or at the end of throttling.
	OverAssigned int `json:"over_assigned"`
	// StartsAfterLeaving counts the starts later than 3 s after the host
	// list showed the worker as leaving.
	StartsAfterLeaving int `json:"starts_after_leaving"`
}

// RepeatedWork is a task or call that was started more than once.
type RepeatedWork struct {
	Entry  EntryKind     `json:"entry"`
	Job    string        `json:"job"`
	Task   int           `json:"task"`
	Team   core.TeamName `json:"team"`
	Kind   core.KindName `json:"kind"`
	Starts int           `json:"starts"`
}

// workKey identifies a task or call across its attempts.
type workKey struct {
	entry EntryKind
	team  core.TeamName
	kind  core.KindName
	job   string
	task  int
}

// Summarize evaluates the reports of all workers.
func Summarize(reports []Report) Summary {
	s := Summary{Ends: map[Outcome]int{}, Overlapping: []RepeatedWork{}, Repeated: []RepeatedWork{}}
	starts := map[workKey][]Entry{}
	for _, report := range reports {
		for _, e := range report.Entries {
			s.Starts++
			if e.Outcome != OutcomeRunning {
				s.Ends[e.Outcome]++
			}
			if e.OverAssigned {
				s.OverAssigned++
			}
			if e.LeavingMS > maxStartDelayAfterLeaving.Milliseconds() {
				s.StartsAfterLeaving++
			}
			id := workKey{e.Entry, e.Team, e.Kind, e.Job, e.Task}
			starts[id] = append(starts[id], e)
		}
	}
	for id, entries := range starts {
		if len(entries) < 2 {
			continue
		}
		repeat := RepeatedWork{id.entry, id.job, id.task, id.team, id.kind, len(entries)}
		s.Repeated = append(s.Repeated, repeat)
		if overlaps(entries) {
			s.Overlapping = append(s.Overlapping, repeat)
		}
	}
	slices.SortFunc(s.Repeated, compareRepeated)
	slices.SortFunc(s.Overlapping, compareRepeated)
	return s
}

// overlaps reports whether two of the entries ran at the same time.
func overlaps(entries []Entry) bool {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.StartUnixUS, b.StartUnixUS) })
	var busyUntil int64
	for i, e := range entries {
		if i > 0 && (busyUntil == 0 || e.StartUnixUS < busyUntil) {
			return true
		}
		if e.EndUnixUS == 0 {
			busyUntil = 0
			continue
		}
		busyUntil = max(busyUntil, e.EndUnixUS)
	}
	return false
}

func compareRepeated(a, b RepeatedWork) int {
	return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Task, b.Task), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Kind, b.Kind))
}
