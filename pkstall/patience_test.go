package pkstall

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const quickFirst = 70 * time.Millisecond

func TestPatienceIsFixedWhereCallersSayNothing(t *testing.T) {
	assert.Equal(t, PatienceFor(0, 0, quickFirst), FixedPatience())
	assert.Equal(t, PatienceFor(500*time.Millisecond, 0, 0).First, FixedPatience().First, "nothing is known of first events")
}

// A third of all answers are lost on the way for six seconds, while engines are sound and first
// events come after 70 ms. Callers expect theirs within half a second, or less or more elsewhere. A
// stream whose answer is lost must be sent again in time for that.
func TestALostAnswerIsGivenUpInTimeForAnother(t *testing.T) {
	for _, objective := range []time.Duration{400 * time.Millisecond, 500 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second} {
		p := PatienceFor(objective, 250*time.Millisecond, quickFirst)
		assert.Equal(t, p.Asks, 1)
		assert.Assert(t, p.First+2*quickFirst <= objective, "%v of %v", p.First, objective)
		assert.Assert(t, p.First >= 3*quickFirst, "%v", p.First)
	}
}

// A pool that has lost many engines gives all first events late. Sent again for that, each stream
// would take its prompt's time twice, and all would be later still.
func TestSlowFirstEventsOfAllAreWaitedFor(t *testing.T) {
	var f Firsts
	for range 100 {
		f.Came(quickFirst)
	}
	quick := PatienceFor(500*time.Millisecond, 0, f.Usual()).First
	for range 100 {
		f.Came(400 * time.Millisecond)
	}
	assert.Assert(t, f.Usual() > 390*time.Millisecond)
	assert.Assert(t, PatienceFor(500*time.Millisecond, 0, f.Usual()).First > 1100*time.Millisecond)
	assert.Assert(t, quick < 300*time.Millisecond)
}

func TestLaterEventsAreWaitedForByWhatCallersAccept(t *testing.T) {
	assert.Equal(t, PatienceFor(0, 250*time.Millisecond, 0).Next, 450*time.Millisecond)
	assert.Equal(t, PatienceFor(0, 100*time.Millisecond, 0).Next, 180*time.Millisecond)
}
