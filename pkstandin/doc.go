// Package pkstandin holds small stand-ins for what surrounds the router: the
// key-value service, the VM list, model engines and plain services.
//
// They speak the published protocols, so the router cannot tell them from the
// real thing, and they check what the real things would suffer from: an engine
// notes every layer that is run twice, skipped or out of order for a token, and
// a service notes every call that it ran. Faults are set from outside while
// they run. They are a means for tests and for trying the router out, and no
// model of a cluster: engines pass activations by function calls, and a token's
// time is one sleep.
package pkstandin
