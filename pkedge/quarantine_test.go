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

	"peridotknot.example/pkquarantine"
	"peridotknot.example/pkstore"
	"peridotknot.example/pkverdict"
)

const poison pkquarantine.Digest = 7

// callOf returns a request with a digest at an entry.
func callOf(d *Daemon, digest pkquarantine.Digest) *call {
	c := &call{Daemon: d, r: httptest.NewRequest(http.MethodPost, "/", nil), digest: digest}
	c.req.Ask.ID = "r-1"
	return c
}

// lost is the failure of a send whose connection ended.
func lost(err error) error {
	return &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: err}
}

// crashes returns how many crashes an entry has lately found to speak against a request.
func (d *Daemon) crashes(now time.Time, digest pkquarantine.Digest) int {
	n := 0
	for _, one := range d.quarantine.table.News(now) {
		for _, crash := range one.Crashes {
			if one.Digest == digest && !crash.Cleared {
				n++
			}
		}
	}
	return n
}

// A send breaks off. The request must be suspected only where its replica was lost under it, and
// shortly after: not where the replica lives, answered, refused, or was about to leave, nor where
// the caller left or its time was up. Else callers are refused for what others did.
func TestOnlyAReplicaThatEndsUnderARequestSpeaksAgainstIt(t *testing.T) {
	now := time.Now()
	gone := func(d *Daemon) { d.target(t, "a").Gone(now.Add(suspectPause)) }
	for _, row := range []struct {
		name  string
		err   error
		do    func(d *Daemon)
		after time.Duration
		want  int
	}{
		{"lost and gone", lost(io.ErrUnexpectedEOF), gone, 0, 1},
		{"lost and gone a second later", lost(io.EOF), gone, time.Second, 1},
		{"lost and gone much later", lost(io.EOF), gone, settleWithin, 0},
		{"lost and there", lost(io.EOF), func(*Daemon) {}, 0, 0},
		{"lost and silent", lost(io.EOF), func(d *Daemon) { d.target(t, "a").Dead(now.Add(suspectPause)) }, 0, 0},
		{"started again", lost(io.EOF), func(d *Daemon) { d.roster.Restarted("a", 200) }, 0, 1},
		{"refused", &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: io.EOF}, gone, 0, 0},
		{"its own failure", lost(errOwnFailure), gone, 0, 0},
		{"spoiled", lost(errSpoiled), gone, 0, 0},
		{"its time was up", lost(context.DeadlineExceeded), gone, 0, 0},
		{"the caller left", errCallerLeft, gone, 0, 0},
	} {
		d, _ := poolDaemon(born(engine("a", "x", 0, 80), 100))
		one := d.target(t, "a")
		callOf(d, poison).brokeOff(now, row.err, one)
		d.settle(now)
		row.do(d)
		d.settle(now.Add(row.after))
		assert.Equal(t, d.crashes(now, poison), row.want, row.name)
	}

	d, _ := poolDaemon(engine("a", "x", 0, 80))
	leaving := engine("a", "x", 0, 80)
	leaving.Leaving = true
	d.lists(now, 2, leaving)
	callOf(d, poison).brokeOff(now, lost(io.EOF), d.target(t, "a"))
	gone(d)
	d.settle(now)
	assert.Equal(t, d.crashes(now, poison), 0, "it leaves")
}

