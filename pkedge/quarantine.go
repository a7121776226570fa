package pkedge

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"peridotknot.example/pkexchange"
	"peridotknot.example/pkid"
	"peridotknot.example/pkquarantine"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkstore"
	"peridotknot.example/pktimer"
	"peridotknot.example/pkverdict"
)

const (
	// crashWindow is the time after an interrupted send within which its replica must be found gone
	// for the request to be suspected. Reports from other entries take up to a second in large
	// fleets, and a crashed replica needs some seconds to restart.
	crashWindow = 2 * time.Second
	// crashCheckInterval is how often interrupted sends are checked.
	crashCheckInterval = 50 * time.Millisecond
	// probeDelay is how long an entry waits for reports about a replica before it probes the
	// replica itself.
	probeDelay = 100 * time.Millisecond
	// probeTimeout bounds the connection attempt of a probe.
	probeTimeout = 300 * time.Millisecond
	// maxInterrupted bounds the interrupted sends that are tracked.
	maxInterrupted = 2048
	// saveInterval is how often quarantined requests that the store lacks are written to it.
	saveInterval = time.Second
	// saveRetryDelay is the delay after a failed write.
	saveRetryDelay = 5 * time.Second
	// quarantineKeyPrefix is the prefix of quarantined requests below the daemons' own prefix.
	quarantineKeyPrefix = "quarantine/"
)

// quarantine tracks requests that crash the replicas running them, and keeps them from further
// replicas; the zero value is empty.
//
// Crashes are recorded by the digest of the request and shared among the entries. Otherwise each
// retry, at whichever entry it arrives, would crash more replicas and interrupt all other streams
// on them.
type quarantine struct {
	table pkquarantine.Table

	mu sync.Mutex
	// interrupted are sends whose replica may have crashed.
	interrupted []interruptedSend
	// checked are those of them that are being checked.
	checked []interruptedSend
	// completed are streams that ended early enough for their target to crash of them yet.
	completed []completedStream
	// unsaved are the latest crashes that this entry found, by trait, that the store is not known to
	// hold. After a restore of the store, designated entries save all quarantined traits: anyCrash.
	unsaved map[pkquarantine.Digest]pkquarantine.StartID
}

// interruptedSend is a send that ended without an answer after a target may have run it.
type interruptedSend struct {
	traits  pkquarantine.Traits
	parts   []pkid.PartID
	request pkid.RequestID
	target  *pkreplica.Target
	endedAt time.Time
	// direct is set if the request was sent to the target itself, not through another one.
	direct bool
}

// completedStream is a stream that ended as complete.
type completedStream struct {
	call   *call
	target *pkreplica.Target
	// provenAt is when the target has outlived the stream's first event by provenAfter.
	provenAt time.Time
}

var (
	// errQuarantined ends a request that has crashed too many replicas, or has a part that did.
	errQuarantined = errors.New("request quarantined: the replicas that ran it, or others with a part of its prompt, have crashed")
	// errProbation ends a request with a part that may have crashed replicas, while another request
	// with the part is sent.
	errProbation = errors.New("a part of the prompt is on probation: requests with it are sent one at a time")
)

// retryAfterProbation is the Retry-After delay of a request that has to wait for one on probation.
const retryAfterProbation = time.Second

// checkQuarantine returns errQuarantined if the request is quarantined at now.
func (c *call) checkQuarantine(now time.Time) error {
	if c.quarantine.table.Remaining(now, c.traits) > 0 {
		return errQuarantined
	}
	return nil
}

// admitSuspect returns the error of a request that must not be sent at now because of what it has in common
// with requests that crashed replicas.
func (c *call) admitSuspect(now time.Time) error {
	if err := c.checkQuarantine(now); err != nil {
		return err
	}
	if c.quarantine.table.IsOnProbation(now, c.traits) && !c.quarantine.table.TryProbation(now, c.traits, c.turns(now)) {
		return errProbation
	}
	return nil
}

// quarantineRejection returns the final answer of a quarantined request. The verdict is that of the
// sends so far.
func (c *call) quarantineRejection(now time.Time, verdict pkverdict.Verdict) *rejection {
	out := &rejection{status: http.StatusBadGateway, reason: "quarantined"}
	if verdict == pkverdict.NotRun {
		out.status = http.StatusServiceUnavailable
		out.retryAfter = max(c.quarantine.table.Remaining(now, c.traits).Round(time.Second), time.Second)
	}
	return out
}

// recordIfInterrupted records an interrupted send if its error at now may come from a crash of the
// target: not if no replica ran the request, the target answered, the time was up or the caller has
// left. Only this target is recorded, since the connection does not end with the engines behind it.
func (c *call) recordIfInterrupted(now time.Time, err error, t *pkreplica.Target) {
	var failure *pkverdict.Error
	switch {
	case !errors.As(err, &failure) || failure.Verdict == pkverdict.NotRun:
	case errors.Is(err, pkexchange.ErrTargetFailed) || errors.Is(err, pkexchange.ErrAltered):
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errStopping) || c.r.Context().Err() != nil:
	default:
		c.recordInterrupted(now, t, true)
	}
}

