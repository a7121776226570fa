// Package pkclaim keeps a caller's idempotency key from running a call twice.
//
// A call that carries a key is run only if the key can be claimed. Claims are
// kept in memory by the two entries of the neighborhood that rendezvous hashing
// puts first for the key, and both must grant it. When one member comes or
// goes, the first two change by one at the most, so one entry that knows the
// key is always asked again. A call that ended as not run gives its claim back.
package pkclaim
