// Package pkreach decides whether an entry is cut off from the targets of a service.
//
// A target that cannot be reached has failed, or the link to it has. One target shows no
// difference; a sample of the others of its service does: an entry that reaches almost none of them
// is cut off, and its failures are no evidence against the targets. Package pkreach takes the results
// of probes and the present time, and does no I/O.
package pkreach
