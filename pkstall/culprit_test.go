package pkstall

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

var now = time.Unix(1000, 0)

func flow(ago time.Duration, path ...pkid.TargetID) Flow {
	return Flow{Path: path, Begun: true, Last: now.Add(-ago), Pause: 30 * time.Millisecond}
}

// manyEngines are more than can be in question at once.
var manyEngines = []pkid.TargetID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m"}

// An engine in the middle of some paths dies. Each of their callers sees a pause;
// engines cut such a request only after seconds. Which engine it was must be known
// from the other streams, within the pause that callers still count as in time.
func TestTheCommonEngineOfSilentStreamsIsFound(t *testing.T) {
	const long, short = 130 * time.Millisecond, 20 * time.Millisecond
	cases := []struct {
		name  string
		flows []Flow
		want  []pkid.TargetID
	}{
		{"nothing is silent", []Flow{flow(short, "a", "b"), flow(short, "a", "c")}, nil},
		{"one silent stream says too little", []Flow{flow(long, "a", "b"), flow(short, "a", "c")}, nil},
		{"two share one engine", []Flow{flow(long, "a", "x"), flow(long, "b", "x"), flow(short, "a", "b")}, []pkid.TargetID{"x"}},
		{"a moving stream clears the others", []Flow{flow(long, "a", "x"), flow(long, "a", "x"), flow(short, "a", "c")}, []pkid.TargetID{"x"}},
		{"two stay in doubt", []Flow{flow(long, "a", "x"), flow(long, "a", "x")}, []pkid.TargetID{"a", "x"}},
		{"a row stays in doubt", []Flow{flow(long, "a", "b", "c", "d", "e", "f", "g"), flow(long, "a", "b", "c", "d", "e", "f", "h")}, []pkid.TargetID{"a", "b", "c", "d", "e", "f"}},
		{"so many that some wait their turn", []Flow{flow(long, manyEngines...), flow(long, manyEngines...)}, manyEngines[:mostCulprits]},
		{"the most silent go first", []Flow{flow(long, "b", "z"), flow(long, "b", "z"), flow(long, "a", "z")}, []pkid.TargetID{"z", "b"}},
		{"slow paths are not silent", []Flow{
			{Path: []pkid.TargetID{"a", "x"}, Begun: true, Last: now.Add(-long), Pause: 60 * time.Millisecond},
			{Path: []pkid.TargetID{"b", "x"}, Begun: true, Last: now.Add(-long), Pause: 60 * time.Millisecond},
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.DeepEqual(t, Culprits(now, c.flows, Evidence{}), c.want) })
	}
}

// Several engines die at one moment, and nearly every stream is silent. Each dead one must be
// asked at once or in turn, and none twice that has answered meanwhile: found one after the
// other, the last of six held its streams up for 1.8 s.
func TestAllEnginesInDoubtAreAskedInTurn(t *testing.T) {
	flows := []Flow{flow(130*time.Millisecond, manyEngines...), flow(130*time.Millisecond, manyEngines...)}
	for draw := range uint64(50) {
		answered := map[pkid.TargetID]time.Time{}
		e := Evidence{Turn: draw, Answered: func(id pkid.TargetID) time.Time { return answered[id] }}
		for round := range 2 {
			asked := Culprits(now, flows, e)
			assert.Equal(t, len(asked), []int{mostCulprits, len(manyEngines) - mostCulprits}[round])
			for _, id := range asked {
				assert.Assert(t, answered[id].IsZero(), "%s is asked twice", id)
				answered[id] = now
			}
		}
		assert.Equal(t, len(Culprits(now, flows, e)), 0)
	}
}

// Streams that left a dead engine are sent again over another that died with it. They have
// no event of this attempt yet, and must count as silent long before their caller's time is
// up; one that was sent just now must not.
func TestAStreamWithoutItsFirstEventIsSilent(t *testing.T) {
	for _, row := range []struct {
		first, ago time.Duration
		want       bool
	}{
		{500 * time.Millisecond, 190 * time.Millisecond, false},
		{500 * time.Millisecond, 200 * time.Millisecond, true},
		{0, firstDefault - 1, false},
		{0, firstDefault, true},
	} {
		f := Flow{Path: []pkid.TargetID{"a"}, Last: now.Add(-row.ago), First: row.first}
		assert.Equal(t, f.Silent(now), row.want, "%+v", row)
		sent := Flow{Path: []pkid.TargetID{"x"}, Last: now}
		assert.Equal(t, len(Culprits(now, []Flow{flow(time.Second, "x"), flow(time.Second, "x"), sent}, Evidence{})), 1, "what was sent is no sign of life")
	}
}

// An entry has all its callers at once and gets little of its processor. Questions
// to engines are late because of it; taken for dead engines, they would move all of
// its streams.
func TestALateAnswerAloneIsNoDeath(t *testing.T) {
	late := fmt.Errorf("report: %w", context.DeadlineExceeded)
	refused := errors.New("connection refused")
	cases := []struct {
		asked, control error
		want           bool
	}{
		{nil, nil, false},
		{late, nil, true},
		{late, late, false},
		{late, refused, false},
		{refused, nil, true},
		{refused, late, true},
	}
	for _, c := range cases {
		assert.Equal(t, Dead(c.asked, c.control), c.want, "%v beside %v", c.asked, c.control)
	}
}
