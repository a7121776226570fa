package pkconfig

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotknot.example/pkstore"
)

// itemAt returns an item at a store revision.
func itemAt(rev pkstore.Revision) pkstore.Item { return pkstore.Item{Revision: rev} }

func TestRouteHasLongestPrefix(t *testing.T) {
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

// Configurations arrive from watches, lists and peers, late, duplicated and out of
// order. Adopting an older version would restore a revoked key.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Holder
		inForce := Version(0)
		for _, v := range rapid.SliceOf(rapid.IntRange(1, 9)).Draw(t, "versions") {
			adopted := h.Adopt(Config{Version: Version(v)}, itemAt(pkstore.Revision(10*v)))
			if adopted != (Version(v) > inForce) {
				t.Fatalf("version %d while %d is in force: adopted %v", v, inForce, adopted)
			}
			inForce = max(inForce, Version(v))
			if h.Table().Version != inForce {
				t.Fatalf("version %d is in force, %d expected", h.Table().Version, inForce)
			}
		}
	})
}

// The store is restored from a copy with an older version, and operators rewrite the newest one at a
// lower revision number. In whatever order an entry receives these, the version in force must never
// decrease, and the newest must be in force in the end.
func TestVersionNeverDecreasesAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type written struct {
			version Version
			rev     pkstore.Revision
		}
		var writes []written
		version, number := 1, uint64(1)
		for era := range rapid.IntRange(1, 4).Draw(t, "eras") {
			for range rapid.IntRange(1, 4).Draw(t, "writes") {
				writes = append(writes, written{Version(version), pkstore.NewRevision(pkstore.Era(era), number)})
				version++
				number += rapid.Uint64Range(1, 5).Draw(t, "step")
			}
			lost := rapid.IntRange(0, 2).Draw(t, "lost")
			restored := max(version-1-lost, 1)
			number = max(number-uint64(min(int(number)-1, 3*lost)), 1)
			writes = append(writes, written{Version(restored), pkstore.NewRevision(pkstore.Era(era+1), number)})
			writes = append(writes, written{Version(version - 1), pkstore.NewRevision(pkstore.Era(era+1), number+1)})
			number += 2
		}
		var h Holder
		inForce := Version(0)
		for _, w := range rapid.Permutation(writes).Draw(t, "order") {
			h.Adopt(Config{Version: w.version}, itemAt(w.rev))
			if h.Table().Version < inForce {
				t.Fatalf("version %d in force after %d", h.Table().Version, inForce)
			}
			inForce = h.Table().Version
		}
		if inForce != Version(version-1) {
			t.Fatalf("version %d is in force, %d was written last", inForce, version-1)
		}
	})
}

// An entry starts after the store was restored and reads an older version there. It must still adopt
// the newer version that a peer has from the previous era.
func TestNewEntryAdoptsNewerVersionOfEarlierEra(t *testing.T) {
	var h Holder
	assert.Assert(t, h.Adopt(Config{Version: 7}, itemAt(pkstore.NewRevision(2, 5))))
	assert.Assert(t, h.Adopt(Config{Version: 9}, itemAt(pkstore.NewRevision(1, 8))))
	assert.Equal(t, h.Table().Version, Version(9))
	// Operators write the same version again, at a revision of the present era.
	assert.Assert(t, !h.Adopt(Config{Version: 9}, itemAt(pkstore.NewRevision(2, 6))))
	assert.Equal(t, h.Table().Item.Revision, pkstore.NewRevision(2, 6))
}
