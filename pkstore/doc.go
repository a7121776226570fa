// Package pkstore is the port to the platform's key-value service, the one
// place where anything lasts: compare-and-swap, leases and watches.
//
// An error from a write never means that the write did not happen. Callers
// settle a lost answer by reading, as package pkhead does.
package pkstore
