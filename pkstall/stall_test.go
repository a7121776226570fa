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

func testStream(silentFor time.Duration, path ...pkid.TargetID) Stream {
	return Stream{Path: path, Started: true, LastProgress: now.Add(-silentFor), MeanGap: 30 * time.Millisecond}
}

// manyEngines has more engines than are probed at once.
var manyEngines = []pkid.TargetID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m"}

// Guards against long pauses after an engine in the middle of some paths dies: it must be found
// from the silent streams that share it.
func TestSilentStreamsShareStalledEngine(t *testing.T) {
	const long, short = 130 * time.Millisecond, 20 * time.Millisecond
	cases := []struct {
		name    string
		streams []Stream
		want    []pkid.TargetID
	}{
		{"no stream is silent", []Stream{testStream(short, "a", "b"), testStream(short, "a", "c")}, nil},
		{"one silent stream is too few", []Stream{testStream(long, "a", "b"), testStream(short, "a", "c")}, nil},
		{"two silent streams share one engine", []Stream{testStream(long, "a", "x"), testStream(long, "b", "x"), testStream(short, "a", "b")}, []pkid.TargetID{"x"}},
		{"a progressing stream clears its engines", []Stream{testStream(long, "a", "x"), testStream(long, "a", "x"), testStream(short, "a", "c")}, []pkid.TargetID{"x"}},
		{"two candidates remain", []Stream{testStream(long, "a", "x"), testStream(long, "a", "x")}, []pkid.TargetID{"a", "x"}},
		{"a pipeline of candidates remains", []Stream{testStream(long, "a", "b", "c", "d", "e", "f", "g"), testStream(long, "a", "b", "c", "d", "e", "f", "h")}, []pkid.TargetID{"a", "b", "c", "d", "e", "f"}},
		{"more candidates than probes", []Stream{testStream(long, manyEngines...), testStream(long, manyEngines...)}, manyEngines[:maxProbes]},
		{"most silent streams first", []Stream{testStream(long, "b", "z"), testStream(long, "b", "z"), testStream(long, "a", "z")}, []pkid.TargetID{"z", "b"}},
		{"slow paths are not silent", []Stream{
			{Path: []pkid.TargetID{"a", "x"}, Started: true, LastProgress: now.Add(-long), MeanGap: 60 * time.Millisecond},
			{Path: []pkid.TargetID{"b", "x"}, Started: true, LastProgress: now.Add(-long), MeanGap: 60 * time.Millisecond},
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.DeepEqual(t, ProbeTargets(now, c.streams, Evidence{}), c.want) })
	}
}

// Guards against engines that are probed late or twice when several die at once: every candidate is
// probed once, in one of two rounds.
func TestAllCandidatesAreProbedInTurn(t *testing.T) {
	streams := []Stream{testStream(130*time.Millisecond, manyEngines...), testStream(130*time.Millisecond, manyEngines...)}
	for seed := range uint64(50) {
		answered := map[pkid.TargetID]time.Time{}
		e := Evidence{Seed: seed, Answered: func(id pkid.TargetID) time.Time { return answered[id] }}
		for round := range 2 {
			probed := ProbeTargets(now, streams, e)
			assert.Equal(t, len(probed), []int{maxProbes, len(manyEngines) - maxProbes}[round])
			for _, id := range probed {
				assert.Assert(t, answered[id].IsZero(), "%s is probed twice", id)
				answered[id] = now
			}
		}
		assert.Equal(t, len(ProbeTargets(now, streams, e)), 0)
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
		stream := Stream{Path: []pkid.TargetID{"a"}, LastProgress: now.Add(-row.silentFor), MaxFirstWait: row.first}
		assert.Equal(t, stream.Silent(now), row.want, "%+v", row)
		sent := Stream{Path: []pkid.TargetID{"x"}, LastProgress: now}
		assert.Equal(t, len(ProbeTargets(now, []Stream{testStream(time.Second, "x"), testStream(time.Second, "x"), sent}, Evidence{})), 1, "a stream that was just sent is no sign of life")
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
