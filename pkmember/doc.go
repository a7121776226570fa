// Package pkmember knows the other entries: which there are, which are alive,
// what they have in progress and who looks after what.
//
// Full detail is shared only inside a neighborhood, a data centre or a small
// region, so that what a node keeps and sends does not grow with the fleet.
// Every other neighborhood is reached over a few links that are chosen by
// rendezvous hashing; what must reach everyone, the manifest's revision, takes
// one hop to a neighborhood and one inside it.
//
// Nobody is elected. Work that one node should do for its neighborhood falls to
// whoever rendezvous hashing puts first among those alive. Two nodes that see
// different members may both do it for a moment; such work is therefore always
// harmless when done twice. What must not be done twice needs a lease.
package pkmember