// recordInterrupted records at now that the send was interrupted at a target. If the target is
// found gone within crashWindow, that counts as a crash by the request, unless the target was
// draining and ended by itself.
func (c *call) recordInterrupted(now time.Time, t *pkreplica.Target, direct bool) {
	if t.Leaving || c.roster.LeavingFor(now, t) > 0 {
		return
	}
	q := &c.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.interrupted) < maxInterrupted {
		q.interrupted = append(q.interrupted, interruptedSend{traits: c.traits, parts: c.req.Meta.SharedParts, request: c.req.Meta.ID, target: t, endedAt: now, direct: direct})
	}
}

// recordCompletion records at now that a stream ended as complete at a target after its first event. It is
// a success once the target has outlived that event by provenAfter.
func (c *call) recordCompletion(now time.Time, t *pkreplica.Target, firstEventAt time.Time) {
	q := &c.quarantine
	q.table.RecordCompletion(now, c.traits)
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.completed) < maxInterrupted {
		q.completed = append(q.completed, completedStream{call: c, target: t, provenAt: firstEventAt.Add(provenAfter)})
	}
}

// recordSuccess records at now that replicas can run the request, which clears the crashes of it and of the
// parts of its prompt.
func (c *call) recordSuccess(now time.Time) {
	if c.quarantine.table.RecordSuccess(now, c.traits) {
		c.log.Info("suspected request completed, its crashes are cleared", "request_id", c.req.Meta.ID, "digest", c.traits.Request.String(), "parts", c.req.Meta.SharedParts)
	}
}

// detectCrashes finds the targets that crashed while running a request.
func (d *Daemon) detectCrashes(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	pktimer.Every(ctx, crashCheckInterval, func(ctx context.Context) {
		now := time.Now()
		for _, t := range d.checkInterrupted(now) {
			wg.Go(func() { d.probe(ctx, t) })
		}
		d.checkCompleted(now)
		d.logTransitions(now, "own")
	})
}

// checkCompleted records completed streams as successes at now if their targets have outlived them.
func (d *Daemon) checkCompleted(now time.Time) {
	q := &d.quarantine
	q.mu.Lock()
	var proven []completedStream
	q.completed = slices.DeleteFunc(q.completed, func(s completedStream) bool {
		due := !now.Before(s.provenAt)
		if due && !s.target.IsGone(now) {
			proven = append(proven, s)
		}
		return due
	})
	q.mu.Unlock()
	for _, s := range proven {
		s.call.recordSuccess(now)
	}
}

// checkInterrupted checks the targets of interrupted sends at now, and returns those to probe.
func (d *Daemon) checkInterrupted(now time.Time) []*pkreplica.Target {
	q := &d.quarantine
	q.mu.Lock()
	all := q.interrupted
	q.interrupted, q.checked = nil, all
	q.mu.Unlock()
	var pending []interruptedSend
	var probes []*pkreplica.Target
	for _, send := range all {
		age := now.Sub(send.endedAt)
		switch {
		case age >= crashWindow: // alive, or crashed for another reason
		case send.target.IsGone(now):
			d.recordCrash(now, send)
		default:
			pending = append(pending, send)
			if send.direct && age >= probeDelay && send.target.AllowProbe(now, livenessInterval) {
				probes = append(probes, send.target)
			}
		}
	}
	q.mu.Lock()
	q.interrupted, q.checked = append(pending, q.interrupted...), nil
	q.mu.Unlock()
	return probes
}

// probe connects to a target. A refused connection means that the process is gone; an accepted one
// clears the sends interrupted there before. Entries monitor engines but not plain services, which
// only this probe covers.
func (d *Daemon) probe(ctx context.Context, t *pkreplica.Target) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := d.Engines.AwaitClose(ctx, t.Addr)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		d.suspect(t, err)
	case err == nil:
		d.quarantine.clearInterrupted(t, start)
	}
}

// clearInterrupted drops the sends interrupted at a target up to a time when it was alive.
func (q *quarantine) clearInterrupted(t *pkreplica.Target, at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.interrupted = slices.DeleteFunc(q.interrupted, func(b interruptedSend) bool { return b.target == t && !b.endedAt.After(at) })
}

// recordCrash records at now the crash of a target by a request.
func (d *Daemon) recordCrash(now time.Time, send interruptedSend) {
	q := &d.quarantine
	start := pkquarantine.StartIDOf(send.target.ID, send.target.Born)
	finding := q.table.RecordCrash(now, send.endedAt, send.traits, start)
	if !finding.New {
		return
	}
	d.log.Info("target crashed while running a request", "request_id", send.request, "digest", send.traits.Request.String(), "parts", send.parts, "target", send.target.ID,
		"born", send.target.Born, "crashes", finding.Crashes)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.unsaved == nil {
		q.unsaved = map[pkquarantine.Digest]pkquarantine.StartID{}
	}
	for _, digest := range append([]pkquarantine.Digest{send.traits.Request}, send.traits.Parts...) {
		q.unsaved[digest] = start
	}
}

