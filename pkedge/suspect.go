package pkedge

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"peridotknot.example/pkexchange"
	"peridotknot.example/pkid"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstall"
	"peridotknot.example/pkstore"
)

const (
	// suspectTTL is how long a dead engine is avoided. Its record expires or is replaced within
	// that time.
	suspectTTL = 4 * time.Second
	// livenessTimeout bounds the report of an engine that is checked for liveness; live engines
	// answer within a few milliseconds under any load.
	livenessTimeout = 40 * time.Millisecond
	// livenessReports is how many reports are requested within that time, since packets may be lost.
	livenessReports = 3
	// livenessInterval is the shortest time between liveness checks of one engine.
	livenessInterval = 200 * time.Millisecond
)

// suspicion is a fault found in a target, as it is reported to the other entries.
type suspicion struct {
	until time.Time
	fault fault
	// startTime identifies the start of the target, and recordRevision is the revision of its
	// record that the suspicion is based on.
	startTime      pkid.StartTime
	recordRevision pkstore.Revision
}

// fault is the kind of fault of a target; a higher value is stronger evidence.
type fault uint8

// Kinds of fault.
const (
	// faultSilent is the fault of a target that does not answer.
	faultSilent fault = iota
	// faultStaleRecord is the fault of a target that does not serve what its record lists.
	faultStaleRecord
	// faultGone is the fault of a target whose process has ended.
	faultGone
)

// suspectStalledEngines checks the engines that silent streams have in common and suspects those
// that do not answer. One that answers is merely slow: moving all of its streams at once would
// overload other engines.
func (d *Daemon) suspectStalledEngines(ctx context.Context, now time.Time, all []*attempt) {
	streams := make([]pkstall.Stream, 0, len(all))
	for _, a := range all {
		if f, overEngines := a.stallInput(); overEngines {
			streams = append(streams, f)
		}
	}
	evidence := pkstall.Evidence{Seed: rand.Uint64(), Answered: func(id pkid.TargetID) time.Time {
		if t, found := d.roster.Target(id); found {
			return t.LastAnsweredProbe()
		}
		return time.Time{}
	}}
	for _, id := range pkstall.ProbeTargets(now, streams, evidence) {
		t, found := d.roster.Target(id)
		if !found || t.Avoided(now) || !t.AllowProbe(now, livenessInterval) {
			continue
		}
		d.streams.wg.Go(func() { d.checkLiveness(ctx, t) })
	}
}

// checkLiveness requests a report of an engine, and of another engine at the same time as a
// control, and reports whether the first one is dead. The control distinguishes a dead engine from
// a stall of this VM.
func (d *Daemon) checkLiveness(ctx context.Context, t *pkreplica.Target) bool {
	probeCtx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	control := make(chan error, 1)
	go func() { control <- d.checkControl(probeCtx, t) }()
	err := d.readReportHedged(probeCtx, t)
	if ctx.Err() != nil {
		return false
	}
	controlErr := <-control
	dead := pkstall.Dead(err, controlErr)
	dead = dead && d.confirm(ctx, pendingSuspicion{target: t, fault: faultOf(err)})
	if dead {
		d.rerouteAll(ctx, time.Now(), d.streams.list())
	}
	if err != nil && !dead && !d.links.CheckedWithin(time.Now(), t.Service, lostCheckInterval) {
		d.linkCondition(ctx, t.Service, "")
	}
	d.log.Info("engine checked for liveness", "target", t.ID, "dead", dead, "error", err, "control_error", controlErr)
	return dead
}

// readReportHedged reads a report of an engine by up to livenessReports requests, each a little after the one
// before: over links that lose packets one alone would show a live engine as silent. It returns the error
// if none is answered.
func (d *Daemon) readReportHedged(ctx context.Context, t *pkreplica.Target) error {
	results := make(chan error, livenessReports)
	read := func() {
		_, err := d.readReport(ctx, t)
		results <- err
	}
	hedge := time.NewTicker(livenessTimeout / livenessReports)
	defer hedge.Stop()
	go read()
	for sent, ended := 1, 0; ; {
		select {
		case err := <-results:
			ended++
			if err == nil || pkexchange.IsConnectionError(err) || ended == sent {
				return err
			}
		case <-hedge.C:
			if sent < livenessReports {
				sent++
				go read()
			}
		}
	}
}

// errNoControl is the result of a liveness control without another engine to ask.
var errNoControl = errors.New("no other engine in the pool")

