package pkmember

import (
	"errors"

	"peridotknot.example/pkid"
)

// Refs gives targets numbers on the sending side of one connection; the zero
// value is a new connection.
type Refs struct{ of map[pkid.TargetID]int }

// Of returns the number of a target and names it in s if it is new.
func (r *Refs) Of(id pkid.TargetID, s *Share) int {
	if ref, found := r.of[id]; found {
		return ref
	}
	if r.of == nil {
		r.of = map[pkid.TargetID]int{}
	}
	ref := len(r.of)
	r.of[id] = ref
	s.Names = append(s.Names, id)
	return ref
}

// Names knows the targets of the numbers on the receiving side of one
// connection; the zero value is a new connection.
type Names struct{ list []pkid.TargetID }

// maxNames bounds what a peer can make an entry remember.
const maxNames = 1 << 16

var (
	errNames = errors.New("the peer names too many targets")
	errRef   = errors.New("the peer refers to a target that it did not name")
	errPairs = errors.New("the peer sent counts without targets")
)

// Resolve fills in what the numbers of a Share say.
func (n *Names) Resolve(s *Share) error {
	if len(n.list)+len(s.Names) > maxNames {
		return errNames
	}
	n.list = append(n.list, s.Names...)
	if len(s.Refs) != len(s.Ns) {
		return errPairs
	}
	for i, ref := range s.Refs {
		id, err := n.at(ref)
		if err != nil {
			return err
		}
		s.Counts = append(s.Counts, Count{Target: id, N: s.Ns[i]})
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

func (n *Names) at(ref int) (pkid.TargetID, error) {
	if ref < 0 || ref >= len(n.list) {
		return "", errRef
	}
	return n.list[ref], nil
}
