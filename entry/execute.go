package entry

import (
	"context"
	"fmt"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/storeclient"
	"banyanrun.example/banyanrun/upstream"
	"banyanrun.example/banyanrun/wire"
)

// watchTimeout bounds one long poll of the store for changed documents.
const watchTimeout = 30 * time.Second

// executeImmediate executes an effect that needs no I/O, and returns false for
// any other effect. It runs on the control goroutine and never blocks.
func (d *Daemon) executeImmediate(f core.Effect) bool {
	switch f := f.(type) {
	case core.Reply:
		d.pending.deliver(f.Request, f)
	case core.Forward:
		d.pending.deliver(f.Request, f)
	case core.SetGrants:
		d.grants.Set(f)
	case core.Count:
		d.addToCounter(f)
	case core.Gauge:
		d.setGauge(f)
	case core.Log:
		d.writeLog(f)
	case core.Ready:
		d.ready.Store(f.Ready)
	case core.Stopped:
		if d.stoppedClosed.CompareAndSwap(false, true) {
			close(d.stopped)
		}
	default:
		return false
	}
	return true
}

// execute executes an effect that may block.
func (d *Daemon) execute(ctx context.Context, f core.Effect) {
	switch f := f.(type) {
	case core.Resume:
		d.post(ctx, core.Continue{})
	case core.ListHosts:
		d.listHosts(ctx)
	case core.SyncWorker:
		d.syncWorker(ctx, f)
	case core.StartTask:
		d.startTask(ctx, f)
	case core.SignalTask:
		d.signalTask(ctx, f)
	case core.SendHeartbeat:
		d.sendPeer(ctx, f.Address, pathHeartbeat, wire.Heartbeat(f.Heartbeat))
	case core.SendSummary:
		d.sendPeer(ctx, f.Address, pathSummary, f.Summary)
	case core.SendDocuments:
		d.sendPeer(ctx, f.Address, pathDocuments, core.DocumentsRead{
			Versions: f.Versions, From: core.HostID(d.settings.Host),
		})
	default:
		d.executeStore(ctx, f)
	}
}

// executeStore executes one store operation and posts its result.
func (d *Daemon) executeStore(ctx context.Context, f core.Effect) {
	switch f := f.(type) {
	case core.GetValue:
		d.postStoreResult(ctx, f.Op, d.store.Get(ctx, f.Key))
	case core.ListValues:
		d.postStoreResult(ctx, f.Op, d.store.List(ctx, f.Prefix))
	case core.WatchValues:
		d.postStoreResult(ctx, f.Op, d.store.Watch(ctx, f.Prefix, f.Since, watchTimeout))
	case core.DeleteValues:
		d.postStoreResult(ctx, f.Op, d.store.Delete(ctx, f.Keys))
	case core.PutValue:
		d.putValue(ctx, f)
	case core.GrantLease:
		d.postLeaseResult(ctx, f.Op, d.store.GrantLease(ctx, f.TimeToLive))
	case core.RenewLease:
		d.postLeaseResult(ctx, f.Op, d.store.RenewLease(ctx, f.Lease))
	case core.RevokeLease:
		d.postLeaseResult(ctx, f.Op, d.store.RevokeLease(ctx, f.Lease))
	default:
		d.log.Error().Type("effect", f).Msg("no executor for this type of effect")
	}
}

// putValue encodes a value and writes it to the store.
func (d *Daemon) putValue(ctx context.Context, f core.PutValue) {
	data, err := wire.EncodeValue(f.Value)
	if err != nil {
		d.logFailure("cannot encode value for the store", err, "key", f.Key)
		d.postStoreResult(ctx, f.Op, storeclient.Result{Outcome: core.StoreNotSent, Err: err})
		return
	}
	d.postStoreResult(ctx, f.Op, d.store.Put(ctx, storeclient.Write{
		Key: f.Key, Value: data, IfRevision: f.IfRevision, Lease: f.Lease,
	}))
}

