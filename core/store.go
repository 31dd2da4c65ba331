package core

// LeaseID identifies a lease in the store.
type LeaseID string

// Epoch identifies a term of ownership of a data centre. A later owner has a
// higher epoch.
type Epoch uint64

// Purpose identifies the reason for a store operation.
type Purpose uint8

// Purposes of store operations.
const (
	PurposeOwnerRead Purpose = iota
	PurposeLeaseGrant
	PurposeLeaseKey
	PurposeOwnerSwap
	PurposeOwnerUpdate
	PurposeLeaseRenew
	PurposeLeaseRevoke
	PurposeJournalWrite
	PurposeJournalReadBack
	PurposeJournalLoad
	PurposeJournalOpen
	PurposeJournalDelete
	PurposeDocumentRead
	PurposeDocumentWrite
	PurposeDocumentReadBack
	PurposeDocumentList
	PurposeDocumentWatch
	PurposeDocumentHistory
	PurposeLeaseReadBack
)

var purposeNames = [...]string{
	"owner_read", "lease_grant", "lease_key", "owner_swap", "owner_update", "lease_renew", "lease_revoke",
	"journal_write", "journal_read_back", "journal_load", "journal_open", "journal_delete",
	"document_read", "document_write", "document_read_back", "document_list",
	"document_watch", "document_history", "lease_read_back",
}

// String returns the name used in metrics.
func (p Purpose) String() string { return purposeNames[p] }

// StoreOp identifies a store operation. Its result carries the same value.
type StoreOp struct {
	Purpose Purpose
	// Number is unique among the operations of one reducer.
	Number uint64
	Key    string
	// Sent is when the reducer emitted the operation.
	Sent Time
}

// StoreOutcome is the outcome of a store operation.
type StoreOutcome uint8

// Store outcomes.
const (
	StoreOK StoreOutcome = iota
	// StoreConflict means that a compare-and-swap found another revision.
	StoreConflict
	// StoreNotFound means that the key or lease does not exist.
	StoreNotFound
	// StoreNotSent means that the operation definitely had no effect.
	StoreNotSent
	// StoreInDoubt means that a write may or may not have taken effect.
	StoreInDoubt
	// StoreUnreadable means that a value has an unknown version or a wrong
	// checksum. The value is not modified.
	StoreUnreadable
)

// Value is a typed store value: OwnerRecord, LeaseRecord, JournalGroup or
// DocumentRecord.
type Value interface{ value() }

// StoreItem is a key with its decoded value.
type StoreItem struct {
	Key      string
	Value    Value
	Revision int64
}

// OwnerRecord identifies the host that owns a data centre's workers.
type OwnerRecord struct {
	Epoch       Epoch
	Host        HostID
	Incarnation uint64
	Address     string
	// Standby may take over with epoch StandbyEpoch while the store is
	// unreachable. The epochs of owners are multiples of 64, so that the
	// epoch of a standby is never reused.
	Standby      HostID
	StandbyEpoch Epoch
}

// LeaseRecord is the value of the owner's lease key.
type LeaseRecord struct {
	Host        HostID
	Incarnation uint64
}

// DocumentRecord is a document with its most recent earlier versions, newest
// first. The revision of Current is that of the store item.
type DocumentRecord struct {
	Current DocumentVersion
	History []DocumentVersion
}

func (OwnerRecord) value()    {}
func (LeaseRecord) value()    {}
func (JournalGroup) value()   {}
func (DocumentRecord) value() {}