// A stream breaks off at its first engine, and the engine after that ends of another request a
// moment later. Only the first ended under the stream: suspected of both, its caller was refused
// after two crashes. An engine behind the first that is found dead while the stream waits for it
// counts, but not the first, which was there when it was asked. A stream that has gone on for a
// second is not suspected at all, and clears what was held against its request before.
func TestWhichEnginesOfAPathEndedUnderARequest(t *testing.T) {
	now := time.Now()
	setUp := func() (*Daemon, *attempt) {
		d, s := poolDaemon(engine("a", "x", 0, 40), engine("b", "x", 40, 80))
		a := attemptOver(t, d, s, "a", "b")
		a.call.digest = poison
		a.cancel = func(error) {}
		return d, a
	}
	d, a := setUp()
	a.broke(now, lost(io.EOF))
	d.target(t, "a").Gone(now.Add(suspectPause))
	d.target(t, "b").Gone(now.Add(suspectPause))
	d.settle(now)
	assert.Equal(t, d.crashes(now, poison), 1)

	d, a = setUp()
	d.target(t, "b").Gone(now.Add(suspectPause))
	a.began = now
	d.mend(t.Context(), a, d.target(t, "b"), whyDead)
	d.settle(now)
	assert.Equal(t, d.crashes(now, poison), 0, "it may be refused yet")
	a.began = now.Add(-time.Second)
	d.mend(t.Context(), a, d.target(t, "a"), whyDead)
	d.mend(t.Context(), a, d.target(t, "b"), whyDead)
	a.broke(now, lost(errMoved))
	for _, one := range d.settle(now.Add(probeAfter)) {
		d.quarantine.acquit(one, now.Add(probeAfter))
	}
	d.target(t, "a").Gone(now.Add(suspectPause))
	d.settle(now)
	assert.Equal(t, d.crashes(now, poison), 1)

	assert.Assert(t, !a.event(now))
	assert.Assert(t, a.event(now.Add(provenAfter)))
	assert.Assert(t, !a.event(now.Add(2*provenAfter)), "once")
	a.broke(now, lost(io.EOF))
	d.settle(now.Add(probeAfter))
	assert.Equal(t, d.crashes(now, poison), 1)
	a.call.ranWell(now)
	assert.Equal(t, d.crashes(now, poison), 0)
}

// refusingEngines refuse connections, or take them where they live.
type refusingEngines struct {
	reportingEngines
	lives bool
	asked int
}

func (e *refusingEngines) Hold(context.Context, string) error {
	e.asked++
	if e.lives {
		return nil
	}
	return syscall.ECONNREFUSED
}

// Nobody watches the replicas of plain services. The entry must ask by itself whether the
// replica is there, once for all requests that broke off there.
func TestAnEntryAsksWhetherAReplicaIsThere(t *testing.T) {
	now := time.Now()
	d, _ := poolDaemon(engine("a", "x", 0, 80))
	engines := &refusingEngines{}
	d.Engines = engines
	for digest := range pkquarantine.Digest(8) {
		callOf(d, 1+digest).brokeOff(now, lost(io.EOF), d.target(t, "a"))
	}
	assert.Equal(t, len(d.settle(now)), 0, "others may say so at once")
	ask := d.settle(now.Add(probeAfter))
	assert.Equal(t, len(ask), 1)
	d.probe(t.Context(), ask[0])
	d.settle(now.Add(probeAfter))
	assert.Equal(t, d.crashes(now, 1), 1)
	assert.Equal(t, d.crashes(now, 8), 1)
	assert.Equal(t, engines.asked, 1)
}

// A replica cuts an answer short and lives, and crashes of something else a second later. The
// request that it cut has not ended it.
func TestAReplicaThatLivedWhenItWasAskedSpeaksAgainstNobody(t *testing.T) {
	now := time.Now()
	d, _ := poolDaemon(engine("a", "x", 0, 80))
	d.Engines = &refusingEngines{lives: true}
	callOf(d, poison).brokeOff(now.Add(-probeAfter), lost(io.EOF), d.target(t, "a"))
	for _, one := range d.settle(now) {
		d.probe(t.Context(), one)
	}
	d.target(t, "a").Gone(now.Add(suspectPause))
	d.settle(now.Add(time.Second))
	assert.Equal(t, d.crashes(now, poison), 0)
}

// A request is held while an attempt of it is under way: its engine ended, and the engine may
// have begun to run it. The answer must not say that it has not run; where it has not, it must.
func TestWhatAHeldRequestIsTold(t *testing.T) {
	now := time.Now()
	d, _ := poolDaemon(engine("a", "x", 0, 80))
	c := callOf(d, poison)
	assert.NilError(t, c.held(now))
	for i := range pkquarantine.Limit {
		d.quarantine.table.Crashed(now, poison, pkquarantine.Start(1+i))
	}
	err := c.held(now)
	assert.Assert(t, errors.Is(err, errQuarantined))
	var got *rejection
	assert.Assert(t, errors.As(c.ended(t.Context(), pkverdict.NotRun, err), &got))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.retryAfter > pkquarantine.HoldFor-2*time.Second && got.retryAfter <= pkquarantine.HoldFor)
	assert.Assert(t, errors.As(c.ended(t.Context(), pkverdict.MayHaveRun, err), &got))
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.retryAfter, time.Duration(0))
}

