// Package pkid defines the types of identifiers and units. Each has a type of its
// own, so that the compiler rejects a pool id in place of a target id.
//
// A target is one replica on one VM. Targets that hold parts of the same model
// form a pool; an entry is one of the router's own VMs.
package pkid
