package pkedge

import (
	"context"
	"sync"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkreplica"
)

// recheckSilent requests reports of the engines of a service that are avoided at now for having been silent, each at
// most once per livenessInterval, and uses those again that answer as a live engine does.
//
// An engine that has held still for a moment is avoided for suspectTTL, which is longer than a stream may wait for a
// path. Where all engines of some layer have held still, that stream would break off although they serve again.
func (d *Daemon) recheckSilent(ctx context.Context, now time.Time, s pkid.ServiceID) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, t := range d.roster.Live(now, s) {
		if t.Held.Len() > 0 && t.IsSilent(now) && t.AllowProbe(now, livenessInterval) {
			wg.Go(func() { d.recheckEngine(ctx, t) })
		}
	}
}

// recheckEngine requests a report of a silent engine, and uses the engine again if that arrives.
func (d *Daemon) recheckEngine(ctx context.Context, t *pkreplica.Target) {
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	if err := d.readReportHedged(ctx, t); err != nil {
		return
	}
	t.EndSilence(time.Now())
	d.gossip.withdrawSilence(t.ID)
	d.log.Info("a silent engine has answered and is used again", "target", t.ID)
}

// withdrawSilence stops reporting a target as silent to the other entries. Those that find it in order ignore
// all reports of this entry for a while.
func (s *gossip) withdrawSilence(t pkid.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspects[t].fault == faultSilent {
		delete(s.suspects, t)
	}
}
