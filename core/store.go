package core

// LeaseID names a lease of the platform's store.
type LeaseID string

// Epoch orders the owners of a data centre. It only grows.
type Epoch uint64

// Purpose tells the reducer what a store operation was for.
type Purpose uint8

// The purposes of store operations.
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

// StoreOp identifies one store operation in its result.
type StoreOp struct {
	Purpose Purpose
	// Number is unique within one run of the reducer.
	Number uint64
	Key    string
	// Sent is when the reducer asked for the operation.
	Sent Time
}

// StoreOutcome says what is known about a store operation.
type StoreOutcome uint8

// The outcomes of store operations.
const (
	StoreOK StoreOutcome = iota
	// StoreConflict means that the compare-and-swap did not apply.
	StoreConflict
	// StoreNotFound means that the key or lease does not exist.
	StoreNotFound
	// StoreNotSent means that the operation surely took no effect.
	StoreNotSent
	// StoreInDoubt means that a write may or may not have taken effect.
	StoreInDoubt
	// StoreUnreadable means that a value has an unknown version or a wrong
	// checksum. It is left untouched.
	StoreUnreadable
)

// Value is a typed value of the store: OwnerRecord, LeaseRecord, JournalGroup or
// DocumentRecord.
type Value interface{ value() }

// StoreItem is one key with its decoded value.
type StoreItem struct {
	Key      string
	Value    Value
	Revision int64
}

// OwnerRecord says which host owns a data centre's workers.
type OwnerRecord struct {
	Epoch       Epoch
	Host        HostID
	Incarnation uint64
	Address     string
	// Standby may take over at epoch StandbyEpoch while the store cannot be
	// reached. The store's own changes step by 64, so that the epoch of a
	// standby is never given out twice.
	Standby      HostID
	StandbyEpoch Epoch
}

// LeaseRecord is the value of the owner's lease key.
type LeaseRecord struct {
	Host        HostID
	Incarnation uint64
}

// DocumentRecord is a document with its latest earlier versions, newest first.
// The revision of Current is that of the store item that holds the record.
type DocumentRecord struct {
	Current DocumentVersion
	History []DocumentVersion
}

func (OwnerRecord) value()    {}
func (LeaseRecord) value()    {}
func (JournalGroup) value()   {}
func (DocumentRecord) value() {}
