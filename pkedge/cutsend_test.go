package pkedge

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkreach"
	"peridotknot.example/pkrelay"
	"peridotknot.example/pkverdict"
)

// Guards against streams that are given up as run too often, since each entry that was cut off with the first one has sent
// them over links that were reset.
func TestSendsOverCutLinksDoNotUseUpTheAttempts(t *testing.T) {
	d, _ := twelveEngines(t)
	d.Engines = &unansweringEngines{resets: pkreach.SampleSize}
	c := &call{
		Daemon: d, r: httptest.NewRequest(http.MethodPost, "/", nil), service: "models",
		route:   &pkconfig.Route{Name: "talk", Kind: pkconfig.Stream, Resumable: true, MaxAttempts: 2},
		relayed: &pkrelay.Request{Runs: 1}, failed: pkverdict.NewSends(1),
	}
	reset := &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: syscall.ECONNRESET, Unanswered: true}
	for range 2 {
		c.failed.Record(reset)
		c.afterUnreachable(t.Context(), reset)
	}
	assert.Assert(t, d.links.CutOff("models"))
	assert.Equal(t, c.failed.Attempts(), 1)
	assert.Assert(t, c.mayRetry(pkverdict.MayHaveRun))
	assert.Assert(t, c.mayNotBeRefused(), "it may have run all the same")
	var rej *rejection
	assert.Assert(t, errors.As(c.passedBack(pkverdict.MayHaveRun), &rej))
	assert.Equal(t, rej.status, http.StatusBadGateway)
	assert.Equal(t, rej.reason, pkrelay.ReasonLinksCut)

	broken := &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: syscall.ECONNRESET}
	c.failed.Record(broken)
	c.afterUnreachable(t.Context(), broken)
	assert.Equal(t, c.failed.Attempts(), 2, "a target that has answered counts")
	assert.Assert(t, !c.mayRetry(pkverdict.MayHaveRun))
	assert.NilError(t, c.passedBack(pkverdict.MayHaveRun), "it is not free to be sent again")
}

// Guards against a request that is refused, or broken off, since the check of the links after its failed send has had no
// result, though others could serve it; and against checks of the links where a pool is only full.
func TestLinksAreCheckedBeforeARequestIsGivenUp(t *testing.T) {
	d, _ := twelveEngines(t)
	engines := &unansweringEngines{resets: pkreach.SampleSize}
	d.Engines = engines
	c := &call{Daemon: d, r: httptest.NewRequest(http.MethodPost, "/", nil), service: "models", route: &pkconfig.Route{MaxAttempts: 2}}
	assert.Assert(t, !c.findsLinksImpaired(t.Context()))
	assert.Equal(t, engines.asked.Load(), int64(0), "no send has failed")
	c.unreachableAt = time.Now()
	assert.Assert(t, c.findsLinksImpaired(t.Context()))
	asked := engines.asked.Load()
	assert.Assert(t, c.findsLinksImpaired(t.Context()))
	assert.Equal(t, engines.asked.Load(), asked, "checked since the send failed")
}
