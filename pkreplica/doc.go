// Package pkreplica holds what an entry knows of the replicas that serve: what
// the platform's list says of each, and what this entry and its peers have seen.
//
// A replica may start again, under its id or under another at its address, and what its old
// process wrote may come late. Each start is a Target of its own: what was seen of the one
// before ends with it, and no late word brings it back.
//
// A Roster follows the list by revisions and never takes an older word for a
// newer one, whichever way it comes. A Target adds what was seen: requests in
// flight, the memory they hold, failures. Choosing is a function of both and of
// the present time.
package pkreplica
