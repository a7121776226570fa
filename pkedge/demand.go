package pkedge

import (
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkqueue"
	"peridotknot.example/pkshare"
)

// ownDemands returns what waits at this entry at now, in a fixed order.
func (d *Daemon) ownDemands(time.Time) []pkshare.Demand { return nil }

// othersDemand returns what waits for room of a pool at all other entries, by priority.
func (d *Daemon) othersDemand(now time.Time, s pkid.ServiceID) []pkqueue.Level {
	var out []pkqueue.Level
	for _, one := range d.gossip.table.Demands(now, s) {
		out = append(out, pkqueue.Level{Priority: one.Priority, Requests: one.Requests, Tokens: float64(one.Tokens)})
	}
	return out
}
