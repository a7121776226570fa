package pkmember

import (
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pktarget"
)

// Version is the version of the messages between entries. A reader skips
// fields that it does not know, so N and N+1 run together; a field is never
// given another meaning.
const (
	Version       = 1
	OldestVersion = 1
)

// Message is what travels between two entries; one of its parts is set.
type Message struct {
	Hello    *Hello    `cbor:"1,keyasint,omitempty"`
	Share    *Share    `cbor:"2,keyasint,omitempty"`
	Want     *Want     `cbor:"3,keyasint,omitempty"`
	Manifest *Manifest `cbor:"4,keyasint,omitempty"`
	Leaving  bool      `cbor:"5,keyasint,omitempty"`
	Claim    *Claim    `cbor:"6,keyasint,omitempty"`
	Claimed  *Claimed  `cbor:"7,keyasint,omitempty"`
	// HandOver holds claims that the sender keeps and that the receiver keeps
	// from now on, since the sender is leaving.
	HandOver []Claim `cbor:"8,keyasint,omitempty"`
}

// Claim asks a neighbor to keep an idempotency key for a request, or to let it
// go again.
type Claim struct {
	ID      uint64         `cbor:"1,keyasint,omitempty"`
	Key     string         `cbor:"2,keyasint"`
	Holder  pkid.RequestID `cbor:"3,keyasint"`
	Release bool           `cbor:"4,keyasint,omitempty"`
}

// Claimed answers a Claim.
type Claimed struct {
	ID      uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint"`
}

// Hello opens a connection.
type Hello struct {
	Version int      `cbor:"1,keyasint"`
	Oldest  int      `cbor:"2,keyasint"`
	From    Member   `cbor:"3,keyasint"`
	Known   []Member `cbor:"4,keyasint,omitempty"`
}

// Share is what an entry tells its neighbors again and again. Counts holds only
// what changed since the last Share on the same connection.
//
// Targets are named once on a connection, in Names, and are then their place
// in the list of all names so far: names would be most of the bytes, and what a
// node may send bounds how fresh its counts are.
type Share struct {
	Names    []pkid.TargetID   `cbor:"7,keyasint,omitempty"`
	Refs     []int             `cbor:"8,keyasint,omitempty"`
	Ns       []int64           `cbor:"9,keyasint,omitempty"`
	Pools    []PoolCount       `cbor:"2,keyasint,omitempty"`
	Reports  []Report          `cbor:"3,keyasint,omitempty"`
	Revision pkid.Revision     `cbor:"4,keyasint,omitempty"`
	Digest   pkmanifest.Digest `cbor:"5,keyasint,omitempty"`
	Known    []Member          `cbor:"6,keyasint,omitempty"`
	// Counts is what Refs and Ns say, once they were resolved.
	Counts []Count `cbor:"-"`
}

// Count is how many requests the sender has on a target.
type Count struct {
	Target pkid.TargetID
	N      int64
}

// PoolCount is how many requests the sender has in a pool.
type PoolCount struct {
	Pool     pkid.PoolID `cbor:"1,keyasint"`
	InFlight int         `cbor:"2,keyasint"`
	Waiting  int         `cbor:"3,keyasint"`
}

// Report is a target's load as the sender, who looks after it, read it.
type Report struct {
	Ref      int   `cbor:"1,keyasint,omitempty"`
	Active   int   `cbor:"2,keyasint,omitempty"`
	Queued   int   `cbor:"3,keyasint,omitempty"`
	MaxBatch int   `cbor:"4,keyasint,omitempty"`
	StepUS   int64 `cbor:"5,keyasint,omitempty"`
	PerSeqUS int64 `cbor:"6,keyasint,omitempty"`
	// PrefillUS is the time of one prompt token in microseconds.
	PrefillUS int64 `cbor:"7,keyasint,omitempty"`
	Leaving   bool  `cbor:"8,keyasint,omitempty"`
	// Holding is what the target holds; it travels once on a connection and
	// whenever it changed.
	Holding *pktarget.Holding `cbor:"9,keyasint,omitempty"`
	// Target is what Ref says, once it was resolved.
	Target pkid.TargetID `cbor:"-"`
}

// Want asks for the manifest that the other side has in force.
type Want struct {
	Revision pkid.Revision `cbor:"1,keyasint"`
}

// Manifest answers a Want.
type Manifest struct {
	// Head is the head's value as it stands in the store.
	Head []byte `cbor:"1,keyasint"`
	// Body is packed as in the store.
	Body []byte `cbor:"2,keyasint"`
}

const (
	paceLeast = 200 * time.Millisecond
	paceMost  = 4 * time.Second
	// budget is the bytes a second that a node may send for control.
	budget = 10_000
)

// Pace returns how long to wait before the next Share, when the last one took
// size bytes for each of links receivers. What a node sends stays within its
// budget whatever the number of neighbors; with more of them the counts are
// older instead, and the targets' own reports make up for it.
func Pace(size, links int) time.Duration {
	d := time.Duration(size) * time.Duration(links) * time.Second / budget
	return min(max(d, paceLeast), paceMost)
}
