package core

import "time"

const (
	// documentListInterval is how often each host reads all documents from the
	// store.
	documentListInterval = 30 * time.Second
	// documentListRetryDelay is the base delay after a failed read.
	documentListRetryDelay = time.Second
	// documentWatchRetryDelay is the base delay after a failed watch.
	documentWatchRetryDelay = 500 * time.Millisecond
	// peerDocumentsTimeout is how long a host that hears no peer waits for
	// their documents before it relies on the store alone.
	peerDocumentsTimeout = 3 * time.Second
	// maxRecentVersions limits the versions kept for hosts whose digest differs.
	maxRecentVersions = 64
	// maxHistoryVersions is the number of earlier versions stored with a
	// document.
	maxHistoryVersions = 16
	// maxHistoryBytes limits the total size of a document and its history. The
	// base64 encoding of that size stays below the store's limit of 1 MiB.
	maxHistoryBytes = 700 << 10
	// documentPrefix is the key prefix of documents.
	documentPrefix = "documents/"
)

// documentRequest is a pending edit of a document or query of its history.
type documentRequest struct {
	request      RequestID
	proposed     DocumentVersion
	baseRevision Revision
	// history is set for a query of a document's versions.
	history bool
}

func documentKey(t TeamName) string { return documentPrefix + string(t) }

// tickDocuments lists and watches the documents in the store. Only the owner
// watches, so there is one pending watch per data centre for any number of hosts.
func (r *Reducer) tickDocuments() {
	d := &r.docs
	if d.startedAt == 0 {
		d.startedAt = r.now
	}
	if r.now >= d.nextList {
		d.nextList = r.now.Add(r.jitter(documentListInterval))
		r.emit(ListValues{Op: r.newStoreOp(PurposeDocumentList, documentPrefix), Prefix: documentPrefix})
	}
	if r.owner.role == roleOwner && !d.watching && d.listed && r.now >= d.nextWatch {
		d.watching = true
		r.emit(WatchValues{
			Op: r.newStoreOp(PurposeDocumentWatch, documentPrefix), Prefix: documentPrefix, Since: d.watchRevision,
		})
	}
	if !d.confirmed && d.listed && r.now.Sub(d.startedAt) > peerDocumentsTimeout && r.now.Sub(r.peers.lastHeard) > peerDocumentsTimeout {
		d.confirmed = true
	}
}

// ready reports whether this host's documents are known to be at least as recent
// as those of its peers.
func (r *Reducer) ready() bool { return r.docs.listed && r.docs.confirmed }

// onDocumentResult handles the results of store operations on documents.
func (r *Reducer) onDocumentResult(a StoreAnswered) {
	d := &r.docs
	switch a.Op.Purpose {
	case PurposeDocumentList:
		if a.Outcome != StoreOK && a.Outcome != StoreNotFound {
			d.nextList = min(d.nextList, r.now.Add(r.jitter(documentListRetryDelay)))
			return
		}
		r.applyItems(a.Items)
		d.watchRevision = max(d.watchRevision, a.Revision)
		d.listed = true
	case PurposeDocumentWatch:
		d.watching = false
		if a.Outcome != StoreOK {
			d.nextWatch = r.now.Add(r.jitter(documentWatchRetryDelay))
			return
		}
		r.applyItems(a.Items)
		d.watchRevision = max(d.watchRevision, a.Revision)
	default:
		r.onDocumentRequestResult(a)
	}
}

// applyItems applies the documents in a store response.
func (r *Reducer) applyItems(items []StoreItem) {
	var versions []DocumentVersion
	for _, item := range items {
		if rec, ok := item.Value.(DocumentRecord); ok {
			v := rec.Current
			v.Revision = Revision(item.Revision)
			versions = append(versions, v)
		}
	}
	r.applyVersions(versions)
}

