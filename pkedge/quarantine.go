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

	"peridotknot.example/pkid"
	"peridotknot.example/pkquarantine"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkstore"
	"peridotknot.example/pktimer"
	"peridotknot.example/pkverdict"
)

const (
	// settleWithin is how soon after a request broke off its replica must be known to be gone
	// for the request to be suspected. Other entries' word on it takes a second in large
	// fleets, and one that crashed is away for some seconds.
	settleWithin = 2 * time.Second
	// settleEvery is how often that is looked for.
	settleEvery = 50 * time.Millisecond
	// probeAfter is how long others' word on a replica is waited for until this entry asks itself.
	probeAfter = 100 * time.Millisecond
	// probeTimeout bounds that question, a connection that is refused or not.
	probeTimeout = 300 * time.Millisecond
	// mostBroken bounds the sends that broke off and are not settled: an entry at the size to
	// design for has 200 in progress.
	mostBroken = 2048
	// saveEvery is how often held requests are written to the store where it lacks them.
	saveEvery = time.Second
	// saveAgain is how soon a write that failed is tried again.
	saveAgain = 5 * time.Second
	// heldKey is the prefix of held requests under the daemons' own keys.
	heldKey = "quarantine/"
)

// quarantine keeps requests from replicas that each replica crashes under; the zero value is
// empty.
//
// Remembered by replica alone, such a failure told nothing of the request: each entry that it
// came to sent it to the next two. It came to one entry after the other, ended twelve engines,
// and with each of them the 20 to 60 other streams there. So a request is remembered with the
// replicas that ended under it, by what its caller sent, and all entries share that.
type quarantine struct {
	table pkquarantine.Table

	mu sync.Mutex
	// broken are sends that broke off at a replica which may be gone.
	broken []brokenSend
	// unsaved are requests that this entry saw a target end under, and that the store lacks as
	// far as it knows.
	unsaved map[pkquarantine.Digest]bool
}

// brokenSend is a send that broke off while a target may have run it.
type brokenSend struct {
	digest  pkquarantine.Digest
	request pkid.RequestID
	target  *pkreplica.Target
	at      time.Time
	// direct says that it was sent to the target itself, and not through it.
	direct bool
}

// errQuarantined ends a request under which too many replicas have ended.
var errQuarantined = errors.New("replicas that ran this request have ended")

// held says whether the request is kept from replicas at now, as a cause to give it up.
func (c *call) held(now time.Time) error {
	if c.quarantine.table.Left(now, c.digest) > 0 {
		return errQuarantined
	}
	return nil
}

// heldBack returns the final answer of a request that is kept from replicas. One that a
// replica may have run in this attempt is not told to be one that has not run.
func (c *call) heldBack(now time.Time, verdict pkverdict.Verdict) *rejection {
	out := &rejection{status: http.StatusBadGateway, reason: "quarantined"}
	if verdict == pkverdict.NotRun {
		out.status = http.StatusServiceUnavailable
		out.retryAfter = max(c.quarantine.table.Left(now, c.digest).Round(time.Second), time.Second)
	}
	return out
}

// brokeOff suspects a request whose send to a target ended at now with an error, unless that says
// that no replica ran it, that one answered, or that the caller has left. Engines that the target
// passes the request on to don't end the connection with them; suspected here, they ended of
// another request a moment later, and callers that had met two crashes were refused for three.
func (c *call) brokeOff(now time.Time, err error, t *pkreplica.Target) {
	var failure *pkverdict.Error
	switch {
	case !errors.As(err, &failure) || failure.Verdict == pkverdict.NotRun:
	case errors.Is(err, errOwnFailure) || errors.Is(err, errSpoiled):
	case errors.Is(err, context.DeadlineExceeded) || c.r.Context().Err() != nil:
	default:
		c.suspectAt(now, t, true)
	}
}

// suspectAt notes at now that the request broke off at a target. Where that is gone shortly
// after, it ended under the request. One that leaves ends by itself.
func (c *call) suspectAt(now time.Time, t *pkreplica.Target, direct bool) {
	if t.Leaving || c.roster.LeavingFor(now, t) > 0 {
		return
	}
	q := &c.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.broken) < mostBroken {
		q.broken = append(q.broken, brokenSend{digest: c.digest, request: c.req.Ask.ID, target: t, at: now, direct: direct})
	}
}

// ranWell notes at now that replicas bear the request.
func (c *call) ranWell(now time.Time) {
	if c.quarantine.table.Ran(now, c.digest) {
		c.log.Info("a suspected request ran well", "request_id", c.req.Ask.ID, "digest", c.digest.String())
	}
}

// settleEnds finds out which targets ended under requests that broke off.
func (d *Daemon) settleEnds(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	pktimer.Every(ctx, settleEvery, func(ctx context.Context) {
		for _, t := range d.settle(time.Now()) {
			wg.Go(func() { d.probe(ctx, t) })
		}
	})
}

// settle takes what is known at now of the targets of sends that broke off, and returns those
// that are to be asked whether they are there.
func (d *Daemon) settle(now time.Time) []*pkreplica.Target {
	q := &d.quarantine
	q.mu.Lock()
	all := q.broken
	q.broken = nil
	q.mu.Unlock()
	var open []brokenSend
	var ask []*pkreplica.Target
	for _, b := range all {
		age := now.Sub(b.at)
		switch {
		case age >= settleWithin: // it lives, or ended of something else
		case b.target.IsGone(now):
			d.endedUnder(now, b)
		default:
			open = append(open, b)
			if b.direct && age >= probeAfter && b.target.Ask(now, askPause) {
				ask = append(ask, b.target)
			}
		}
	}
	q.mu.Lock()
	q.broken = append(open, q.broken...)
	q.mu.Unlock()
	return ask
}

