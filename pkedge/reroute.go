package pkedge

import (
	"context"
	"sync"
	"time"

	"peridotknot.example/pkowner"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pktimer"
)

const (
	// rerouteInterval is how often streams are checked. Callers count a gap of 200 ms as late,
	// and detection and reroute must both fit into it.
	rerouteInterval = 20 * time.Millisecond
	// rerouteMaxLag is the lag of a check beyond which this VM itself is taken to have stalled,
	// which makes all streams look silent.
	rerouteMaxLag = 2 * rerouteInterval
	// rerouteIdleInterval is the check interval of an entry without streams.
	rerouteIdleInterval = 100 * time.Millisecond
	// maxReroutes bounds the path changes of one attempt; after that the request is sent again if
	// it may be.
	maxReroutes = 4
	// repathTimeout bounds the order to change a path.
	repathTimeout = 150 * time.Millisecond
	// drainRetryReserve is the number of retries that the budget must allow before a stream leaves
	// an engine that still serves it: the next engines may refuse it, and without a retry left the
	// answer would break off.
	drainRetryReserve = 3
)

// Reasons to move a stream off a target.
const (
	reasonDead    = "dead"
	reasonLeaving = "leaving"
	// reasonCutOff means that this entry no longer reaches the target, or not reliably.
	reasonCutOff = "cut_off"
)

// attemptSet holds the attempts in progress.
type attemptSet struct {
	mu  sync.Mutex
	all map[*attempt]bool
	// wake triggers a check before the next one is due.
	wake chan struct{}
	// wg counts the liveness checks and reroutes in progress.
	wg sync.WaitGroup
}

// wakeUp triggers an immediate check of the streams.
func (s *attemptSet) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default: // a check is pending already
	}
}

func (s *attemptSet) add(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*attempt]bool{}
	}
	s.all[a] = true
}

func (s *attemptSet) remove(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, a)
}

func (s *attemptSet) list() []*attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*attempt, 0, len(s.all))
	for a := range s.all {
		out = append(out, a)
	}
	return out
}

// rerouteStreams moves streams off engines that are dead or draining. Engines end a stream that
// waits for a dead one only after seconds, and a draining one ends the streams that are left when
// it stops.
func (d *Daemon) rerouteStreams(ctx context.Context) {
	wg := &d.streams.wg
	defer wg.Wait()
	for pause := rerouteInterval; ; {
		before := time.Now()
		if !pktimer.SleepOrWake(ctx, pause, d.streams.wake) {
			return
		}
		now := time.Now()
		all := d.streams.list()
		if now.Sub(before) <= pause+rerouteMaxLag {
			d.suspectStalledEngines(ctx, now, all)
		}
		d.rerouteAll(ctx, now, all)
		pause = rerouteInterval
		if len(all) == 0 {
			pause = rerouteIdleInterval
		}
	}
}

// rerouteAll reroutes the streams that need it at now.
func (d *Daemon) rerouteAll(ctx context.Context, now time.Time, all []*attempt) {
	for _, a := range all {
		if t, reason := a.needsReroute(now); t != nil {
			d.streams.wg.Go(func() { d.reroute(ctx, a, t, reason) })
		}
	}
}

// reroute moves a stream off a target: in place, where only the new engines prefill the tokens so
// far, or by another attempt after the last event, for which all engines prefill them. A local
// replacement in place comes first: when engines die together, their streams would otherwise all
// prefill all their tokens again at the same time.
//
// A draining target keeps serving for seconds: its streams stay until there is capacity elsewhere
// and a retry left.
func (d *Daemon) reroute(ctx context.Context, a *attempt, t *pkreplica.Target, reason string) {
	now := time.Now()
	if reason == reasonCutOff {
		d.moveToPeer(now, a, t)
		return
	}
	if a.recordEngineDeath(now, t, reason) {
		a.cancel(errRerouted) // the request would crash another engine
		return
	}
	by, found := d.findReplacement(now, a, t)
	inPlace := found && a.prefersInPlace(now, t, by, reason)
	switch {
	case inPlace && d.repath(ctx, a, t, reason, by):
	case a.canRetry && d.reserveRetry(a, reason):
		d.log.Info("a stream goes on by another attempt", "request_id", a.call.req.Meta.ID, "target", t.ID, "why", reason)
		a.cancel(errRerouted)
	case a.canRetry && reason == reasonLeaving:
		a.keepPath()
	case found && !inPlace && d.repath(ctx, a, t, reason, by):
	default:
		d.log.Info("no alternative path for a stream, its path is kept for now", "request_id", a.call.req.Meta.ID, "target", t.ID, "why", reason, "detour", found)
		a.deferReroute(now)
	}
}

