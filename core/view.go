package core

import "time"

// The types of this file are the rows of the operators' views. Reply.View holds
// []HostView, []WorkerView, []TeamView or []DocumentVersion, by the View that
// was requested.
type (
	// HostView is one entry host as the answering host knows it.
	HostView struct {
		ID         HostID
		Address    string
		DataCentre DataCentre
		Region     Region
		// Owner is set for the owner of its data centre at Epoch.
		Owner bool
		Epoch Epoch
		// HeartbeatAge is the time since its last heartbeat. It is zero for
		// the answering host and negative if none was heard.
		HeartbeatAge time.Duration
		Draining     bool
	}

	// WorkerView is one worker as its data centre's owner knows it.
	WorkerView struct {
		ID         WorkerID
		Rack       string
		DataCentre DataCentre
		State      WorkerState
		Capacity   Resources
		// Assigned is the capacity of tasks and of grants.
		Assigned Resources
		Tasks    int
		// Epoch is the highest epoch that the worker has confirmed.
		Epoch Epoch
	}

	// TeamView is one team in the answering host's data centre.
	TeamView struct {
		Team   TeamName
		Weight int64
		Quota  Resources
		InUse  Resources
		// Share is the dominant share of the cell that is in use.
		Share float64
		// Queued counts the waiting jobs by kind, in document order.
		Queued []KindCount
		// OldestWait is the wait of the oldest waiting job.
		OldestWait time.Duration
		Revision   Revision
	}
)

// KindCount counts jobs of one kind.
type KindCount struct {
	Kind  KindName
	Count int
}

// WorkerState says whether a worker gets new work, and why not.
type WorkerState uint8

// The states of a worker.
const (
	// WorkerUnfenced has not confirmed the owner's epoch and is not used.
	WorkerUnfenced WorkerState = iota
	// WorkerReady gets new work.
	WorkerReady
	// WorkerLeaving is leaving by the platform's list or its own report.
	WorkerLeaving
	// WorkerSilent has not answered its last sync.
	WorkerSilent
	// WorkerSuspended is out of use after repeated failures.
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

// String returns the name used in the operators' views.
func (s WorkerState) String() string { return workerStateNames[s] }

// MarshalText encodes the state by name.
func (s WorkerState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a state name.
func (s *WorkerState) UnmarshalText(text []byte) error {
	i, err := indexOfName("worker state", workerStateNames[:], string(text))
	*s = WorkerState(i)
	return err
}
