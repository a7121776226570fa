// Package pkid names the things that the router handles. Every id and unit has
// its own type, so that a pool cannot stand where a target is meant and a
// layer cannot be counted as a token.
//
// A target is one replica on one VM. Targets that hold parts of the same model
// form a pool; an entry is one of the router's own VMs.
package pkid
