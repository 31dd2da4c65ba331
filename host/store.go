package host

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"banyanrun.example/banyanrun/platform"
	"banyanrun.example/banyanrun/scheduler"
)

// Keys of the scheduler in the platform's store.
const (
	ownerPrefix = "banyanrun/owner"
	ownerKey    = "banyanrun/owner"
	logPrefix   = "banyanrun/log/"
	// maxReadAttempts is the number of attempts to read a page of the log during a
	// takeover.
	maxReadAttempts = 3
)

// logKey returns the key of a group. Keys sort by sequence number.
func logKey(sequence int64) string { return fmt.Sprintf("%s%012d", logPrefix, sequence) }

// readLog reads all groups of the log.
func (d *Daemon) readLog(ctx context.Context) scheduler.LogRead {
	var read scheduler.LogRead
	after := ""
	for {
		page, err := d.listPage(ctx, logPrefix, after)
		if err != nil {
			return scheduler.LogRead{Err: err}
		}
		for i := range page.Items {
			var g scheduler.Group
			if err := json.Unmarshal(page.Items[i].Value, &g); err != nil {
				return scheduler.LogRead{Err: fmt.Errorf("decode log group at key %q: %w", page.Items[i].Key, err)}
			}
			if read.First == 0 {
				read.First = g.Sequence
			}
			read.Groups = scheduler.TrimLog(append(read.Groups, g))
			read.LastRevision = page.Items[i].Revision
		}
		if page.Next == "" {
			return read
		}
		after = page.Next
	}
}

// listPage reads a page and retries after a failure.
func (d *Daemon) listPage(ctx context.Context, prefix, after string) (platform.Page, error) {
	var page platform.Page
	var err error
	for range maxReadAttempts {
		if page, err = d.store.List(ctx, prefix, after); err == nil {
			return page, nil
		}
	}
	return page, err
}

// claimOwnership acquires a lease and writes the owner record under it, together
// with the first group of the new owner. It fails if there is another owner or the
// log does not end with the group that precedes the new one.
func (d *Daemon) claimOwnership(ctx context.Context, e scheduler.ClaimOwnership) scheduler.ClaimAnswered {
	sent := now()
	lease, ttl, err := d.store.GrantLease(ctx, e.TTL)
	if err != nil {
		d.log.Warn().Err(err).Str("event", "store").Str("outcome", "no_lease_granted").Send()
		return scheduler.ClaimAnswered{Outcome: scheduler.NotDone}
	}
	record, err := json.Marshal(e.Record)
	if err != nil {
		return d.claimNotSent(err)
	}
	opening, err := encodeGroup(&e.Opening)
	if err != nil {
		return d.claimNotSent(err)
	}
	key, precedingKey := logKey(e.Opening.Sequence), logKey(e.Opening.Sequence-1)
	result := d.store.Apply(ctx, platform.Change{
		Conditions: []platform.Condition{
			{Key: ownerKey, Revision: e.Replaces}, {Key: key}, {Key: precedingKey, Revision: e.Preceding},
		},
		Writes: []platform.Write{{Key: ownerKey, Value: record, Lease: lease}, {Key: key, Value: opening}},
	})
	answer := scheduler.ClaimAnswered{Outcome: result.Outcome, Lease: lease, Sent: sent, TTL: ttl, Revision: result.Revision}
	if result.Outcome == scheduler.InDoubt {
		d.confirmClaim(ctx, record, &answer)
	}
	for i := range result.Current {
		switch item := &result.Current[i]; item.Key {
		case ownerKey:
			answer.OwnerExists = item.Revision != 0
		case key:
			answer.LogChanged = answer.LogChanged || item.Revision != 0
		case precedingKey:
			answer.LogChanged = answer.LogChanged || item.Revision != e.Preceding
		}
	}
	if result.Err != nil {
		d.log.Info().Err(result.Err).Str("event", "store").Str("outcome", "claim_not_granted").Send()
	}
	return answer
}

// claimNotSent logs why a claim could not be encoded and reports it as not done.
func (d *Daemon) claimNotSent(err error) scheduler.ClaimAnswered {
	d.log.Error().Err(err).Str("event", "owner").Str("outcome", "encode_failed").Send()
	return scheduler.ClaimAnswered{Outcome: scheduler.NotDone}
}

