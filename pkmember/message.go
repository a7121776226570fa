package pkmember

import (
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pktarget"
)

// Version is the version of the messages between entries. Readers skip unknown fields and a field
// never changes its meaning, so adjacent versions can run together.
const (
	Version       = 1
	OldestVersion = 1
)

// Message is a message between two entries; one of its fields is set.
type Message struct {
	Hello           *Hello           `cbor:"1,keyasint,omitempty"`
	Update          *Update          `cbor:"2,keyasint,omitempty"`
	ManifestRequest *ManifestRequest `cbor:"3,keyasint,omitempty"`
	Manifest        *Manifest        `cbor:"4,keyasint,omitempty"`
	Leaving         bool             `cbor:"5,keyasint,omitempty"`
	Claim           *Claim           `cbor:"6,keyasint,omitempty"`
	ClaimReply      *ClaimReply      `cbor:"7,keyasint,omitempty"`
	// HandOver holds claims that the sender, which is leaving, transfers to the receiver.
	HandOver []Claim `cbor:"8,keyasint,omitempty"`
}

// Claim asks a neighbor to reserve an idempotency key for a request, or to release it.
type Claim struct {
	ID      uint64         `cbor:"1,keyasint,omitempty"`
	Key     string         `cbor:"2,keyasint"`
	Holder  pkid.RequestID `cbor:"3,keyasint"`
	Release bool           `cbor:"4,keyasint,omitempty"`
}

// ClaimReply is the reply to a claim.
type ClaimReply struct {
	ID      uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint"`
}

// Hello is the first message on a connection.
type Hello struct {
	Version int      `cbor:"1,keyasint"`
	Oldest  int      `cbor:"2,keyasint"`
	From    Member   `cbor:"3,keyasint"`
	Known   []Member `cbor:"4,keyasint,omitempty"`
}

// Update is the periodic update that an entry sends to its neighbors. Counts holds only what
// changed since the previous update on the same connection.
//
// Each target is named once on a connection, in Names, and is then referred to by its reference
// number, the index in the list of all names so far. Names would otherwise be most of the traffic,
// whose limit determines how old counts become.
type Update struct {
	Names     []pkid.TargetID   `cbor:"7,keyasint,omitempty"`
	Refs      []int             `cbor:"8,keyasint,omitempty"`
	RefCounts []int64           `cbor:"9,keyasint,omitempty"`
	Pools     []PoolCount       `cbor:"2,keyasint,omitempty"`
	Reports   []Report          `cbor:"3,keyasint,omitempty"`
	Revision  pkid.Revision     `cbor:"4,keyasint,omitempty"`
	Digest    pkmanifest.Digest `cbor:"5,keyasint,omitempty"`
	Known     []Member          `cbor:"6,keyasint,omitempty"`
	// Counts are the resolved counts by target.
	Counts []Count `cbor:"-"`
}

// Count is the number of requests that the sender has on a target.
type Count struct {
	Target pkid.TargetID
	N      int64
}

// PoolCount is the number of requests that the sender has in a pool.
type PoolCount struct {
	Pool     pkid.PoolID `cbor:"1,keyasint"`
	InFlight int         `cbor:"2,keyasint"`
	Waiting  int         `cbor:"3,keyasint"`
}

// Report is the load that a target reported to the sender, which is responsible for polling it.
type Report struct {
	Ref      int   `cbor:"1,keyasint,omitempty"`
	Active   int   `cbor:"2,keyasint,omitempty"`
	Queued   int   `cbor:"3,keyasint,omitempty"`
	MaxBatch int   `cbor:"4,keyasint,omitempty"`
	StepUS   int64 `cbor:"5,keyasint,omitempty"`
	PerSeqUS int64 `cbor:"6,keyasint,omitempty"`
	// PrefillUS is the prefill time of one prompt token in microseconds.
	PrefillUS int64 `cbor:"7,keyasint,omitempty"`
	Leaving   bool  `cbor:"8,keyasint,omitempty"`
	// Holding is what the target holds; it is sent once per connection and after each change.
	Holding *pktarget.Holding `cbor:"9,keyasint,omitempty"`
	// Target is the resolved name of the target.
	Target pkid.TargetID `cbor:"-"`
}

// ManifestRequest requests the manifest that the receiver has in force.
type ManifestRequest struct {
	Revision pkid.Revision `cbor:"1,keyasint"`
}

// Manifest is the reply to a request for the manifest.
type Manifest struct {
	// Head is the value of the head as stored.
	Head []byte `cbor:"1,keyasint"`
	// Body is compressed with gzip, as in the store.
	Body []byte `cbor:"2,keyasint"`
}

const (
	minInterval = 200 * time.Millisecond
	maxInterval = 4 * time.Second
	// sendBudget is the control traffic that an entry may send, in bytes per second.
	sendBudget = 10_000
)

// UpdateInterval returns the interval until the next update, given the size in bytes of the last
// one and the number of peers it was sent to. Traffic stays within the send budget at any number of
// neighbors: with more of them counts are older, which the targets' own reports compensate for.
func UpdateInterval(size, peers int) time.Duration {
	d := time.Duration(size) * time.Duration(peers) * time.Second / sendBudget
	return min(max(d, minInterval), maxInterval)
}
