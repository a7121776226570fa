// Package pkstore is the port to the platform's key-value service, the only
// durable storage of the router: compare-and-swap, leases and watches.
//
// A write that returns an error other than ErrRefused may still have taken
// effect. Callers determine the outcome by reading, as package pkhead does.
package pkstore
