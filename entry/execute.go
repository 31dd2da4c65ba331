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

// watchWait bounds one wait for changed documents.
const watchWait = 30 * time.Second

// immediate carries out the effects that need no I/O. It runs on the control
// goroutine and never blocks.
func (d *Daemon) immediate(f core.Effect) bool {
	switch f := f.(type) {
	case core.Reply:
		d.open.deliver(f.Request, f)
	case core.Forward:
		d.open.deliver(f.Request, f)
	case core.SetGrants:
		d.grants.Set(f)
	case core.Count:
		d.count(f)
	case core.Gauge:
		d.gauge(f)
	case core.Log:
		d.logLine(f)
	case core.Ready:
		d.ready.Store(f.Ready)
	case core.Stopped:
		if d.stopOnce.CompareAndSwap(false, true) {
			close(d.stopped)
		}
	default:
		return false
	}
	return true
}

// execute carries out one effect that may block.
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
			Versions: f.Versions, From: core.HostID(d.set.Host),
		})
	default:
		d.executeStore(ctx, f)
	}
}

// executeStore carries out one operation of the store and posts its result.
func (d *Daemon) executeStore(ctx context.Context, f core.Effect) {
	switch f := f.(type) {
	case core.GetValue:
		d.answerStore(ctx, f.Op, d.store.Get(ctx, f.Key))
	case core.ListValues:
		d.answerStore(ctx, f.Op, d.store.List(ctx, f.Prefix))
	case core.WatchValues:
		d.answerStore(ctx, f.Op, d.store.Watch(ctx, f.Prefix, f.Since, watchWait))
	case core.DeleteValues:
		d.answerStore(ctx, f.Op, d.store.Delete(ctx, f.Keys))
	case core.PutValue:
		d.putValue(ctx, f)
	case core.GrantLease:
		d.answerLease(ctx, f.Op, d.store.GrantLease(ctx, f.TimeToLive))
	case core.RenewLease:
		d.answerLease(ctx, f.Op, d.store.RenewLease(ctx, f.Lease))
	case core.RevokeLease:
		d.answerLease(ctx, f.Op, d.store.RevokeLease(ctx, f.Lease))
	default:
		d.log.Error().Type("effect", f).Msg("effect has no executor")
	}
}

// putValue encodes and writes a value.
func (d *Daemon) putValue(ctx context.Context, f core.PutValue) {
	data, err := wire.EncodeValue(f.Value)
	if err != nil {
		d.logFailure("value cannot be encoded", err, "key", f.Key)
		d.answerStore(ctx, f.Op, storeclient.Result{Outcome: core.StoreNotSent, Err: err})
		return
	}
	d.answerStore(ctx, f.Op, d.store.Put(ctx, storeclient.Write{
		Key: f.Key, Value: data, IfRevision: f.IfRevision, Lease: f.Lease,
	}))
}

// answerStore decodes a result and posts it.
func (d *Daemon) answerStore(ctx context.Context, op core.StoreOp, res storeclient.Result) {
	d.countStore(op, res.Outcome)
	a := core.StoreAnswered{Op: op, Outcome: res.Outcome, Revision: res.Revision}
	for _, item := range res.Items {
		value, err := wire.DecodeValue(item.Value)
		if err != nil {
			d.logFailure("value left untouched", err, "key", item.Key)
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

// answerLease posts the result of a call on a lease.
func (d *Daemon) answerLease(ctx context.Context, op core.StoreOp, res storeclient.LeaseResult) {
	d.countStore(op, res.Outcome)
	d.post(ctx, core.StoreAnswered{Op: op, Outcome: res.Outcome, Lease: res.Lease})
}

// listHosts reads the platform's list. A failed read posts nothing: the next one
// follows soon.
func (d *Daemon) listHosts(ctx context.Context) {
	res := d.hosts.Hosts(ctx)
	if res.Outcome == core.StoreOK && !res.Unchanged {
		d.post(ctx, core.HostsListed{Workers: res.Workers, Hosts: res.Hosts})
	}
}

// syncWorker performs one long poll.
func (d *Daemon) syncWorker(ctx context.Context, f core.SyncWorker) {
	resp, err := d.workers.Sync(ctx, f.Address, wire.SyncRequest{
		Epoch: f.Epoch, Owner: core.HostID(d.set.Host), Since: f.Since,
		LeaseMS: f.Lease.Milliseconds(), WaitMS: f.Wait.Milliseconds(),
	})
	if err != nil {
		d.workerFailed(ctx, f.Worker, f.Epoch, err)
		return
	}
	d.post(ctx, wire.ToWorkerSynced(f.Worker, f.Epoch, resp))
}

// startTask sends one copy of a start.
func (d *Daemon) startTask(ctx context.Context, f core.StartTask) {
	_, err := d.workers.Start(ctx, f.Address, wire.StartRequest{
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

// signalTask sends a signal. Its effect is seen in the next sync.
func (d *Daemon) signalTask(ctx context.Context, f core.SignalTask) {
	_, err := d.workers.Signal(ctx, f.Address, wire.SignalRequest{
		TaskRef: wire.TaskRef(f.Task), Epoch: f.Epoch, Signal: f.Signal,
	})
	if err != nil {
		d.post(ctx, core.SignalFailed{
			Worker: f.Worker, Epoch: f.Epoch, Task: f.Task, Signal: f.Signal, HighestEpoch: err.HighestEpoch,
		})
	}
}

// workerFailed posts the failure of a sync.
func (d *Daemon) workerFailed(ctx context.Context, w core.WorkerID, e core.Epoch, err *upstream.Error) {
	d.post(ctx, core.WorkerFailed{
		Worker: w, Epoch: e, HighestEpoch: err.HighestEpoch,
		Refusal: core.Refusal{Reason: err.Reason, Verdict: err.Verdict, Message: err.Error()},
	})
}
