package pkedge

import (
	"context"
	"time"

	"peridotknot.example/pkstore"
)

// followConfig follows the operators' configuration and keeps the newest one in force.
func (d *Daemon) followConfig(ctx context.Context) {
	d.follow(ctx, follower{
		name:          askerConfig,
		prefix:        d.ConfigKey,
		maxBatchDelay: maxConfigBatchDelay,
		onList: func(items []pkstore.Item, _ pkstore.Revision) {
			for _, one := range items {
				d.staleWatch.recordDelivered(one.Revision)
				d.adopt(one, "list")
			}
		},
		onChange: func(events []pkstore.Event, _ pkstore.Revision) {
			for _, ev := range events {
				if !ev.Deleted {
					d.staleWatch.recordDelivered(ev.Item.Revision)
					d.adopt(ev.Item, "watch")
				}
			}
		},
		relayed: func(now time.Time) bool { return d.configs.Table() != nil && d.isServed(now) },
		onBack:  d.onStoreBack,
	})
}

// onStoreBack records that the list of replicas is followed again.
func (d *Daemon) onStoreBack() {
	now := time.Now()
	d.roster.MarkStoreAvailable(now, func(since time.Time) bool { return d.gossip.table.FollowedSince(now, since) })
}

// adopt puts a configuration in force unless a newer one is, and reports whether it did. A
// configuration that cannot be read is ignored, and the one in force is kept.
func (d *Daemon) adopt(item pkstore.Item, source string) bool {
	if item.Key != d.ConfigKey {
		return false
	}
	c, err := d.Config(item.Value)
	if err != nil {
		d.log.Error("invalid configuration ignored", "revision", item.Revision.String(), "source", source, "error", err)
		return false
	}
	if !d.configs.Adopt(c, item) {
		return false
	}
	d.log.Info("configuration in force", "version", c.Version, "revision", item.Revision.String(), "source", source,
		"routes", len(c.Routes), "accounts", len(c.Accounts))
	d.applyLimits()
	d.firstConfig.Do(func() { close(d.configured) })
	if d.gossip.withHubs.Load() {
		d.gossip.requestSend() // a hub passes it on to the entries that it serves
	}
	return true
}