// probe connects to a target; one whose address refuses that has no process, and one that takes
// the connection has not ended under the requests that broke off there. Engines are watched by
// some entries, but nothing else watches plain services.
func (d *Daemon) probe(ctx context.Context, t *pkreplica.Target) {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := d.Engines.Hold(ctx, t.Addr)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		d.suspect(t, time.Now().Add(suspectPause), err)
	case err == nil:
		d.quarantine.acquit(t, asked)
	}
}

// acquit drops the sends that broke off at a target before a time at which it was there.
func (q *quarantine) acquit(t *pkreplica.Target, at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.broken = slices.DeleteFunc(q.broken, func(b brokenSend) bool { return b.target == t && !b.at.After(at) })
}

// endedUnder takes a target that ended under a request.
func (d *Daemon) endedUnder(now time.Time, b brokenSend) {
	q := &d.quarantine
	found := q.table.Crashed(now, b.digest, pkquarantine.StartOf(b.target.ID, b.target.Born))
	if !found.News {
		return
	}
	d.log.Info("a target ended under a request", "request_id", b.request, "digest", b.digest.String(), "target", b.target.ID,
		"born", b.target.Born, "crashes", found.Crashes)
	if found.Held {
		d.logHeld(now, b.digest, "own")
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.unsaved == nil {
		q.unsaved = map[pkquarantine.Digest]bool{}
	}
	q.unsaved[b.digest] = true
}

// learnCases takes what another entry, or the store, knows of requests that replicas ended under.
func (d *Daemon) learnCases(now time.Time, cases []pkquarantine.Case, source string) {
	for _, digest := range d.quarantine.table.Learn(now, cases) {
		d.logHeld(now, digest, source)
	}
}

func (d *Daemon) logHeld(now time.Time, digest pkquarantine.Digest, source string) {
	d.log.Warn("a request is quarantined", "digest", digest.String(), "source", source,
		"for_ms", d.quarantine.table.Left(now, digest).Milliseconds())
}

// savedCase is a held request as the store keeps it.
type savedCase struct {
	Case pkquarantine.Case `json:"case"`
	// SavedUnixMS is when it was written; spans in it count from there.
	SavedUnixMS int64 `json:"saved_unix_ms"`
}

// saveHeld writes held requests to the store, which alone remembers them once all entries have
// ended at the same moment. Only entries that saw a crash write, and only where none has; an
// entry that starts reads them with the members, in a call that it makes anyway.
func (d *Daemon) saveHeld(ctx context.Context) {
	var next time.Time
	pktimer.Every(ctx, saveEvery, func(ctx context.Context) {
		now := time.Now()
		if now.Before(next) {
			return
		}
		for _, one := range d.toSave(now) {
			if err := d.save(ctx, one); err != nil {
				d.log.Warn("a quarantined request was not saved", "digest", one.Digest.String(), "error", err)
				next = time.Now().Add(saveAgain)
				return
			}
			d.saved(one.Digest)
		}
	})
}

// toSave returns the held requests that this entry has to write at now.
func (d *Daemon) toSave(now time.Time) []pkquarantine.Case {
	q := &d.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.unsaved) == 0 {
		return nil
	}
	maps.DeleteFunc(q.unsaved, func(digest pkquarantine.Digest, _ bool) bool { return !q.table.Knows(digest) })
	return slices.DeleteFunc(q.table.Held(now), func(c pkquarantine.Case) bool { return !q.unsaved[c.Digest] })
}

func (d *Daemon) saved(digest pkquarantine.Digest) {
	q := &d.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.unsaved, digest)
}

// save writes a held request under a lease that ends by itself when the request is free.
func (d *Daemon) save(ctx context.Context, one pkquarantine.Case) error {
	now := time.Now()
	value, err := json.Marshal(savedCase{Case: one, SavedUnixMS: now.UnixMilli()})
	if err != nil {
		return err
	}
	lease, err := d.Store.Grant(ctx, d.quarantine.table.Left(now, one.Digest))
	d.asked(callGrant, askerQuarantine, err)
	if err != nil {
		return err
	}
	// Another entry may have written the same; either stands for both.
	_, err = d.write(ctx, askerQuarantine, pkstore.Swap{Key: d.OwnPrefix + heldKey + one.Digest.String(), Value: value, Lease: lease})
	return err
}

// takeSaved takes those of the daemons' own keys that are held requests. One that cannot be
// read, of another build, holds nothing here.
func (d *Daemon) takeSaved(now time.Time, items []pkstore.Item) {
	var cases []pkquarantine.Case
	for _, one := range items {
		if !strings.HasPrefix(one.Key, d.OwnPrefix+heldKey) {
			continue
		}
		var saved savedCase
		if err := json.Unmarshal(one.Value, &saved); err != nil {
			d.log.Warn("a quarantined request of the store was not read", "key", one.Key, "error", err)
			continue
		}
		d.saved(saved.Case.Digest)
		cases = append(cases, saved.Case.Older(now.Sub(time.UnixMilli(saved.SavedUnixMS))))
	}
	d.learnCases(now, cases, "store")
}
