package pkedge

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"syscall"
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

// cutOff reports whether this entry is cut off from the targets of a service, or cannot find out. It
// checks the links to some of them unless a check has just ended. The suspect is not among them, nor
// are targets that have failed for certain.
func (d *Daemon) cutOff(ctx context.Context, s pkid.ServiceID, suspect pkid.TargetID) bool {
	if d.links.Checked(time.Now(), s) {
		return d.links.CutOff(s)
	}
	_, err, _ := d.linkChecks.Do(string(s), func() (any, error) { return nil, d.checkLinks(ctx, s, suspect) })
	return err != nil || d.links.CutOff(s)
}

// errStalled is the result of a check that took too long, since this VM has stalled meanwhile.
var errStalled = errors.New("check of the links took too long")

// checkLinks connects to a sample of the targets of a service and records the result.
func (d *Daemon) checkLinks(ctx context.Context, s pkid.ServiceID, suspect pkid.TargetID) error {
	began := time.Now()
	targets := d.linkSample(began, s, suspect)
	checkCtx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	results := make(chan error, len(targets))
	for _, t := range targets {
		go func() { results <- d.probeLink(checkCtx, t) }()
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
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case now.Sub(began) > 2*linkTimeout:
		return errStalled
	}
	if sample.Failed > 0 {
		d.log.Info("links to the targets of a service checked", "service", s, "reached", sample.Reached, "failed", sample.Failed, "suspect", suspect, "ms", now.Sub(began).Milliseconds())
	}
	cutOff, changed := d.links.Record(now, s, sample)
	if changed {
		d.log.Warn("links to the targets of a service have changed", "service", s, "cut_off", cutOff, "reached", sample.Reached, "failed", sample.Failed)
		d.gossip.requestSend()
	}
	return nil
}

// probeLink returns an error if a target cannot be reached. A link may accept a connection and reset it
// once it is used; a target that is connected and does not answer in time is only busy.
func (d *Daemon) probeLink(ctx context.Context, t *pkreplica.Target) error {
	if err := d.Engines.Connect(ctx, t.Addr); err != nil {
		return err
	}
	var err error
	if t.Held.Len() > 0 {
		_, err = d.Engines.Report(ctx, t.Addr)
	} else {
		_, err = d.Engines.Leaving(ctx, t.Addr, d.healthPath(t.Service))
	}
	if isConnError(err) {
		return err
	}
	return nil
}

// isConnError reports whether an exchange failed for its connection, which was reset or ended.
func isConnError(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// healthPath returns the path of the health checks of a service.
func (d *Daemon) healthPath(s pkid.ServiceID) string {
	if table := d.configs.Table(); table != nil {
		if service, found := table.Service(s); found {
			return service.HealthPath
		}
	}
	return "/"
}

// linkSample returns random targets of a service to connect to at now.
func (d *Daemon) linkSample(now time.Time, s pkid.ServiceID, suspect pkid.TargetID) []*pkreplica.Target {
	all := slices.DeleteFunc(d.roster.Live(now, s), func(t *pkreplica.Target) bool { return t.ID == suspect || t.IsDead(now) })
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), pkreach.SampleSize)]
}

// watchLinks checks the links to the targets of all services while this entry is cut off from those of
// any: a cut is likely to cover all, and calls that may not be repeated must not be what shows it.
func (d *Daemon) watchLinks(ctx context.Context) {
	pktimer.Every(ctx, linkScanInterval, func(ctx context.Context) {
		table := d.configs.Table()
		if table == nil || len(d.links.CutOffServices()) == 0 {
			return
		}
		for i := range table.Services {
			if s := table.Services[i].ID; !d.links.CheckedWithin(time.Now(), s, pkreach.RecheckInterval) {
				d.cutOff(ctx, s, "")
			}
		}
	})
}
