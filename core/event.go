package core

import "time"

// Event is a timestamped input of the reducer.
type Event struct {
	At   Time
	Body EventBody
}

// EventBody is implemented by the event types of this package.
type EventBody interface{ eventBody() }

// RequestID identifies an open client request on this host. The effect that
// answers the request carries the same ID.
type RequestID uint64

// Event types.
type (
	// Tick is posted at a fixed interval and drives all timeouts.
	Tick struct{}

	// Continue resumes work that the previous step deferred, see Resume.
	Continue struct{}

	// Submitted submits a job.
	Submitted struct {
		Request RequestID
		Spec    JobSpec
		// Forwarded is set if another host forwarded the request. Such a
		// request is not forwarded again, except for a job that has been
		// moved to another data centre.
		Forwarded bool
	}
	// CancelRequested requests the cancellation of a job.
	CancelRequested struct {
		Request   RequestID
		Job       JobID
		Forwarded bool
		// Moved is set if another data centre moved the job here.
		Moved bool
	}
	// StatusRequested queries the status of a job. With Wait set, the reply is
	// sent when the job has finished.
	StatusRequested struct {
		Request   RequestID
		Job       JobID
		Wait      bool
		Explain   bool
		Forwarded bool
		// Moved is set if another data centre moved the job here.
		Moved bool
	}
	// ForwardFailed reports that the target host of a forwarded request did
	// not return a complete response.
	ForwardFailed struct {
		Request RequestID
		Verdict Verdict
		// Moved and Since are copied from the Forward effect.
		Moved JobID
		Since Time
	}
	// RequestAbandoned reports that the caller has stopped waiting.
	RequestAbandoned struct{ Request RequestID }
	// ViewRequested queries one of the operator views.
	ViewRequested struct {
		Request RequestID
		View    View
		// Team limits the view to one team unless it is empty.
		Team      TeamName
		Forwarded bool
	}
	// DrainRequested starts a graceful shutdown.
	DrainRequested struct{}

	// DocumentProposed is an operator's edit of a service document.
	DocumentProposed struct {
		Request  RequestID
		Document Document
		// Base is the revision that the edit is based on. Zero creates a new
		// document.
		Base   Revision
		Author string
	}
	// DocumentsRead delivers document versions from the store or a peer.
	DocumentsRead struct {
		Versions []DocumentVersion
		// From is the host that sent the versions, or empty.
		From HostID
	}
	// HistoryRequested queries the versions of a team's document.
	HistoryRequested struct {
		Request RequestID
		Team    TeamName
	}

	// StoreAnswered is the result of a store operation.
	StoreAnswered struct {
		Op       StoreOp
		Outcome  StoreOutcome
		Items    []StoreItem
		Revision int64
		Lease    LeaseID
	}

	// HostsListed is the platform's current list of workers and entry hosts.
	HostsListed struct {
		Workers []ListedWorker
		Hosts   []ListedHost
	}

	// WorkerSynced is a worker's response to SyncWorker.
	WorkerSynced struct {
		Worker      WorkerID
		Epoch       Epoch
		Incarnation uint64
		Sequence    uint64
		// Full is set if Tasks contains every task in the worker's ledger
		// instead of only the changes since the last sync.
		Full  bool
		Tasks []TaskReport
		// CallsInProgress counts the interactive calls in progress by kind.
		CallsInProgress []CallCount
		Leaving         bool
	}
	// WorkerFailed reports that a request to a worker failed.
	WorkerFailed struct {
		Worker  WorkerID
		Epoch   Epoch
		Refusal Refusal
		// HighestEpoch is the worker's epoch if it rejected the request's.
		HighestEpoch Epoch
	}
	// StartAnswered is the result of a StartTask effect.
	StartAnswered struct {
		Worker  WorkerID
		Epoch   Epoch
		Task    TaskRef
		Verdict Verdict
		Reason  Reason
		// Answered is set if the verdict comes from the worker. Otherwise
		// NotRun applies only to this copy of the start request.
		Answered bool
		// HighestEpoch is the worker's epoch if it rejected the request's.
		HighestEpoch Epoch
	}

	// SignalFailed reports that a signal was not delivered. It is resent.
	SignalFailed struct {
		Worker       WorkerID
		Epoch        Epoch
		Task         TaskRef
		Signal       Signal
		HighestEpoch Epoch
	}

	// CallsReported delivers the traffic side's usage of grants since the
	// previous report.
	CallsReported struct {
		// Version and Epoch identify the grants that were in effect when the
		// report was made.
		Version uint64
		Epoch   Epoch
		Calls   []CallReport
	}

	// PeerHeard delivers a heartbeat from another host of the data centre.
	PeerHeard struct{ Heartbeat Heartbeat }
	// SummaryHeard delivers a summary from the owner of another data centre.
	SummaryHeard struct{ Summary Summary }
)

// TaskReport is the worker's report on one task in its ledger.
type TaskReport struct {
	Task  TaskRef
	State ReportedState
	// Requested is the resource request of the start.
	Requested Resources
	// Used is the measured resource usage, which lags behind.
	Used       Resources
	RunTime    time.Duration
	Checkpoint string
	Result     []byte
	Throttled  bool
}

// ReportedState is the state of a task as reported by its worker.
type ReportedState uint8

// States reported by workers.
const (
	ReportedRunning ReportedState = iota
	ReportedSucceeded
	ReportedFailed
	// ReportedStopped means stopped on request or because its lease expired.
	ReportedStopped
	// ReportedCheckpointed means stopped after its progress was saved.
	ReportedCheckpointed
)

var reportedStateNames = [...]string{"running", "succeeded", "failed", "stopped", "checkpointed"}

// String returns the name used in the worker protocol.
func (s ReportedState) String() string { return reportedStateNames[s] }

// MarshalText encodes s as its name.
func (s ReportedState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a state name.
func (s *ReportedState) UnmarshalText(text []byte) error {
	i, err := indexOfName("reported state", reportedStateNames[:], string(text))
	*s = ReportedState(i)
	return err
}

// CallCount is the number of interactive calls of one kind that are in progress
// on a worker.
type CallCount struct {
	Team  TeamName
	Kind  KindName
	Count int
}

// CallReport aggregates the interactive calls of one kind on one worker since
// the previous report.
type CallReport struct {
	Team   TeamName
	Kind   KindName
	Worker WorkerID
	// InUse is the number of calls currently in progress.
	InUse    int
	Finished int
	Failed   int
	// Waiting is the number of requests waiting for a grant. It is reported
	// in an entry with an empty Worker.
	Waiting int
	// Latency is the total duration of the finished calls.
	Latency time.Duration
}

// ListedWorker is a worker in the platform's list.
type ListedWorker struct {
	ID         WorkerID
	Address    string
	Rack       string
	DataCentre DataCentre
	Region     Region
	Capacity   Resources
	Leaving    bool
}

// ListedHost is an entry host in the platform's list.
type ListedHost struct {
	ID         HostID
	Address    string
	DataCentre DataCentre
	Region     Region
	Leaving    bool
}

// View names an operator view.
type View string

// Operator views.
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
