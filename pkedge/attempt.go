package pkedge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkstall"
)

const (
	// leaveFirst and leaveLast are between which times after a target began to
	// leave its streams change their path: most end by themselves within that time,
	// and the rest must not all come to the same engine at once. Targets serve on
	// for two seconds at least.
	leaveFirst = 500 * time.Millisecond
	leaveLast  = 1600 * time.Millisecond
	// stayPause is how soon a stream that found no room elsewhere looks again, and one
	// whose new path was refused.
	stayPause = 200 * time.Millisecond
	// pauseWeight is the weight of the last pause in a stream's mean.
	pauseWeight = 0.2
	// refusedWithin is how long an engine takes at most to refuse a request for another one on
	// its path: some milliseconds. Beginning to run a request takes 40 ms and more.
	refusedWithin = 30 * time.Millisecond
	// provenAfter is how long after its first event a stream has shown that its engines bear
	// it: those that a request crashes end within a tenth of a second of beginning to run it.
	provenAfter = time.Second
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
	a.call.brokeOff(now, err, a.route().first())
}

// diedUnder suspects the request of an attempt on whose path an engine is dead at now, unless
// its engines had borne it for long, and says whether the request is kept from engines. The first
// engine ends the send with it, which says whether it may have run; and one that the request has
// only just been sent through may refuse it yet. Suspected of engines that had refused them, callers
// that had met two crashes were refused for three.
func (a *attempt) diedUnder(now time.Time, t *pkreplica.Target, why string) bool {
	if why != whyDead || a.isProven() {
		return false
	}
	if t.ID != a.route().first().ID && now.Sub(a.began) >= refusedWithin {
		a.call.suspectAt(now, t, false)
	}
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

// staysWith says whether an attempt is given another path around a target rather than sent again:
// it may not be sent again, or the engines beside a dead one take its place.
func (a *attempt) staysWith(now time.Time, t *pkreplica.Target, by route, why string) bool {
	return !a.again || (why == whyDead && a.near(now, t, by))
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
