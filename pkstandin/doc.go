// Package pkstandin provides stand-ins for the systems that the router depends on: the key-value
// service, the VM list, model engines and plain services.
//
// The stand-ins speak the published protocols and record protocol violations. An engine records each
// layer that is repeated, skipped or out of order for a token, and a service records each call that
// it runs. Faults are injected at run time, by method call or through the admin interface.
//
// The stand-ins are meant for tests and local trials and do not simulate a cluster: engines pass
// activations by function calls, and the time of a token is a single sleep.
package pkstandin
