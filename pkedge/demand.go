package pkedge

import (
	"maps"
	"slices"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkqueue"
	"peridotknot.example/pkshare"
)

// ownDemands returns what waits at this entry at now, in a fixed order.
func (d *Daemon) ownDemands(now time.Time) []pkshare.Demand {
	if d.rooms.waiting.Load() == 0 {
		return nil
	}
	d.rooms.mu.Lock()
	defer d.rooms.mu.Unlock()
	var out []pkshare.Demand
	for _, id := range slices.Sorted(maps.Keys(d.rooms.all)) {
		for _, l := range d.rooms.all[id].demand(now) {
			out = append(out, pkshare.Demand{Service: id, Priority: l.Priority, Requests: l.Requests, Tokens: float32(l.Tokens)})
		}
	}
	return out
}

// othersDemand returns what waits for room of a pool at all other entries, by priority.
func (d *Daemon) othersDemand(now time.Time, s pkid.ServiceID) []pkqueue.Level {
	var out []pkqueue.Level
	for _, one := range d.gossip.table.Demands(now, s) {
		out = append(out, pkqueue.Level{Priority: one.Priority, Requests: one.Requests, Tokens: float64(one.Tokens)})
	}
	return out
}
