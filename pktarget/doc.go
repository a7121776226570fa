// Package pktarget keeps an entry's table of targets: their identity, load and health, and
// whether they accept new requests.
//
// Every input is stale to some degree: the VM list, the reports of the targets and the request
// counts of peers. The load of a target is therefore its last report, corrected by the requests
// that this entry and its peers have started since. A target counts as leaving as soon as any one
// source reports it, whereas an empty VM list alone does not remove the targets of a pool.
//
// The table is sharded, with one lock per shard. Counters that change with every request are
// atomic, so that choosing a route takes no lock. Package pktarget is used by pkentry; pkreplica is
// its counterpart in pkedge.
package pktarget
