// Package pktarget keeps what an entry knows of its targets: which there are,
// what they hold, how loaded they are and whether they may get new work.
//
// What is known is always late. The VM list lags, reports lag, and peers send
// counts some time after the fact. A target's load is therefore its last
// report corrected by what this entry and its peers sent since, and a target
// counts as leaving as soon as any one witness says so, while it takes more
// than an empty VM list to drop a pool.
//
// The table is split into shards, each under its own lock. The counts that
// every request touches are atomic, so that choosing a route takes no lock.
package pktarget
