package core

import "time"

// Effect is an action that the caller of the reducer must execute. It is
// implemented by the effect types of this package.
type Effect interface{ effect() }

// Effect types.
type (
	// Resume asks the caller to post a Continue event.
	Resume struct{}

	// Reply answers an open request. Exactly one of the result fields is set.
	Reply struct {
		Request RequestID
		Refusal *Refusal
		Status  *JobStatus
		Explain *Explanation
		View    any
		// Applied is the accepted version of a document.
		Applied *DocumentVersion
		// Conflict is the current version if an edit was based on another one.
		Conflict *DocumentVersion
		// History contains the versions of a document, newest first.
		History []DocumentVersion
	}
	// Forward sends an open request to another host.
	Forward struct {
		Request RequestID
		Host    HostID
		Address string
		// Verdict is what earlier attempts established about the request. The
		// verdict in ForwardFailed is at least as strong.
		Verdict Verdict
		// Moved is the job's ID if the request goes to the data centre that
		// the job was moved to, and Since is the arrival time of the request.
		// ForwardFailed returns both.
		Moved JobID
		Since Time
	}

	// GetValue reads a key from the store.
	GetValue struct {
		Op  StoreOp
		Key string
	}
	// ListValues reads all keys with the given prefix.
	ListValues struct {
		Op     StoreOp
		Prefix string
	}
	// PutValue writes a key if its current revision is IfRevision. Zero means
	// that the key must not exist. If Lease is set, the key is deleted when
	// the lease ends.
	PutValue struct {
		Op         StoreOp
		Key        string
		Value      Value
		IfRevision int64
		Lease      LeaseID
	}
	// DeleteValues deletes the given keys.
	DeleteValues struct {
		Op   StoreOp
		Keys []string
	}
	// GrantLease requests a lease from the store.
	GrantLease struct {
		Op         StoreOp
		TimeToLive time.Duration
	}
	// RenewLease extends a lease.
	RenewLease struct {
		Op    StoreOp
		Lease LeaseID
	}
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease struct {
		Op    StoreOp
		Lease LeaseID
	}
	// WatchValues blocks until a key with the prefix changes after revision
	// Since.
	WatchValues struct {
		Op     StoreOp
		Prefix string
		Since  int64
	}

	// ListHosts reads the platform's host list.
	ListHosts struct{}

	// SyncWorker fences a worker with an epoch, renews the leases of its
	// tasks and long-polls for changes after sequence number Since.
	SyncWorker struct {
		Worker  WorkerID
		Address string
		Epoch   Epoch
		Since   uint64
		// Lease is how long tasks may keep running without another sync.
		Lease time.Duration
		// Wait is the maximum duration of the long poll.
		Wait time.Duration
	}
	// StartTask starts one attempt of a task.
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
		// LatestStart is the time after which the worker must reject the start.
		LatestStart Time
		Checkpoint  string
	}
	// SignalTask stops, checkpoints, throttles or unthrottles a task.
	SignalTask struct {
		Worker  WorkerID
		Address string
		Epoch   Epoch
		Task    TaskRef
		Signal  Signal
	}

	// SetGrants replaces the grants of this host's traffic side.
	SetGrants struct {
		Version uint64
		Epoch   Epoch
		Grants  []Grant
		// Expires is when the grants end unless they are renewed.
		Expires Time
		// Elsewhere lists hosts of other data centres that can serve calls.
		// It is set only while this data centre has no usable worker.
		Elsewhere []string
		// Kinds contains the rules of the interactive kinds.
		Kinds []InteractiveKind
	}

	// SendHeartbeat sends a heartbeat to another host.
	SendHeartbeat struct {
		Address   string
		Heartbeat Heartbeat
	}
	// SendSummary sends a summary to the owner of another data centre.
	SendSummary struct {
		Address string
		Summary Summary
	}
	// SendDocuments sends accepted document versions to another host.
	SendDocuments struct {
		Address  string
		Versions []DocumentVersion
	}

	// Count increments a counter.
	Count struct {
		Metric Metric
		Reason Reason
		Team   TeamName
		Kind   KindName
		Add    int
	}
	// Gauge sets a gauge. It is emitted only when the value has changed.
	Gauge struct {
		Metric Metric
		Team   TeamName
		Kind   KindName
		// Resource is the name of a resource dimension, or empty.
		Resource string
		Value    float64
	}
	// Log writes a log line.
	Log struct {
		Level   LogLevel
		Message string
		Job     JobID
		Team    TeamName
		Worker  WorkerID
		Host    HostID
		Epoch   Epoch
		Reason  Reason
		// Revision is the revision of a document, or zero.
		Revision Revision
	}
	// Ready reports whether this host can serve requests.
	Ready struct{ Ready bool }
	// Stopped reports that the control state has completed a graceful
	// shutdown.
	Stopped struct{}
)

// Signal is a control request for a running task.
type Signal uint8

// Signals.
const (
	SignalStop Signal = iota
	SignalCheckpoint
	SignalThrottle
	SignalUnthrottle
)

var signalNames = [...]string{"stop", "checkpoint", "throttle", "unthrottle"}

// String returns the name used in the worker protocol.
func (s Signal) String() string { return signalNames[s] }

// MarshalText encodes s as its name.
func (s Signal) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a signal name.
func (s *Signal) UnmarshalText(text []byte) error {
	i, err := indexOfName("signal", signalNames[:], string(text))
	*s = Signal(i)
	return err
}

// Metric is the name of a metric family.
type Metric string

// Counters emitted by the reducer.
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

// Gauges emitted by the reducer.
const (
	MetricQueueAge         Metric = "banyanrun_queue_oldest_seconds"
	MetricFree             Metric = "banyanrun_free_capacity"
	MetricEpoch            Metric = "banyanrun_owner_epoch"
	MetricDocumentRevision Metric = "banyanrun_document_revision"
)

// LogLevel is the severity of a log line.
type LogLevel uint8

// Log levels.
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
