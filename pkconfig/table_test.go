package pkconfig

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotknot.example/pkstore"
)

// at returns an item of the store at a revision.
func at(rev pkstore.Revision) pkstore.Item { return pkstore.Item{Revision: rev} }

func TestTheLongestPrefixOfTheHostWins(t *testing.T) {
	table := NewTable(Config{Routes: []Route{
		{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "i", Prefix: "/"},
	}}, pkstore.Item{})
	for path, want := range map[string]string{"/a/": "short", "/a/b/c": "long", "/a/bc": "short", "/a": "", "/": ""} {
		r, found := table.Route("h", path)
		assert.Equal(t, found, want != "", path)
		if found {
			assert.Equal(t, r.Name, want)
		}
	}
}

// Configurations come by the watch, by lists and by peers, late, twice and out of
// order. One that goes back would let a revoked key serve again.
func TestTheConfigurationNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Book
		inForce := Version(0)
		for _, v := range rapid.SliceOf(rapid.IntRange(1, 9)).Draw(t, "versions") {
			adopted := b.Adopt(Config{Version: Version(v)}, at(pkstore.Revision(10*v)))
			if adopted != (Version(v) > inForce) {
				t.Fatalf("version %d beside %d: adopted %v", v, inForce, adopted)
			}
			inForce = max(inForce, Version(v))
			if b.Table().Version != inForce {
				t.Fatalf("version %d is in force, %d expected", b.Table().Version, inForce)
			}
		}
	})
}

// The store comes back from a copy with an older version, and the operators write the newest again
// a second later, under a number that is lower than before. Entries hear both by the store, by
// peers of the era before and by peers that started since. A version must never go back, and the
// newest must be in force in the end.
func TestTheConfigurationNeverGoesBackOverEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type written struct {
			version Version
			at      pkstore.Revision
		}
		var told []written
		version, number := 1, uint64(1)
		for era := range rapid.IntRange(1, 4).Draw(t, "eras") {
			for range rapid.IntRange(1, 4).Draw(t, "writes") {
				told = append(told, written{Version(version), pkstore.NewRevision(pkstore.Era(era), number)})
				version++
				number += rapid.Uint64Range(1, 5).Draw(t, "step")
			}
			lost := rapid.IntRange(0, 2).Draw(t, "lost")
			copied := max(version-1-lost, 1)
			number = max(number-uint64(min(int(number)-1, 3*lost)), 1)
			told = append(told, written{Version(copied), pkstore.NewRevision(pkstore.Era(era+1), number)})
			told = append(told, written{Version(version - 1), pkstore.NewRevision(pkstore.Era(era+1), number+1)})
			number += 2
		}
		var b Book
		inForce := Version(0)
		for _, one := range rapid.Permutation(told).Draw(t, "order") {
			b.Adopt(Config{Version: one.version}, at(one.at))
			if b.Table().Version < inForce {
				t.Fatalf("version %d after %d", b.Table().Version, inForce)
			}
			inForce = b.Table().Version
		}
		if inForce != Version(version-1) {
			t.Fatalf("version %d is in force, %d was written last", inForce, version-1)
		}
	})
}

// An entry starts just after the store came back, and finds an older version there. A peer that
// was told of a newer one before is right, whatever the store has given out since.
func TestAFreshEntryTakesTheNewerVersionOfAnEarlierEra(t *testing.T) {
	var b Book
	assert.Assert(t, b.Adopt(Config{Version: 7}, at(pkstore.NewRevision(2, 5))))
	assert.Assert(t, b.Adopt(Config{Version: 9}, at(pkstore.NewRevision(1, 8))))
	assert.Equal(t, b.Table().Version, Version(9))
	// The operators write it again: the same version, at the store's present place.
	assert.Assert(t, !b.Adopt(Config{Version: 9}, at(pkstore.NewRevision(2, 6))))
	assert.Equal(t, b.Table().Item.Revision, pkstore.NewRevision(2, 6))
}
