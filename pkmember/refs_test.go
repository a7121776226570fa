package pkmember

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotknot.example/pkid"
)

// Guards against the two sides of a connection disagreeing on a number, which would count requests
// on the wrong target.
func TestNumbersResolveToTheSameTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var refs RefEncoder
		var names RefDecoder
		ids := rapid.SliceOfN(rapid.StringMatching("[a-e]"), 0, 8)
		for range rapid.IntRange(1, 10).Draw(t, "shares") {
			var s Update
			sent := ids.Draw(t, "ids")
			for i, id := range sent {
				s.Refs = append(s.Refs, refs.Ref(pkid.TargetID(id), &s))
				s.RefCounts = append(s.RefCounts, int64(i))
			}
			if err := names.Resolve(&s); err != nil {
				t.Fatal(err)
			}
			for i, id := range sent {
				if s.Counts[i] != (Count{Target: pkid.TargetID(id), N: int64(i)}) {
					t.Fatalf("%v was sent as %s", s.Counts[i], id)
				}
			}
		}
	})
}

func TestResolveRejectsInvalidNumbers(t *testing.T) {
	cases := map[string]struct {
		share Update
		want  error
	}{
		"unknown number":                        {Update{Refs: []int{0}, RefCounts: []int64{1}}, errUnknownRef},
		"negative number":                       {Update{Names: []pkid.TargetID{"a"}, Refs: []int{-1}, RefCounts: []int64{1}}, errUnknownRef},
		"unequal numbers of counts and targets": {Update{RefCounts: []int64{1}}, errCountsMismatch},
		"unknown number in a report":            {Update{Reports: []Report{{Ref: 3}}}, errUnknownRef},
		"too many names":                        {Update{Names: make([]pkid.TargetID, maxNames+1)}, errTooManyNames},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var n RefDecoder
			assert.ErrorIs(t, n.Resolve(&c.share), c.want)
		})
	}
}
