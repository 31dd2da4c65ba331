package wire

import (
	"time"

	"banyanrun.example/banyanrun/core"
)

// Heartbeat is the JSON form of core.Heartbeat. Hosts exchange heartbeats every
// second, so zero fields are omitted to keep them small.
type Heartbeat struct {
	From           core.HostID       `json:"from"`
	Address        string            `json:"address,omitempty"`
	Incarnation    uint64            `json:"incarnation,omitempty"`
	Owner          bool              `json:"owner,omitempty"`
	Epoch          core.Epoch        `json:"epoch,omitempty"`
	Acknowledged   uint64            `json:"acknowledged,omitempty"`
	AckEpoch       core.Epoch        `json:"ack_epoch,omitempty"`
	HighestEpoch   core.Epoch        `json:"highest_epoch,omitempty"`
	GrantVersion   uint64            `json:"grant_version,omitempty"`
	Grants         []core.Grant      `json:"grants,omitempty"`
	GrantsWhole    bool              `json:"grants_whole,omitempty"`
	GrantFor       time.Duration     `json:"grant_for_ns,omitempty"`
	Elsewhere      []string          `json:"elsewhere,omitempty"`
	Calls          []core.CallReport `json:"calls,omitempty"`
	DocumentDigest uint64            `json:"document_digest,omitempty"`
	NeedDocuments  bool              `json:"need_documents,omitempty"`
	Standby        core.HostID       `json:"standby,omitempty"`
	StandbyEpoch   core.Epoch        `json:"standby_epoch,omitempty"`
	Draining       bool              `json:"draining,omitempty"`
}
