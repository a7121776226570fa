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
	// mendEvery is how often streams are looked over: callers count a pause of
	// 200 ms as late, and finding and mending must both fit in it.
	mendEvery = 20 * time.Millisecond
	// mendLate is how late a look is when this VM itself stood still: all streams
	// then seem silent.
	mendLate = 2 * mendEvery
	// mendIdle is how often an entry without streams looks for some: a stream's
	// first events take longer.
	mendIdle = 100 * time.Millisecond
	// mendMost bounds how often one attempt is given another path; after that it is sent
	// again, where it may be.
	mendMost = 4
	// repathTimeout bounds the order of another path.
	repathTimeout = 150 * time.Millisecond
	// leaveSpare is how many sends the retry budget must allow where a stream leaves an engine
	// that still serves: the engines that it is sent to next may refuse it, and with its last
	// send spent it would break off.
	leaveSpare = 3
)

// Reasons to take a stream off a target.
const (
	whyDead    = "dead"
	whyLeaving = "leaving"
)

// streams are the attempts under way.
type streams struct {
	mu  sync.Mutex
	all map[*attempt]bool
	// gone asks for a look before the next is due: an engine's process is gone.
	gone chan struct{}
	// wg counts what is being asked and mended.
	wg sync.WaitGroup
}

// look has the streams looked over at once.
func (s *streams) look() {
	select {
	case s.gone <- struct{}{}:
	default: // a look is asked for already
	}
}

func (s *streams) add(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*attempt]bool{}
	}
	s.all[a] = true
}

func (s *streams) remove(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, a)
}

func (s *streams) list() []*attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*attempt, 0, len(s.all))
	for a := range s.all {
		out = append(out, a)
	}
	return out
}

// mendStreams gives streams another path where an engine of theirs is dead or
// leaves. Engines cut a stream that waits for a dead one after seconds, and a
// leaving one cuts what is still passing through it.
func (d *Daemon) mendStreams(ctx context.Context) {
	wg := &d.streams.wg
	defer wg.Wait()
	for pause := mendEvery; ; {
		before := time.Now()
		if !pktimer.SleepOr(ctx, pause, d.streams.gone) {
			return
		}
		now := time.Now()
		all := d.streams.list()
		if now.Sub(before) <= pause+mendLate {
			d.findDead(ctx, now, all)
		}
		d.mendAll(ctx, now, all)
		pause = mendEvery
		if len(all) == 0 {
			pause = mendIdle
		}
	}
}

// mendAll mends the streams that want it at now.
func (d *Daemon) mendAll(ctx context.Context, now time.Time, all []*attempt) {
	for _, a := range all {
		if t, why := a.wants(now); t != nil {
			d.streams.wg.Go(func() { d.mend(ctx, a, t, why) })
		}
	}
}

// mend lets a stream go on without a target: by another path in place, whose new engines
// alone read the tokens so far, or by another attempt after its last event, which reads them
// through all engines. A near path in place is tried first: where engines died together, all of
// their streams read all their tokens again at once, and each waited for the others.
//
// A leaving target serves on for seconds: its streams stay with it until there is
// room elsewhere and a send left.
func (d *Daemon) mend(ctx context.Context, a *attempt, t *pkreplica.Target, why string) {
	now := time.Now()
	if a.diedUnder(now, t, why) {
		a.cancel(errMoved) // another engine would end under it
		return
	}
	by, found := d.detour(now, a, t)
	inPlace := found && a.staysWith(now, t, by, why)
	switch {
	case inPlace && d.repath(ctx, a, t, why, by):
	case a.again && d.mayMove(a, why):
		d.log.Info("a stream goes on by another attempt", "request_id", a.call.req.Ask.ID, "target", t.ID, "why", why)
		a.cancel(errMoved)
	case a.again && why == whyLeaving:
		a.stay()
	case found && !inPlace && d.repath(ctx, a, t, why, by):
	default:
		d.log.Info("a stream finds no other path", "request_id", a.call.req.Ask.ID, "target", t.ID, "why", why, "detour", found)
		a.tryLater(now)
	}
}

// detour returns the engines that can take the place of one on a path; none take that of
// the first, and none that of any once the attempt was given as many paths as it may be.
func (d *Daemon) detour(now time.Time, a *attempt, t *pkreplica.Target) (route, bool) {
	old := a.route()
	at := old.find(t.ID)
	if at <= 0 || a.mends() >= mendMost {
		return route{}, false
	}
	return d.find(now, a.service, wish{
		span: old.parts[at].Layers, tokens: a.tokens, from: old.targets[at-1].DataCenter, within: true,
		without: old.ids(), share: 1, hurry: true,
	})
}

// mayMove says whether a stream that is taken off its path has somewhere to go: a path
// with room and a send that the retry budget allows, which is counted here. Without
// both, it would break off for nothing.
func (d *Daemon) mayMove(a *attempt, why string) bool {
	now := time.Now()
	if a.service.Engine == nil {
		return false
	}
	if _, found := d.choosePath(now, a.service, a.tokens, 1); !found {
		return false
	}
	budget, terms := d.budgets.of(a.call.service), d.retry.Load().terms(d.entries(now))
	if why == whyLeaving && !budget.Spare(now, terms, leaveSpare) {
		return false
	}
	if !budget.Repeat(now, terms) {
		return false
	}
	a.paid.Store(true)
	return true
}

// repath orders another path around a target and says whether the stream has it.
func (d *Daemon) repath(ctx context.Context, a *attempt, t *pkreplica.Target, why string, by route) bool {
	old := a.route()
	at := old.find(t.ID)
	// Counted before the order: the other streams of the same engine choose meanwhile.
	by.begin(time.Now(), a.service.Engine, &d.pipes, a.tokens, a.tokens, d.sharing.toldAfter())
	next := old.replaced(at, by)
	order, cancel := context.WithTimeout(ctx, repathTimeout)
	outcome, err := d.Engines.Repath(order, old.first().Addr, a.call.req.Ask.ID, next.hops)
	cancel()
	done := outcome == pkowner.Begun || outcome == pkowner.Done
	d.log.Info("a stream changes its path", "request_id", a.call.req.Ask.ID, "target", t.ID, "why", why, "events", a.count(),
		"outcome", outcome.String(), "path", next.String(), "error", err)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.over || !done {
		by.done(a.tokens)
		return a.over
	}
	old.targets[at].Done(a.tokens * float64(old.parts[at].Layers.Len()))
	a.mended++
	a.path = next
	a.last = time.Now()
	a.mending = false
	return true
}
