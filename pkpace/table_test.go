package pkpace

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

var start = time.Unix(1000, 0)

func TestAnEngineIsAsFastAsItLastSaid(t *testing.T) {
	var p Table
	assert.Equal(t, p.Factor(start, "e", 0), Usual)
	assert.Assert(t, !p.Learn(start, "e", 0, 1.1, start), "sound engines scatter")
	assert.Assert(t, p.Learn(start, "e", 0, 12, start))
	assert.Equal(t, p.Factor(start, "e", 0), Factor(12))
	later := start.Add(time.Second)
	assert.Assert(t, !p.Learn(later, "e", 0, 11, later), "as slow as before")
	assert.Assert(t, p.Learn(later.Add(1), "e", 0, 1, later.Add(1)), "sound again")
	assert.Equal(t, p.Factor(later.Add(1), "e", 0), Usual)
}

// An engine was slow, the entries that asked it are gone, and nobody says any more how it is.
// Passed over for good, it would be lost to the pool.
func TestAWordIsForgotten(t *testing.T) {
	var p Table
	p.Learn(start, "e", 0, 12, start)
	assert.Equal(t, p.Factor(start.Add(holdsFor), "e", 0), Usual)
	assert.Equal(t, len(p.Words(start.Add(holdsFor))), 0)
	assert.Equal(t, len(p.said), 0)
}

// An engine was slow, crashed, and came back sound. What its earlier start said is passed on by
// entries that do not know of the crash yet.
func TestAWordOfAnEarlierStartSaysNothing(t *testing.T) {
	var p Table
	p.Learn(start, "e", 5, 12, start)
	assert.Equal(t, p.Factor(start, "e", 6), Usual)
	later := start.Add(time.Millisecond)
	p.Learn(later, "e", 6, 2, later)
	assert.Assert(t, !p.Learn(later.Add(1), "e", 5, 12, later.Add(1)))
	assert.Equal(t, p.Factor(later.Add(1), "e", 6), Factor(2))
}

// Two entries tell one another of an engine that nobody asks any more. Each message takes some
// time, so what comes back looks a little younger than it is. The word must still end.
func TestAWordThatGoesRoundEnds(t *testing.T) {
	var a, b Table
	a.Learn(start, "e", 0, 12, start)
	const every, way = 150 * time.Millisecond, 15 * time.Millisecond
	now := start
	for ; now.Sub(start) < 2*holdsFor; now = now.Add(every) {
		for _, w := range a.Words(now) {
			b.Hear(now.Add(way), w)
		}
		for _, w := range b.Words(now.Add(way)) {
			a.Hear(now.Add(2*way), w)
		}
	}
	assert.Equal(t, a.Factor(now, "e", 0), Usual)
	assert.Equal(t, b.Factor(now, "e", 0), Usual)
}

func TestWordsAreBounded(t *testing.T) {
	var p Table
	for i := range 4 * mostWords {
		p.Learn(start, pkid.TargetID(fmt.Sprint(i)), 0, Factor(2+i), start)
	}
	words := p.Words(start.Add(time.Millisecond))
	assert.Equal(t, len(words), mostWords)
	assert.Equal(t, words[0].Factor, Factor(min(2+4*mostWords-1, int(mostFactor))))
}

func TestWordsThatMakeNoSenseArePassedOver(t *testing.T) {
	var p Table
	for _, f := range []Factor{0, -3, Factor(math.NaN())} {
		assert.Assert(t, !p.Learn(start, "e", 0, f, start))
	}
	assert.Assert(t, !p.Learn(start, "e", 0, 12, start.Add(time.Second)), "of a time to come")
	p.Hear(start, Word{Target: "e", Factor: Factor(math.Inf(1)), AgeMS: -5})
	assert.Equal(t, p.Factor(start, "e", 0), mostFactor)
}
