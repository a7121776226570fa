package pkedge

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pkowner"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkstall"
	"peridotknot.example/pktimer"
)

const (
	// mendEvery is how often streams are looked over: callers count a pause of
	// 200 ms as late, and finding and mending must both fit in it.
	mendEvery = 20 * time.Millisecond
	// leaveFirst and leaveLast are between which times after a target began to
	// leave its streams change their path: most end by themselves within that time,
	// and the rest must not all come to the same engine at once. Targets serve on
	// for two seconds at least.
	leaveFirst = 500 * time.Millisecond
	leaveLast  = 1600 * time.Millisecond
	// stayPause is how soon a stream that found no room elsewhere looks again, and one
	// whose new path was refused.
	stayPause = 200 * time.Millisecond
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
	// askTimeout is how long an engine may take to give a sign of life; reports are
	// answered in a few milliseconds whatever the load, and one that another engine gave
	// meanwhile shows that this VM was not the slow one.
	askTimeout = 40 * time.Millisecond
	// askPause is how soon the same engine is asked again.
	askPause = 200 * time.Millisecond
	// pauseWeight is the weight of the last pause in a stream's mean.
	pauseWeight = 0.2
)

// Reasons to take a stream off a target.
const (
	whyDead    = "dead"
	whyLeaving = "leaving"
)

// attempt is one send of a stream over a path.
type attempt struct {
	call    *call
	service *pkconfig.Service
	began   time.Time
	tokens  float64
	cancel  context.CancelCauseFunc

	mu    sync.Mutex
	path  route
	last  time.Time
	pause time.Duration
	// events counts the events of this attempt, the first of which came at first; proven says
	// that it has gone on for long enough. mended counts its new paths.
	events  int
	first   time.Time
	proven  bool
	mended  int
	mending bool
	over    bool
	// paid is set once the next send was counted in the retry budget.
	paid atomic.Bool
	// again says that the request has another attempt left.
	again bool
	// triedUntil is until when it is not tried again to give the attempt another path.
	triedUntil time.Time
	// patience is how long the attempt stays with a target that leaves.
	patience time.Duration
}

// newAttempt counts an attempt on the targets of its path.
func (c *call) newAttempt(now time.Time, s *pkconfig.Service, p route, cancel context.CancelCauseFunc) *attempt {
	a := &attempt{
		call: c, service: s, began: now, last: now, tokens: c.size(s.Engine), cancel: cancel, path: p,
		again:    c.route.Repeatable() && c.runs+1 < c.route.MaxAttempts,
		patience: leaveFirst + rand.N(leaveLast-leaveFirst),
	}
	p.begin(now, s.Engine, &c.pipes, a.tokens, float64(c.req.Ask.PromptTokens), c.sharing.toldAfter())
	c.streams.add(a)
	return a
}

// end ends what newAttempt counted and returns how many new paths there were.
func (a *attempt) end() int {
	a.call.streams.remove(a)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.over = true
	a.path.done(a.tokens)
	return a.mended
}

// event notes an event at now and says whether the attempt has now shown that its engines bear
// the request.
func (a *attempt) event(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.events == 0 {
		a.first = now
	}
	if a.events > 0 {
		pause := now.Sub(a.last)
		if a.pause == 0 {
			a.pause = pause
		}
		a.pause += time.Duration(pauseWeight * float64(pause-a.pause))
	}
	a.events++
	a.last = now
	before := a.proven
	a.proven = a.proven || now.Sub(a.first) >= provenAfter
	return a.proven && !before
}

// broke suspects the request of an attempt that ended at now with an error, unless its engines
// had borne it for long.
func (a *attempt) broke(now time.Time, err error) {
	if a.isProven() {
		return
	}
	p := a.route()
	a.call.brokeOff(now, err, p.first(), p.targets[1:]...)
}

// diedUnder suspects the request of an attempt on whose path an engine is dead at now, unless
// its engines had borne it for long, and says whether the request is kept from engines.
func (a *attempt) diedUnder(now time.Time, t *pkreplica.Target, why string) bool {
	if why != whyDead || a.isProven() {
		return false
	}
	a.call.suspectAt(now, t, false)
	return a.call.held(now) != nil
}

func (a *attempt) isProven() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.proven
}

// mends returns how many other paths the attempt was given.
func (a *attempt) mends() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mended
}

// count returns how many events have come.
func (a *attempt) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.events
}

func (a *attempt) route() route {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.path
}

// flow returns the attempt as the search for a dead engine sees it; one that passes no
// engine says nothing.
func (a *attempt) flow() (pkstall.Flow, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asFlow(), len(a.path.hops) > 0
}

func (a *attempt) asFlow() pkstall.Flow {
	return pkstall.Flow{
		Path: a.path.ids(), Begun: a.events > 0, Last: a.last, Pause: a.pause,
		Most: a.call.route.PauseObjective, First: a.call.route.Objective,
	}
}

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

// findDead suspects the engines that silent streams have in common and that do not
// answer. One that answers is slow, not dead: to pass it over would send all of its
// streams to others at once, which then look dead in their turn.
func (d *Daemon) findDead(ctx context.Context, now time.Time, all []*attempt) {
	flows := make([]pkstall.Flow, 0, len(all))
	for _, a := range all {
		if f, overEngines := a.flow(); overEngines {
			flows = append(flows, f)
		}
	}
	evidence := pkstall.Evidence{Turn: rand.Uint64(), Answered: func(id pkid.TargetID) time.Time {
		if t, found := d.roster.Target(id); found {
			return t.AnsweredAt()
		}
		return time.Time{}
	}}
	for _, id := range pkstall.Culprits(now, flows, evidence) {
		t, found := d.roster.Target(id)
		if !found || t.Avoided(now) || !t.Ask(now, askPause) {
			continue
		}
		d.streams.wg.Go(func() { d.ask(ctx, t) })
	}
}

