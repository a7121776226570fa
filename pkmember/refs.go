package pkmember

import (
	"errors"

	"peridotknot.example/pkid"
)

// RefEncoder numbers targets on the sending side of one connection; the zero value is for a new
// connection.
type RefEncoder struct{ refs map[pkid.TargetID]int }

// Ref returns the number of a target, and adds its name to s if the number is new.
func (r *RefEncoder) Ref(id pkid.TargetID, s *Update) int {
	if ref, found := r.refs[id]; found {
		return ref
	}
	if r.refs == nil {
		r.refs = map[pkid.TargetID]int{}
	}
	ref := len(r.refs)
	r.refs[id] = ref
	s.Names = append(s.Names, id)
	return ref
}

// RefDecoder maps numbers to targets on the receiving side of one connection; the zero value is for a
// new connection.
type RefDecoder struct{ list []pkid.TargetID }

// maxNames limits the memory that a peer can make an entry use.
const maxNames = 1 << 16

var (
	errTooManyNames   = errors.New("peer named too many targets on one connection")
	errUnknownRef     = errors.New("peer referred to a target number that it has not named")
	errCountsMismatch = errors.New("peer sent unequal numbers of targets and counts")
)

// Resolve sets the targets that the numbers in s refer to.
func (n *RefDecoder) Resolve(s *Update) error {
	if len(n.list)+len(s.Names) > maxNames {
		return errTooManyNames
	}
	n.list = append(n.list, s.Names...)
	if len(s.Refs) != len(s.RefCounts) {
		return errCountsMismatch
	}
	for i, ref := range s.Refs {
		id, err := n.at(ref)
		if err != nil {
			return err
		}
		s.Counts = append(s.Counts, Count{Target: id, N: s.RefCounts[i]})
	}
	for i := range s.Reports {
		id, err := n.at(s.Reports[i].Ref)
		if err != nil {
			return err
		}
		s.Reports[i].Target = id
	}
	return nil
}

func (n *RefDecoder) at(ref int) (pkid.TargetID, error) {
	if ref < 0 || ref >= len(n.list) {
		return "", errUnknownRef
	}
	return n.list[ref], nil
}