// moveToPeer ends the attempt of a silent stream at an entry whose links are impaired, so that the stream goes on
// through another entry, or keeps it for now if there is none or the retry budget allows no send.
func (d *Daemon) moveToPeer(now time.Time, a *attempt, t *pkreplica.Target) {
	if !a.canRetry || len(d.relayCandidates(now, a.service.ID)) == 0 || !d.chargeAttempt(now, a) {
		a.deferReroute(now)
		return
	}
	d.log.Info("a stream goes on by another attempt", "request_id", a.call.req.Meta.ID, "target", t.ID, "why", reasonCutOff)
	a.cancel(errRerouted)
}

// chargeAttempt charges the next send of a stream to the retry budget at now, and reports whether the budget allows it or
// the attempt has ended meanwhile.
func (d *Daemon) chargeAttempt(now time.Time, a *attempt) bool {
	charge := d.budgets.of(a.call.service).Charge(now, d.retryLimits(now))
	if charge == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		charge.Cancel()
	} else {
		a.nextCharge = charge
	}
	return true
}

// findReplacement returns a path that can replace one engine of an attempt's path. The first engine
// cannot be replaced, nor any after maxReroutes.
func (d *Daemon) findReplacement(now time.Time, a *attempt, t *pkreplica.Target) (targetPath, bool) {
	old := a.currentPath()
	at := old.index(t.ID)
	if at <= 0 || a.rerouteCount() >= maxReroutes {
		return targetPath{}, false
	}
	return d.findPath(now, a.service, pathQuery{
		layers: old.stages[at].Layers, tokens: a.tokens, from: old.targets[at-1].DataCenter, inPath: true,
		exclude: old.targetIDs(), memoryShare: 1, urgent: true,
	})
}

// reserveRetry reports whether a stream that leaves its path can be sent again, and charges the
// send to the retry budget. It needs a path with capacity and a retry that the budget allows;
// without both the answer would break off.
func (d *Daemon) reserveRetry(a *attempt, reason string) bool {
	now := time.Now()
	if a.service.Engine == nil {
		return false
	}
	if _, found := d.choosePath(now, a.service, a.tokens, 1); !found {
		return false
	}
	budget, limits := d.budgets.of(a.call.service), d.retryLimits(now)
	if reason == reasonLeaving && !budget.HasRetries(now, limits, drainRetryReserve) {
		return false
	}
	return d.chargeAttempt(now, a)
}

// repath orders the engines to replace a target on the path in place. It reports whether that is
// settled: the order was accepted, or the attempt has ended.
func (d *Daemon) repath(ctx context.Context, a *attempt, t *pkreplica.Target, reason string, by targetPath) bool {
	old := a.currentPath()
	at := old.index(t.ID)
	// Reserved before the order, since the other streams of the same engine choose their paths
	// meanwhile.
	by.reserve(time.Now(), a.service.Engine, &d.linkUsage, a.tokens, a.tokens, d.gossip.reportDelay())
	next := old.withReplaced(at, by)
	orderCtx, cancel := context.WithTimeout(ctx, repathTimeout)
	outcome, err := d.Engines.Repath(orderCtx, old.first().Addr, a.call.req.Meta.ID, next.hops)
	cancel()
	done := outcome == pkowner.Begun || outcome == pkowner.Done
	d.log.Info("a stream changes its path", "request_id", a.call.req.Meta.ID, "target", t.ID, "why", reason, "events", a.eventCount(),
		"outcome", outcome.String(), "path", next.String(), "error", err)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || !done {
		by.release(a.tokens)
		return a.ended
	}
	old.targets[at].Done(a.tokens * float64(old.stages[at].Layers.Len()))
	a.reroutes++
	a.path = next
	a.lastEventAt = time.Now()
	a.rerouting = false
	d.roomFreed()
	return true
}
