// Package pkmember tracks the membership of entries, the router's own nodes: which there are, which
// are alive, what they have in progress, and which of them is responsible for what.
//
// Full state is exchanged only within a neighborhood, a data centre or a small region, so that the
// memory and traffic of an entry do not grow with the fleet. Each other neighborhood is reached
// over a few links chosen by rendezvous hashing. The revision of the manifest, which every entry
// needs, takes one hop to a neighborhood and one inside it.
//
// There is no leader election. Work that one entry should do for its neighborhood falls to the live
// member that ranks first by rendezvous hashing. Two entries with different views may both do it
// for a short time, so such work is idempotent. Work that must not be done twice requires a lease.
package pkmember
