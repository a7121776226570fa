package pkquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"

	"peridotknot.example/pkid"
)

// Digest tells whether two requests are the same but for their ids; zero is none.
type Digest uint64

// String returns the digest as it stands in logs and keys.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// Identity is what makes a request the same when it comes again.
type Identity struct {
	Account pkid.AccountID
	Method  string
	Host    string
	// URI is the path and query as the caller wrote them.
	URI  string
	Body []byte
}

// Digest returns the digest of the identity. It is cryptographic: a caller that could make
// the digest of another's request would have that one refused.
func (i Identity) Digest() Digest {
	h := sha256.New()
	for _, field := range []string{string(i.Account), i.Method, i.Host, i.URI} {
		add(h, []byte(field))
	}
	add(h, i.Body)
	return max(Digest(binary.BigEndian.Uint64(h.Sum(nil))), 1)
}

// add writes a field with its length, so that no two rows of fields read alike.
func add(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = h.Write(length[:]) // a hash takes everything
	_, _ = h.Write(field)
}
