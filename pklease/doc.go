// Package pklease computes how long an owner may act on a lease of the store.
//
// A lease is measured on this VM's monotonic clock from before the request that began or renewed it
// was sent, since the store cannot have started it earlier. The owner stops acting a margin before
// the end. As the process may be paused between the check and the action, each order also carries
// the lease's fencing token. Where targets ignore it, a new owner first waits for orders in flight
// and later reads back what it ordered.
package pklease
