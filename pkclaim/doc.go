// Package pkclaim deduplicates calls by the caller's idempotency key.
//
// A call with a key runs only if the key can be claimed. Claims are held in memory by the two
// entries of the neighborhood that rank first for the key by rendezvous hashing, and both must
// grant it. When one member joins or leaves, at most one of the two changes, so at least one entry
// that knows the key is asked again. A call that did not run releases its claim.
package pkclaim
