package pkedge

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkforward"
	"peridotknot.example/pkowner"
	"peridotknot.example/pkverdict"
)

// healthEngines answer reports, except for one silent engine, and health checks.
type healthEngines struct {
	pkowner.Engines
	silent      string
	reportCalls int64
	// draining and healthErr are the result of health checks, healthCalls counts them.
	draining    bool
	healthErr   error
	healthCalls int
}

func (e *healthEngines) Leaving(context.Context, string, string) (bool, error) {
	e.healthCalls++
	return e.draining, e.healthErr
}

func (e *healthEngines) Connect(context.Context, string) error { return nil }

func (e *healthEngines) Report(ctx context.Context, addr string) (pkowner.Report, error) {
	if addr != e.silent {
		return pkowner.Report{AcceptedOrders: 1}, nil
	}
	atomic.AddInt64(&e.reportCalls, 1)
	<-ctx.Done()
	return pkowner.Report{}, context.Cause(ctx)
}

// Guards against a dead engine in the middle of paths that is avoided only for the short backoff of
// a full one while the store is unavailable. An engine that does not answer must be suspected by
// all entries, a live one only backed off; a first engine that refuses for itself is not checked.
func TestEngineBehindARefusalIsChecked(t *testing.T) {
	for _, row := range []struct {
		name        string
		silent      string
		fault       string
		reportCalls int64
	}{
		{"silent", "b", "b", livenessReports},
		{"alive", "", "b", 0},
		{"first engine refuses for itself", "a", "a", 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			d, s := poolDaemon(engine("a", "x", 0, 40), engine("b", "x", 40, 80), engine("c", "x", 40, 80))
			engines := &healthEngines{silent: row.silent}
			d.Engines = engines
			d.refusalCauses = make(chan refusalCause, maxRefusalCauses)
			a := attemptOver(t, d, s, "a", "b")
			answer := &pkforward.Response{Status: http.StatusServiceUnavailable, ResponseMeta: pkforward.ResponseMeta{NotRun: true, FaultAddr: row.fault}}
			refusal := &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: errors.New("status 503")}
			for range 3 {
				a.call.recordPathFailure(t.Context(), a, answer, refusal)
			}
			for len(d.refusalCauses) > 0 {
				d.checkRefusalCause(t.Context(), <-d.refusalCauses)
			}
			assert.Equal(t, atomic.LoadInt64(&engines.reportCalls), row.reportCalls)
			now := time.Now()
			dead := row.reportCalls > 0
			assert.Equal(t, d.target(t, "b").IsDead(now), dead)
			assert.Equal(t, len(d.message(now).Suspects) == 1, dead, "reported to the other entries")
		})
	}
}

// Guards against draining engines that the list cannot show while the store is unavailable. All
// entries must avoid one until its record changes; a full engine, or one of unknown health, is only
// backed off. With the store available no health check is made.
func TestDrainingEngineIsAvoidedDuringStoreOutage(t *testing.T) {
	// longest exceeds the backoff after five failures.
	const longest = 4500 * time.Millisecond
	refusal := &pkforward.Response{Status: http.StatusServiceUnavailable, ResponseMeta: pkforward.ResponseMeta{NotRun: true, FaultAddr: "b"}}
	failure := &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: errors.New("status 503")}
	for _, row := range []struct {
		name        string
		engines     healthEngines
		outage      bool
		healthCalls int
		suspected   bool
	}{
		{"draining", healthEngines{draining: true}, true, 1, true},
		{"silent", healthEngines{silent: "b", draining: true}, true, 0, true},
		{"full", healthEngines{}, true, 1, false},
		{"unknown health", healthEngines{healthErr: errors.New("busy")}, true, 1, false},
		{"store available", healthEngines{draining: true}, false, 0, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			d, s := poolDaemon(engine("a", "x", 0, 40), engine("b", "x", 40, 80), engine("c", "x", 40, 80))
			d.Engines = &row.engines
			if row.outage {
				d.roster.MarkStoreUnavailable(time.Now())
			}
			d.refusalCauses = make(chan refusalCause, maxRefusalCauses)
			a := attemptOver(t, d, s, "a", "b")
			for range 5 {
				a.call.recordPathFailure(t.Context(), a, refusal, failure)
			}
			for len(d.refusalCauses) > 0 {
				d.checkRefusalCause(t.Context(), <-d.refusalCauses)
			}
			assert.Equal(t, row.engines.healthCalls, row.healthCalls)
			assert.Equal(t, d.target(t, "b").Excluded(time.Now()), row.suspected)
			assert.Equal(t, len(d.message(time.Now()).Suspects) == 1, row.suspected)
			if row.healthCalls == 0 || !row.suspected {
				return
			}
			assert.Assert(t, d.target(t, "b").Avoided(time.Now().Add(longest)))
			other, _ := poolDaemon(engine("a", "x", 0, 40), engine("b", "x", 40, 80))
			other.Engines = d.Engines
			other.receiveSuspicion(time.Now(), "one", d.message(time.Now()).Suspects[0])
			other.confirmPending(t)
			assert.Assert(t, other.target(t, "b").Excluded(time.Now()))
			d.applyRecord(time.Now(), 2, engine("b", "x", 40, 60))
			assert.Assert(t, !d.target(t, "b").Excluded(time.Now()), "its record has changed")
		})
	}
}
