// Package pksample holds the two users' sample deployments: for each a
// manifest, its API keys, stand-ins, a trace and the outcome stated for it.
//
// The traces are made by Make from a profile and a seed, and are committed, so
// that a replay is the same everywhere. The keys are for stand-ins only.
package pksample
