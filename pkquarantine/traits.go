package pkquarantine

import (
	"crypto/sha256"
	"encoding/binary"

	"peridotknot.example/pkid"
)

// Traits are what a request may have in common with others, and may crash replicas: all of it, or a
// part of its prompt.
type Traits struct {
	// Request is the digest of the whole request; zero means none.
	Request Digest
	// Parts are the digests of the shared parts of its prompt, in order.
	Parts []Digest
}

// PartDigest returns the digest of a part of the prompts that a service is sent. It is the same for
// all accounts, since requests of any account may share the part.
func PartDigest(service pkid.ServiceID, part pkid.PartID) Digest {
	h := sha256.New()
	writeField(h, []byte(service))
	writeField(h, []byte(part))
	return max(Digest(binary.BigEndian.Uint64(h.Sum(nil))), 1)
}

// all returns the digests of all traits.
func (t Traits) all() []Digest {
	out := make([]Digest, 0, 1+len(t.Parts))
	if t.Request != 0 {
		out = append(out, t.Request)
	}
	return append(out, t.Parts...)
}
