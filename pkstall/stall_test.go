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

func testStream(silentFor time.Duration, path ...pkid.TargetID) Flow {
	return Flow{Path: path, Begun: true, Last: now.Add(-silentFor), Pause: 30 * time.Millisecond}
}

// manyEngines has more engines than are probed at once.
var manyEngines = []pkid.TargetID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m"}

// Guards against long pauses after an engine in the middle of some paths dies: it must be found
// from the silent streams that share it.
func TestSilentStreamsShareStalledEngine(t *testing.T) {
	const long, short = 130 * time.Millisecond, 20 * time.Millisecond
	cases := []struct {
		name    string
		streams []Flow
		want    []pkid.TargetID
	}{
		{"no stream is silent", []Flow{testStream(short, "a", "b"), testStream(short, "a", "c")}, nil},
		{"one silent stream is too few", []Flow{testStream(long, "a", "b"), testStream(short, "a", "c")}, nil},
		{"two silent streams share one engine", []Flow{testStream(long, "a", "x"), testStream(long, "b", "x"), testStream(short, "a", "b")}, []pkid.TargetID{"x"}},
		{"a progressing stream clears its engines", []Flow{testStream(long, "a", "x"), testStream(long, "a", "x"), testStream(short, "a", "c")}, []pkid.TargetID{"x"}},
		{"two candidates remain", []Flow{testStream(long, "a", "x"), testStream(long, "a", "x")}, []pkid.TargetID{"a", "x"}},
		{"a pipeline of candidates remains", []Flow{testStream(long, "a", "b", "c", "d", "e", "f", "g"), testStream(long, "a", "b", "c", "d", "e", "f", "h")}, []pkid.TargetID{"a", "b", "c", "d", "e", "f"}},
		{"more candidates than probes", []Flow{testStream(long, manyEngines...), testStream(long, manyEngines...)}, manyEngines[:maxProbes]},
		{"most silent streams first", []Flow{testStream(long, "b", "z"), testStream(long, "b", "z"), testStream(long, "a", "z")}, []pkid.TargetID{"z", "b"}},
		{"slow paths are not silent", []Flow{
			{Path: []pkid.TargetID{"a", "x"}, Begun: true, Last: now.Add(-long), Pause: 60 * time.Millisecond},
			{Path: []pkid.TargetID{"b", "x"}, Begun: true, Last: now.Add(-long), Pause: 60 * time.Millisecond},
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.DeepEqual(t, Culprits(now, c.streams, Evidence{}), c.want) })
	}
}

// Guards against engines that are probed late or twice when several die at once: every candidate is
// probed once, in one of two rounds.
func TestAllCandidatesAreProbedInTurn(t *testing.T) {
	streams := []Flow{testStream(130*time.Millisecond, manyEngines...), testStream(130*time.Millisecond, manyEngines...)}
	for seed := range uint64(50) {
		answered := map[pkid.TargetID]time.Time{}
		e := Evidence{Turn: seed, Answered: func(id pkid.TargetID) time.Time { return answered[id] }}
		for round := range 2 {
			probed := Culprits(now, streams, e)
			assert.Equal(t, len(probed), []int{maxProbes, len(manyEngines) - maxProbes}[round])
			for _, id := range probed {
				assert.Assert(t, answered[id].IsZero(), "%s is probed twice", id)
				answered[id] = now
			}
		}
		assert.Equal(t, len(Culprits(now, streams, e)), 0)
	}
}

// Guards against waiting too long for streams that were resent through another dead engine and have
// no event of this attempt yet. A stream that was just sent is neither silent nor a sign of life.
func TestStreamWithoutFirstEventIsSilent(t *testing.T) {
	for _, row := range []struct {
		first, silentFor time.Duration
		want             bool
	}{
		{500 * time.Millisecond, 190 * time.Millisecond, false},
		{500 * time.Millisecond, 200 * time.Millisecond, true},
		{0, defaultFirstEvent - 1, false},
		{0, defaultFirstEvent, true},
	} {
		stream := Flow{Path: []pkid.TargetID{"a"}, Last: now.Add(-row.silentFor), First: row.first}
		assert.Equal(t, stream.Silent(now), row.want, "%+v", row)
		sent := Flow{Path: []pkid.TargetID{"x"}, Last: now}
		assert.Equal(t, len(Culprits(now, []Flow{testStream(time.Second, "x"), testStream(time.Second, "x"), sent}, Evidence{})), 1, "a stream that was just sent is no sign of life")
	}
}

// Guards against declaring engines dead because this entry is overloaded and its probes time out.
func TestTimeoutNeedsSuccessfulControl(t *testing.T) {
	timeout := fmt.Errorf("report: %w", context.DeadlineExceeded)
	refused := errors.New("connection refused")
	cases := []struct {
		probe, control error
		want           bool
	}{
		{nil, nil, false},
		{timeout, nil, true},
		{timeout, timeout, false},
		{timeout, refused, false},
		{refused, nil, true},
		{refused, timeout, true},
	}
	for _, c := range cases {
		assert.Equal(t, Dead(c.probe, c.control), c.want, "probe: %v, control: %v", c.probe, c.control)
	}
}