// applyVersions applies newer versions. The owner also sends them to the other
// hosts of the data centre.
func (r *Reducer) applyVersions(versions []DocumentVersion) {
	var applied []DocumentVersion
	for _, v := range versions {
		if !r.docs.apply(v) {
			continue
		}
		applied = append(applied, v)
		r.count(MetricDocuments, "", v.Document.Team, "")
		r.emit(Log{Level: LogInfo, Message: "document in force", Team: v.Document.Team, Revision: v.Revision})
	}
	if len(applied) == 0 {
		return
	}
	r.onKindsChanged()
	r.announceKinds()
	r.docs.recent = append(r.docs.recent, applied...)
	if n := len(r.docs.recent); n > maxRecentVersions {
		r.docs.recent = append([]DocumentVersion(nil), r.docs.recent[n-maxRecentVersions:]...)
	}
	if r.owner.active() {
		r.sendToPeers(applied)
	}
}

// sendToPeers sends versions to the other hosts of the data centre.
func (r *Reducer) sendToPeers(versions []DocumentVersion) {
	for _, p := range r.peers.list {
		r.emit(SendDocuments{Address: p.host.Address, Versions: versions})
	}
}

// onDocumentsReceived applies the documents that a peer sent.
func (r *Reducer) onDocumentsReceived(d DocumentsRead) {
	r.applyVersions(d.Versions)
	if r.peers.get(d.From) != nil {
		r.docs.confirmed = true
	}
}

// exchangeDocuments sends all documents to a peer that requests them, and recent
// versions to a peer whose digest differs.
func (r *Reducer) exchangeDocuments(p *peer, hb *Heartbeat) {
	switch {
	case hb.NeedDocuments && r.docs.listed:
		r.emit(SendDocuments{Address: p.host.Address, Versions: r.docs.versions()})
	case r.owner.active() && hb.DocumentDigest != r.docs.digest() && len(r.docs.recent) > 0:
		r.emit(SendDocuments{Address: p.host.Address, Versions: r.docs.recent})
	}
}

// onDocumentProposed starts an edit by reading the current document and its
// history from the store.
func (r *Reducer) onDocumentProposed(p DocumentProposed) {
	req := &documentRequest{
		request: p.Request, baseRevision: p.Base,
		proposed: DocumentVersion{Document: p.Document, Author: p.Author, Time: r.now},
	}
	r.startDocumentRequest(req, PurposeDocumentRead, p.Document.Team)
}

// onHistoryRequested reads the versions of a document.
func (r *Reducer) onHistoryRequested(h HistoryRequested) {
	r.startDocumentRequest(&documentRequest{request: h.Request, history: true}, PurposeDocumentHistory, h.Team)
}

func (r *Reducer) startDocumentRequest(req *documentRequest, p Purpose, t TeamName) {
	op := r.newStoreOp(p, documentKey(t))
	r.docs.pendingRequests[op.Number] = req
	r.emit(GetValue{Op: op, Key: op.Key})
}

// onDocumentRequestResult advances a pending edit or answers a query.
func (r *Reducer) onDocumentRequestResult(a StoreAnswered) {
	req := r.docs.pendingRequests[a.Op.Number]
	delete(r.docs.pendingRequests, a.Op.Number)
	if req == nil {
		return
	}
	switch a.Op.Purpose {
	case PurposeDocumentHistory:
		r.answerHistory(req, a)
	case PurposeDocumentRead:
		r.writeEdit(req, a)
	case PurposeDocumentWrite:
		r.onEditWritten(req, a)
	case PurposeDocumentReadBack:
		r.onEditReadBack(req, a)
	}
}

// currentRecord returns the document record in a store response, if any, with its
// revision set.
func currentRecord(a StoreAnswered) (DocumentRecord, bool) {
	if a.Outcome != StoreOK || len(a.Items) == 0 {
		return DocumentRecord{}, false
	}
	rec, ok := a.Items[0].Value.(DocumentRecord)
	rec.Current.Revision = Revision(a.Items[0].Revision)
	return rec, ok
}

// answerHistory replies with the versions, newest first.
func (r *Reducer) answerHistory(req *documentRequest, a StoreAnswered) {
	rec, ok := currentRecord(a)
	if !ok {
		r.refuse(req.request, storeRefusal(a.Outcome, "the document"), "", "")
		return
	}
	r.emit(Reply{Request: req.request, History: append([]DocumentVersion{rec.Current}, rec.History...)})
}

