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
	// suspectTTL is how long a dead engine is avoided. Its entry in the list expires or is replaced
	// within that time.
	suspectTTL = 4 * time.Second
	// livenessTimeout bounds the report of an engine that is checked for liveness; live engines
	// answer within a few milliseconds under any load.
	livenessTimeout = 40 * time.Millisecond
	// livenessInterval is the shortest time between liveness checks of one engine.
	livenessInterval = 200 * time.Millisecond
)

// suspicion is a fault found in a target, as it is reported to the other entries.
type suspicion struct {
	until time.Time
	fault fault
	// born identifies the start of the target and entry the revision of its list entry that the
	// suspicion is based on.
	born  pkid.StartTime
	entry pkstore.Revision
}

// fault is the kind of fault of a target; a higher value is stronger evidence.
type fault uint8

// Kinds of fault.
const (
	// faultSilent is the fault of a target that does not answer.
	faultSilent fault = iota
	// faultMisplaced is the fault of a target that does not hold the layers in its list entry.
	faultMisplaced
	// faultGone is the fault of a target whose process has ended.
	faultGone
)

// suspectStalledEngines checks the engines that silent streams have in common and suspects those
// that do not answer. One that answers is merely slow: moving all of its streams at once would
// overload other engines.
func (d *Daemon) suspectStalledEngines(ctx context.Context, now time.Time, all []*attempt) {
	flows := make([]pkstall.Stream, 0, len(all))
	for _, a := range all {
		if f, overEngines := a.flow(); overEngines {
			flows = append(flows, f)
		}
	}
	evidence := pkstall.Evidence{TieBreak: rand.Uint64(), Answered: func(id pkid.TargetID) time.Time {
		if t, found := d.roster.Target(id); found {
			return t.LastAnsweredProbe()
		}
		return time.Time{}
	}}
	for _, id := range pkstall.ProbeTargets(now, flows, evidence) {
		t, found := d.roster.Target(id)
		if !found || t.Avoided(now) || !t.AllowProbe(now, livenessInterval) {
			continue
		}
		d.streams.wg.Go(func() { d.checkLiveness(ctx, t) })
	}
}

// checkLiveness asks an engine for a report, and another engine at the same time as a control, and
// reports whether the first one is dead. The control tells a dead engine from a stall of this VM.
func (d *Daemon) checkLiveness(ctx context.Context, t *pkreplica.Target) bool {
	call, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	control := make(chan error, 1)
	go func() { control <- d.checkControl(call, t) }()
	_, err := d.readReport(call, t)
	if ctx.Err() != nil {
		return false
	}
	controlErr := <-control
	dead := pkstall.Dead(err, controlErr)
	if now := time.Now(); dead {
		d.suspect(t, now.Add(suspectTTL), err)
		d.rerouteAll(ctx, now, d.streams.list())
	}
	d.log.Info("engine checked for liveness", "target", t.ID, "dead", dead, "error", err, "control_error", controlErr)
	return dead
}

// errNoControl is the result of a liveness control without another engine to ask.
var errNoControl = errors.New("no other engine in the pool")

// checkControl asks any other engine of the same pool for a report.
func (d *Daemon) checkControl(ctx context.Context, t *pkreplica.Target) error {
	now := time.Now()
	live := slices.DeleteFunc(d.roster.Live(now, t.Service), func(o *pkreplica.Target) bool {
		return o.ID == t.ID || o.Avoided(now)
	})
	if len(live) == 0 {
		return errNoControl
	}
	_, err := d.readReport(ctx, live[rand.N(len(live))])
	return err
}

// suspect avoids a target after a failure and tells the other entries. A target that refuses
// connections has no process, and all streams through it are lost.
func (d *Daemon) suspect(t *pkreplica.Target, until time.Time, err error) {
	s := suspicion{until: until, born: t.Born}
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.fault = faultGone
	}
	d.applySuspicion(t, s)
	d.gossip.announceSuspicion(t.ID, s)
}

// suspectMisplaced avoids a target that refused a part of a path because it does not hold those
// layers, and tells the other entries. The suspicion holds until the target's list entry changes:
// it has restarted empty, and the list shows that only after the target has reached the store.
func (d *Daemon) suspectMisplaced(now time.Time, t *pkreplica.Target) time.Time {
	s := suspicion{until: now.Add(misdirectedTTL), fault: faultMisplaced, born: t.Born, entry: d.roster.Revision(t.ID)}
	if latest, found := d.roster.Target(t.ID); !found || latest != t {
		return now // the list entry has changed since the target was chosen
	}
	d.applySuspicion(t, s)
	d.gossip.announceSuspicion(t.ID, s)
	return s.until
}

func (d *Daemon) applySuspicion(t *pkreplica.Target, s suspicion) {
	switch s.fault {
	case faultGone:
		t.MarkGone(s.until)
		d.streams.wakeUp()
	case faultMisplaced:
		t.MarkStaleRecord(s.until)
	case faultSilent:
		t.MarkDead(s.until)
	}
}

// announceSuspicion tells the other entries of a suspicion at once if it is new. Suspicions
// received from other entries are forwarded in the same way; one that comes back is not new and
// ends there.
func (s *gossip) announceSuspicion(t pkid.TargetID, next suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.suspects[t]
	if old.born == next.born && next.until.Sub(old.until) <= suspectTTL/2 && old.fault >= next.fault {
		return
	}
	s.suspects[t] = next
	s.requestSend()
}

// receiveSuspicion applies a suspicion reported by another entry and forwards it if there are hubs.
// Reports about an earlier start of the target, or an earlier list entry of it, are dropped.
func (d *Daemon) receiveSuspicion(now time.Time, from pkid.EntryID, report pkshare.Suspect) {
	s := suspicion{until: now.Add(time.Duration(report.RemainingMS) * time.Millisecond), born: report.Born, entry: report.RecordRevision}
	switch {
	case report.Gone:
		s.fault = faultGone
	case report.StaleRecord:
		s.fault = faultMisplaced
	}
	if d.roster.Restarted(report.Target, report.Born) {
		d.streams.wakeUp()
	}
	if t, found := d.roster.Target(report.Target); found {
		if d.outdated(t, s) {
			return
		}
		if !t.IsDead(now) {
			d.log.Info("target suspected on a report from a peer", "target", t.ID, "peer", from, "gone", report.Gone,
				"misplaced", report.StaleRecord, "born", report.Born, "for_ms", report.RemainingMS)
		}
		d.applySuspicion(t, s)
	}
	if d.gossip.withHubs.Load() {
		d.gossip.announceSuspicion(report.Target, s)
	}
}

// outdated reports whether newer information about a target supersedes a suspicion.
func (d *Daemon) outdated(t *pkreplica.Target, s suspicion) bool {
	if s.born != 0 && t.Born > s.born {
		return true
	}
	return s.fault == faultMisplaced && d.roster.Revision(t.ID) > s.entry
}
