package host

import (
	"context"
	"errors"
	"time"

	"banyanrun.example/banyanrun/platform"
	"banyanrun.example/banyanrun/scheduler"
)

const (
	// watchTimeout is how long a watch call waits for a change. The store can fail
	// to report a change to a pending watch; the next call then returns it. A new
	// configuration has to take effect within 2.5 s.
	watchTimeout = 1 * time.Second
	// workerWatchDelay is the pause between two watch calls for the workers'
	// entries, which change with each heartbeat. A worker that leaves may be given
	// tasks for at most 2.5 s.
	workerWatchDelay = 600 * time.Millisecond
	// followRetryDelay is the delay after a failed call to the store. It grows by
	// the same amount with each further failure in a row.
	followRetryDelay = 150 * time.Millisecond
	// maxFollowRetryDelay bounds the delay after failures in a row.
	maxFollowRetryDelay = 500 * time.Millisecond
)

// follower receives the items with a key prefix and their changes.
type follower struct {
	prefix string
	// watchDelay is the delay after a change before the next watch call, so that
	// one call returns several changes.
	watchDelay time.Duration
	// onList is called with all items, onChange with each later change.
	onList   func(ctx context.Context, items []platform.Item)
	onChange func(ctx context.Context, item platform.Item)
}

// follow lists the items of f and watches them until ctx is done. It lists them
// again when the store has discarded the history that the watch needs.
func (d *Daemon) follow(ctx context.Context, f follower) {
	revision, failures, lost := int64(0), 0, false
	for ctx.Err() == nil {
		var err error
		if revision == 0 {
			revision, err = d.listAll(ctx, f)
		} else {
			revision, err = d.watchOnce(ctx, f, revision)
		}
		if err == nil {
			if lost {
				d.log.Info().Str("event", "dependency").Str("outcome", "regained").Str("prefix", f.prefix).Int("failures", failures).Send()
			}
			failures, lost = 0, false
			continue
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			d.log.Info().Str("event", "watch").Str("outcome", "history_gone").Str("prefix", f.prefix).Send()
			revision = 0
			continue
		}
		if failures++; !lost && ctx.Err() == nil {
			lost = true
			d.log.Warn().Err(err).Str("event", "dependency").Str("outcome", "lost").Str("prefix", f.prefix).Send()
		}
		sleep(ctx, min(followRetryDelay*time.Duration(failures), maxFollowRetryDelay))
	}
}

// listAll passes all items to f and returns the revision to watch from.
func (d *Daemon) listAll(ctx context.Context, f follower) (int64, error) {
	var items []platform.Item
	revision, after := int64(0), ""
	for {
		page, err := d.store.List(ctx, f.prefix, after)
		if err != nil {
			return 0, err
		}
		if revision == 0 {
			// The pages are not one snapshot. Changes after the first page are
			// reported by the watch.
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if page.Next == "" {
			f.onList(ctx, items)
			return revision, nil
		}
		after = page.Next
	}
}

// watchOnce waits for changes, passes them to f and returns the revision to continue
// from.
func (d *Daemon) watchOnce(ctx context.Context, f follower, revision int64) (int64, error) {
	items, next, err := d.store.Watch(ctx, f.prefix, revision, watchTimeout)
	if err != nil || len(items) == 0 {
		// Without a change the watch continues from the same revision: the store's
		// revision may already be past a change that it failed to report.
		return revision, err
	}
	for _, item := range items {
		f.onChange(ctx, item)
	}
	if f.watchDelay > 0 {
		sleep(ctx, f.watchDelay)
	}
	return max(next, revision), nil
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// followConfig returns a follower that posts each newer configuration to the
// reducer.
func (d *Daemon) followConfig() follower {
	apply := func(ctx context.Context, item platform.Item) {
		if item.Key != platform.ConfigKey || item.Deleted {
			return
		}
		cfg, err := platform.ParseConfiguration(item.Value)
		if err != nil {
			d.log.Error().Err(err).Str("event", "config").Str("outcome", "unreadable").Int64("revision", item.Revision).Send()
			return
		}
		if old := d.config.Load(); old != nil && old.Scheduler.Version >= cfg.Scheduler.Version {
			return
		}
		d.config.Store(cfg)
		for _, ignored := range cfg.Ignored {
			d.log.Warn().Str("event", "config").Str("outcome", "ignored").Int64("version", cfg.Scheduler.Version).Str("what", ignored).Send()
		}
		d.post(ctx, scheduler.ConfigChanged{Config: cfg.Scheduler})
	}
	return follower{prefix: platform.ConfigPrefix, onChange: apply, onList: func(ctx context.Context, items []platform.Item) {
		for _, item := range items {
			apply(ctx, item)
		}
	}}
}

// followWorkers returns a follower that posts the workers' entries to the reducer.
func (d *Daemon) followWorkers() follower {
	decode := func(item platform.Item) (scheduler.WorkerInfo, bool) {
		w, err := platform.ParseWorker(item.Key, item.Value)
		if err != nil {
			d.log.Warn().Err(err).Str("event", "worker").Str("outcome", "unreadable_entry").Send()
		}
		return w, err == nil
	}
	return follower{
		prefix: platform.WorkerPrefix, watchDelay: workerWatchDelay,
		onList: func(ctx context.Context, items []platform.Item) {
			var list []scheduler.WorkerInfo
			for _, item := range items {
				if w, ok := decode(item); ok {
					list = append(list, w)
				}
			}
			d.post(ctx, scheduler.WorkersListed{Workers: list})
		},
		onChange: func(ctx context.Context, item platform.Item) {
			if !item.Deleted {
				if w, ok := decode(item); ok {
					d.post(ctx, scheduler.WorkerChanged{Worker: w})
					return
				}
			}
			d.post(ctx, scheduler.WorkerRemoved{ID: platform.WorkerIDFromKey(item.Key)})
		},
	}
}

// followOwner returns a follower that posts the owner record to the reducer.
func (d *Daemon) followOwner() follower {
	apply := func(ctx context.Context, item platform.Item) {
		if item.Key != ownerKey {
			return
		}
		seen, err := decodeOwner(item)
		if err != nil {
			d.log.Error().Err(err).Str("event", "owner").Str("outcome", "unreadable").Send()
			return
		}
		d.post(ctx, seen)
	}
	return follower{prefix: ownerPrefix, onChange: apply, onList: func(ctx context.Context, items []platform.Item) {
		if len(items) == 0 {
			d.post(ctx, scheduler.OwnerSeen{})
		}
		for _, item := range items {
			apply(ctx, item)
		}
	}}
}
