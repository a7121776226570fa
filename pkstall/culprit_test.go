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
	return Flow{Path: path, Last: now.Add(-ago), Pause: 30 * time.Millisecond}
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
		{"all is slow", []Flow{flow(long, manyEngines...), flow(long, manyEngines...)}, nil},
		{"slow paths are not silent", []Flow{
			{Path: []pkid.TargetID{"a", "x"}, Last: now.Add(-long), Pause: 60 * time.Millisecond},
			{Path: []pkid.TargetID{"b", "x"}, Last: now.Add(-long), Pause: 60 * time.Millisecond},
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.DeepEqual(t, Culprits(now, c.flows), c.want) })
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
