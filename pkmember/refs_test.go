package pkmember

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotknot.example/pkid"
)

// Guards against the two sides of a connection disagreeing on a reference number, which would count
// requests on the wrong target.
func TestRefsResolveToSameTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var encoder RefEncoder
		var decoder RefDecoder
		ids := rapid.SliceOfN(rapid.StringMatching("[a-e]"), 0, 8)
		for range rapid.IntRange(1, 10).Draw(t, "shares") {
			var u Update
			sent := ids.Draw(t, "ids")
			for i, id := range sent {
				u.Refs = append(u.Refs, encoder.Ref(pkid.TargetID(id), &u))
				u.RefCounts = append(u.RefCounts, int64(i))
			}
			if err := decoder.Resolve(&u); err != nil {
				t.Fatal(err)
			}
			for i, id := range sent {
				if u.Counts[i] != (Count{Target: pkid.TargetID(id), N: int64(i)}) {
					t.Fatalf("%v was sent as %s", u.Counts[i], id)
				}
			}
		}
	})
}

func TestResolveRejectsInvalidRefs(t *testing.T) {
	cases := map[string]struct {
		update Update
		want   error
	}{
		"unknown number":                        {Update{Refs: []int{0}, RefCounts: []int64{1}}, errUnknownRef},
		"negative number":                       {Update{Names: []pkid.TargetID{"a"}, Refs: []int{-1}, RefCounts: []int64{1}}, errUnknownRef},
		"unequal numbers of counts and targets": {Update{RefCounts: []int64{1}}, errCountsMismatch},
		"unknown number in a report":            {Update{Reports: []Report{{Ref: 3}}}, errUnknownRef},
		"too many names":                        {Update{Names: make([]pkid.TargetID, maxNames+1)}, errTooManyNames},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var d RefDecoder
			assert.ErrorIs(t, d.Resolve(&c.update), c.want)
		})
	}
}
