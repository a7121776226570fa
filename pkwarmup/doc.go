// Package pkwarmup decides how much of the room of targets an entry uses until it knows the loads of
// the other entries. It does no I/O.
package pkwarmup