// checkControl asks any other engine of the same pool for a report.
func (d *Daemon) checkControl(ctx context.Context, t *pkreplica.Target) error {
	now := time.Now()
	live := slices.DeleteFunc(d.roster.Live(now, t.Service), func(o *pkreplica.Target) bool {
		return o.ID == t.ID || o.Avoided(now) || o.RestsFor(now) > 0
	})
	if len(live) == 0 {
		return errNoControl
	}
	_, err := d.readReport(ctx, live[rand.N(len(live))])
	return err
}

// suspect queues a target that failed, to be confirmed and then reported to the other entries. A
// target that refuses connections has no process, and all streams through it are lost.
func (d *Daemon) suspect(t *pkreplica.Target, err error) {
	d.suspected.add(pendingSuspicion{target: t, fault: faultOf(err)})
}

// faultOf returns the fault of a target that failed with an error.
func faultOf(err error) fault {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return faultGone
	}
	return faultSilent
}

// suspectStaleRecord avoids a target that does not serve what its record lists, and reports it to
// the other entries: it lacks the layers, since it has restarted empty, or is draining. The
// suspicion holds until the target's record changes, which takes until the target has reached the
// store.
func (d *Daemon) suspectStaleRecord(now time.Time, t *pkreplica.Target) time.Time {
	s := suspicion{until: now.Add(misdirectedTTL), fault: faultStaleRecord, startTime: t.Born, recordRevision: d.roster.Revision(t.ID)}
	if latest, found := d.roster.Target(t.ID); !found || latest != t {
		return now // the record has changed since the target was chosen
	}
	d.applySuspicion(now, t, s)
	d.gossip.announceSuspicion(t.ID, s)
	return s.until
}

func (d *Daemon) applySuspicion(now time.Time, t *pkreplica.Target, s suspicion) {
	switch s.fault {
	case faultGone:
		t.MarkGone(now, s.until)
		d.streams.wakeUp()
	case faultStaleRecord:
		t.MarkStaleRecord(now, s.until)
	case faultSilent:
		t.MarkDead(now, s.until)
		d.budgets.of(t.Service).Await(now, t.ID)
	}
}

// announceSuspicion reports a suspicion to the other entries at once if it is new. Suspicions
// received from other entries are forwarded in the same way; one that comes back is not forwarded
// again.
func (s *gossip) announceSuspicion(t pkid.TargetID, next suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.suspects[t]
	if old.startTime == next.startTime && next.until.Sub(old.until) <= suspectTTL/2 && old.fault >= next.fault {
		return
	}
	s.suspects[t] = next
	s.requestSend()
}

// receiveSuspicion takes a suspicion reported by another entry. A stale record, which the target's own
// answers have shown, is applied at once, and forwarded if there are hubs; other faults are queued to
// be confirmed. Reports about an earlier start of the target, or an earlier record of it, are dropped.
func (d *Daemon) receiveSuspicion(now time.Time, from pkid.EntryID, report pkshare.Suspect) {
	s := suspicion{until: now.Add(time.Duration(report.RemainingMS) * time.Millisecond), startTime: report.Born, recordRevision: report.RecordRevision}
	switch {
	case report.Gone:
		s.fault = faultGone
	case report.StaleRecord:
		s.fault = faultStaleRecord
	}
	if d.roster.Restarted(report.Target, report.Born) {
		d.streams.wakeUp()
	}
	t, found := d.roster.Target(report.Target)
	if found && d.outdated(t, s) {
		return
	}
	if s.fault != faultStaleRecord {
		if found {
			d.suspected.add(pendingSuspicion{target: t, fault: s.fault, from: from})
		}
		return
	}
	if found {
		d.logStaleRecord(now, t, from, report)
		d.applySuspicion(now, t, s)
	}
	if d.gossip.withHubs.Load() {
		d.gossip.announceSuspicion(report.Target, s)
	}
}

// logStaleRecord logs a stale record that a peer has reported, unless its target is dead at now.
func (d *Daemon) logStaleRecord(now time.Time, t *pkreplica.Target, from pkid.EntryID, report pkshare.Suspect) {
	if t.IsDead(now) {
		return
	}
	d.log.Info("target suspected on a report from a peer", "target", t.ID, "peer", from, "gone", report.Gone,
		"misplaced", report.StaleRecord, "born", report.Born, "for_ms", report.RemainingMS)
}

// outdated reports whether newer information about a target supersedes a suspicion.
func (d *Daemon) outdated(t *pkreplica.Target, s suspicion) bool {
	if s.startTime != 0 && t.Born > s.startTime {
		return true
	}
	return s.fault == faultStaleRecord && d.roster.Revision(t.ID) > s.recordRevision
}
