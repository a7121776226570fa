package pkverdict

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestDecide(t *testing.T) {
	cases := map[string]struct {
		progress Progress
		want     Verdict
	}{
		"no connection":              {Progress{}, NotRun},
		"connection, nothing sent":   {Progress{Connected: true}, NotRun},
		"sent, no answer":            {Progress{Connected: true, Written: true}, MayHaveRun},
		"sent, answered":             {Progress{Connected: true, Written: true, Answered: true}, Ran},
		"sent, target did not start": {Progress{Connected: true, Written: true, Refused: true}, NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, Decide(c.progress), c.want) })
	}
}

// Callers resend a request that is reported as not run. Guards against reporting NotRun for any
// sequence of attempts in which one was sent and not refused, since the request could run twice.
func TestNotRunIsNeverReportedAfterSend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := NotRun
		unsafe := false
		for range rapid.IntRange(1, 5).Draw(t, "attempts") {
			p := Progress{
				Connected: rapid.Bool().Draw(t, "connected"),
				Written:   rapid.Bool().Draw(t, "written"),
				Refused:   rapid.Bool().Draw(t, "refused"),
				Answered:  rapid.Bool().Draw(t, "answered"),
			}
			unsafe = unsafe || ((p.Written || p.Answered) && !p.Refused)
			total = Join(total, Decide(p))
		}
		if unsafe && total == NotRun {
			t.Fatal("verdict is NotRun although a request was sent")
		}
		if !unsafe && total != NotRun {
			t.Fatal("nothing was sent, but the verdict is not NotRun")
		}
	})
}

func TestMayRetry(t *testing.T) {
	assert.Assert(t, NotRun.MayRetry(false))
	assert.Assert(t, !MayHaveRun.MayRetry(false))
	assert.Assert(t, MayHaveRun.MayRetry(true))
	assert.Assert(t, !Ran.MayRetry(true))
	var unset Verdict
	assert.Assert(t, !unset.MayRetry(false))
}

// Guards against a send that wrote nothing, over a connection that was reset before, being charged as one that a target
// got.
func TestOnlySendsThatMayHaveArrivedCount(t *testing.T) {
	for _, c := range []struct {
		failure Error
		want    bool
	}{
		{Error{Verdict: NotRun, Reason: ReasonUnreachable}, false},
		{Error{Verdict: NotRun, Reason: ReasonTargetLost}, false},
		{Error{Verdict: NotRun, Reason: ReasonRefused}, true},
		{Error{Verdict: MayHaveRun, Reason: ReasonTargetLost}, true},
		{Error{Verdict: Ran, Reason: ReasonTargetLost}, true},
	} {
		assert.Equal(t, c.failure.MayHaveArrived(), c.want, "%+v", c.failure)
	}
}
