package pkedge

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"peridotknot.example/pkexchange"
	"peridotknot.example/pkid"
	"peridotknot.example/pkreach"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pktimer"
)

const (
	// linkTimeout bounds a connection attempt of a check of the links. It is a few round trips
	// between distant data centres.
	linkTimeout = 100 * time.Millisecond
	// maxLinkTimeout is the same for the last repetition of a check during which this VM has stalled. A connection
	// attempt whose packet is lost is sent again after a second, so that the loss still shows.
	maxLinkTimeout = 4 * linkTimeout
	// followUpShare is the share of the timeout of a check that its follow-ups have.
	followUpShare = 0.5
	// maxPauseShare is the share of the timeout of a probe from which a pause of this process, or a delay of the timeout
	// itself, may have hidden an answer. With a quarter, links in order were still taken for lossy beside busy processes.
	maxPauseShare = 0.15
	// pauseTick is the shortest pause of this process that counts.
	pauseTick = 2 * time.Millisecond
	// startSampleSize is the number of targets of a service that a starting entry probes. A failure leads to a
	// whole sample.
	startSampleSize = 2
	// linkScanInterval is how often services are looked up whose links are due for another check.
	linkScanInterval = 50 * time.Millisecond
)

// linkCondition returns the condition of the links to the targets of a service, and whether it could be found
// out. It checks the links to some of the targets unless a check has just ended. The suspect is not among
// them, nor are targets that have failed for certain.
func (d *Daemon) linkCondition(ctx context.Context, s pkid.ServiceID, suspect pkid.TargetID) (c pkreach.Condition, known bool) {
	if d.links.Checked(time.Now(), s) {
		return d.links.Condition(s), true
	}
	_, err, _ := d.linkChecks.Do(string(s), func() (any, error) { return nil, d.checkLinks(ctx, s, suspect) })
	return d.links.Condition(s), err == nil
}

// errStalled is the result of probes during which this VM has stalled, so that their silence shows nothing.
var errStalled = errors.New("this VM has stalled during a check of the links")

// errLate is the result of probes whose answers, or the resets of links that are cut, may not have come yet.
var errLate = errors.New("nothing has answered in time over accepted connections")

// errUnanswered is the result of a probe whose connection was accepted and that had no answer in time.
var errUnanswered = errors.New("no answer in time over an accepted connection")

// checkLinks connects to a sample of the targets of a service and records the result. If this VM stalls
// meanwhile, or what would show the condition may be late, it starts again with twice the timeout: on a VM that is short of
// processor time for long, no other check would have a result.
func (d *Daemon) checkLinks(ctx context.Context, s pkid.ServiceID, suspect pkid.TargetID) error {
	began, timeout := time.Now(), linkTimeout
	sample, err := d.sampleLinks(ctx, s, suspect, timeout)
	for (errors.Is(err, errStalled) || errors.Is(err, errLate)) && timeout < maxLinkTimeout {
		d.log.Debug("check of the links is repeated", "service", s, "timeout_ms", timeout.Milliseconds(), "error", err)
		timeout *= 2
		sample, err = d.sampleLinks(ctx, s, suspect, timeout)
	}
	if err != nil {
		return err
	}
	now := time.Now()
	condition, changed := d.links.Record(now, s, sample)
	if sample.Failed > 0 {
		d.log.Info("links to the targets of a service checked", "service", s, "condition", condition.String(), "reached", sample.Reached, "failed", sample.Failed,
			"silent", sample.Silent, "answered", sample.Answered, "lost", sample.Lost, "suspect", suspect, "ms", now.Sub(began).Milliseconds())
	}
	if changed {
		d.log.Warn("links to the targets of a service have changed", "service", s, "condition", condition.String(), "cut_off", condition == pkreach.CutOff,
			"reached", sample.Reached, "failed", sample.Failed, "lost", sample.Lost)
		d.forgetSilence(now, s)
		d.gossip.requestSend()
	}
	return nil
}

// sampleLinks probes the links to some targets of a service, and again to those that are silent if that leaves a
// doubt. Impaired links count as whole only by a sample that leaves nothing out.
func (d *Daemon) sampleLinks(ctx context.Context, s pkid.ServiceID, suspect pkid.TargetID, timeout time.Duration) (pkreach.Sample, error) {
	impaired, replies := d.links.Impaired(s), pkreach.Replies{CutOff: d.links.CutOff(s)}
	silent, err := d.probeLinks(ctx, d.linkSample(time.Now(), s, suspect), timeout, func(_ *pkreplica.Target, err error, missing int) bool {
		replies.Add(replyOf(err))
		return impaired || !replies.Sample().Settled(missing)
	})
	sample := replies.Sample()
	switch {
	case err != nil:
	case timeout < maxLinkTimeout && replies.MayBeLate():
		err = errLate
	case impaired || sample.Doubtful():
		err = d.followUp(ctx, &sample, silent, time.Duration(followUpShare*float64(timeout)))
	}
	return sample, err
}

// replyOf returns the reply that the error of a probe stands for.
func replyOf(err error) pkreach.Reply {
	switch {
	case err == nil:
		return pkreach.Answered
	case errors.Is(err, errUnanswered):
		return pkreach.Unanswered
	case pkexchange.IsConnectionError(err):
		return pkreach.Refused
	default:
		return pkreach.Silent
	}
}

