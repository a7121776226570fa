package pkmember

import (
	"errors"

	"peridotknot.example/pkid"
)

// RefEncoder assigns reference numbers to targets on the sending side of one connection; the zero
// value is for a new connection.
type RefEncoder struct{ refs map[pkid.TargetID]int }

// Ref returns the reference number of a target, and adds the target's name to u if the number is
// new.
func (e *RefEncoder) Ref(id pkid.TargetID, u *Update) int {
	if ref, found := e.refs[id]; found {
		return ref
	}
	if e.refs == nil {
		e.refs = map[pkid.TargetID]int{}
	}
	ref := len(e.refs)
	e.refs[id] = ref
	u.Names = append(u.Names, id)
	return ref
}

// RefDecoder maps reference numbers to targets on the receiving side of one connection; the zero
// value is for a new connection.
type RefDecoder struct{ list []pkid.TargetID }

// maxNames limits the memory that a peer can make an entry use.
const maxNames = 1 << 16

var (
	errTooManyNames   = errors.New("peer named too many targets on one connection")
	errUnknownRef     = errors.New("peer referred to a target number that it has not named")
	errCountsMismatch = errors.New("peer sent unequal numbers of targets and counts")
)

// Resolve sets the targets that the reference numbers in u stand for.
func (d *RefDecoder) Resolve(u *Update) error {
	if len(d.list)+len(u.Names) > maxNames {
		return errTooManyNames
	}
	d.list = append(d.list, u.Names...)
	if len(u.Refs) != len(u.RefCounts) {
		return errCountsMismatch
	}
	for i, ref := range u.Refs {
		id, err := d.at(ref)
		if err != nil {
			return err
		}
		u.Counts = append(u.Counts, Count{Target: id, N: u.RefCounts[i]})
	}
	for i := range u.Reports {
		id, err := d.at(u.Reports[i].Ref)
		if err != nil {
			return err
		}
		u.Reports[i].Target = id
	}
	return nil
}

func (d *RefDecoder) at(ref int) (pkid.TargetID, error) {
	if ref < 0 || ref >= len(d.list) {
		return "", errUnknownRef
	}
	return d.list[ref], nil
}
