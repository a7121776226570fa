package pkedge

import (
	"context"
	"time"

	"peridotknot.example/pkreplica"
	"peridotknot.example/pkstore"
)

// followReplicas keeps the list of replicas.
func (d *Daemon) followReplicas(ctx context.Context) {
	d.follow(ctx, follower{
		name:     "replicas",
		prefix:   d.ReplicaPrefix,
		paceMost: replicasPaceMost,
		list: func(items []pkstore.Item, at pkstore.Revision) {
			events := make([]pkstore.Event, len(items))
			for i := range items {
				events[i].Item = items[i]
			}
			changed := d.roster.Replace(time.Now(), d.records(events), at)
			d.listed.Store(true)
			d.replicasChanged(changed, at, "list")
		},
		change: func(events []pkstore.Event, at pkstore.Revision) {
			d.replicasChanged(d.roster.Apply(time.Now(), d.records(events), at), at, "watch")
		},
		led:  func(now time.Time) bool { return d.listed.Load() && d.sharing.table.Led(now) },
		lost: func() { d.roster.StoreAway(time.Now()) },
		back: d.storeBack,
	})
}

// records reads the entries of events. One that names no replica takes the place of an earlier
// sound one: the replica of that is not known to be there any more.
func (d *Daemon) records(events []pkstore.Event) []pkreplica.Record {
	out := make([]pkreplica.Record, 0, len(events))
	for _, ev := range events {
		if ev.Deleted {
			id := d.ReplicaID(ev.Item.Key)
			out = append(out, pkreplica.Record{Revision: ev.Item.Revision, Info: pkreplica.Info{ID: id}, Deleted: true})
			continue
		}
		record, err := d.Replica(ev.Item)
		if err != nil {
			d.log.Debug("an entry names no replica", "key", ev.Item.Key, "revision", ev.Item.Revision.String(), "error", err)
		}
		out = append(out, record)
	}
	return out
}

// replicasChanged logs what changed in the list, and lets go what belonged to processes that
// are gone.
func (d *Daemon) replicasChanged(changed []pkreplica.Record, at pkstore.Revision, source string) {
	if len(changed) == 0 {
		return
	}
	for _, one := range changed {
		d.logReplica(one, at, source)
	}
	for _, addr := range d.roster.Ended() {
		d.Conns.CloseIdle(addr)
	}
	d.streams.wakeUp()
}

func (d *Daemon) logReplica(one pkreplica.Record, at pkstore.Revision, source string) {
	d.log.Info("replica changed", "target", one.Info.ID, "service", one.Info.Service, "revision", one.Revision.String(),
		"known_to", at.String(), "source", source, "gone", one.Deleted, "leaving", one.Info.Leaving,
		"first", one.Info.Held.First, "end", one.Info.Held.End, "born", one.Info.Born, "addr", one.Info.Addr)
	if problem := d.problem(one); problem != "" {
		d.log.Warn("an entry names no replica to use", "target", one.Info.ID, "revision", one.Revision.String(), "source", source, "field", problem)
		d.metrics.unusable.WithLabelValues(problem).Inc()
	}
}

// problem returns the field of an entry that keeps its replica from being used; empty where
// none does.
func (d *Daemon) problem(one pkreplica.Record) string {
	table := d.book.Table()
	switch {
	case one.Unusable != "":
		return one.Unusable
	case one.Deleted || table == nil:
		return ""
	}
	s, found := table.Service(one.Info.Service)
	switch {
	case !found:
		return "service"
	case s.Engine != nil && !s.Engine.Has(one.Info.Held):
		return "layers"
	default:
		return ""
	}
}
