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
	// chunkSize is in bytes and stays below the store's value limit of 1 MB.
	chunkSize = 512 << 10
	// maxRecent is how many earlier publications a head lists, so that an
	// operator whose response was lost can find the outcome after later ones.
	maxRecent = 64
	// emptyHead is the value of the head key before the first publication.
	emptyHead = "{}"
)

// PublishID identifies one attempt of an operator to publish a manifest.
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

// Head is the publication in force and the ones before it.
type Head struct {
	Publication
	// Recent lists earlier publications, newest first.
	Recent []Publication `json:"recent,omitempty"`
}

// Find returns the publication with the given ID, if the head still lists it.
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

// At returns the publication with the given revision, if the head still lists it.
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

func (h Head) withPublication(p Publication) Head {
	next := Head{Publication: p}
	if h.Revision > 0 {
		next.Recent = append(next.Recent, h.Publication)
		next.Recent = append(next.Recent, h.Recent...)
	}
	next.Recent = next.Recent[:min(len(next.Recent), maxRecent)]
	return next
}

// ErrNoHead is returned when no manifest has been published.
var ErrNoHead = errors.New("no manifest has been published")

// Read returns the head and the store revision of its key, both zero if the key
// does not exist.
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

// Decode decodes the value of the head key; the empty head decodes to the zero Head.
func Decode(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, fmt.Errorf("decode head: %w", err)
	}
	if h.Revision == 0 {
		return Head{}, nil
	}
	if h.Digest == "" || len(h.Chunks) == 0 {
		return Head{}, errors.New("head has no digest or no chunks")
	}
	return h, nil
}

// Body returns the body of a publication after verifying its digest.
func Body(ctx context.Context, s pkstore.Store, p Publication) ([]byte, error) {
	var packed []byte
	for _, name := range p.Chunks {
		item, err := s.Load(ctx, chunkPrefix+name)
		if err != nil {
			return nil, err
		}
		if item.Revision == 0 {
			return nil, fmt.Errorf("chunk %s of revision %d not found", name, p.Revision)
		}
		packed = append(packed, item.Value...)
	}
	body, err := Unpack(packed)
	if err != nil {
		return nil, fmt.Errorf("revision %d: %w", p.Revision, err)
	}
	if got := pkmanifest.DigestOf(body); got != p.Digest {
		return nil, fmt.Errorf("body of revision %d has digest %s, expected %s", p.Revision, got, p.Digest)
	}
	return body, nil
}

// putChunks stores the packed body in chunks and returns their names; existing
// chunks are not rewritten.
func putChunks(ctx context.Context, s pkstore.Store, body []byte) ([]string, error) {
	packed, err := Pack(body)
	if err != nil {
		return nil, err
	}
	var names []string
	for len(packed) > 0 {
		chunk := packed[:min(len(packed), chunkSize)]
		packed = packed[len(chunk):]
		name := string(pkmanifest.DigestOf(chunk))
		names = append(names, name)
		if err := putChunk(ctx, s, name, chunk); err != nil {
			return nil, fmt.Errorf("store chunk %s: %w", name, err)
		}
	}
	return names, nil
}

// maxChunkAttempts bounds the attempts to write a chunk. A retry is idempotent,
// since the name of a chunk is its digest.
const maxChunkAttempts = 3

func putChunk(ctx context.Context, s pkstore.Store, name string, chunk []byte) error {
	var err error
	for range maxChunkAttempts {
		if _, err = s.Swap(ctx, pkstore.Swap{Key: chunkPrefix + name, Value: chunk}); err == nil {
			return nil
		}
	}
	return err
}
