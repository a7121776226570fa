package pkhead

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pkstore"
)

// Keys of the store.
const (
	Prefix      = "peridotknot/"
	HeadKey     = Prefix + "head"
	chunkPrefix = Prefix + "chunk/"
)

const (
	// chunkSize leaves room below the store's limit of a megabyte.
	chunkSize = 512 << 10
	// keepRecent is how many publications a head remembers, so that an
	// operator whose answer was lost still finds it after others published.
	keepRecent = 64
	// genesis is the value of a head before the first publication.
	genesis = "{}"
)

// PublishID names one attempt of an operator to publish.
type PublishID string

// Publication is one accepted manifest.
type Publication struct {
	Revision pkid.Revision     `json:"revision"`
	ID       PublishID         `json:"publish_id"`
	Operator string            `json:"operator"`
	Name     string            `json:"name"`
	Digest   pkmanifest.Digest `json:"digest"`
	Chunks   []string          `json:"chunks"`
}

// Head names the manifest in force and the ones before it.
type Head struct {
	Publication
	// Recent holds earlier publications, the latest first.
	Recent []Publication `json:"recent,omitempty"`
}

// Find returns the publication with id, if the head still knows it.
func (h Head) Find(id PublishID) (Publication, bool) {
	if h.ID == id {
		return h.Publication, true
	}
	for _, p := range h.Recent {
		if p.ID == id {
			return p, true
		}
	}
	return Publication{}, false
}

// At returns the publication with a revision, if the head still knows it.
func (h Head) At(rev pkid.Revision) (Publication, bool) {
	if h.Revision == rev {
		return h.Publication, true
	}
	for _, p := range h.Recent {
		if p.Revision == rev {
			return p, true
		}
	}
	return Publication{}, false
}

func (h Head) with(p Publication) Head {
	next := Head{Publication: p}
	if h.Revision > 0 {
		next.Recent = append(next.Recent, h.Publication)
		next.Recent = append(next.Recent, h.Recent...)
	}
	next.Recent = next.Recent[:min(len(next.Recent), keepRecent)]
	return next
}

// ErrNoHead says that nothing was published yet.
var ErrNoHead = errors.New("no manifest was published yet")

// Read returns the head and the store revision of its key.
func Read(ctx context.Context, s pkstore.Store) (Head, pkstore.Revision, error) {
	item, err := s.Load(ctx, HeadKey)
	if err != nil {
		return Head{}, 0, err
	}
	if item.Revision == 0 {
		return Head{}, 0, nil
	}
	h, err := Decode(item.Value)
	return h, item.Revision, err
}

// Decode reads a head's value.
func Decode(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, fmt.Errorf("the head is not readable: %w", err)
	}
	if h.Revision == 0 {
		return Head{}, nil
	}
	if h.Digest == "" || len(h.Chunks) == 0 {
		return Head{}, errors.New("the head names no digest or chunks")
	}
	return h, nil
}

// Body returns the body of a publication, checked against its digest.
func Body(ctx context.Context, s pkstore.Store, p Publication) ([]byte, error) {
	var packed []byte
	for _, name := range p.Chunks {
		item, err := s.Load(ctx, chunkPrefix+name)
		if err != nil {
			return nil, err
		}
		if item.Revision == 0 {
			return nil, fmt.Errorf("chunk %s of revision %d is missing", name, p.Revision)
		}
		packed = append(packed, item.Value...)
	}
	body, err := Unpack(packed)
	if err != nil {
		return nil, fmt.Errorf("revision %d: %w", p.Revision, err)
	}
	if got := pkmanifest.DigestOf(body); got != p.Digest {
		return nil, fmt.Errorf("the body of revision %d has digest %s, its head says %s", p.Revision, got, p.Digest)
	}
	return body, nil
}

// putChunks stores the body's chunks; one that is there already is left.
func putChunks(ctx context.Context, s pkstore.Store, body []byte) ([]string, error) {
	packed, err := Pack(body)
	if err != nil {
		return nil, err
	}
	var names []string
	for len(packed) > 0 {
		part := packed[:min(len(packed), chunkSize)]
		packed = packed[len(part):]
		name := string(pkmanifest.DigestOf(part))
		names = append(names, name)
		if err := putChunk(ctx, s, name, part); err != nil {
			return nil, fmt.Errorf("store chunk %s: %w", name, err)
		}
	}
	return names, nil
}

// chunkTries is how often a chunk is written when the answer is lost. Its name
// is its digest, so writing it twice is the same as once.
const chunkTries = 3

func putChunk(ctx context.Context, s pkstore.Store, name string, part []byte) error {
	var err error
	for range chunkTries {
		if _, err = s.Swap(ctx, pkstore.Swap{Key: chunkPrefix + name, Value: part}); err == nil {
			return nil
		}
	}
	return err
}
