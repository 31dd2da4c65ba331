package core

import (
	"math/rand/v2"
	"time"
)

// Config holds the settings of a Reducer. The zero value of a duration is
// replaced by its default.
type Config struct {
	Host        HostID
	Address     string
	DataCentre  DataCentre
	Region      Region
	Incarnation uint64
	// Seed seeds the only source of random draws.
	Seed uint64
	// OwnerLease is the time to live of the owner's lease.
	OwnerLease time.Duration
	// TaskLease is how long a worker runs tasks on without a sync.
	TaskLease time.Duration
	// SyncWait is how long a worker may hold back the answer to a sync.
	SyncWait time.Duration
	// GrantFor is how long grants last without renewal.
	GrantFor time.Duration
	// JournalRate bounds the journal's writes per second in the long run.
	JournalRate float64
}

// Defaults of Config.
const (
	DefaultOwnerLease  = 6 * time.Second
	DefaultTaskLease   = 30 * time.Second
	DefaultSyncWait    = 10 * time.Second
	DefaultGrantFor    = 15 * time.Second
	DefaultJournalRate = 4.0
)

// TickPeriod is how often the caller posts Tick.
const TickPeriod = 100 * time.Millisecond

// withDefaults fills in the zero fields.
func (c Config) withDefaults() Config {
	setDefault(&c.OwnerLease, DefaultOwnerLease)
	setDefault(&c.TaskLease, DefaultTaskLease)
	setDefault(&c.SyncWait, DefaultSyncWait)
	setDefault(&c.GrantFor, DefaultGrantFor)
	setDefault(&c.JournalRate, DefaultJournalRate)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Reducer is the control state of one entry host. It is not safe for concurrent
// use: exactly one goroutine calls Step.
type Reducer struct {
	cfg     Config
	now     Time
	rng     *rand.Rand
	emitted []Effect
	lastOp  uint64

	docs         documents
	jobs         jobTable
	queues       queues
	fleet        fleet
	journal      journal
	owner        ownership
	peers        peers
	grants       grantTable
	retries      retryBudgets
	estimates    estimates
	reservations reservations
	deferred     deferredRequests
	gauges       gauges

	throttledTasks   []taskKey
	nextUnthrottle   Time
	nextBlockedHeads Time
	nextHeadroom     Time
	lastTick         Time

	// held lists durable assignments that wait for a certain lease.
	awaitingLease []TaskRef
	// resignal lists signals that did not arrive.
	failedSignals []SignalFailed

	nextServices  Time
	reportedReady bool
	draining      bool
	drainStarted  Time
	stopped       bool
	// dirty is set when placement may succeed that did not before.
	placementDirty bool
	// resuming is set while a Resume is outstanding.
	resumePending bool
}

// New returns a reducer that owns nothing and knows nothing.
func New(cfg Config) *Reducer {
	cfg = cfg.withDefaults()
	return &Reducer{
		cfg:          cfg,
		rng:          rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		docs:         newDocuments(),
		jobs:         newJobTable(),
		queues:       newQueues(),
		fleet:        newFleet(),
		journal:      newJournal(cfg.JournalRate),
		peers:        newPeers(),
		grants:       newGrantTable(),
		retries:      newRetryBudgets(),
		estimates:    newEstimates(),
		reservations: newReservations(),
		gauges:       newGauges(),
	}
}

// Step applies one event and returns what is to be done.
func (r *Reducer) Step(e Event) []Effect {
	r.now = max(r.now, e.At)
	r.emitted = nil
	r.dispatch(e.Body)
	r.schedule()
	r.flushJournal()
	return r.emitted
}

// apply dispatches on the type of the event.
func (r *Reducer) dispatch(body EventBody) {
	switch b := body.(type) {
	case Tick:
		r.tick()
	case Continue:
		r.resumePending, r.placementDirty = false, true
	case Submitted:
		r.onSubmitted(b)
	case CancelRequested:
		r.onCancelRequested(b)
	case StatusRequested:
		r.onStatusRequested(b)
	case ForwardFailed:
		r.onForwardFailed(b)
	case RequestAbandoned:
		r.jobs.abandon(b.Request)
		r.deferred.remove(b.Request)
	case ViewRequested:
		r.onViewRequested(b)
	case HistoryRequested:
		r.onHistoryRequested(b)
	case DrainRequested:
		r.onDrainRequested()
	case DocumentProposed:
		r.onDocumentProposed(b)
	case DocumentsRead:
		r.onDocumentsReceived(b)
	case StoreAnswered:
		r.onStoreResult(b)
	case HostsListed:
		r.onHostsListed(b)
	case WorkerSynced:
		r.onWorkerSynced(b)
	case WorkerFailed:
		r.onWorkerFailed(b)
	case StartAnswered:
		r.onStartAnswered(b)
	case SignalFailed:
		r.onSignalFailed(b)
	case CallsReported:
		r.onCallsReported(b)
	case PeerHeard:
		r.onPeerHeard(b.Heartbeat)
	case SummaryHeard:
		r.onSummaryHeard(b.Summary)
	}
}

// onStoreAnswered passes a store result to the part that asked.
func (r *Reducer) onStoreResult(a StoreAnswered) {
	r.owner.recordStoreOutcome(a.Outcome, r.now)
	switch a.Op.Purpose {
	case PurposeOwnerRead, PurposeLeaseGrant, PurposeLeaseKey, PurposeLeaseReadBack, PurposeOwnerSwap, PurposeOwnerUpdate,
		PurposeLeaseRenew, PurposeLeaseRevoke:
		r.onOwnershipResult(a)
	case PurposeJournalLoad, PurposeJournalOpen:
		r.onRecoveryResult(a)
	case PurposeJournalWrite, PurposeJournalReadBack, PurposeJournalDelete:
		r.onJournalResult(a)
	default:
		r.onDocumentResult(a)
	}
}

// tick drives everything that depends on time alone.
func (r *Reducer) tick() {
	r.detectPause()
	r.tickOwnership()
	r.tickPeers()
	r.tickDocuments()
	r.tickWorkers()
	r.tickJobs()
	r.tickServices()
	r.tickGrants()
	r.tickPreemption()
	r.tickRoom()
	r.tickHeadroom()
	r.tickDeferred()
	r.tickDrain()
	r.tickGauges()
}

// noticePause has grants renewed only after a new read of the host list when this
// process was paused.
func (r *Reducer) detectPause() {
	if r.lastTick != 0 && r.now.Sub(r.lastTick) > pauseNoticed {
		r.peers.nextList = r.now
		r.grants.next = r.now.Add(hostListInterval)
	}
	r.lastTick = r.now
}

// emit adds an effect to the result of the current step.
func (r *Reducer) emit(f Effect) { r.emitted = append(r.emitted, f) }

// op returns a new store operation.
func (r *Reducer) newStoreOp(p Purpose, key string) StoreOp {
	r.lastOp++
	return StoreOp{Purpose: p, Number: r.lastOp, Key: key, Sent: r.now}
}

// count adds one to a counter.
func (r *Reducer) count(m Metric, reason Reason, team TeamName, kind KindName) {
	r.emit(Count{Metric: m, Reason: reason, Team: team, Kind: kind, Add: 1})
}

// refuse answers a request with a refusal and counts it.
func (r *Reducer) refuse(id RequestID, ref *Refusal, team TeamName, kind KindName) {
	r.count(MetricRefusals, ref.Reason, team, kind)
	r.emit(Reply{Request: id, Refusal: ref})
}

// jitter returns a duration between d/2 and 3d/2.
func (r *Reducer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.rng.Int64N(int64(d)+1))
}
