package pkmember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"peridotknot.example/pkid"
)

// Instance identifies one run of an entry's process. It distinguishes two VMs that were given the
// same entry ID by mistake.
type Instance string

// Neighborhood names a group of entries that exchange full state.
type Neighborhood string

// Member describes an entry to the others.
type Member struct {
	Entry        pkid.EntryID    `cbor:"1,keyasint"`
	Instance     Instance        `cbor:"2,keyasint"`
	Addr         string          `cbor:"3,keyasint"`
	DataCenter   pkid.DataCenter `cbor:"4,keyasint"`
	Neighborhood Neighborhood    `cbor:"5,keyasint"`
}

// score returns the rendezvous weight of a member for a key.
func (m Member) score(key string) uint64 {
	return xxhash.Sum64String(string(m.Instance) + "\x00" + key)
}

// TopRanked returns up to n members in the rendezvous order of key. When a member joins or leaves,
// only the keys that it is responsible for move.
func TopRanked(members []Member, key string, n int) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.score(key), a.score(key)), cmp.Compare(a.Instance, b.Instance))
	})
	return sorted[:min(n, len(sorted))]
}

// Owner returns the member that is responsible for key.
func Owner(members []Member, key string) (Member, bool) {
	var best Member
	var bestScore uint64
	for _, m := range members {
		if s := m.score(key); best.Instance == "" || s > bestScore || (s == bestScore && m.Instance < best.Instance) {
			best, bestScore = m, s
		}
	}
	return best, best.Instance != ""
}
