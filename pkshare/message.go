package pkshare

import (
	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pkpace"
	"peridotknot.example/pkquarantine"
	"peridotknot.example/pkrate"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkstore"
)

// Message is the state that one entry sends to another.
type Message struct {
	From pkid.EntryID `cbor:"1,keyasint"`
	// Addr is where the sender accepts messages.
	Addr string `cbor:"2,keyasint"`
	// Run identifies one process run of the sender.
	Run uint64 `cbor:"3,keyasint"`
	// Sequence increases with each message of a run.
	Sequence uint64 `cbor:"4,keyasint"`
	// Config and List are the store revisions of the sender's configuration and replica list.
	Config pkstore.Revision `cbor:"5,keyasint"`
	List   pkstore.Revision `cbor:"6,keyasint"`
	// Loads are the sender's loads, without targets on which it has none.
	Loads []Load `cbor:"7,keyasint,omitempty"`
	// Flows are the sender's tokens in flight between data centres.
	Flows []Flow `cbor:"8,keyasint,omitempty"`
	// Suspects are targets that the sender found faulty.
	Suspects []Suspect `cbor:"9,keyasint,omitempty"`
	// NewConfig is a configuration that the receiver appears to lack.
	NewConfig *pkstore.Item `cbor:"10,keyasint,omitempty"`
	// NewRecords are records of the replica list that the receiver appears to lack.
	NewRecords []pkreplica.Record `cbor:"11,keyasint,omitempty"`
	// RecordsAfter is set where the message updates the replica list: NewRecords are then all
	// records after this revision and up to List.
	RecordsAfter *pkstore.Revision `cbor:"15,keyasint,omitempty"`
	// Following is set if the sender watches the replica list in the store and can reach the store.
	Following bool `cbor:"16,keyasint,omitempty"`
	// StoreRecoveredAgoMS is how many milliseconds ago the sender could reach the store again; zero
	// where that is not recent.
	StoreRecoveredAgoMS int64 `cbor:"17,keyasint,omitempty"`
	// Members is the number of entries of the fleet as counted by a hub; zero if the sender only
	// received it from a hub.
	Members int `cbor:"18,keyasint,omitempty"`
	// Entries is the number of entries that the sender has noticed; zero if it has not read the registered ones, and from
	// earlier builds.
	Entries int `cbor:"33,keyasint,omitempty"`
	// Cases are quarantine cases that the sender learned recently or that the receiver appears to
	// lack.
	Cases []pkquarantine.Case `cbor:"19,keyasint,omitempty"`
	// QuarantineChecksum is a checksum of the sender's quarantined requests; zero from builds
	// without a quarantine.
	QuarantineChecksum pkquarantine.Checksum `cbor:"20,keyasint,omitempty"`
	// Version is the version of the configuration at Config. It orders configurations even where
	// the store was restored from an older copy and holds another version at a later revision.
	Version pkconfig.Version `cbor:"22,keyasint,omitempty"`
	// Paces are engines that are, or recently were, slower than their kind.
	Paces []pkpace.Observation `cbor:"21,keyasint,omitempty"`
	// Limits are the rate limits that targets name, as the sender or, from a hub, also others have
	// observed them.
	Limits []pkrate.Observation `cbor:"27,keyasint,omitempty"`
	// Relaying is set if the sender is a hub that does not follow the store itself but receives its
	// changes from a hub that does.
	Relaying bool `cbor:"23,keyasint,omitempty"`
	// LocalEntries is the number of entries of the sender's data centre as counted by a hub; zero
	// from other senders.
	LocalEntries int `cbor:"24,keyasint,omitempty"`
	// Candidates are the entries of the data centre that a hub expects to be registered in the
	// store, among which hubs are chosen; empty if the receiver has them already.
	Candidates []Member `cbor:"25,keyasint,omitempty"`
	// PackedConfig is like NewConfig with a compressed value. Earlier builds skip it, and follow
	// the configuration themselves.
	PackedConfig *pkstore.Item `cbor:"26,keyasint,omitempty"`
	// Relays is set if the sender accepts relayed requests.
	Relays bool `cbor:"28,keyasint,omitempty"`
	// Impaired are the services whose targets the sender cannot reach, or not reliably.
	Impaired []pkid.ServiceID `cbor:"29,keyasint,omitempty"`
	// Help is what a hub reports of entries that serve requests for those with impaired links; nil if it has nothing
	// to report, and from earlier builds.
	Help *Help `cbor:"32,keyasint,omitempty"`
	// Owns is the revision of the owner's key by which the sender owns the pools and has lately compared
	// what their engines hold with the plan; zero if it does neither, nil from builds that don't tell.
	Owns *pkstore.Revision `cbor:"30,keyasint,omitempty"`
	// Demands are what waits at the sender, by service and priority; none from earlier builds.
	Demands []Demand `cbor:"31,keyasint,omitempty"`
	// DataCenter and ProcessorShare are those of the sender.
	DataCenter     pkid.DataCenter `cbor:"12,keyasint,omitempty"`
	ProcessorShare float32         `cbor:"14,keyasint,omitempty"`
	// Sum is what a hub sends in place of its own loads, flows and demands.
	Sum *Sum `cbor:"13,keyasint,omitempty"`
}

// Load is the load that an entry's requests put on a target.
type Load struct {
	Target   pkid.TargetID `cbor:"1,keyasint"`
	Requests int           `cbor:"2,keyasint"`
	// Tokens is the memory that they hold, in tokens times layers.
	Tokens float32 `cbor:"3,keyasint"`
	// Born is set where the target has restarted under its ID: loads on an earlier start are not
	// added to this one.
	Born pkid.StartTime `cbor:"4,keyasint,omitempty"`
}

// Flow is the number of tokens in flight between two data centres.
type Flow struct {
	A      pkid.DataCenter `cbor:"1,keyasint"`
	B      pkid.DataCenter `cbor:"2,keyasint"`
	Tokens float32         `cbor:"3,keyasint"`
}

// Suspect is a target that is avoided for some more milliseconds. Messages carry durations in place
// of times, since the clocks of entries differ.
type Suspect struct {
	Target      pkid.TargetID `cbor:"1,keyasint"`
	RemainingMS int64         `cbor:"2,keyasint"`
	// Gone is set if the target's address refused a connection, so that its process has ended.
	Gone bool `cbor:"3,keyasint,omitempty"`
	// Born is the start of the target that was found faulty, where it is known.
	Born pkid.StartTime `cbor:"4,keyasint,omitempty"`
	// StaleRecord is set if the target does not hold the layers of its record at RecordRevision; a
	// later record is trusted again.
	StaleRecord    bool             `cbor:"5,keyasint,omitempty"`
	RecordRevision pkstore.Revision `cbor:"6,keyasint,omitempty"`
}
