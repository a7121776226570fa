package pkedge

import (
	"context"
	"time"

	"peridotknot.example/pkreplica"
	"peridotknot.example/pkstore"
)

// followReplicas follows the list of replicas.
func (d *Daemon) followReplicas(ctx context.Context) {
	d.follow(ctx, follower{
		name:          "replicas",
		prefix:        d.ReplicaPrefix,
		maxBatchDelay: maxReplicasBatchDelay,
		onList: func(items []pkstore.Item, at pkstore.Revision) {
			events := make([]pkstore.Event, len(items))
			for i := range items {
				events[i].Item = items[i]
			}
			changed := d.roster.Replace(time.Now(), d.records(events), at)
			d.listed.Store(true)
			d.replicasChanged(changed, at, "list")
		},
		onChange: func(events []pkstore.Event, at pkstore.Revision) {
			d.replicasChanged(d.roster.Apply(time.Now(), d.records(events), at), at, "watch")
		},
		mayBeStale: true,
		relayed:    func(now time.Time) bool { return d.listed.Load() && d.isServed(now) },
		onLost:     func() { d.roster.MarkStoreUnavailable(time.Now()) },
		onBack:     d.onStoreBack,
	})
}

// records decodes the records of events. One that names no usable replica still replaces an earlier
// valid one, whose replica may be gone.
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
			d.log.Debug("invalid replica record, replica not used", "key", ev.Item.Key, "revision", ev.Item.Revision.String(), "error", err)
		}
		out = append(out, record)
	}
	return out
}

// replicasChanged logs the changes of the list, closes idle connections to ended processes and
// triggers a check of the streams.
func (d *Daemon) replicasChanged(changed []pkreplica.Record, at pkstore.Revision, source string) {
	if len(changed) == 0 {
		return
	}
	for _, one := range changed {
		d.logReplica(one, at, source)
	}
	for _, addr := range d.roster.TakeEndedAddrs() {
		d.Conns.CloseIdle(addr)
	}
	d.streams.wakeUp()
	d.roomFreed()
}

func (d *Daemon) logReplica(one pkreplica.Record, at pkstore.Revision, source string) {
	d.log.Info("replica changed", "target", one.Info.ID, "service", one.Info.Service, "revision", one.Revision.String(),
		"known_to", at.String(), "source", source, "gone", one.Deleted, "leaving", one.Info.Leaving,
		"first", one.Info.Held.First, "end", one.Info.Held.End, "born", one.Info.Born, "addr", one.Info.Addr)
	if problem := d.unusableField(one); problem != "" {
		d.log.Warn("unusable replica record, replica not used", "target", one.Info.ID, "revision", one.Revision.String(), "source", source, "field", problem)
		d.metrics.unusable.WithLabelValues(problem).Inc()
	}
}

// unusableField returns the field that makes a replica's record unusable, or an empty string.
func (d *Daemon) unusableField(one pkreplica.Record) string {
	table := d.configs.Table()
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
	case s.Engine != nil && !s.Engine.Contains(one.Info.Held):
		return "layers"
	default:
		return ""
	}
}
