package pkstream

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotknot.example/pkid"
)

// Attempts are replaced while superseded ones keep sending, and tokens arrive in any order. Guards
// against repeated or skipped indexes, which callers cannot detect.
func TestDeliversEachIndexOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Relay
		var seen []pkid.TokenIndex
		attempts := []pkid.Attempt{r.Begin()}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "replace") == 0 {
				attempts = append(attempts, r.Begin())
			}
			from := rapid.SampledFrom(attempts).Draw(t, "attempt")
			index := r.Next() + pkid.TokenIndex(rapid.IntRange(-2, 2).Draw(t, "offset"))
			step := r.Token(from, index)
			if step == Deliver {
				seen = append(seen, index)
			}
			if step == Deliver && from != attempts[len(attempts)-1] {
				t.Fatal("a superseded attempt delivered")
			}
		}
		for i, index := range seen {
			if int(index) != i {
				t.Fatalf("position %d has token %d", i, index)
			}
		}
	})
}

func TestEndNeedsEveryToken(t *testing.T) {
	var r Relay
	a := r.Begin()
	assert.Equal(t, r.Token(a, 0), Deliver)
	assert.ErrorContains(t, r.End(a, 2), "2 tokens, 1 were delivered")
	assert.Equal(t, r.Token(a, 1), Deliver)
	assert.NilError(t, r.End(a, 2))
	assert.Equal(t, r.Token(a, 2), Drop)
	assert.ErrorContains(t, r.End(a, 2), "end mark")
}

func TestGapReplacesAttempt(t *testing.T) {
	var r Relay
	assert.Equal(t, r.Token(r.Begin(), 1), Replace)
}
