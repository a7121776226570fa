// Package pkrelay passes a caller's request on to another entry, for an entry that is cut off from
// the targets.
//
// The other entry serves the request as one of its own callers', within the time that is left. A
// relayed request is not relayed again. Peers chooses the entry and Attempts bounds how often; they take
// the present time and do no I/O.
package pkrelay
