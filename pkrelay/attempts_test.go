package pkrelay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers that are refused because entries which restart, or know an older configuration, have passed their
// request back, and against requests that wander without end.
func TestEntriesThatPassBackDoNotUseUpTheAttempts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var a Attempts
	for range maxTaken {
		assert.Assert(t, a.Allowed())
		a.Record(now, true)
	}
	for range maxTaken {
		assert.Assert(t, a.Allowed())
		a.Record(now, false)
	}
	assert.Assert(t, !a.Allowed())
	assert.Equal(t, a.Count(), 2*maxTaken)
	a = Attempts{}
	for a.Allowed() {
		a.Record(now, true)
	}
	assert.Equal(t, a.Count(), maxPassedBack)
}

// Guards against a request that is passed on, one after the other, to entries that are cut off as well.
func TestPassedBackOftenNeedsConfirmed(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var a Attempts
	assert.Assert(t, a.PassedBackAt().IsZero())
	for range maxUnconfirmed {
		assert.Assert(t, !a.NeedsConfirmed())
		a.Record(now, true)
	}
	assert.Assert(t, a.NeedsConfirmed() && a.Allowed())
	assert.Equal(t, a.PassedBackAt(), now)
}