// keepingStore keeps one key, and is away first.
type keepingStore struct {
	pkstore.Store
	away   int
	grants int
	writes []pkstore.Swap
}

func (s *keepingStore) Grant(context.Context, time.Duration) (pkstore.LeaseID, error) {
	s.grants++
	if s.away--; s.away >= 0 {
		return 0, errors.New("away")
	}
	return 1, nil
}

func (s *keepingStore) Swap(_ context.Context, w pkstore.Swap) (pkstore.Swapped, error) {
	s.writes = append(s.writes, w)
	return pkstore.Swapped{Done: true}, nil
}

// An entry saw the last crash while the store was away. It must write the request once the store
// is back, and entries that only heard of it must not: 195 of them would write the same.
func TestOnlyEntriesThatSawACrashSave(t *testing.T) {
	now := time.Now()
	saw, _ := poolDaemon(engine("a", "x", 0, 80))
	saw.metrics = newMetrics(saw)
	heard, _ := poolDaemon()
	store := &keepingStore{away: 1}
	saw.Store = store
	for i := range pkquarantine.Limit - 1 {
		saw.quarantine.table.Crashed(now, poison, pkquarantine.Start(1+i))
	}
	saw.target(t, "a").Gone(now.Add(suspectPause))
	callOf(saw, poison).brokeOff(now, lost(io.EOF), saw.target(t, "a"))
	saw.settle(now)
	heard.learnCases(now, saw.quarantine.table.News(now), "peer")
	assert.Equal(t, len(heard.toSave(now)), 0)

	todo := saw.toSave(now)
	assert.Equal(t, len(todo), 1)
	assert.ErrorContains(t, saw.save(t.Context(), todo[0]), "away")
	assert.NilError(t, saw.save(t.Context(), saw.toSave(now)[0]))
	saw.saved(poison)
	assert.Equal(t, len(saw.toSave(now)), 0)
	assert.Equal(t, len(store.writes), 1)

	fresh, _ := poolDaemon()
	item := pkstore.Item{Key: store.writes[0].Key, Value: store.writes[0].Value}
	fresh.takeSaved(now, []pkstore.Item{{Key: "owner", Value: []byte("x")}, {Key: heldKey + "1", Value: []byte("spoiled")}, item})
	assert.Assert(t, fresh.quarantine.table.Left(now, poison) > 0)
	fresh.takeSaved(now, []pkstore.Item{item})
	assert.Equal(t, len(fresh.toSave(now)), 0)
}

// A request is found out while an attempt of it waits for a path, or for its dead engine to be
// replaced. It must not reach another target: not by a send, and not by another path in place.
func TestAHeldRequestGoesNoFurther(t *testing.T) {
	now := time.Now()
	d, s := poolDaemon(engine("a", "x", 0, 40), engine("b", "x", 40, 80), engine("beside", "x", 40, 80))
	d.Engines = &obedientEngines{}
	spendable(d, 9)
	for i := range pkquarantine.Limit {
		d.quarantine.table.Crashed(now, poison, pkquarantine.Start(1+i))
	}
	a := attemptOver(t, d, s, "a", "b")
	a.call.digest = poison
	a.call.deadline = now.Add(time.Minute)
	for name, serve := range map[string]func() error{
		"stream": func() error { return a.call.stream(t.Context(), s) },
		"plain":  func() error { return a.call.plain(t.Context()) },
	} {
		var got *rejection
		assert.Assert(t, errors.As(serve(), &got), name)
		assert.Equal(t, got.reason, "quarantined", name)
		assert.Equal(t, a.call.sends, 0, name)
	}

	var cause error
	a.cancel = func(err error) { cause = err }
	d.target(t, "b").Gone(now.Add(suspectPause))
	d.mend(t.Context(), a, d.target(t, "b"), whyDead)
	assert.Assert(t, errors.Is(cause, errMoved))
	assert.Equal(t, a.route().find("beside"), -1)
	cause = nil
	d.mend(t.Context(), a, d.target(t, "b"), whyLeaving)
	assert.Assert(t, cause == nil, "a leaving engine has not ended under it")
}
