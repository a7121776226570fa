package pkmember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"peridotknot.example/pkid"
)

// Instance names one run of an entry's process. Two VMs that were given one
// entry id by mistake differ by it.
type Instance string

// Neighborhood names a group of entries that share full detail.
type Neighborhood string

// Member is one entry as the others know it.
type Member struct {
	Entry        pkid.EntryID    `cbor:"1,keyasint"`
	Instance     Instance        `cbor:"2,keyasint"`
	Addr         string          `cbor:"3,keyasint"`
	DataCenter   pkid.DataCenter `cbor:"4,keyasint"`
	Neighborhood Neighborhood    `cbor:"5,keyasint"`
}

// score is the rendezvous weight of a member for a piece of work.
func (m Member) score(work string) uint64 {
	return xxhash.Sum64String(string(m.Instance) + "\x00" + work)
}

// First returns up to n members in the rendezvous order of a piece of work.
// When a member comes or goes, only the work that it had moves.
func First(members []Member, work string, n int) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.score(work), a.score(work)), cmp.Compare(a.Instance, b.Instance))
	})
	return sorted[:min(n, len(sorted))]
}

// Owner returns the member that looks after a piece of work.
func Owner(members []Member, work string) (Member, bool) {
	var best Member
	var most uint64
	for _, m := range members {
		if s := m.score(work); best.Instance == "" || s > most || (s == most && m.Instance < best.Instance) {
			best, most = m, s
		}
	}
	return best, best.Instance != ""
}
