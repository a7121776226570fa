package pkhead

import (
	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
)

// Adoption says what a VM does with a manifest that it is offered.
type Adoption uint8

// Adoptions.
const (
	// Adopt puts the offered manifest in force.
	Adopt Adoption = iota
	// Same means that it is in force already.
	Same
	// Older means that the offer is behind what is in force. From the store
	// this is an alarm: it was restored from an older copy.
	Older
	// Conflict means that one revision has two digests: two stores, or one
	// that lost an accepted write and accepted another in its place.
	Conflict
)

// Consider decides on an offer. What is in force never goes back, because an
// accepted manifest that reverts would serve accounts that it took away.
func Consider(rev pkid.Revision, digest pkmanifest.Digest, offerRev pkid.Revision, offerDigest pkmanifest.Digest) Adoption {
	switch {
	case offerRev > rev:
		return Adopt
	case offerRev < rev:
		return Older
	case offerDigest == digest:
		return Same
	default:
		return Conflict
	}
}
