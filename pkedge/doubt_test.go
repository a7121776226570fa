package pkedge

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkforward"
	"peridotknot.example/pkowner"
	"peridotknot.example/pkverdict"
)

// darkEngines answer reports but for one engine, which is dark, and health checks alike.
type darkEngines struct {
	pkowner.Engines
	dark  string
	asked int
	// leaves and health are what they answer to health checks, checked counts those.
	leaves  bool
	health  error
	checked int
}

func (e *darkEngines) Leaving(context.Context, string, string) (bool, error) {
	e.checked++
	return e.leaves, e.health
}

func (e *darkEngines) Report(ctx context.Context, addr string) (pkowner.Report, error) {
	if addr != e.dark {
		return pkowner.Report{Orders: 1}, nil
	}
	e.asked++
	<-ctx.Done()
	return pkowner.Report{}, context.Cause(ctx)
}

// An engine in the middle of paths falls dark while the store is away, so that the list goes on
// naming it. The first engines of new paths refuse for it. Passed over like one that is full, for
// two tenths of a second at first, nine such engines refused 2,260 sends of 195 entries in twelve
// seconds. One that gives no sign of life must be passed over for seconds, by all entries; one
// that lives only as before; and an engine that refuses for itself is not asked.
func TestAnEngineThatOthersRefuseForIsAsked(t *testing.T) {
	for _, row := range []struct {
		name  string
		dark  string
		fault string
		asked int
	}{
		{"it is dark", "b", "b", 1},
		{"it lives", "", "b", 0},
		{"the first refuses for itself", "a", "a", 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			d, s := poolDaemon(engine("a", "x", 0, 40), engine("b", "x", 40, 80), engine("c", "x", 40, 80))
			engines := &darkEngines{dark: row.dark}
			d.Engines = engines
			d.doubts = make(chan doubt, mostDoubts)
			a := attemptOver(t, d, s, "a", "b")
			answer := &pkforward.Answer{Status: http.StatusServiceUnavailable, Head: pkforward.Head{NotRun: true, Fault: row.fault}}
			refusal := &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: errors.New("status 503")}
			for range 3 {
				a.call.blamePath(t.Context(), a, answer, refusal)
			}
			for len(d.doubts) > 0 {
				d.settleDoubt(t.Context(), <-d.doubts)
			}
			assert.Equal(t, engines.asked, row.asked)
			now := time.Now()
			dead := row.asked > 0
			assert.Equal(t, d.target(t, "b").IsDead(now), dead)
			assert.Equal(t, len(d.message(now).Suspects) == 1, dead, "the others are told")
		})
	}
}

// Engines are taken away while the store is, so that the list cannot say it. They live, and the
// first engines of new paths refuse for them as for full ones; seven such engines refused 1,200
// sends of 195 entries in three seconds. One that leaves must be passed over for seconds by all
// entries until its entry changes; one that is full, or whose health is not known, only as before;
// nobody asks where the list can say it.
func TestAnEngineThatLeavesWhileTheStoreIsAwayIsPassedOver(t *testing.T) {
	// longest is more than what engines are passed over for after five failures.
	const longest = 4500 * time.Millisecond
	refused := &pkforward.Answer{Status: http.StatusServiceUnavailable, Head: pkforward.Head{NotRun: true, Fault: "b"}}
	failure := &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: errors.New("status 503")}
	for _, row := range []struct {
		name    string
		engines darkEngines
		away    bool
		checked int
		told    bool
	}{
		{"it leaves", darkEngines{leaves: true}, true, 1, true},
		{"it is dark", darkEngines{dark: "b", leaves: true}, true, 0, true},
		{"it is full", darkEngines{}, true, 1, false},
		{"its health is not known", darkEngines{health: errors.New("busy")}, true, 1, false},
		{"the list can say it", darkEngines{leaves: true}, false, 0, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			d, s := poolDaemon(engine("a", "x", 0, 40), engine("b", "x", 40, 80), engine("c", "x", 40, 80))
			d.Engines = &row.engines
			if row.away {
				d.roster.StoreAway(time.Now())
			}
			d.doubts = make(chan doubt, mostDoubts)
			a := attemptOver(t, d, s, "a", "b")
			for range 5 {
				a.call.blamePath(t.Context(), a, refused, failure)
			}
			for len(d.doubts) > 0 {
				d.settleDoubt(t.Context(), <-d.doubts)
			}
			assert.Equal(t, row.engines.checked, row.checked)
			assert.Equal(t, d.target(t, "b").Hopeless(time.Now()), row.told)
			assert.Equal(t, len(d.message(time.Now()).Suspects) == 1, row.told)
			if row.checked == 0 || !row.told {
				return
			}
			assert.Assert(t, d.target(t, "b").Avoided(time.Now().Add(longest)))
			other, _ := poolDaemon(engine("a", "x", 0, 40), engine("b", "x", 40, 80))
			other.hearSuspect(time.Now(), "one", d.message(time.Now()).Suspects[0])
			assert.Assert(t, other.target(t, "b").Hopeless(time.Now()))
			d.lists(time.Now(), 2, engine("b", "x", 40, 60))
			assert.Assert(t, !d.target(t, "b").Hopeless(time.Now()), "its entry says something new")
		})
	}
}