// followUp probes the links to the targets of a sample that were silent again.
func (d *Daemon) followUp(ctx context.Context, sample *pkreach.Sample, silent []*pkreplica.Target, timeout time.Duration) error {
	var err error
	for attempt := 1; err == nil && len(silent) > 0 && attempt <= pkreach.FollowUps; attempt++ {
		silent, err = d.probeLinks(ctx, silent, timeout, func(_ *pkreplica.Target, err error, _ int) bool {
			if err == nil || errors.Is(err, errUnanswered) {
				sample.Answered++
				sample.Lost += attempt
			}
			return true
		})
	}
	return err
}

// forgetSilence uses the targets of a service again at now that are avoided for what the links explain, and takes none of
// them to stand still.
func (d *Daemon) forgetSilence(now time.Time, s pkid.ServiceID) {
	d.budgets.of(s).StopAwaiting()
	for _, t := range d.roster.All() {
		if t.Service == s {
			t.ForgetSilence(now)
		}
	}
}

// probeLinks probes the links to targets at the same time, and returns those that were silent until the timeout.
// It passes each result, with the number of those still missing, to next until that returns false. The error
// is that of ctx, or errStalled: both the timeout and the answers wait for a process that does not run, and the
// timeout may be handled first.
func (d *Daemon) probeLinks(ctx context.Context, targets []*pkreplica.Target, timeout time.Duration, next func(t *pkreplica.Target, err error, missing int) bool) ([]*pkreplica.Target, error) {
	began := time.Now()
	probeCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type result struct {
		target *pkreplica.Target
		err    error
	}
	results := make(chan result, len(targets))
	for _, t := range targets {
		go func() { results <- result{target: t, err: d.probeLink(probeCtx, t)} }()
	}
	pauses := newPauseMeter()
	defer pauses.stop()
	var silent []*pkreplica.Target
	settled := false
	for missing := len(targets) - 1; missing >= 0 && !settled; missing-- {
		one := receive(pauses, results)
		if one.err != nil && !pkexchange.IsConnectionError(one.err) && !errors.Is(one.err, errUnanswered) {
			silent = append(silent, one.target)
		}
		settled = !next(one.target, one.err, missing)
	}
	maxPause, took := time.Duration(maxPauseShare*float64(timeout)), time.Since(began)
	paused := !settled && len(silent) > 0 && (pauses.longest > maxPause || took > timeout+maxPause)
	switch {
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case paused || took > 2*timeout:
		return nil, errStalled
	default:
		return silent, nil
	}
}

// pauseMeter measures how long this process does not run.
type pauseMeter struct {
	ticker *time.Ticker
	last   time.Time
	// longest is the longest time between two ticks.
	longest time.Duration
}

func newPauseMeter() *pauseMeter {
	return &pauseMeter{ticker: time.NewTicker(pauseTick), last: time.Now()}
}

func (m *pauseMeter) stop() { m.ticker.Stop() }

// update ends the pause in progress.
func (m *pauseMeter) update() {
	now := time.Now()
	m.longest = max(m.longest, now.Sub(m.last))
	m.last = now
}

// receive receives from a channel and measures pauses meanwhile.
func receive[T any](m *pauseMeter, from <-chan T) T {
	defer m.update()
	for {
		select {
		case one := <-from:
			return one
		case <-m.ticker.C:
			m.update()
		}
	}
}

// probeLink returns an error if a target cannot be reached. A link may accept a connection and reset it
// once it is used. A target that is connected and does not answer in time, errUnanswered, is busy, or the reset is late.
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
	switch {
	case pkexchange.IsConnectionError(err):
		return err
	case err != nil && ctx.Err() != nil:
		return errUnanswered
	default:
		return nil
	}
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

// checkLinksAtStart checks the links to the targets of all services once these are known, before this entry is
// ready: its first call may be one that cannot be repeated. It reports false if ctx ends before.
func (d *Daemon) checkLinksAtStart(ctx context.Context) bool {
	for d.configs.Table() == nil || !d.listed.Load() {
		if !pktimer.Sleep(ctx, startPollInterval) {
			return false
		}
	}
	var wg sync.WaitGroup
	for _, s := range d.configs.Table().Services {
		wg.Go(func() {
			targets := d.linkSample(time.Now(), s.ID, "")
			targets = targets[:min(len(targets), startSampleSize)]
			failed := 0
			_, err := d.probeLinks(ctx, targets, linkTimeout, func(_ *pkreplica.Target, err error, _ int) bool {
				if err != nil && !errors.Is(err, errUnanswered) {
					failed++
				}
				return true
			})
			if err != nil || failed > 0 {
				d.linkCondition(ctx, s.ID, "")
			}
		})
	}
	wg.Wait()
	d.linksChecked.Store(true)
	return ctx.Err() == nil
}

// watchLinks checks the links to the targets of all services while those to any are impaired: a fault is likely
// to cover all, and calls that may not be repeated must not be what shows it.
func (d *Daemon) watchLinks(ctx context.Context) {
	if !d.checkLinksAtStart(ctx) {
		return
	}
	pktimer.Every(ctx, linkScanInterval, func(ctx context.Context) {
		table := d.configs.Table()
		if table == nil || len(d.links.ImpairedServices()) == 0 {
			return
		}
		for i := range table.Services {
			if s := table.Services[i].ID; !d.links.CheckedWithin(time.Now(), s, pkreach.RecheckInterval) {
				d.linkCondition(ctx, s, "")
			}
		}
	})
}
