package core

import "time"

// Effect is one thing that the caller of the reducer carries out. It is one of
// the effect types of this package.
type Effect interface{ effect() }

// The effects.
type (
	// Resume asks the caller to post Continue.
	Resume struct{}

	// Reply answers an open request with exactly one of its fields.
	Reply struct {
		Request RequestID
		Refusal *Refusal
		Status  *JobStatus
		Explain *Explanation
		View    any
		// Applied is the revision of an accepted document.
		Applied *DocumentVersion
		// Conflict is the version in force when an edit lost a race.
		Conflict *DocumentVersion
		// History lists the versions of a document, newest first.
		History []DocumentVersion
	}
	// Forward passes an open request on to another host.
	Forward struct {
		Request RequestID
		Host    HostID
		Address string
		// Verdict is what is known of the request from before. ForwardFailed
		// carries back at least this.
		Verdict Verdict
		// Moved names the job if the request goes to the data centre that the
		// job was moved to, and Since is when the request came. ForwardFailed
		// carries both back.
		Moved JobID
		Since Time
	}

	// GetValue reads one key of the store.
	GetValue struct {
		Op  StoreOp
		Key string
	}
	// ListValues reads all keys with a prefix.
	ListValues struct {
		Op     StoreOp
		Prefix string
	}
	// PutValue writes a key if its revision is IfRevision; zero means that
	// the key must not exist. With a lease the key lasts as long as it.
	PutValue struct {
		Op         StoreOp
		Key        string
		Value      Value
		IfRevision int64
		Lease      LeaseID
	}
	// DeleteValues deletes keys.
	DeleteValues struct {
		Op   StoreOp
		Keys []string
	}
	// GrantLease asks the store for a lease.
	GrantLease struct {
		Op         StoreOp
		TimeToLive time.Duration
	}
	// RenewLease renews a lease.
	RenewLease struct {
		Op    StoreOp
		Lease LeaseID
	}
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease struct {
		Op    StoreOp
		Lease LeaseID
	}
	// WatchValues waits until a key with the prefix changes after Since.
	WatchValues struct {
		Op     StoreOp
		Prefix string
		Since  int64
	}

	// ListHosts reads the platform's list of hosts.
	ListHosts struct{}

	// SyncWorker fences a worker with an epoch, renews the leases of its
	// tasks and waits for news after Since.
	SyncWorker struct {
		Worker  WorkerID
		Address string
		Epoch   Epoch
		Since   uint64
		// Lease is how long tasks may run on without another sync.
		Lease time.Duration
		// Wait bounds the wait for news.
		Wait time.Duration
	}
	// StartTask starts one task.
	StartTask struct {
		Worker  WorkerID
		Address string
		Epoch   Epoch
		Task    TaskRef
		Team    TeamName
		Kind    KindName
		Request Resources
		Payload []byte
		Lease   time.Duration
		// LatestStart is when the worker must refuse the start.
		LatestStart Time
		Checkpoint  string
	}
	// SignalTask throttles, checkpoints, stops or releases one task.
	SignalTask struct {
		Worker  WorkerID
		Address string
		Epoch   Epoch
		Task    TaskRef
		Signal  Signal
	}

	// SetGrants replaces the grants of the traffic side of this host.
	SetGrants struct {
		Version uint64
		Epoch   Epoch
		Grants  []Grant
		// Expires is when the grants end unless they are renewed.
		Expires Time
		// Elsewhere lists hosts of other data centres that can serve calls. It
		// is set while this data centre has no usable worker.
		Elsewhere []string
		// Kinds gives the traffic side the rules of interactive kinds.
		Kinds []InteractiveKind
	}

	// SendHeartbeat sends a heartbeat to another host.
	SendHeartbeat struct {
		Address   string
		Heartbeat Heartbeat
	}
	// SendSummary sends a summary to another data centre's owner.
	SendSummary struct {
		Address string
		Summary Summary
	}
	// SendDocuments passes accepted documents on.
	SendDocuments struct {
		Address  string
		Versions []DocumentVersion
	}

	// Count adds to a counter.
	Count struct {
		Metric Metric
		Reason Reason
		Team   TeamName
		Kind   KindName
		Add    int
	}
	// Gauge sets a gauge. It is emitted when the value has changed.
	Gauge struct {
		Metric Metric
		Team   TeamName
		Kind   KindName
		// Resource names a dimension of Resources, or is empty.
		Resource string
		Value    float64
	}
	// Log writes one log line.
	Log struct {
		Level   LogLevel
		Message string
		Job     JobID
		Team    TeamName
		Worker  WorkerID
		Host    HostID
		Epoch   Epoch
		Reason  Reason
		// Revision is that of a document, or zero.
		Revision Revision
	}
	// Ready says whether this host can serve requests.
	Ready struct{ Ready bool }
	// Stopped says that a planned stop is complete as far as control state
	// is concerned.
	Stopped struct{}
)