// confirmClaim reads the owner record to find out whether a claim in doubt has
// succeeded, and completes the answer if so.
func (d *Daemon) confirmClaim(ctx context.Context, record []byte, answer *scheduler.ClaimAnswered) {
	item, err := d.store.Get(ctx, ownerKey)
	if err == nil && string(item.Value) == string(record) && item.Lease == answer.Lease {
		answer.Outcome, answer.Revision = scheduler.Done, item.Revision
	}
}

// writeGroupDirect appends a group to the log from this host. After a conflict it
// reports whether the sequence number holds this group or another one, or whether
// the ownership is lost.
func (d *Daemon) writeGroupDirect(ctx context.Context, e scheduler.WriteGroup) scheduler.GroupWritten {
	answer := scheduler.GroupWritten{Sequence: e.Group.Sequence}
	value, err := encodeGroup(&e.Group)
	if err != nil {
		d.log.Error().Err(err).Str("event", "log").Str("outcome", "encode_failed").Send()
		answer.Outcome = scheduler.NotDone
		return answer
	}
	key := logKey(e.Group.Sequence)
	began := time.Now()
	result := d.store.Apply(ctx, platform.Change{
		Conditions: []platform.Condition{{Key: ownerKey, Revision: e.OwnerRevision}, {Key: key}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	d.metrics.observeCall("store", outcomeLabel(result.Err), time.Since(began))
	answer.Outcome, answer.Revision = result.Outcome, result.Revision
	if result.Outcome == scheduler.Conflict {
		for i := range result.Current {
			item := &result.Current[i]
			switch {
			case item.Key == key && item.Revision != 0:
				answer.Ours, answer.Revision = string(item.Value) == string(value), item.Revision
				answer.Taken = !answer.Ours
			case item.Key == ownerKey && item.Revision != e.OwnerRevision:
				answer.Lost = true
			}
		}
		answer.Lost = answer.Lost || !answer.Ours && !answer.Taken
	}
	if result.Err != nil && !answer.Ours {
		d.log.Warn().Err(result.Err).Str("event", "log").Str("outcome", "write_failed").Int64("sequence", e.Group.Sequence).Send()
	}
	return answer
}

// encodeGroup encodes a group for the store. Markup characters are not escaped, so that
// payloads of markup take a sixth of the space.
func encodeGroup(g *scheduler.Group) ([]byte, error) {
	var value bytes.Buffer
	encoder := json.NewEncoder(&value)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(g); err != nil {
		return nil, err
	}
	return bytes.TrimRight(value.Bytes(), "\n"), nil
}

// deleteGroups deletes groups that a snapshot has replaced.
func (d *Daemon) deleteGroups(ctx context.Context, e scheduler.DeleteGroups) scheduler.GroupsDeleted {
	change := platform.Change{Conditions: []platform.Condition{{Key: ownerKey, Revision: e.OwnerRevision}}}
	for seq := e.From; seq <= e.Through; seq++ {
		change.Removals = append(change.Removals, logKey(seq))
	}
	result := d.store.Apply(ctx, change)
	if result.Err != nil {
		d.log.Warn().Err(result.Err).Str("event", "log").Str("outcome", "delete_failed").Send()
	}
	return scheduler.GroupsDeleted{Through: e.Through, Outcome: result.Outcome}
}

// renewLeaseDirect renews the owner's lease from this host.
func (d *Daemon) renewLeaseDirect(ctx context.Context, e scheduler.RenewLease) scheduler.LeaseRenewed {
	answer := scheduler.LeaseRenewed{Lease: e.Lease, Sent: now()}
	err := d.store.RenewLease(ctx, e.Lease)
	if err != nil {
		answer.Outcome = scheduler.InDoubt
		answer.Ended = errors.Is(err, platform.ErrNotFound)
	}
	return answer
}

// readOwner reads the owner record. Without a record the result is not Present.
func (d *Daemon) readOwner(ctx context.Context) (scheduler.OwnerSeen, error) {
	item, err := d.store.Get(ctx, ownerKey)
	if errors.Is(err, platform.ErrNotFound) {
		return scheduler.OwnerSeen{}, nil
	}
	if err != nil {
		return scheduler.OwnerSeen{}, err
	}
	return decodeOwner(item)
}

// decodeOwner decodes the owner record or its deletion.
func decodeOwner(item platform.Item) (scheduler.OwnerSeen, error) {
	seen := scheduler.OwnerSeen{Revision: item.Revision, Present: !item.Deleted}
	if item.Deleted {
		return seen, nil
	}
	if err := json.Unmarshal(item.Value, &seen.Record); err != nil {
		return seen, fmt.Errorf("decode owner record: %w", err)
	}
	return seen, nil
}
