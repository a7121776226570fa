package pkedge

import (
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
)

// shortageLogInterval is the shortest time between log lines about missing capacity.
const shortageLogInterval = 250 * time.Millisecond

// shortage is the reason why no path was found for a request.
type shortage struct {
	// layer is the one with the fewest usable engines; held, avoided and full count the engines
	// that hold it, those of them that are avoided and those without enough capacity.
	layer   pkid.Layer
	held    int
	avoided int
	full    int
	// cost is the cost of the cheapest path if it only exceeds the bound.
	cost time.Duration
}

// findShortage returns what a pool lacks for a request at now.
func (d *Daemon) findShortage(now time.Time, s *pkconfig.Service, q pathQuery) shortage {
	m := s.Engine
	all := make([]shortage, m.Layers)
	live := d.liveEngines(now, s.ID, m)
	senders := equivalentSenders(now, live, d.senderCount(now, s.ID), q.queued)
	for _, t := range live {
		_, hasCapacity := layerCost(now, m, t, q, senders, d.memoryPenalty)
		avoided := !q.allows(now, t)
		for l := t.Held.First; l < t.Held.End; l++ {
			one := &all[l]
			one.layer = l
			one.held++
			switch {
			case avoided:
				one.avoided++
			case !hasCapacity:
				one.full++
			}
		}
	}
	out := all[0]
	for _, one := range all {
		if one.usable() < out.usable() {
			out = one
		}
	}
	q.maxCost = 0
	if p, found := d.findPath(now, s, q); found {
		out.cost = p.cost
	}
	return out
}

// usable returns the number of engines that can serve the layer.
func (s shortage) usable() int { return s.held - s.avoided - s.full }

// logShortage logs why a request finds no path, at most once per shortageLogInterval.
func (d *Daemon) logShortage(now time.Time, id pkid.RequestID, s *pkconfig.Service, q pathQuery) {
	before := d.lastShortageLog.Load()
	if now.UnixNano()-before < int64(shortageLogInterval) || !d.lastShortageLog.CompareAndSwap(before, now.UnixNano()) {
		return
	}
	lack := d.findShortage(now, s, q)
	d.log.Info("no path with enough capacity", "request_id", id, "service", s.ID, "layer", lack.layer, "held", lack.held,
		"avoided", lack.avoided, "full", lack.full, "cost_ms", lack.cost.Milliseconds(), "most_ms", q.maxCost.Milliseconds())
}