// Signal is an act on a running task.
type Signal uint8

// The signals.
const (
	SignalStop Signal = iota
	SignalCheckpoint
	SignalThrottle
	SignalUnthrottle
)

var signalNames = [...]string{"stop", "checkpoint", "throttle", "unthrottle"}

// String returns the name used in the worker protocol.
func (s Signal) String() string { return signalNames[s] }

// MarshalText encodes the signal by name.
func (s Signal) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a signal name.
func (s *Signal) UnmarshalText(text []byte) error {
	i, err := indexOfName("signal", signalNames[:], string(text))
	*s = Signal(i)
	return err
}

// Metric names a counter family.
type Metric string

// The counter families that the reducer adds to.
const (
	MetricRefusals    Metric = "banyanrun_refusals_total"
	MetricRetries     Metric = "banyanrun_retries_total"
	MetricStarts      Metric = "banyanrun_starts_total"
	MetricFinished    Metric = "banyanrun_finished_total"
	MetricPreemptions Metric = "banyanrun_preemptions_total"
	MetricTakeovers   Metric = "banyanrun_takeovers_total"
	MetricDocuments   Metric = "banyanrun_documents_applied_total"
	MetricWorkerLost  Metric = "banyanrun_workers_lost_total"
	MetricJournal     Metric = "banyanrun_journal_groups_total"
	MetricForwarded   Metric = "banyanrun_forwarded_total"
	MetricLinkBytes   Metric = "banyanrun_region_link_bytes_total"
)

// The gauge families that the reducer sets.
const (
	MetricQueueAge         Metric = "banyanrun_queue_oldest_seconds"
	MetricFree             Metric = "banyanrun_free_capacity"
	MetricEpoch            Metric = "banyanrun_owner_epoch"
	MetricDocumentRevision Metric = "banyanrun_document_revision"
)

// LogLevel is the severity of a log line.
type LogLevel uint8

// The log levels.
const (
	LogInfo LogLevel = iota
	LogWarn
	LogError
)

func (Resume) effect()        {}
func (Reply) effect()         {}
func (Forward) effect()       {}
func (GetValue) effect()      {}
func (ListValues) effect()    {}
func (PutValue) effect()      {}
func (DeleteValues) effect()  {}
func (GrantLease) effect()    {}
func (RenewLease) effect()    {}
func (RevokeLease) effect()   {}
func (WatchValues) effect()   {}
func (ListHosts) effect()     {}
func (SyncWorker) effect()    {}
func (StartTask) effect()     {}
func (SignalTask) effect()    {}
func (SetGrants) effect()     {}
func (SendHeartbeat) effect() {}
func (SendSummary) effect()   {}
func (SendDocuments) effect() {}
func (Count) effect()         {}
func (Gauge) effect()         {}
func (Log) effect()           {}
func (Ready) effect()         {}
func (Stopped) effect()       {}
