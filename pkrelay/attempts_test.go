package pkrelay

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against callers that are refused because entries which restart, or know an older configuration, have passed their
// request back, and against requests that wander without end.
func TestEntriesThatPassBackDoNotUseUpTheAttempts(t *testing.T) {
	var a Attempts
	for range maxTaken {
		assert.Assert(t, a.Allowed())
		a.Record(true)
	}
	for range maxTaken {
		assert.Assert(t, a.Allowed())
		a.Record(false)
	}
	assert.Assert(t, !a.Allowed())
	assert.Equal(t, a.Count(), 2*maxTaken)
	a = Attempts{}
	for a.Allowed() {
		a.Record(true)
	}
	assert.Equal(t, a.Count(), maxPassedBack)
}
