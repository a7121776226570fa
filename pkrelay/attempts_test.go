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

// Guards against a request that is passed on, one after the other, to entries that are cut off as well.
func TestPassedBackOftenNeedsConfirmed(t *testing.T) {
	var a Attempts
	for range maxUnconfirmed {
		assert.Assert(t, !a.NeedsConfirmed())
		a.Record(true)
	}
	assert.Assert(t, a.NeedsConfirmed() && a.Allowed())
}
