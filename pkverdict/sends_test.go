package pkverdict

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that is given up as run too often, since it was sent over links that were found to be cut only
// after its last send.
func TestSendsBeforeACutIsFoundDoNotUseUpTheAttempts(t *testing.T) {
	reset := &Error{Verdict: MayHaveRun, Reason: ReasonTargetLost, Unanswered: true}
	s := NewSends(1)
	s.Record(reset)
	s.Record(reset)
	assert.Equal(t, s.Attempts(), 3)
	assert.Assert(t, s.HasUnanswered())
	s.RecordCut()
	s.RecordCut()
	assert.Equal(t, s.Attempts(), 1)
	assert.Assert(t, !s.HasUnanswered())
	assert.Equal(t, s.Runs(), 3, "they may have run all the same")
	assert.Equal(t, s.Delivered(), 2)

	s.Record(&Error{Verdict: MayHaveRun, Reason: ReasonTargetLost})
	s.Record(&Error{Verdict: MayHaveRun, Reason: ReasonCutOff})
	s.Record(&Error{Verdict: NotRun, Reason: ReasonRefused})
	s.Record(&Error{Verdict: NotRun, Reason: ReasonUnreachable, Unanswered: true})
	s.RecordCut()
	assert.Equal(t, s.Attempts(), 2, "a target that has answered counts")
	assert.Equal(t, s.Runs(), 5)
	assert.Equal(t, s.Delivered(), 5)
}
