package pkshare

import (
	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pkpace"
	"peridotknot.example/pkquarantine"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkstore"
)

// Message is what one entry tells another.
type Message struct {
	From pkid.EntryID `cbor:"1,keyasint"`
	// Addr is where the sender takes messages.
	Addr string `cbor:"2,keyasint"`
	// Run tells one run of an entry from the next.
	Run uint64 `cbor:"3,keyasint"`
	// Sequence grows with each message of a run.
	Sequence uint64 `cbor:"4,keyasint"`
	// Config and List are the store's revisions that the sender knows.
	Config pkstore.Revision `cbor:"5,keyasint"`
	List   pkstore.Revision `cbor:"6,keyasint"`
	// Loads are what the sender's requests hold, of targets where that is anything.
	Loads []Load `cbor:"7,keyasint,omitempty"`
	// Flows are tokens on their way between data centres.
	Flows []Flow `cbor:"8,keyasint,omitempty"`
	// Suspects are targets that the sender found at fault.
	Suspects []Suspect `cbor:"9,keyasint,omitempty"`
	// NewConfig is a configuration that the receiver seems to lack.
	NewConfig *pkstore.Item `cbor:"10,keyasint,omitempty"`
	// NewRecords are entries of the list that it seems to lack.
	NewRecords []pkreplica.Record `cbor:"11,keyasint,omitempty"`
	// RecordsAfter is the revision after which NewRecords are all up to List; it is
	// set where the receiver is told of the list.
	RecordsAfter *pkstore.Revision `cbor:"15,keyasint,omitempty"`
	// Following says that the sender follows the list at the store and reaches it.
	Following bool `cbor:"16,keyasint,omitempty"`
	// StoreBackMS is how many milliseconds ago the store returned to the sender, where
	// that is not long ago.
	StoreBackMS int64 `cbor:"17,keyasint,omitempty"`
	// Members is how many entries a hub knows of by the store; zero where it is told itself.
	Members int `cbor:"18,keyasint,omitempty"`
	// Cases are requests under which replicas have ended, of which the sender learned lately or
	// which the receiver seems to lack.
	Cases []pkquarantine.Case `cbor:"19,keyasint,omitempty"`
	// Held is a checksum of the requests that the sender keeps from replicas; zero where its build
	// keeps none.
	Held pkquarantine.Sum `cbor:"20,keyasint,omitempty"`
	// Version is that of the configuration at Config: it is ordered also where the store has come
	// back from an older copy, and has another version at a later revision.
	Version pkconfig.Version `cbor:"22,keyasint,omitempty"`
	// Paces are engines that are or lately were slower than their kind.
	Paces []pkpace.Word `cbor:"21,keyasint,omitempty"`
	// DataCenter and ProcessorShare are those of the sender.
	DataCenter     pkid.DataCenter `cbor:"12,keyasint,omitempty"`
	ProcessorShare float32         `cbor:"14,keyasint,omitempty"`
	// Sum is what a hub tells in place of its own loads and flows.
	Sum *Sum `cbor:"13,keyasint,omitempty"`
}

// Load is what an entry's requests hold of a target.
type Load struct {
	Target   pkid.TargetID `cbor:"1,keyasint"`
	Requests int           `cbor:"2,keyasint"`
	// Tokens is memory in tokens times layers.
	Tokens float32 `cbor:"3,keyasint"`
	// Born is set where the target has started again under its id; what requests held of the
	// earlier start is not added to it.
	Born pkid.Birth `cbor:"4,keyasint,omitempty"`
}

// Flow is tokens on their way between two data centres.
type Flow struct {
	A      pkid.DataCenter `cbor:"1,keyasint"`
	B      pkid.DataCenter `cbor:"2,keyasint"`
	Tokens float32         `cbor:"3,keyasint"`
}

// Suspect is a target that is passed over for some more milliseconds. Spans pass
// between entries in place of times, since their clocks differ.
type Suspect struct {
	Target pkid.TargetID `cbor:"1,keyasint"`
	ForMS  int64         `cbor:"2,keyasint"`
	// Gone says that its process is: its address refused a connection.
	Gone bool `cbor:"3,keyasint,omitempty"`
	// Born is the start of the target that was found at fault, where it is known.
	Born pkid.Birth `cbor:"4,keyasint,omitempty"`
	// Misplaced says that it does not hold what its entry said at the revision Entry; a later
	// one counts again.
	Misplaced bool             `cbor:"5,keyasint,omitempty"`
	Entry     pkstore.Revision `cbor:"6,keyasint,omitempty"`
}
