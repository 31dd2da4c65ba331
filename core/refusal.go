package core

import (
	"fmt"
	"time"
)

// Reason is the machine-readable cause of a refusal or a retry. It is also used as
// a metric label.
type Reason string

// Reasons for refusing a request or ending a job without success.
const (
	ReasonUnknownTeam      Reason = "unknown_team"
	ReasonUnknownKind      Reason = "unknown_kind"
	ReasonUnknownJob       Reason = "unknown_job"
	ReasonInvalid          Reason = "invalid_request"
	ReasonTooLarge         Reason = "too_large"
	ReasonDuplicateID      Reason = "duplicate_id"
	ReasonNeverFits        Reason = "never_fits"
	ReasonOverQuota        Reason = "over_quota"
	ReasonQueueFull        Reason = "queue_full"
	ReasonShed             Reason = "shed"
	ReasonStartDeadline    Reason = "start_deadline"
	ReasonDeadline         Reason = "deadline"
	ReasonNoCapacity       Reason = "no_capacity"
	ReasonNoOwner          Reason = "no_owner"
	ReasonStoreUnavailable Reason = "store_unavailable"
	ReasonStaleEpoch       Reason = "stale_epoch"
	ReasonConflict         Reason = "revision_conflict"
	ReasonForbidden        Reason = "forbidden"
	ReasonDraining         Reason = "draining"
	ReasonCancelled        Reason = "cancelled"
	ReasonAttempts         Reason = "attempts_exhausted"
	ReasonJobFault         Reason = "job_fault"
	ReasonWorkerLost       Reason = "worker_lost"
	ReasonRetryBudget      Reason = "retry_budget"
	ReasonUpstream         Reason = "upstream_failed"
	ReasonPeer             Reason = "peer_failed"
	ReasonPreempted        Reason = "preempted"
	ReasonInternal         Reason = "internal"
	ReasonUnknownPath      Reason = "unknown_path"
	ReasonUnknownMethod    Reason = "unknown_method"
	ReasonMemory           Reason = "memory"
)

// Refusal is the error returned to a caller whose request was not carried out. The
// verdict is NotRun only if it is certain that the request has not run.
type Refusal struct {
	Reason     Reason
	Verdict    Verdict
	Message    string
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Verdict, r.Message)
}

// refuse returns a Refusal with verdict NotRun.
func refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Verdict: NotRun, Message: fmt.Sprintf(format, args...)}
}
