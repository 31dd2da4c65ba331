package core

import "time"

// Event is one input of the reducer.
type Event struct {
	At   Time
	Body EventBody
}

// EventBody is one of the event types of this package.
type EventBody interface{ eventBody() }

// RequestID names an open request of a caller at this host. Effects that answer
// the request carry it back.
type RequestID uint64

// The events.
type (
	// Tick is posted at a fixed period and drives every timeout.
	Tick struct{}

	// Continue asks for the rest of work that the last step cut short.
	Continue struct{}

	// Submitted is a caller's job.
	Submitted struct {
		Request RequestID
		Spec    JobSpec
		// Forwarded is set when another host passed the request on. It is
		// then not passed on again, except for a job that has been moved to
		// another data centre.
		Forwarded bool
	}
	// CancelRequested asks to cancel a job.
	CancelRequested struct {
		Request   RequestID
		Job       JobID
		Forwarded bool
		// Moved is set when another data centre has moved the job here.
		Moved bool
	}
	// StatusRequested asks for a job's status; with Wait, for its final one.
	StatusRequested struct {
		Request   RequestID
		Job       JobID
		Wait      bool
		Explain   bool
		Forwarded bool
		// Moved is set when another data centre has moved the job here.
		Moved bool
	}
	// ForwardFailed says that the host a request was forwarded to gave no
	// whole answer.
	ForwardFailed struct {
		Request RequestID
		Verdict Verdict
		// Moved and Since are those of the Forward.
		Moved JobID
		Since Time
	}
	// RequestAbandoned says that a caller no longer waits.
	RequestAbandoned struct{ Request RequestID }
	// ViewRequested asks for one of the operators' views.
	ViewRequested struct {
		Request RequestID
		View    View
		// Team restricts the view, or is empty.
		Team      TeamName
		Forwarded bool
	}
	// DrainRequested begins a planned stop.
	DrainRequested struct{}

	// DocumentProposed is an operator's edit of a document.
	DocumentProposed struct {
		Request  RequestID
		Document Document
		// Base is the revision that the operator edited; zero creates.
		Base   Revision
		Author string
	}
	// DocumentsRead brings documents from the store or a peer.
	DocumentsRead struct {
		Versions []DocumentVersion
		// From is the host that sent them, or empty.
		From HostID
	}
	// HistoryRequested asks for the versions of a team's document.
	HistoryRequested struct {
		Request RequestID
		Team    TeamName
	}

	// StoreAnswered is the result of a store effect.
	StoreAnswered struct {
		Op       StoreOp
		Outcome  StoreOutcome
		Items    []StoreItem
		Revision int64
		Lease    LeaseID
	}

	// HostsListed is the platform's list of workers and entry hosts.
	HostsListed struct {
		Workers []ListedWorker
		Hosts   []ListedHost
	}

	// WorkerSynced is a worker's answer to SyncWorker.
	WorkerSynced struct {
		Worker      WorkerID
		Epoch       Epoch
		Incarnation uint64
		Sequence    uint64
		// Full is set when Tasks lists everything the worker has in its
		// ledger, and not just what changed.
		Full  bool
		Tasks []TaskReport
		// CallsInProgress are interactive calls by kind.
		CallsInProgress []CallCount
		Leaving         bool
	}
	// WorkerFailed says that a request to a worker did not succeed.
	WorkerFailed struct {
		Worker  WorkerID
		Epoch   Epoch
		Refusal Refusal
		// HighestEpoch is the worker's epoch if it refused ours.
		HighestEpoch Epoch
	}
	// StartAnswered is the result of StartTask.
	StartAnswered struct {
		Worker  WorkerID
		Epoch   Epoch
		Task    TaskRef
		Verdict Verdict
		Reason  Reason
		// Answered is set when the worker itself said so. Without it, NotRun
		// speaks only of this copy of the start.
		Answered bool
		// HighestEpoch is the worker's epoch if it refused ours.
		HighestEpoch Epoch
	}

	// SignalFailed says that a signal did not arrive. It is sent again.
	SignalFailed struct {
		Worker       WorkerID
		Epoch        Epoch
		Task         TaskRef
		Signal       Signal
		HighestEpoch Epoch
	}

	// CallsReported brings the traffic side's use of grants since the last
	// report.
	CallsReported struct {
		// Version and Epoch are those of the grants in force when the report
		// was made.
		Version uint64
		Epoch   Epoch
		Calls   []CallReport
	}

	// PeerHeard is a heartbeat of another host of the data centre.
	PeerHeard struct{ Heartbeat Heartbeat }
	// SummaryHeard is the summary of another data centre's owner.
	SummaryHeard struct{ Summary Summary }
)

