package pkedge

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

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
		relayed: &pkrelay.Request{Runs: 1}, runs: 1,
	}
	reset := &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: syscall.ECONNRESET, Unanswered: true}
	for range 2 {
		c.countFailure(reset)
		c.afterUnreachable(t.Context(), reset)
	}
	assert.Assert(t, d.links.CutOff("models"))
	assert.Equal(t, c.attempts(), 1)
	assert.Assert(t, c.mayRetry(pkverdict.MayHaveRun))
	assert.Assert(t, c.mayNotBeRefused(), "it may have run all the same")
	var rej *rejection
	assert.Assert(t, errors.As(c.passedBack(pkverdict.MayHaveRun), &rej))
	assert.Equal(t, rej.status, http.StatusBadGateway)
	assert.Equal(t, rej.reason, pkrelay.ReasonLinksCut)

	broken := &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: syscall.ECONNRESET}
	c.countFailure(broken)
	c.afterUnreachable(t.Context(), broken)
	assert.Equal(t, c.attempts(), 2, "a target that has answered counts")
	assert.Assert(t, !c.mayRetry(pkverdict.MayHaveRun))
	assert.NilError(t, c.passedBack(pkverdict.MayHaveRun), "it is not free to be sent again")
}
