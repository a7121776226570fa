package pkstore

import "strconv"

// Era counts how often the store has been restored from an older copy of itself; zero if the
// store does not report it.
type Era uint32

// Revision is the modification revision of a key; zero means that the key does not exist. The
// upper bits are the era and the lower bits the store's revision number. A store restored from an
// older copy assigns the same numbers again; with the era in the upper bits, its new revisions
// still compare as later.
type Revision uint64

// numberBits is the size of the number in a revision: enough for twelve days at a million changes
// a second. With up to 2^13 eras, a revision is an integer that a float64 holds exactly.
const numberBits = 40

// NewRevision returns the revision of a number that the store assigned in an era; number zero in
// era zero means no revision.
func NewRevision(e Era, number uint64) Revision {
	return Revision(e)<<numberBits | Revision(number&(1<<numberBits-1))
}

// Era returns the era in which the revision was assigned.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the store's revision number within the era.
func (r Revision) Number() uint64 { return uint64(r & (1<<numberBits - 1)) }

// String returns ERA/NUMBER, or only the number if the era is zero.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(uint64(r.Era()), 10) + "/" + number
}
