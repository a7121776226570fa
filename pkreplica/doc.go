// Package pkreplica tracks the replicas that serve requests: the records of the platform's replica
// list, and what this entry and its peers have observed of each replica.
//
// A replica may restart under the same id, or under another id at the same address, and writes of
// its previous process may arrive late. Each start has its own Target: a restart discards the
// observations of the previous start, and late writes do not restore them.
//
// A Roster follows the list by revision and never replaces a newer record by an older one,
// whichever way it arrives. A Target adds the observed state: requests in flight, the memory they
// hold, failures. Selection depends on both and on the current time. A new era of the store begins
// when it is restored from an older copy; records of the copy that are older than the known ones
// are ignored. Package pkreplica is used by pkedge; pktarget is its counterpart in pkentry.
package pkreplica
