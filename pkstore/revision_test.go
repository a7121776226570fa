package pkstore

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A store restored from an older copy assigns numbers again that it had assigned before. Revisions of
// the later era must compare as later than all of the earlier one.
func TestRevisionsAreOrderedByEra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eras := rapid.Uint32Range(0, 1<<13)
		numbers := rapid.Uint64Range(0, 1<<numberBits-1)
		e, f := Era(eras.Draw(t, "era")), Era(eras.Draw(t, "other era"))
		n, o := numbers.Draw(t, "number"), numbers.Draw(t, "other number")
		a, b := NewRevision(e, n), NewRevision(f, o)
		if a.Era() != e || a.Number() != n {
			t.Fatalf("%d/%d became %v", e, n, a)
		}
		if (a < b) != (e < f || (e == f && n < o)) {
			t.Fatalf("%v and %v are in the wrong order", a, b)
		}
	})
}

func TestRevisionString(t *testing.T) {
	assert.Equal(t, NewRevision(0, 7).String(), "7")
	assert.Equal(t, NewRevision(3, 7).String(), "3/7")
	assert.Equal(t, NewRevision(0, 7), Revision(7), "without an era, a revision is its number")
}
