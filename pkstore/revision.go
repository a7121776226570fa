package pkstore

import "strconv"

// Era counts how often the store has come back from an older copy of itself; zero where it does
// not tell.
type Era uint32

// Revision is the store's own version of a key; zero means that there is no such key. Its upper
// bits are the era and its lower bits the number that the store gives out within it, so that
// revisions are ordered by both: a store that has come back from an older copy gives the same
// numbers out again, and by the number alone what is new there would count as old.
type Revision uint64

// numberBits is the part of a revision that the store counts: a million changes a second for
// twelve days, and a number that other formats hold exactly beside some thousand eras.
const numberBits = 40

// NewRevision returns the revision of a number that the store gave out in an era; the number zero
// of era zero is no revision.
func NewRevision(e Era, number uint64) Revision {
	return Revision(e)<<numberBits | Revision(number&(1<<numberBits-1))
}

// Era returns the era in which the revision was given out.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the number that the store knows the revision by within its era.
func (r Revision) Number() uint64 { return uint64(r & (1<<numberBits - 1)) }

// String returns the number, behind the era where one is known.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(uint64(r.Era()), 10) + "/" + number
}