// ask asks an engine for a sign of life, and another one with it.
func (d *Daemon) ask(ctx context.Context, t *pkreplica.Target) {
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	control := make(chan error, 1)
	go func() { control <- d.askOther(call, t) }()
	_, err := d.report(call, t)
	if ctx.Err() != nil {
		return
	}
	controlErr := <-control
	dead := pkstall.Dead(err, controlErr)
	if now := time.Now(); dead {
		d.suspect(t, now.Add(suspectPause), err)
		d.mendAll(ctx, now, d.streams.list())
	}
	d.log.Info("asked an engine for a sign of life", "target", t.ID, "dead", dead, "error", err, "control_error", controlErr)
}

// errNoOther says that there is no other engine to ask.
var errNoOther = errors.New("there is no other engine")

// askOther asks any other engine of the same pool.
func (d *Daemon) askOther(ctx context.Context, t *pkreplica.Target) error {
	now := time.Now()
	live := slices.DeleteFunc(d.roster.Live(now, t.Service), func(o *pkreplica.Target) bool {
		return o.ID == t.ID || o.Avoided(now)
	})
	if len(live) == 0 {
		return errNoOther
	}
	_, err := d.report(ctx, live[rand.N(len(live))])
	return err
}

// suspect passes a target over for a failure, here and at the other entries. Where nothing
// listens at its address its process is gone, and all that passed through it.
func (d *Daemon) suspect(t *pkreplica.Target, until time.Time, err error) {
	one := suspicion{until: until, born: t.Born}
	if errors.Is(err, syscall.ECONNREFUSED) {
		one.fault = faultGone
	}
	d.pass(t, one)
	d.sharing.suspect(t.ID, one)
}

// misplaced passes over a target that refused its part of a path as one that it does not
// hold, here and at the other entries, until its entry says something new. It has started
// again empty, and the list learns of that only once the target reaches the store: cut off
// from it for four seconds, six engines cost 378 sends that were refused (one day).
func (d *Daemon) misplaced(now time.Time, t *pkreplica.Target) time.Time {
	one := suspicion{until: now.Add(misdirectedPause), fault: faultMisplaced, born: t.Born, entry: d.roster.Revision(t.ID)}
	if latest, found := d.roster.Target(t.ID); !found || latest != t {
		return now // its entry has changed since it was chosen
	}
	d.pass(t, one)
	d.sharing.suspect(t.ID, one)
	return one.until
}

func (d *Daemon) pass(t *pkreplica.Target, one suspicion) {
	switch one.fault {
	case faultGone:
		t.Gone(one.until)
		d.streams.look()
	case faultMisplaced:
		t.Misplaced(one.until)
	case faultSilent:
		t.Dead(one.until)
	}
}

// wants returns the target that the attempt should pass no more, if there is one.
func (a *attempt) wants(now time.Time) (*pkreplica.Target, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mending || a.over || (a.mended >= mendMost && !a.again) || now.Before(a.triedUntil) {
		return nil, ""
	}
	silent := a.asFlow().Silent(now)
	for i, t := range a.path.targets {
		latest, found := a.call.roster.Target(t.ID)
		switch {
		case t.IsGone(now), silent && t.IsDead(now):
			a.mending = true
			return t, whyDead
		case i > 0 && found && a.call.roster.LeavingFor(now, latest) > a.patience:
			a.mending = true
			return t, whyLeaving
		}
	}
	return nil, ""
}

// mend lets a stream go on without a target: by another path in place, whose new engines
// alone read the tokens so far, or by another attempt after its last event, which reads them
// through all engines. Where four of 99 engines died at one moment, 140 streams read all
// their tokens again at once, and each waited for the others. With a near path in place tried
// first, days with trouble of that pool are worth 0.012 more (mean of 20 days).
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

// staysWith says whether an attempt is given another path around a target rather than sent again:
// it may not be sent again, or the engines beside a dead one take its place.
func (a *attempt) staysWith(now time.Time, t *pkreplica.Target, by route, why string) bool {
	return !a.again || (why == whyDead && a.near(now, t, by))
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

// near says whether a detour stays in the data centre of the dead engine that it leads
// around, and no other engine of the path is dead. Through a pipe all tokens so far would
// pass there and back: when 32 streams did so at once, each stood still for half a second.
func (a *attempt) near(now time.Time, dead *pkreplica.Target, by route) bool {
	for _, t := range by.targets {
		if t.DataCenter != dead.DataCenter {
			return false
		}
	}
	for _, t := range a.route().targets {
		if t.ID != dead.ID && t.IsDead(now) {
			return false
		}
	}
	return true
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

// stay lets the attempt keep its path for now.
func (a *attempt) stay() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mending = false
	a.patience += stayPause
}

// tryLater lets an attempt that found no other path at now keep its own. To give it up would
// break the answer off for certain. Engines that live after all go on, and a dead one ends the
// stream itself, but only after seconds. There may be room elsewhere before: tried four times
// at once and then no more, one stream in ten with a dead engine stood still until its caller
// left.
func (a *attempt) tryLater(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mending = false
	a.triedUntil = now.Add(stayPause)
	a.patience += stayPause
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