// TaskReport is what a worker says about one task in its ledger.
type TaskReport struct {
	Task  TaskRef
	State ReportedState
	// Requested is what the start asked for.
	Requested Resources
	// Used is measured use. It lags.
	Used       Resources
	RunTime    time.Duration
	Checkpoint string
	Result     []byte
	Throttled  bool
}

// ReportedState is the state of a task at its worker.
type ReportedState uint8

// The states that a worker reports.
const (
	ReportedRunning ReportedState = iota
	ReportedSucceeded
	ReportedFailed
	// ReportedStopped was stopped on request, or when its lease lapsed.
	ReportedStopped
	// ReportedCheckpointed was stopped after saving its progress.
	ReportedCheckpointed
)

var reportedStateNames = [...]string{"running", "succeeded", "failed", "stopped", "checkpointed"}

// String returns the name used in the worker protocol.
func (s ReportedState) String() string { return reportedStateNames[s] }

// MarshalText encodes the state by name.
func (s ReportedState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a state name.
func (s *ReportedState) UnmarshalText(text []byte) error {
	i, err := indexOfName("reported state", reportedStateNames[:], string(text))
	*s = ReportedState(i)
	return err
}

// CallCount counts interactive calls in progress at a worker.
type CallCount struct {
	Team  TeamName
	Kind  KindName
	Count int
}

// CallReport sums the interactive calls of one kind at one worker since the last
// report.
type CallReport struct {
	Team   TeamName
	Kind   KindName
	Worker WorkerID
	// InUse is the number of calls in progress now.
	InUse    int
	Finished int
	Failed   int
	// Waiting is the number of requests that wait for a grant; it is
	// reported with an empty Worker.
	Waiting int
	// Latency is the sum of the finished calls' times.
	Latency time.Duration
}

// ListedWorker is one worker in the platform's list.
type ListedWorker struct {
	ID         WorkerID
	Address    string
	Rack       string
	DataCentre DataCentre
	Region     Region
	Capacity   Resources
	Leaving    bool
}

// ListedHost is one entry host in the platform's list.
type ListedHost struct {
	ID         HostID
	Address    string
	DataCentre DataCentre
	Region     Region
	Leaving    bool
}

// View names one of the operators' views.
type View string

// The operators' views.
const (
	ViewHosts     View = "hosts"
	ViewWorkers   View = "workers"
	ViewTeams     View = "teams"
	ViewDocuments View = "documents"
)

func (Tick) eventBody()             {}
func (Continue) eventBody()         {}
func (Submitted) eventBody()        {}
func (CancelRequested) eventBody()  {}
func (StatusRequested) eventBody()  {}
func (RequestAbandoned) eventBody() {}
func (ForwardFailed) eventBody()    {}
func (ViewRequested) eventBody()    {}
func (DrainRequested) eventBody()   {}
func (DocumentProposed) eventBody() {}
func (DocumentsRead) eventBody()    {}
func (HistoryRequested) eventBody() {}
func (StoreAnswered) eventBody()    {}
func (HostsListed) eventBody()      {}
func (WorkerSynced) eventBody()     {}
func (WorkerFailed) eventBody()     {}
func (StartAnswered) eventBody()    {}
func (SignalFailed) eventBody()     {}
func (CallsReported) eventBody()    {}
func (PeerHeard) eventBody()        {}
func (SummaryHeard) eventBody()     {}
