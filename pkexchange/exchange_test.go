package pkexchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkverdict"
)

// check fails the test unless an error has the given cause and verdict; none is expected without a cause.
func check(t *testing.T, err, cause error, verdict pkverdict.Verdict) {
	t.Helper()
	if cause == nil {
		assert.NilError(t, err)
		return
	}
	var failure *pkverdict.Error
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Equal(t, failure.Verdict, verdict)
	assert.Assert(t, errors.Is(err, cause), "%v", err)
}

// Guards against an answer of another request, or one that HTTP does not allow, that goes to the caller or counts as a refusal.
func TestResponsesToOtherRequests(t *testing.T) {
	for _, row := range []struct {
		head  Head
		cause error
	}{
		{Head{Status: 200, Request: "a"}, nil},
		{Head{Status: 100, Request: "a"}, nil},
		{Head{Status: 503, Request: "a", NotRun: true}, nil},
		{Head{Status: 200, Request: "b"}, ErrForeign},
		{Head{Status: 200}, ErrForeign},
		{Head{Status: 503, Request: "b", NotRun: true}, ErrForeign},
		{Head{Status: 99, Request: "a"}, ErrStatus},
		{Head{Request: "a", NotRun: true}, ErrStatus},
	} {
		check(t, row.head.CheckRequest("a"), row.cause, pkverdict.MayHaveRun)
	}
}

// Guards against a response that HTTP does not allow and that passes for an answer.
func TestHeadsOfResponses(t *testing.T) {
	upgrade := http.Header{"Upgrade": {"websocket"}}
	for _, row := range []struct {
		request  http.Header
		status   int
		response http.Header
		cause    error
	}{
		{nil, 200, nil, nil},
		{nil, 599, http.Header{"X-Good": {"1"}, "!#$%&'*+.^_`|~": {"1"}}, nil},
		{nil, 0, nil, ErrStatus},
		{nil, 199, nil, ErrStatus},
		{nil, 600, nil, ErrStatus},
		{nil, 101, nil, ErrStatus},
		{upgrade, 101, nil, nil},
		{upgrade, 102, nil, ErrStatus},
		{upgrade, 101, http.Header{"X Bad": {"1"}}, ErrField},
		{nil, 200, http.Header{"X-Bad ": {"1"}}, ErrField},
		{nil, 503, http.Header{"X\x00": {"1"}}, ErrField},
		{nil, 200, http.Header{"": {"1"}}, ErrField},
	} {
		check(t, CheckHead(row.request, row.status, row.response), row.cause, pkverdict.MayHaveRun)
	}
}

// Guards against a refusal that counts as a run, and a run that counts as refused.
func TestRefusals(t *testing.T) {
	assert.NilError(t, Head{Status: 503}.CheckRun())
	var failure *pkverdict.Error
	assert.Assert(t, errors.As(Head{Status: 421, NotRun: true}.CheckRun(), &failure))
	assert.Equal(t, failure.Verdict, pkverdict.NotRun)
	assert.Equal(t, failure.Reason, pkverdict.ReasonRefused)
	assert.Assert(t, failure.MayHaveArrived())
}

// Guards against an answer that something has changed on its way, and against failures of targets that pass for answers.
func TestAnswersForTheCaller(t *testing.T) {
	for _, row := range []struct {
		head  Head
		cause error
	}{
		{Head{Status: 200, Sealed: true}, nil},
		{Head{Status: 200}, ErrAltered},
		{Head{Status: 299}, ErrAltered},
		{Head{Status: 200, Sealed: true, Encoded: true}, ErrAltered},
		{Head{Status: 404, Encoded: true}, ErrAltered},
		{Head{Status: 404}, nil},
		{Head{Status: 304}, nil},
		{Head{Status: 499}, nil},
		{Head{Status: 500, Sealed: true}, ErrTargetFailed},
		{Head{Status: 504, Encoded: true}, ErrTargetFailed},
	} {
		check(t, row.head.CheckAnswer(), row.cause, pkverdict.MayHaveRun)
	}
}

// Guards against a part of a body that counts as whole where its target has ended.
func TestBodiesThatEndWithTheirConnection(t *testing.T) {
	for _, row := range []struct {
		body  Body
		cause error
	}{
		{Body{Delimited: true}, nil},
		{Body{Delimited: true, TargetGone: true}, nil},
		{Body{}, nil},
		{Body{TargetGone: true}, io.ErrUnexpectedEOF},
	} {
		check(t, row.body.Check(), row.cause, pkverdict.MayHaveRun)
	}
}

// Guards against a second copy of a refusal that is taken for the response to the same request when it is sent again, and
// against a connection that remembers without end.
func TestConnectionsRememberWhatWasAnswered(t *testing.T) {
	var m Memory
	assert.Assert(t, m.MayCarry("a"))
	m.Answered("a")
	m.Answered("")
	assert.Assert(t, !m.MayCarry("a"))
	assert.Assert(t, m.MayCarry("b"))
	assert.Assert(t, m.MayCarry(""), "exchanges without an id are not remembered")
	for n := range maxAnswered - 1 {
		assert.Assert(t, !m.MayCarry("a"), "after %d others", n)
		m.Answered(pkid.RequestID(fmt.Sprint(n)))
	}
	assert.Assert(t, m.MayCarry("a"), "a surplus response comes before those of later requests")
	assert.Assert(t, !m.MayCarry(pkid.RequestID(fmt.Sprint(maxAnswered-2))))
	assert.Equal(t, len(m.answered), maxAnswered)
}
