package host

import (
	"context"
	"errors"
	"time"

	"banyanrun.example/banyanrun/platform"
	"banyanrun.example/banyanrun/scheduler"
)

const (
	// watchWait is how long a watch waits for a change. The store can fail to
	// tell a waiting watch of a change, which the next call then finds; a
	// configuration has to be in force within 2.5 s.
	watchTimeout = 1 * time.Second
	// workerSettle is the wait between two calls for changes of the workers'
	// entries, which change with each heartbeat. A worker that leaves may get
	// tasks for 2.5 s.
	workerWatchDelay = 600 * time.Millisecond
	// followRetry is the wait after a call to the store that failed.
	followRetryDelay = 150 * time.Millisecond
	// followRetryMost bounds the wait between failures in a row.
	maxFollowRetryDelay = 500 * time.Millisecond
)

// follower keeps up with the keys of a prefix.
type follower struct {
	prefix string
	// settle is the wait after a change before the next call, so that one call
	// brings several changes.
	watchDelay time.Duration
	// listed is called with all items, changed with each later change.
	onList   func(ctx context.Context, items []platform.Item)
	onChange func(ctx context.Context, item platform.Item)
}

// follow lists the keys and watches them until ctx ends.
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

// listAll reads all items and reports them.
func (d *Daemon) listAll(ctx context.Context, f follower) (int64, error) {
	var items []platform.Item
	revision, after := int64(0), ""
	for {
		page, err := d.store.List(ctx, f.prefix, after)
		if err != nil {
			return 0, err
		}
		if revision == 0 {
			// Pages are no snapshot: what changes after the first one is
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

// watchOnce waits for changes and reports them.
func (d *Daemon) watchOnce(ctx context.Context, f follower, revision int64) (int64, error) {
	items, next, err := d.store.Watch(ctx, f.prefix, revision, watchTimeout)
	if err != nil || len(items) == 0 {
		// Without a change the watch continues from where it began: the store
		// may have moved on past a change that it did not tell of.
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

// pause waits, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// followConfig keeps the configuration up to date.
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

// followWorkers keeps the list of workers up to date.
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

// followOwner keeps the owner record up to date.
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
