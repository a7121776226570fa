package pkedge

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstall"
	"peridotknot.example/pkstore"
)

const (
	// suspectPause is how long an engine that others wait for is passed over. Its
	// entry lapses, or it comes back empty, within that time.
	suspectPause = 4 * time.Second
	// askTimeout is how long an engine may take to give a sign of life; reports are
	// answered in a few milliseconds whatever the load, and one that another engine gave
	// meanwhile shows that this VM was not the slow one.
	askTimeout = 40 * time.Millisecond
	// askPause is how soon the same engine is asked again.
	askPause = 200 * time.Millisecond
)

// suspicion is what is told of a target that was found at fault.
type suspicion struct {
	until time.Time
	fault fault
	// born is the start of the target, entry the revision of its entry, by which it was judged.
	born  pkid.Birth
	entry pkstore.Revision
}

// fault is how a target was found at fault; a greater one says more.
type fault uint8

// Faults.
const (
	// faultSilent targets give no sign of life.
	faultSilent fault = iota
	// faultMisplaced targets do not hold the layers that their entry names.
	faultMisplaced
	// faultGone targets have no process.
	faultGone
)

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

// ask asks an engine for a sign of life, and another one with it, and says whether it is dead.
func (d *Daemon) ask(ctx context.Context, t *pkreplica.Target) bool {
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	control := make(chan error, 1)
	go func() { control <- d.askOther(call, t) }()
	_, err := d.report(call, t)
	if ctx.Err() != nil {
		return false
	}
	controlErr := <-control
	dead := pkstall.Dead(err, controlErr)
	if now := time.Now(); dead {
		d.suspect(t, now.Add(suspectPause), err)
		d.mendAll(ctx, now, d.streams.list())
	}
	d.log.Info("asked an engine for a sign of life", "target", t.ID, "dead", dead, "error", err, "control_error", controlErr)
	return dead
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
// again empty, and the list learns of that only once the target reaches the store; until then
// each request that is sent to it is refused.
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

// suspect tells the others that a target is passed over until a time, at once where that
// is news. What one of them said is passed on in the same way, and what comes back to where
// it began is no news.
//
// Told with the next message, at 78 entries it went by three of them, and half of the
// streams of dead engines learned of it 220 to 260 ms after the crash.
func (s *sharing) suspect(t pkid.TargetID, one suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.suspects[t]
	if old.born == one.born && one.until.Sub(old.until) <= suspectPause/2 && old.fault >= one.fault {
		return
	}
	s.suspects[t] = one
	s.hurry()
}

// hearSuspect passes a target over on another entry's word, and passes the word on where
// there are hubs. What was said of an earlier start of the target, or by an earlier entry of
// it, no longer holds.
func (d *Daemon) hearSuspect(now time.Time, from pkid.EntryID, told pkshare.Suspect) {
	one := suspicion{until: now.Add(time.Duration(told.ForMS) * time.Millisecond), born: told.Born, entry: told.Entry}
	switch {
	case told.Gone:
		one.fault = faultGone
	case told.Misplaced:
		one.fault = faultMisplaced
	}
	if d.roster.Restarted(told.Target, told.Born) {
		d.streams.look()
	}
	if t, found := d.roster.Target(told.Target); found {
		if d.outdated(t, one) {
			return
		}
		if !t.IsDead(now) {
			d.log.Info("a target is passed over on a peer's word", "target", t.ID, "peer", from, "gone", told.Gone,
				"misplaced", told.Misplaced, "born", told.Born, "for_ms", told.ForMS)
		}
		d.pass(t, one)
	}
	if d.sharing.withHubs.Load() {
		d.sharing.suspect(told.Target, one)
	}
}

// outdated says whether more is known of a target than a suspicion was judged by.
func (d *Daemon) outdated(t *pkreplica.Target, one suspicion) bool {
	if one.born != 0 && t.Born > one.born {
		return true
	}
	return one.fault == faultMisplaced && d.roster.Revision(t.ID) > one.entry
}