// storeRefusal returns the refusal for a store operation that returned no value.
func storeRefusal(o StoreOutcome, subject string) *Refusal {
	if o == StoreNotFound {
		return refuse(ReasonUnknownTeam, "%s does not exist", subject)
	}
	ref := refuse(ReasonStoreUnavailable, "the store cannot be reached")
	ref.RetryAfter = time.Second
	return ref
}

// writeEdit writes the edit if it is based on the revision in the store.
func (r *Reducer) writeEdit(req *documentRequest, a StoreAnswered) {
	if a.Outcome != StoreOK && a.Outcome != StoreNotFound {
		r.refuse(req.request, storeRefusal(a.Outcome, "the document"), req.proposed.Document.Team, "")
		return
	}
	rec, _ := currentRecord(a)
	if rec.Current.Revision != req.baseRevision {
		r.answerConflict(req, rec)
		return
	}
	next := DocumentRecord{Current: req.proposed}
	if req.baseRevision != 0 {
		next.History = append([]DocumentVersion{rec.Current}, rec.History...)
	}
	next.History = trimHistory(&next.Current, next.History)
	op := r.newStoreOp(PurposeDocumentWrite, a.Op.Key)
	r.docs.pendingRequests[op.Number] = req
	r.emit(PutValue{Op: op, Key: op.Key, Value: next, IfRevision: int64(req.baseRevision)})
}

// trimHistory returns as many versions as fit into one value of the store.
func trimHistory(current *DocumentVersion, history []DocumentVersion) []DocumentVersion {
	bytes := current.Document.size()
	for i := range history {
		bytes += history[i].Document.size()
		if i == maxHistoryVersions || bytes > maxHistoryBytes {
			return history[:i]
		}
	}
	return history
}

// size estimates the encoded size of a document.
func (d *Document) size() int {
	const base, perKind, perService = 500, 800, 300
	n := base + perKind*len(d.Kinds) + perService*len(d.Services)
	for i := range d.Services {
		n += 2*len(d.Services[i].Payload) + 32*len(d.Services[i].DataCentres)
	}
	return n
}

// onEditWritten replies to the operator, or reads the document back if the outcome
// of the write is unknown.
func (r *Reducer) onEditWritten(req *documentRequest, a StoreAnswered) {
	switch a.Outcome {
	case StoreOK:
		r.onEditAccepted(req, Revision(a.Revision))
	case StoreNotSent:
		r.refuse(req.request, storeRefusal(a.Outcome, ""), req.proposed.Document.Team, "")
	default:
		op := r.newStoreOp(PurposeDocumentReadBack, a.Op.Key)
		r.docs.pendingRequests[op.Number] = req
		r.emit(GetValue{Op: op, Key: op.Key})
	}
}

// onEditReadBack compares the document in the store with the edit.
func (r *Reducer) onEditReadBack(req *documentRequest, a StoreAnswered) {
	rec, ok := currentRecord(a)
	switch {
	case ok && rec.Current.Author == req.proposed.Author && rec.Current.Time == req.proposed.Time:
		r.onEditAccepted(req, rec.Current.Revision)
	case ok && rec.Current.Revision != req.baseRevision:
		r.answerConflict(req, rec)
	default:
		ref := storeRefusal(StoreInDoubt, "")
		ref.Verdict = MayHaveRun
		ref.Message = "it is not known whether the edit was accepted; read the document again"
		r.refuse(req.request, ref, req.proposed.Document.Team, "")
	}
}

// onEditAccepted applies an accepted edit and sends it to the other hosts
// immediately, without waiting for their watches.
func (r *Reducer) onEditAccepted(req *documentRequest, rev Revision) {
	v := req.proposed
	v.Revision = rev
	active := r.owner.active()
	r.applyVersions([]DocumentVersion{v})
	if !active {
		r.sendToPeers([]DocumentVersion{v})
	}
	for _, m := range r.peers.remoteOwners {
		r.emit(SendDocuments{Address: m.summary.Address, Versions: []DocumentVersion{v}})
	}
	r.emit(Reply{Request: req.request, Applied: &v})
}

// answerConflict replies with the version that the store contains.
func (r *Reducer) answerConflict(req *documentRequest, rec DocumentRecord) {
	r.count(MetricRefusals, ReasonConflict, req.proposed.Document.Team, "")
	current := rec.Current
	r.emit(Reply{Request: req.request, Conflict: &current})
}
