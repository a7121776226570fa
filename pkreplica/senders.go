package pkreplica

// assumedRequests is the number of requests in progress that each entry is assumed to have in addition to
// those known of, so that few requests say little about its share.
const assumedRequests = 4

// EquivalentSenders returns how many entries that send as much as this one make up all entries that send to a
// pool, given the requests in progress of this entry and of the others. It is the number of entries if all
// send the same, 1 if this one sends all, and the number of entries at most.
func EquivalentSenders(own, peers, entries int) float64 {
	share := float64(own+assumedRequests) / float64(own+peers+assumedRequests*entries)
	return min(max(1/share, 1), float64(entries))
}
