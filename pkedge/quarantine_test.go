package pkedge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkexchange"
	"peridotknot.example/pkquarantine"
	"peridotknot.example/pkstore"
	"peridotknot.example/pkverdict"
)

const poison pkquarantine.Digest = 7

// requestOf returns the traits of a request without a prompt.
func requestOf(d pkquarantine.Digest) pkquarantine.Traits { return pkquarantine.Traits{Request: d} }

// newCall returns a request with a digest at an entry.
func newCall(d *Daemon, digest pkquarantine.Digest) *call {
	c := &call{Daemon: d, r: httptest.NewRequest(http.MethodPost, "/", nil), traits: requestOf(digest)}
	c.req.Meta.ID = "r-1"
	return c
}

// lostSend returns the error of a send whose connection ended.
func lostSend(err error) error {
	return &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: err}
}

// crashCount returns the number of recent crashes that count against a request.
func (d *Daemon) crashCount(now time.Time, digest pkquarantine.Digest) int {
	n := 0
	for _, one := range d.quarantine.table.RecentChanges(now) {
		for _, crash := range one.Crashes {
			if one.Digest == digest && !crash.Cleared {
				n++
			}
		}
	}
	return n
}

// Guards against refusing callers for crashes that others caused: a request is suspected only if
// its replica is gone shortly after an interrupted send. It is not if the replica is alive or
// draining, answered or refused, if the caller left, or if the time was up.
func TestOnlyACrashCountsAgainstARequest(t *testing.T) {
	now := time.Now()
	gone := func(d *Daemon) { d.target(t, "a").MarkGone(now, now.Add(suspectTTL)) }
	for _, row := range []struct {
		name  string
		err   error
		do    func(d *Daemon)
		after time.Duration
		want  int
	}{
		{"lost and gone", lostSend(io.ErrUnexpectedEOF), gone, 0, 1},
		{"lost and gone a second later", lostSend(io.EOF), gone, time.Second, 1},
		{"lost and gone much later", lostSend(io.EOF), gone, crashWindow, 0},
		{"lost and alive", lostSend(io.EOF), func(*Daemon) {}, 0, 0},
		{"lost and silent", lostSend(io.EOF), func(d *Daemon) { d.target(t, "a").MarkDead(now, now.Add(suspectTTL)) }, 0, 0},
		{"restarted", lostSend(io.EOF), func(d *Daemon) { d.roster.Restarted("a", 200) }, 0, 1},
		{"refused", &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: io.EOF}, gone, 0, 0},
		{"failure answered by the target", lostSend(pkexchange.ErrTargetFailed), gone, 0, 0},
		{"invalid answer", lostSend(pkexchange.ErrAltered), gone, 0, 0},
		{"deadline exceeded", lostSend(context.DeadlineExceeded), gone, 0, 0},
		{"the caller left", errCallerLeft, gone, 0, 0},
	} {
		d, _ := poolDaemon(withStartTime(engine("a", "x", 0, 80), 100))
		one := d.target(t, "a")
		newCall(d, poison).recordIfInterrupted(now, row.err, one)
		d.checkInterrupted(now)
		row.do(d)
		d.checkInterrupted(now.Add(row.after))
		assert.Equal(t, d.crashCount(now, poison), row.want, row.name)
	}

	d, _ := poolDaemon(engine("a", "x", 0, 80))
	draining := engine("a", "x", 0, 80)
	draining.Leaving = true
	d.applyRecord(now, 2, draining)
	newCall(d, poison).recordIfInterrupted(now, lostSend(io.EOF), d.target(t, "a"))
	gone(d)
	d.checkInterrupted(now)
	assert.Equal(t, d.crashCount(now, poison), 0, "draining")
}

// Guards against counting more than one crash for a stream that was interrupted at its first engine
// when a later engine of the path crashes too. A later engine found dead while the stream waits for
// it counts; an engine that was alive when probed does not. A proven stream is not suspected, and
// clears earlier crashes.
func TestWhichCrashesOnAPathCountAgainstARequest(t *testing.T) {
	now := time.Now()
	setUp := func() (*Daemon, *attempt) {
		d, s := poolDaemon(engine("a", "x", 0, 40), engine("b", "x", 40, 80))
		a := attemptOver(t, d, s, "a", "b")
		a.call.traits = requestOf(poison)
		a.cancel = func(error) {}
		return d, a
	}
	d, a := setUp()
	a.recordFailure(now, lostSend(io.EOF))
	d.target(t, "a").MarkGone(now, now.Add(suspectTTL))
	d.target(t, "b").MarkGone(now, now.Add(suspectTTL))
	d.checkInterrupted(now)
	assert.Equal(t, d.crashCount(now, poison), 1)

	d, a = setUp()
	d.target(t, "b").MarkGone(now, now.Add(suspectTTL))
	a.began = now
	d.reroute(t.Context(), a, d.target(t, "b"), reasonDead)
	d.checkInterrupted(now)
	assert.Equal(t, d.crashCount(now, poison), 0, "the engine may still refuse it")
	a.began = now.Add(-time.Second)
	d.reroute(t.Context(), a, d.target(t, "a"), reasonDead)
	d.reroute(t.Context(), a, d.target(t, "b"), reasonDead)
	a.recordFailure(now, lostSend(errRerouted))
	for _, one := range d.checkInterrupted(now.Add(probeDelay)) {
		d.quarantine.clearInterrupted(one, now.Add(probeDelay))
	}
	d.target(t, "a").MarkGone(now, now.Add(suspectTTL))
	d.checkInterrupted(now)
	assert.Equal(t, d.crashCount(now, poison), 1)

	assert.Assert(t, !a.recordEvent(now))
	assert.Assert(t, a.recordEvent(now.Add(provenAfter)))
	assert.Assert(t, !a.recordEvent(now.Add(2*provenAfter)), "once")
	a.recordFailure(now, lostSend(io.EOF))
	d.checkInterrupted(now.Add(probeDelay))
	assert.Equal(t, d.crashCount(now, poison), 1)
	a.call.recordSuccess(now)
	assert.Equal(t, d.crashCount(now, poison), 0)
}

