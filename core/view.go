package core

import "time"

// Row types of the operator views. Reply.View contains a []HostView,
// []WorkerView, []TeamView or []DocumentVersion, depending on the requested View.
type (
	// HostView describes an entry host as seen by the responding host.
	HostView struct {
		ID         HostID
		Address    string
		DataCentre DataCentre
		Region     Region
		// Owner is set if the host owns its data centre at Epoch.
		Owner bool
		Epoch Epoch
		// HeartbeatAge is the time since the last heartbeat. It is zero for
		// the responding host and negative if there was none.
		HeartbeatAge time.Duration
		Draining     bool
	}

	// WorkerView describes a worker as seen by the owner of its data centre.
	WorkerView struct {
		ID         WorkerID
		Rack       string
		DataCentre DataCentre
		State      WorkerState
		Capacity   Resources
		// Assigned is the capacity used by tasks and grants.
		Assigned Resources
		Tasks    int
		// Epoch is the highest epoch confirmed by the worker.
		Epoch Epoch
	}

	// TeamView describes a team in the responding host's data centre.
	TeamView struct {
		Team   TeamName
		Weight int64
		Quota  Resources
		InUse  Resources
		// Share is the team's dominant share of the data centre's capacity.
		Share float64
		// Queued counts the waiting jobs by kind, in document order.
		Queued []KindCount
		// OldestWait is how long the oldest waiting job has waited.
		OldestWait time.Duration
		Revision   Revision
	}
)

// KindCount is the number of jobs of a kind.
type KindCount struct {
	Kind  KindName
	Count int
}

// WorkerState describes whether a worker gets new work and, if not, why.
type WorkerState uint8

// Worker states.
const (
	// WorkerUnfenced has not confirmed the owner's epoch and gets no work.
	WorkerUnfenced WorkerState = iota
	// WorkerReady gets new work.
	WorkerReady
	// WorkerLeaving is leaving according to the platform's list or its own
	// report.
	WorkerLeaving
	// WorkerSilent did not respond to its last sync.
	WorkerSilent
	// WorkerSuspended gets no work after repeated failures.
	WorkerSuspended
)

var workerStateNames = [...]string{"unfenced", "ready", "leaving", "silent", "suspended"}

// WorkerStates lists the states in declaration order.
func WorkerStates() []WorkerState {
	states := make([]WorkerState, len(workerStateNames))
	for i := range states {
		states[i] = WorkerState(i)
	}
	return states
}

// String returns the name used in operator views.
func (s WorkerState) String() string { return workerStateNames[s] }

// MarshalText encodes s as its name.
func (s WorkerState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a state name.
func (s *WorkerState) UnmarshalText(text []byte) error {
	i, err := indexOfName("worker state", workerStateNames[:], string(text))
	*s = WorkerState(i)
	return err
}