// postStoreResult decodes the result of a store operation and posts it. Values
// that cannot be decoded are counted and left out; unless they are documents, the
// result as a whole is reported as unreadable.
func (d *Daemon) postStoreResult(ctx context.Context, op core.StoreOp, res storeclient.Result) {
	d.countStoreCall(op, res.Outcome)
	a := core.StoreAnswered{Op: op, Outcome: res.Outcome, Revision: res.Revision}
	for _, item := range res.Items {
		value, err := wire.DecodeValue(item.Value)
		if err != nil {
			d.logFailure("cannot decode stored value; it is left unchanged", err, "key", item.Key)
			d.metrics.GetOrCreateCounter(fmt.Sprintf("banyanrun_store_unreadable_total{purpose=%q}", op.Purpose.String())).Inc()
			if op.Purpose != core.PurposeDocumentList && op.Purpose != core.PurposeDocumentWatch {
				a.Outcome = core.StoreUnreadable
			}
			continue
		}
		a.Items = append(a.Items, core.StoreItem{Key: item.Key, Value: value, Revision: item.Revision})
	}
	d.post(ctx, a)
}

// postLeaseResult posts the result of a lease operation.
func (d *Daemon) postLeaseResult(ctx context.Context, op core.StoreOp, res storeclient.LeaseResult) {
	d.countStoreCall(op, res.Outcome)
	d.post(ctx, core.StoreAnswered{Op: op, Outcome: res.Outcome, Lease: res.Lease})
}

// listHosts reads the platform's host list. A failed read posts nothing, since
// the list is read again soon.
func (d *Daemon) listHosts(ctx context.Context) {
	res := d.hostLister.Hosts(ctx)
	if res.Outcome == core.StoreOK && !res.Unchanged {
		d.post(ctx, core.HostsListed{Workers: res.Workers, Hosts: res.Hosts})
	}
}

// syncWorker performs one long poll of a worker.
func (d *Daemon) syncWorker(ctx context.Context, f core.SyncWorker) {
	resp, err := d.workerClient.Sync(ctx, f.Address, wire.SyncRequest{
		Epoch: f.Epoch, Owner: core.HostID(d.settings.Host), Since: f.Since,
		LeaseMS: f.Lease.Milliseconds(), WaitMS: f.Wait.Milliseconds(),
	})
	if err != nil {
		d.postWorkerFailure(ctx, f.Worker, f.Epoch, err)
		return
	}
	d.post(ctx, wire.ToWorkerSynced(f.Worker, f.Epoch, resp))
}

// startTask sends one start request to a worker.
func (d *Daemon) startTask(ctx context.Context, f core.StartTask) {
	_, err := d.workerClient.Start(ctx, f.Address, wire.StartRequest{
		TaskRef: wire.TaskRef(f.Task), Epoch: f.Epoch, Team: f.Team, Kind: f.Kind,
		Request: wire.FromResources(f.Request), LeaseMS: f.Lease.Milliseconds(),
		LatestStartUnixMS: wire.UnixMS(f.LatestStart), Checkpoint: f.Checkpoint, Payload: f.Payload,
	})
	a := core.StartAnswered{Worker: f.Worker, Epoch: f.Epoch, Task: f.Task, Verdict: core.Ran, Answered: true}
	if err != nil {
		a.Verdict, a.Reason, a.HighestEpoch = err.Verdict, err.Reason, err.HighestEpoch
		a.Answered = err.Reason != core.ReasonUpstream
	}
	d.post(ctx, a)
}

// signalTask sends a signal to a worker. It posts only a failure: the effect of
// the signal shows in the next sync.
func (d *Daemon) signalTask(ctx context.Context, f core.SignalTask) {
	_, err := d.workerClient.Signal(ctx, f.Address, wire.SignalRequest{
		TaskRef: wire.TaskRef(f.Task), Epoch: f.Epoch, Signal: f.Signal,
	})
	if err != nil {
		d.post(ctx, core.SignalFailed{
			Worker: f.Worker, Epoch: f.Epoch, Task: f.Task, Signal: f.Signal, HighestEpoch: err.HighestEpoch,
		})
	}
}

// postWorkerFailure posts the failure of a sync.
func (d *Daemon) postWorkerFailure(ctx context.Context, w core.WorkerID, e core.Epoch, err *upstream.Error) {
	d.post(ctx, core.WorkerFailed{
		Worker: w, Epoch: e, HighestEpoch: err.HighestEpoch,
		Refusal: core.Refusal{Reason: err.Reason, Verdict: err.Verdict, Message: err.Error()},
	})
}
