// Package pkmember tracks the membership of entries, the router's own nodes: the known and the live
// entries, their requests in flight, and which entry is responsible for which work.
//
// Full state is exchanged only within a neighborhood, a data centre or a small region, so that the
// memory and traffic of an entry do not grow with the fleet. Each other neighborhood is reached
// over a few connections chosen by rendezvous hashing. The revision of the manifest, which every
// entry needs, reaches every entry within two hops.
//
// There is no leader election. Work that one entry should do for its neighborhood falls to the live
// member that ranks first by rendezvous hashing. Two entries with different views may both do it
// for a short time, so such work is idempotent. Work that must not be done twice requires a lease.
// Package pkmember is used by pkentry; pkshare is its counterpart in pkedge.
package pkmember
