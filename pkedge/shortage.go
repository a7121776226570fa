package pkedge

import (
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
)

// shortagePause is how often an entry logs what a pool lacks: often enough to follow a loss of
// engines, and one line where hundreds of requests are refused.
const shortagePause = 250 * time.Millisecond

// shortage is why no path was found for a request.
type shortage struct {
	// layer is the one that the fewest engines can take; of those that hold it, so many are
	// passed over and so many have no room.
	layer   pkid.Layer
	held    int
	avoided int
	full    int
	// cost is that of the cheapest path where only its bound was in the way.
	cost time.Duration
}

// shortageOf looks for what a pool lacks for a request at now.
func (d *Daemon) shortageOf(now time.Time, s *pkconfig.Service, w wish) shortage {
	m := s.Engine
	all := make([]shortage, m.Layers)
	entries := d.entries(now)
	for _, t := range d.engines(now, s.ID, m) {
		_, room := layerCost(now, m, t, w, entries, d.crowding)
		avoided := !w.passes(now, t)
		for l := t.Held.First; l < t.Held.End; l++ {
			one := &all[l]
			one.layer = l
			one.held++
			switch {
			case avoided:
				one.avoided++
			case !room:
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
	w.most = 0
	if p, found := d.find(now, s, w); found {
		out.cost = p.cost
	}
	return out
}

// usable returns how many engines could take the layer.
func (s shortage) usable() int { return s.held - s.avoided - s.full }

// logShortage logs why a request finds no path, where that was not logged just now.
func (d *Daemon) logShortage(now time.Time, id pkid.RequestID, s *pkconfig.Service, w wish) {
	before := d.shortAt.Load()
	if now.UnixNano()-before < int64(shortagePause) || !d.shortAt.CompareAndSwap(before, now.UnixNano()) {
		return
	}
	why := d.shortageOf(now, s, w)
	d.log.Info("no path has room", "request_id", id, "service", s.ID, "layer", why.layer, "held", why.held,
		"avoided", why.avoided, "full", why.full, "cost_ms", why.cost.Milliseconds(), "most_ms", w.most.Milliseconds())
}
