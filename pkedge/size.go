package pkedge

import (
	"context"
	"strconv"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
	"peridotknot.example/pktimer"
)

// sizeCheckInterval is how often the saved number of entries is compared with the counted one.
const sizeCheckInterval = time.Second

// saveSize saves the number of entries of this data centre in the store while this entry is its
// first hub. Hubs that start together with all other entries share the retry budget by that number.
func (d *Daemon) saveSize(ctx context.Context) {
	var record pkshare.SizeRecord
	pktimer.Every(ctx, sizeCheckInterval, func(ctx context.Context) {
		now := time.Now()
		if !d.gossip.first.Load() || !d.gossip.withHubs.Load() || !d.listed.Load() || d.roster.StoreUnavailable() {
			return
		}
		local, _ := d.countEntries(now)
		saved, registered := d.members.sizeOf(d.settings.DataCenter)
		if saved == 0 && local <= registered {
			return
		}
		if !record.ShouldSave(now, local, saved) {
			return
		}
		if err := d.writeSize(ctx, local); err != nil {
			d.log.Warn("the number of entries was not saved", "entries", local, "error", err)
			return
		}
		d.log.Info("number of entries saved", "entries", local, "before", saved)
	})
}

// sizeOf returns the saved number of entries of a data centre and that of its registered ones.
func (m *members) sizeOf(dc pkid.DataCenter) (saved, registered int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, one := range m.peers {
		if one.DataCenter == dc {
			registered++
		}
	}
	return m.sizes[dc].entries, registered
}

// writeSize replaces the saved number of entries of this data centre.
func (d *Daemon) writeSize(ctx context.Context, entries int) error {
	w := pkstore.Swap{Key: d.OwnPrefix + sizeKeyPrefix + string(d.settings.DataCenter), Value: []byte(strconv.Itoa(entries))}
	out, err := d.write(ctx, askerSize, w)
	if err == nil && !out.Succeeded {
		w.Old = out.Item.Revision
		out, err = d.write(ctx, askerSize, w)
	}
	if err != nil {
		return err
	}
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applySize(d.settings.DataCenter, pkstore.Event{Item: out.Item})
	return nil
}
