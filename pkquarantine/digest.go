package pkquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"

	"peridotknot.example/pkid"
)

// Digest identifies requests that are equal apart from their ids; zero means none.
type Digest uint64

// String returns the digest as used in logs and store keys.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// Identity holds the parts of a request that make it equal to another.
type Identity struct {
	Account pkid.AccountID
	Method  string
	Host    string
	// URI is the path and query as the caller sent them.
	URI  string
	Body []byte
}

// Digest returns the digest of the identity. The hash is cryptographic so that a caller cannot
// forge the digest of another's request and get that request quarantined.
func (i Identity) Digest() Digest {
	h := sha256.New()
	for _, field := range []string{string(i.Account), i.Method, i.Host, i.URI} {
		writeField(h, []byte(field))
	}
	writeField(h, i.Body)
	return max(Digest(binary.BigEndian.Uint64(h.Sum(nil))), 1)
}

// writeField writes a field prefixed with its length, so that different sequences of fields never
// produce the same input.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = h.Write(length[:]) // a hash never returns an error
	_, _ = h.Write(field)
}