// refusingEngines refuse connections unless they are alive.
type refusingEngines struct {
	reportingEngines
	alive bool
	holds int
}

func (e *refusingEngines) AwaitClose(context.Context, string) error {
	e.holds++
	if e.alive {
		return nil
	}
	return syscall.ECONNREFUSED
}

// Guards against an undetected crash of a plain replica, which no entry monitors, and against one
// probe per interrupted request.
func TestEntryProbesReplica(t *testing.T) {
	now := time.Now()
	d, _ := poolDaemon(engine("a", "x", 0, 80))
	engines := &refusingEngines{}
	d.Engines = engines
	for digest := range pkquarantine.Digest(8) {
		newCall(d, 1+digest).recordIfInterrupted(now, lostSend(io.EOF), d.target(t, "a"))
	}
	assert.Equal(t, len(d.checkInterrupted(now)), 0, "no probe before reports of other entries are due")
	probes := d.checkInterrupted(now.Add(probeDelay))
	assert.Equal(t, len(probes), 1)
	d.probe(t.Context(), probes[0])
	d.confirmPending(t)
	d.checkInterrupted(now.Add(probeDelay))
	assert.Equal(t, d.crashCount(now, 1), 1)
	assert.Equal(t, d.crashCount(now, 8), 1)
	assert.Equal(t, engines.holds, 1)
}

// Guards against counting a later crash of a replica that was alive after it interrupted a request.
func TestAnsweredProbeClearsInterruptedSends(t *testing.T) {
	now := time.Now()
	d, _ := poolDaemon(engine("a", "x", 0, 80))
	d.Engines = &refusingEngines{alive: true}
	newCall(d, poison).recordIfInterrupted(now.Add(-probeDelay), lostSend(io.EOF), d.target(t, "a"))
	for _, one := range d.checkInterrupted(now) {
		d.probe(t.Context(), one)
	}
	d.target(t, "a").MarkGone(now, now.Add(suspectTTL))
	d.checkInterrupted(now.Add(time.Second))
	assert.Equal(t, d.crashCount(now, poison), 0)
}

// Guards against reporting a quarantined request as not run when an engine may have run it, and the
// other way round.
func TestAnswerOfQuarantinedRequest(t *testing.T) {
	now := time.Now()
	d, _ := poolDaemon(engine("a", "x", 0, 80))
	c := newCall(d, poison)
	assert.NilError(t, c.checkQuarantine(now))
	for i := range pkquarantine.CrashLimit {
		d.quarantine.table.RecordCrash(now, now, requestOf(poison), pkquarantine.StartID(1+i))
	}
	err := c.checkQuarantine(now)
	assert.Assert(t, errors.Is(err, errQuarantined))
	var got *rejection
	assert.Assert(t, errors.As(c.finalError(t.Context(), pkverdict.NotRun, err), &got))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.retryAfter > pkquarantine.Period-2*time.Second && got.retryAfter <= pkquarantine.Period)
	assert.Assert(t, errors.As(c.finalError(t.Context(), pkverdict.MayHaveRun, err), &got))
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.retryAfter, time.Duration(0))
}

// recordingStore records writes and fails the first grants.
type recordingStore struct {
	pkstore.Store
	failGrants int
	grants     int
	writes     []pkstore.Swap
}

func (s *recordingStore) Grant(context.Context, time.Duration) (pkstore.LeaseID, error) {
	s.grants++
	if s.failGrants--; s.failGrants >= 0 {
		return 0, errors.New("away")
	}
	return 1, nil
}

func (s *recordingStore) Swap(_ context.Context, w pkstore.Swap) (pkstore.SwapResult, error) {
	s.writes = append(s.writes, w)
	return pkstore.SwapResult{Succeeded: true}, nil
}