// mergeCases merges crash reports of another entry or of the store.
func (d *Daemon) mergeCases(now time.Time, cases []pkquarantine.Case, source string) {
	if len(cases) == 0 {
		return
	}
	d.quarantine.table.MergeCases(now, cases)
	d.logTransitions(now, source)
}

// logTransitions logs the quarantines that have begun or ended early by now.
func (d *Daemon) logTransitions(now time.Time, source string) {
	changes := d.quarantine.table.Transitions(now)
	for _, digest := range changes.Quarantined {
		one, _ := d.quarantine.table.Case(now, digest)
		d.log.Warn("a request is quarantined", "digest", digest.String(), "part", one.Part, "crashes", len(one.Crashes), "source", source,
			"for_ms", d.quarantine.table.RemainingOf(now, digest).Milliseconds())
	}
	for _, digest := range changes.Released {
		d.log.Warn("a quarantine has ended early", "digest", digest.String(), "source", source)
	}
}

// savedCase is the stored form of a quarantined request.
type savedCase struct {
	Case pkquarantine.Case `json:"case"`
	// SavedUnixMS is the time of the write; ages in the case are relative to it.
	SavedUnixMS int64 `json:"saved_unix_ms"`
}

// saveQuarantined writes quarantined requests to the store, so that they survive a restart of all
// entries. Only entries that found the latest crash write, as many may have found one of a part, and only
// what the store lacks; after a restore of the store, designated entries write all of them. Entries read
// them at start together with the members.
func (d *Daemon) saveQuarantined(ctx context.Context) {
	var next time.Time
	pktimer.Every(ctx, saveInterval, func(ctx context.Context) {
		now := time.Now()
		if now.Before(next) {
			return
		}
		for _, one := range d.unsavedCases(now) {
			if err := d.save(ctx, one); err != nil {
				d.log.Warn("a quarantined request was not saved and will be tried again", "digest", one.Digest.String(), "error", err)
				next = time.Now().Add(saveRetryDelay)
				return
			}
			d.markSaved(one.Digest)
		}
	})
}

// unsavedCases returns the quarantined requests that this entry must write at now.
func (d *Daemon) unsavedCases(now time.Time) []pkquarantine.Case {
	q := &d.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.unsaved) == 0 {
		return nil
	}
	maps.DeleteFunc(q.unsaved, func(digest pkquarantine.Digest, _ pkquarantine.StartID) bool { return !q.table.Knows(digest) })
	return slices.DeleteFunc(q.table.QuarantinedCases(now), func(c pkquarantine.Case) bool {
		start, unsaved := q.unsaved[c.Digest]
		return !unsaved || (start != anyCrash && !isLatest(c, start))
	})
}

// anyCrash stands for any crash of a case.
const anyCrash pkquarantine.StartID = 0

// isLatest reports whether the crash of a start is the latest of a case, or one of them.
func isLatest(c pkquarantine.Case, start pkquarantine.StartID) bool {
	return slices.ContainsFunc(c.Crashes, func(one pkquarantine.Crash) bool {
		return one.Start == start && one.AgoMS <= c.Crashes[0].AgoMS
	})
}

func (d *Daemon) markSaved(digest pkquarantine.Digest) {
	q := &d.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.unsaved, digest)
}

// save writes a quarantined request under a lease that expires with the quarantine.
func (d *Daemon) save(ctx context.Context, one pkquarantine.Case) error {
	now := time.Now()
	value, err := json.Marshal(savedCase{Case: one, SavedUnixMS: now.UnixMilli()})
	if err != nil {
		return err
	}
	lease, err := d.Store.Grant(ctx, d.quarantine.table.RemainingOf(now, one.Digest))
	d.recordStoreCall(callGrant, askerQuarantine, err)
	if err != nil {
		return err
	}
	// Another entry may have written the same request; either copy will do.
	_, err = d.write(ctx, askerQuarantine, pkstore.Swap{Key: d.OwnPrefix + quarantineKeyPrefix + one.Digest.String(), Value: value, Lease: lease})
	return err
}

// loadSaved loads the quarantined requests among the daemons' own keys. Values that cannot be read,
// such as those written by another version, are skipped.
func (d *Daemon) loadSaved(now time.Time, items []pkstore.Item) {
	var cases []pkquarantine.Case
	for _, one := range items {
		if !strings.HasPrefix(one.Key, d.OwnPrefix+quarantineKeyPrefix) {
			continue
		}
		var saved savedCase
		if err := json.Unmarshal(one.Value, &saved); err != nil {
			d.log.Warn("a quarantined request of the store was not read", "key", one.Key, "error", err)
			continue
		}
		d.markSaved(saved.Case.Digest)
		cases = append(cases, saved.Case.Aged(now.Sub(time.UnixMilli(saved.SavedUnixMS))))
	}
	d.mergeCases(now, append(cases, d.savedSuspectCases(now, items)...), "store")
}
