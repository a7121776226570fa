package pkedge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkreach"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pktimer"
)

const (
	// linkTimeout bounds a connection attempt of a check of the links. It is a few round trips
	// between distant data centres.
	linkTimeout = 100 * time.Millisecond
	// linkScanInterval is how often services are looked up whose links are due for another check.
	linkScanInterval = 50 * time.Millisecond
)

// cutOff reports whether this entry is cut off from the targets of a service, after a check of its
// links to some of them unless one has just ended. The suspect is not among them, nor are targets
// that are known to have failed.
func (d *Daemon) cutOff(ctx context.Context, s pkid.ServiceID, suspect pkid.TargetID) bool {
	if d.links.Checked(time.Now(), s) {
		return d.links.CutOff(s)
	}
	_, _, _ = d.linkChecks.Do(string(s), func() (any, error) {
		d.checkLinks(ctx, s, suspect)
		return nil, nil
	})
	return d.links.CutOff(s)
}

// checkLinks connects to a sample of the targets of a service and records the result. A result that
// came late is dropped, since this VM has stalled meanwhile.
func (d *Daemon) checkLinks(ctx context.Context, s pkid.ServiceID, suspect pkid.TargetID) {
	began := time.Now()
	targets := d.linkSample(began, s, suspect)
	checkCtx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	results := make(chan error, len(targets))
	for _, t := range targets {
		go func() { results <- d.Engines.Connect(checkCtx, t.Addr) }()
	}
	var sample pkreach.Sample
	for missing := len(targets); missing > 0 && !sample.Settled(missing); missing-- {
		if <-results == nil {
			sample.Reached++
		} else {
			sample.Failed++
		}
	}
	now := time.Now()
	if ctx.Err() != nil || now.Sub(began) > 2*linkTimeout {
		return
	}
	cutOff, changed := d.links.Record(now, s, sample)
	if changed {
		d.log.Warn("links to the targets of a service have changed", "service", s, "cut_off", cutOff, "reached", sample.Reached, "failed", sample.Failed)
		d.gossip.requestSend()
	}
}

// linkSample returns random targets of a service to connect to at now.
func (d *Daemon) linkSample(now time.Time, s pkid.ServiceID, suspect pkid.TargetID) []*pkreplica.Target {
	all := slices.DeleteFunc(d.roster.Live(now, s), func(t *pkreplica.Target) bool { return t.ID == suspect || t.IsDead(now) })
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), pkreach.SampleSize)]
}

// watchLinks checks the links of services that this entry is cut off from until they are back.
func (d *Daemon) watchLinks(ctx context.Context) {
	pktimer.Every(ctx, linkScanInterval, func(ctx context.Context) {
		for _, s := range d.links.Due(time.Now()) {
			d.cutOff(ctx, s, "")
		}
	})
}