// Guards against losing a quarantined request if the store is unavailable at the last crash, and
// against writes by all the entries that only received a report of it.
func TestOnlyEntriesThatSawACrashSaveTheRequest(t *testing.T) {
	now := time.Now()
	finder, _ := poolDaemon(engine("a", "x", 0, 80))
	finder.metrics = newMetrics(finder)
	receiver, _ := poolDaemon()
	store := &recordingStore{failGrants: 1}
	finder.Store = store
	for i := range pkquarantine.CrashLimit - 1 {
		finder.quarantine.table.RecordCrash(now, now, requestOf(poison), pkquarantine.StartID(1+i))
	}
	finder.target(t, "a").MarkGone(now, now.Add(suspectTTL))
	newCall(finder, poison).recordIfInterrupted(now, lostSend(io.EOF), finder.target(t, "a"))
	finder.checkInterrupted(now)
	receiver.mergeCases(now, finder.quarantine.table.RecentChanges(now), "peer")
	assert.Equal(t, len(receiver.unsavedCases(now)), 0)

	todo := finder.unsavedCases(now)
	assert.Equal(t, len(todo), 1)
	assert.ErrorContains(t, finder.save(t.Context(), todo[0]), "away")
	assert.NilError(t, finder.save(t.Context(), finder.unsavedCases(now)[0]))
	finder.markSaved(poison)
	assert.Equal(t, len(finder.unsavedCases(now)), 0)
	assert.Equal(t, len(store.writes), 1)

	fresh, _ := poolDaemon()
	item := pkstore.Item{Key: store.writes[0].Key, Value: store.writes[0].Value}
	fresh.loadSaved(now, []pkstore.Item{{Key: "owner", Value: []byte("x")}, {Key: quarantineKeyPrefix + "1", Value: []byte("spoiled")}, item})
	assert.Assert(t, fresh.quarantine.table.Remaining(now, requestOf(poison)) > 0)
	fresh.loadSaved(now, []pkstore.Item{item})
	assert.Equal(t, len(fresh.unsavedCases(now)), 0)
}

// Guards against sending a request that is quarantined while it waits for a path or for the
// replacement of a dead engine: it must reach no other target, neither by a send nor by a path
// change.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	now := time.Now()
	d, s := poolDaemon(engine("a", "x", 0, 40), engine("b", "x", 40, 80), engine("beside", "x", 40, 80))
	d.Engines = &repathEngines{}
	setRetryBudget(d, 9)
	for i := range pkquarantine.CrashLimit {
		d.quarantine.table.RecordCrash(now, now, requestOf(poison), pkquarantine.StartID(1+i))
	}
	a := attemptOver(t, d, s, "a", "b")
	a.call.traits = requestOf(poison)
	a.call.deadline = now.Add(time.Minute)
	for name, serve := range map[string]func() error{
		"stream": func() error { return a.call.serveStream(t.Context(), s) },
		"plain":  func() error { return a.call.servePlain(t.Context()) },
	} {
		var got *rejection
		assert.Assert(t, errors.As(serve(), &got), name)
		assert.Equal(t, got.reason, "quarantined", name)
		assert.Equal(t, a.call.sends, 0, name)
	}

	var cause error
	a.cancel = func(err error) { cause = err }
	d.target(t, "b").MarkGone(now, now.Add(suspectTTL))
	d.reroute(t.Context(), a, d.target(t, "b"), reasonDead)
	assert.Assert(t, errors.Is(cause, errRerouted))
	assert.Equal(t, a.currentPath().index("beside"), -1)
	cause = nil
	d.reroute(t.Context(), a, d.target(t, "b"), reasonLeaving)
	assert.Assert(t, cause == nil, "a draining engine has not crashed")
}

// Guards against sending requests with a part that has the same crashes as a quarantined one all at once, and
// against a refusal that does not say that the request has not run or when to come back.
func TestRequestOnProbationIsRefusedForASecond(t *testing.T) {
	const tied pkquarantine.Digest = 9
	now := time.Now()
	d, s := poolDaemon(engine("a", "x", 0, 40), engine("b", "x", 40, 80))
	setRetryBudget(d, 9)
	for i := range pkquarantine.CrashLimit {
		at := now.Add(-time.Duration(i) * time.Second)
		traits := pkquarantine.Traits{Request: pkquarantine.Digest(100 + i), Parts: []pkquarantine.Digest{tied, 8}}
		d.quarantine.table.RecordCrash(now, at, traits, pkquarantine.StartID(1+i))
	}
	c := attemptOver(t, d, s, "a", "b").call
	c.traits = pkquarantine.Traits{Request: 200, Parts: []pkquarantine.Digest{tied}}
	c.deadline = now.Add(time.Minute)
	assert.NilError(t, c.admitSuspect(time.Now()), "the turn of this entry")
	var got *rejection
	assert.Assert(t, errors.As(c.serveStream(t.Context(), s), &got))
	assert.Equal(t, *got, rejection{status: http.StatusServiceUnavailable, retryAfter: time.Second, reason: "probation"})
	assert.Equal(t, c.sends, 0)
}
