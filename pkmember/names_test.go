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
		var refs Refs
		var names Names
		ids := rapid.SliceOfN(rapid.StringMatching("[a-e]"), 0, 8)
		for range rapid.IntRange(1, 10).Draw(t, "shares") {
			var s Share
			sent := ids.Draw(t, "ids")
			for i, id := range sent {
				s.Refs = append(s.Refs, refs.Of(pkid.TargetID(id), &s))
				s.Ns = append(s.Ns, int64(i))
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
		share Share
		want  error
	}{
		"unknown number":                        {Share{Refs: []int{0}, Ns: []int64{1}}, errUnknownRef},
		"negative number":                       {Share{Names: []pkid.TargetID{"a"}, Refs: []int{-1}, Ns: []int64{1}}, errUnknownRef},
		"unequal numbers of counts and targets": {Share{Ns: []int64{1}}, errCountsMismatch},
		"unknown number in a report":            {Share{Reports: []Report{{Ref: 3}}}, errUnknownRef},
		"too many names":                        {Share{Names: make([]pkid.TargetID, maxNames+1)}, errTooManyNames},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var n Names
			assert.ErrorIs(t, n.Resolve(&c.share), c.want)
		})
	}
}
