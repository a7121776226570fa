package pkhead

import (
	"context"
	"encoding/json"
	"fmt"

	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pkstore"
)

// Result is the result of an attempt to publish.
type Result uint8

// Results of a publication.
const (
	// Unknown means that the store could not be read; the outcome can be
	// determined later.
	Unknown Result = iota
	// Accepted means that the manifest has been in force.
	Accepted
	// Refused means that the manifest has not been in force and cannot come into
	// force any more.
	Refused
)

// String returns the name of the result.
func (r Result) String() string {
	return [...]string{"unknown", "accepted", "refused"}[r]
}

// Outcome is the result of a publication and the head that it was derived from.
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
	// Base is the revision that the operator's change is based on; zero accepts
	// any current revision.
	Base pkid.Revision
}

// Publish stores the body of d and updates the head to it. If the result is
// Unknown, the error states why it could not be determined.
func Publish(ctx context.Context, s pkstore.Store, d Draft) (Outcome, error) {
	chunks, err := putChunks(ctx, s, d.Body)
	if err != nil {
		// Chunks have no effect until a head lists them.
		return Outcome{Result: Refused}, err
	}
	head, rev, err := ensureHead(ctx, s)
	if err != nil {
		return Outcome{Result: Refused}, err
	}
	if d.Base != 0 && d.Base != head.Revision {
		return Outcome{Result: Refused, Head: head}, nil
	}
	next := head.withPublication(Publication{
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
	swapped, err := s.Swap(ctx, pkstore.Swap{Key: HeadKey, Old: rev, Value: value})
	if err != nil {
		return Resolve(ctx, s, d.ID)
	}
	if swapped.Succeeded {
		return Outcome{Result: Accepted, Head: next}, nil
	}
	// The HTTP client may have retried the write, so the stored head can already
	// contain this publication.
	return outcomeOf(swapped.Item, d.ID)
}

// ensureHead reads the head and creates an empty one if there is none. The key must
// exist before the first publication is sent: a lost write is made to fail by
// rewriting its key.
func ensureHead(ctx context.Context, s pkstore.Store) (Head, pkstore.Revision, error) {
	head, rev, err := Read(ctx, s)
	if err != nil || rev != 0 {
		return head, rev, err
	}
	swapped, err := s.Swap(ctx, pkstore.Swap{Key: HeadKey, Value: []byte(emptyHead)})
	if err != nil {
		return Head{}, 0, err
	}
	head, err = Decode(swapped.Item.Value)
	return head, swapped.Item.Revision, err
}

// Resolve determines the outcome of a publication whose response was lost. After it
// has returned Refused, the lost write can no longer take effect.
func Resolve(ctx context.Context, s pkstore.Store, id PublishID) (Outcome, error) {
	item, err := s.Load(ctx, HeadKey)
	if err != nil {
		return Outcome{}, err
	}
	out, err := outcomeOf(item, id)
	if err != nil || out.Result == Accepted {
		return out, err
	}
	// The lost write expects the store revision that it was sent with. Rewriting
	// the head unchanged gives the key a new revision, so that the write fails if
	// it is still in flight.
	rewrite := pkstore.Swap{Key: HeadKey, Old: item.Revision, Value: item.Value}
	if item.Revision == 0 {
		rewrite.Value = []byte(emptyHead)
	}
	swapped, err := s.Swap(ctx, rewrite)
	if err != nil {
		return Outcome{}, err
	}
	if swapped.Succeeded {
		return out, nil
	}
	return outcomeOf(swapped.Item, id)
}

// outcomeOf returns the outcome of publication id according to an item of the head
// key.
func outcomeOf(item pkstore.Item, id PublishID) (Outcome, error) {
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
