package pkedge

import (
	"context"
	"sync"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkreach"
	"peridotknot.example/pkreplica"
)

const (
	// maxPendingSuspicions bounds the queued suspicions. A report that finds the queue full comes
	// again with the peer's next message.
	maxPendingSuspicions = 256
	// maxConcurrentConfirms bounds the suspicions that are confirmed at the same time.
	maxConcurrentConfirms = 8
	// distrustTime is how long the reports of a peer are ignored after one was refuted.
	distrustTime = suspectTTL
)

// pendingSuspicion is a suspicion that this entry has yet to confirm.
type pendingSuspicion struct {
	target *pkreplica.Target
	fault  fault
	// from is the peer that reported it; empty for a failure that this entry has met itself.
	from pkid.EntryID
}

// suspectQueue holds the suspicions to confirm.
type suspectQueue struct {
	pending chan pendingSuspicion

	mu sync.Mutex
	// inProgress are the targets that are queued or being confirmed.
	inProgress map[*pkreplica.Target]bool
	// distrustedUntil is until when the reports of a peer are ignored.
	distrustedUntil map[pkid.EntryID]time.Time
}

// add queues a suspicion, unless one of the same target is queued already.
func (q *suspectQueue) add(p pendingSuspicion) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.inProgress[p.target] {
		return
	}
	select {
	case q.pending <- p:
		if q.inProgress == nil {
			q.inProgress = map[*pkreplica.Target]bool{}
		}
		q.inProgress[p.target] = true
	default: // the queue is full
	}
}

func (q *suspectQueue) done(t *pkreplica.Target) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.inProgress, t)
}

// distrust ignores the reports of a peer for distrustTime from now.
func (q *suspectQueue) distrust(now time.Time, peer pkid.EntryID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.distrustedUntil == nil {
		q.distrustedUntil = map[pkid.EntryID]time.Time{}
	}
	q.distrustedUntil[peer] = now.Add(distrustTime)
}

func (q *suspectQueue) trusts(now time.Time, peer pkid.EntryID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !now.Before(q.distrustedUntil[peer])
}

// confirmSuspicions confirms the queued suspicions.
func (d *Daemon) confirmSuspicions(ctx context.Context) {
	var wg sync.WaitGroup
	for range maxConcurrentConfirms {
		wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case p := <-d.suspected.pending:
					d.confirm(ctx, p)
					d.suspected.done(p.target)
				}
			}
		})
	}
	wg.Wait()
}

// confirm avoids a target and reports it to the other entries if its failure is its own, and reports
// whether it is.
//
// What one entry cannot reach may be in order: its link may be at fault. So a report of a peer counts
// once this entry has found the same, and no failure counts while this entry is cut off, nor silence while
// its links lose packets.
func (d *Daemon) confirm(ctx context.Context, p pendingSuspicion) bool {
	t := p.target
	if p.from != "" {
		var failed bool
		if p.fault, failed = d.verifyReport(ctx, p); !failed {
			return false
		}
	}
	links, known := d.linkCondition(ctx, t.Service, t.ID)
	silenceCounts := links == pkreach.Whole && !d.links.Unclear(t.Service)
	if !known || links == pkreach.CutOff || (!silenceCounts && p.fault != faultGone) || ctx.Err() != nil {
		d.log.Debug("target not suspected, the links may be at fault", "target", t.ID, "peer", p.from, "links", links.String())
		return false
	}
	now := time.Now()
	s := suspicion{until: now.Add(suspectTTL), fault: p.fault, startTime: t.Born}
	d.applySuspicion(now, t, s)
	if p.from == "" || d.gossip.withHubs.Load() {
		d.gossip.announceSuspicion(t.ID, s)
	}
	return true
}

// verifyReport probes a target that a peer has reported, and returns the fault that it shows here and
// whether there is one. The reports of a peer that was wrong are ignored for a while: if its links are
// cut it will report many targets.
func (d *Daemon) verifyReport(ctx context.Context, p pendingSuspicion) (fault, bool) {
	t, now := p.target, time.Now()
	if (t.IsDead(now) && (p.fault != faultGone || t.IsGone(now))) || !d.suspected.trusts(now, p.from) {
		return p.fault, false
	}
	err := d.probeReported(ctx, t)
	if ctx.Err() != nil {
		return p.fault, false
	}
	restarted := t.IsGone(time.Now()) // as the report has shown
	refuted := err == nil && !restarted
	d.log.Info("report of a peer checked", "target", t.ID, "peer", p.from, "gone", p.fault == faultGone, "born", t.Born,
		"refuted", refuted, "open_connections", d.Conns.Open(t.Addr), "in_progress", t.OwnLoad().Requests, "error", err)
	if refuted {
		d.suspected.distrust(time.Now(), p.from)
	}
	if restarted {
		return faultGone, true
	}
	return faultOf(err), !refuted
}

// probeReported probes a target that a peer has reported: an engine by its report, which a process
// that hangs does not answer, and another target by a connection.
func (d *Daemon) probeReported(ctx context.Context, t *pkreplica.Target) error {
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	if t.Held.Len() == 0 {
		return d.Engines.Connect(ctx, t.Addr)
	}
	return d.readReportHedged(ctx, t)
}
