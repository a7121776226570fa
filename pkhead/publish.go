package pkhead

import (
	"context"
	"encoding/json"
	"fmt"

	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pkstore"
)

// Result says what became of a publication.
type Result uint8

// Results of a publication.
const (
	// Unknown means that the store could not be asked; it may be settled later.
	Unknown Result = iota
	// Accepted means that the manifest was in force.
	Accepted
	// Refused means that it was not and never will be.
	Refused
)

// String returns the result as the client prints it.
func (r Result) String() string {
	return [...]string{"unknown", "accepted", "refused"}[r]
}

// Outcome is the result of a publication and the head it was decided by.
type Outcome struct {
	Result Result
	Head   Head
}

// Draft is a manifest to be published.
type Draft struct {
	ID       PublishID
	Operator string
	Name     string
	Body     []byte
	// Base is the revision that the operator's change was made from; zero
	// takes the head as it is found.
	Base pkid.Revision
}

// Publish moves the head to d. An Outcome of Unknown comes with the error that
// kept it from being settled.
func Publish(ctx context.Context, s pkstore.Store, d Draft) (Outcome, error) {
	chunks, err := putChunks(ctx, s, d.Body)
	if err != nil {
		// Chunks alone put nothing in force.
		return Outcome{Result: Refused}, err
	}
	head, at, err := begin(ctx, s)
	if err != nil {
		return Outcome{Result: Refused}, err
	}
	if d.Base != 0 && d.Base != head.Revision {
		return Outcome{Result: Refused, Head: head}, nil
	}
	next := head.with(Publication{
		Revision: head.Revision + 1,
		ID:       d.ID,
		Operator: d.Operator,
		Name:     d.Name,
		Digest:   pkmanifest.DigestOf(d.Body),
		Chunks:   chunks,
	})
	value, err := json.Marshal(next)
	if err != nil {
		return Outcome{Result: Refused}, fmt.Errorf("encode head: %w", err)
	}
	swapped, err := s.Swap(ctx, pkstore.Swap{Key: HeadKey, Old: at, Value: value})
	if err != nil {
		return Settle(ctx, s, d.ID)
	}
	if swapped.Done {
		return Outcome{Result: Accepted, Head: next}, nil
	}
	// The client's own library may have sent the write twice, so the winner
	// can be this very publication.
	return judge(swapped.Item, d.ID)
}

// begin reads the head and writes an empty one where there is none. A lost
// write can only be made to fail by rewriting its key, so the key must exist
// before the first publication is sent.
func begin(ctx context.Context, s pkstore.Store) (Head, pkstore.Revision, error) {
	head, at, err := Read(ctx, s)
	if err != nil || at != 0 {
		return head, at, err
	}
	swapped, err := s.Swap(ctx, pkstore.Swap{Key: HeadKey, Value: []byte(genesis)})
	if err != nil {
		return Head{}, 0, err
	}
	head, err = Decode(swapped.Item.Value)
	return head, swapped.Item.Revision, err
}

// Settle finds out what became of a publication whose answer was lost. When
// it returns Refused, the lost write can no longer take effect.
func Settle(ctx context.Context, s pkstore.Store, id PublishID) (Outcome, error) {
	item, err := s.Load(ctx, HeadKey)
	if err != nil {
		return Outcome{}, err
	}
	out, err := judge(item, id)
	if err != nil || out.Result == Accepted {
		return out, err
	}
	// The lost write compares with a store revision that it saw. Rewriting
	// the head as it stands gives the key a new one, whether or not the write
	// is still on its way.
	touch := pkstore.Swap{Key: HeadKey, Old: item.Revision, Value: item.Value}
	if item.Revision == 0 {
		touch.Value = []byte(genesis)
	}
	swapped, err := s.Swap(ctx, touch)
	if err != nil {
		return Outcome{}, err
	}
	if swapped.Done {
		return out, nil
	}
	return judge(swapped.Item, id)
}

// judge reads what an item of the head key says of a publication.
func judge(item pkstore.Item, id PublishID) (Outcome, error) {
	if item.Revision == 0 {
		return Outcome{Result: Refused}, nil
	}
	head, err := Decode(item.Value)
	if err != nil {
		return Outcome{}, err
	}
	if _, found := head.Find(id); found {
		return Outcome{Result: Accepted, Head: head}, nil
	}
	return Outcome{Result: Refused, Head: head}, nil
}
