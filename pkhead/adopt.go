package pkhead

import (
	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
)

// Adoption is the decision on a manifest received from the store or a peer.
type Adoption uint8

// Adoptions.
const (
	// Adopt means that the received manifest replaces the one in force.
	Adopt Adoption = iota
	// Same means that the received manifest is already in force.
	Same
	// Older means that the received manifest has a lower revision than the one
	// in force. If it comes from the store, the store was restored from an older
	// copy, and an alarm is raised.
	Older
	// Conflict means that one revision has two digests: there are two stores, or
	// the store lost an accepted write and accepted another one instead.
	Conflict
)

// Compare compares a received manifest with the one in force. A lower revision is
// never adopted, since it would restore accounts that have been removed.
func Compare(rev pkid.Revision, digest pkmanifest.Digest, newRev pkid.Revision, newDigest pkmanifest.Digest) Adoption {
	switch {
	case newRev > rev:
		return Adopt
	case newRev < rev:
		return Older
	case newDigest == digest:
		return Same
	default:
		return Conflict
	}
}
