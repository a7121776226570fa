// Package pklease decides how long an owner may act on a lease of the store.
//
// A lease is counted from before the request that began or renewed it was sent,
// by this VM's monotonic clock: the store cannot have begun to count earlier.
// The owner stops a margin before the end. That still leaves the moment between
// the check and the act, in which a process can be paused for any time; so each
// order carries the lease's fencing number, and where targets ignore it a new
// owner first waits for orders in flight and then reads back what it ordered.
package pklease
