package core

import (
	"math/rand/v2"
	"time"
)

// Config contains the settings of a Reducer. Zero durations and a zero
// JournalRate are replaced by their defaults.
type Config struct {
	Host        HostID
	Address     string
	DataCentre  DataCentre
	Region      Region
	Incarnation uint64
	// Seed initialises the reducer's random number generator.
	Seed uint64
	// OwnerLease is the time to live of the owner's lease in the store.
	OwnerLease time.Duration
	// TaskLease is how long a worker keeps tasks running without a sync.
	TaskLease time.Duration
	// SyncWait is the maximum duration of a worker's long poll.
	SyncWait time.Duration
	// GrantFor is how long grants are valid without renewal.
	GrantFor time.Duration
	// JournalRate limits the average number of journal writes per second.
	JournalRate float64
}

// Default values of Config.
const (
	DefaultOwnerLease  = 6 * time.Second
	DefaultTaskLease   = 30 * time.Second
	DefaultSyncWait    = 10 * time.Second
	DefaultGrantFor    = 15 * time.Second
	DefaultJournalRate = 4.0
)

// TickPeriod is the interval at which the caller posts Tick events.
const TickPeriod = 100 * time.Millisecond

// withDefaults replaces zero fields by their defaults.
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
// use; a single goroutine must make all calls to Step.
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

	// awaitingLease contains assignments that are durable but cannot be started
	// until the owner's lease is known to be valid.
	awaitingLease []TaskRef
	// failedSignals contains undelivered signals that must be resent.
	failedSignals []SignalFailed

	nextServices  Time
	reportedReady bool
	draining      bool
	drainStarted  Time
	stopped       bool
	// placementDirty is set if jobs that could not be placed before may now fit.
	placementDirty bool
	// resumePending is set while a Resume effect is outstanding.
	resumePending bool
}

// New returns a reducer in the follower role without any state.
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

// Step applies one event and returns the effects to execute.
func (r *Reducer) Step(e Event) []Effect {
	r.now = max(r.now, e.At)
	r.emitted = nil
	r.dispatch(e.Body)
	r.schedule()
	r.flushJournal()
	return r.emitted
}

// dispatch calls the handler for the type of the event.
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
		r.jobs.abandonRequest(b.Request)
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

// onStoreResult routes the result of a store operation by its purpose.
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

// tick runs all time-driven work.
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
	r.tickBlockedHeads()
	r.tickHeadroom()
	r.tickDeferred()
	r.tickDrain()
	r.tickGauges()
}

// detectPause handles a gap between two ticks, which means that the process was
// paused: the host list is read again before any grants are renewed.
func (r *Reducer) detectPause() {
	if r.lastTick != 0 && r.now.Sub(r.lastTick) > pauseThreshold {
		r.peers.nextList = r.now
		r.grants.nextAt = r.now.Add(hostListInterval)
	}
	r.lastTick = r.now
}

// emit appends an effect to the result of the current step.
func (r *Reducer) emit(f Effect) { r.emitted = append(r.emitted, f) }

// newStoreOp returns the identifier of a new store operation.
func (r *Reducer) newStoreOp(p Purpose, key string) StoreOp {
	r.lastOp++
	return StoreOp{Purpose: p, Number: r.lastOp, Key: key, Sent: r.now}
}

// count increments a counter by one.
func (r *Reducer) count(m Metric, reason Reason, team TeamName, kind KindName) {
	r.emit(Count{Metric: m, Reason: reason, Team: team, Kind: kind, Add: 1})
}

// refuse answers a request with a refusal and counts it.
func (r *Reducer) refuse(id RequestID, ref *Refusal, team TeamName, kind KindName) {
	r.count(MetricRefusals, ref.Reason, team, kind)
	r.emit(Reply{Request: id, Refusal: ref})
}

// jitter returns a random duration between d/2 and 3d/2.
func (r *Reducer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.rng.Int64N(int64(d)+1))
}
