package pkclaim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotknot.example/pkid"
	"peridotknot.example/pkmember"
)

var start = time.Unix(1000, 0)

func TestClaim(t *testing.T) {
	var table Table
	k := KeyOf("a", "s", "key")
	assert.Assert(t, table.Claim(start, k, "one"))
	assert.Assert(t, table.Claim(start, k, "one"), "the same request may claim again")
	assert.Assert(t, !table.Claim(start, k, "two"))
	table.Release(k, "two")
	assert.Assert(t, !table.Claim(start, k, "two"), "only the holder may release")
	table.Release(k, "one")
	assert.Assert(t, table.Claim(start, k, "two"))
	assert.Assert(t, table.Claim(start.Add(retention), k, "three"), "claims expire")
	assert.Assert(t, KeyOf("a", "s", "key") != KeyOf("b", "s", "key"))
	assert.Assert(t, KeyOf("a", "b", "c") != KeyOf("ab", "", "c"))
}

// A key is sent to two entries whose member lists differ by one join or leave. At least one member
// must be asked by both and refuse the second claim.
func TestOneChangeOfMembersKeepsTheClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "members")
		var before []pkmember.Member
		tables := map[pkmember.Instance]*Table{}
		for i := range n {
			m := pkmember.Member{Instance: pkmember.Instance(fmt.Sprint("m", i))}
			before = append(before, m)
			tables[m.Instance] = &Table{}
		}
		after := append([]pkmember.Member{}, before...)
		if rapid.Bool().Draw(t, "joins") {
			m := pkmember.Member{Instance: "new"}
			after = append(after, m)
			tables[m.Instance] = &Table{}
		} else {
			gone := rapid.IntRange(0, n-1).Draw(t, "gone")
			after = append(after[:gone], after[gone+1:]...)
		}
		k := KeyOf("a", "s", rapid.String().Draw(t, "key"))
		claimed := 0
		for i, members := range [][]pkmember.Member{before, after} {
			granted := true
			for _, m := range pkmember.TopRanked(members, string(k), 2) {
				granted = tables[m.Instance].Claim(start, k, pkid.RequestID(fmt.Sprint(i))) && granted
			}
			if granted {
				claimed++
			}
		}
		if claimed != 1 {
			t.Fatalf("the key was claimed %d times", claimed)
		}
	})
}
