package pkedge_test

import (
	"fmt"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkedge"
	"peridotknot.example/pkid"
	"peridotknot.example/platform"
)

// knowsRevision reports whether an entry knows the list of replicas up to a revision.
func (n *node) knowsRevision(t *testing.T, revision int64) bool {
	text := n.metric(t, "peridotknot_list_revision")
	at, err := strconv.ParseFloat(text, 64)
	return err == nil && int64(at) >= revision
}

// memberCount returns the number of entries that a node shares limits of the whole fleet with.
func (n *node) memberCount(t *testing.T) int {
	at, err := strconv.Atoi(n.metric(t, "peridotknot_members"))
	if err != nil {
		return 0
	}
	return at
}

// Guards against entries of a large fleet that each follow the list of replicas at the store: only
// hubs may, and must relay changes and the number of members, which the retry budget depends on.
// When the hubs stop, the other entries must still learn of draining replicas.
func TestHubsRelayTheListInALargeFleet(t *testing.T) {
	t.Parallel()
	const entries, hubs = 15, 2
	w, engines := newPool(t)
	var nodes []*node
	for i := range entries {
		nodes = append(nodes, startWith(t, pkedge.Settings{
			Entry: pkid.EntryID(fmt.Sprintf("n-%02d", i)), DataCenter: "a", Store: w.Store.Addr(),
			Listen: pkedge.Listen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: "127.0.0.1:0"},
			Stop:   pkedge.Stop{GraceS: 1}, // there are no callers to wait for
			Retry:  pkedge.Retry{WindowS: 10},
		}))
	}
	for _, n := range nodes {
		eventually(t, "readiness", func() bool { return n.isReady(t) })
	}
	// A change ends the watches that are no longer needed.
	eventually(t, "watches of the list by hubs only", func() bool {
		n := w.Store.WatchCount(platform.ReplicaPrefix)
		if n > hubs {
			engines["i-5"].Touch()
		}
		return n == hubs
	})
	for _, n := range nodes {
		eventually(t, "the number of members", func() bool { return n.memberCount(t) >= entries })
	}
	everyone := func(nodes []*node, what string) {
		revision := w.Store.Revision(platform.ReplicaPrefix)
		for _, n := range nodes {
			eventually(t, what, func() bool { return n.knowsRevision(t, revision) })
		}
	}
	engines["i-0"].Drain()
	everyone(nodes, "the first draining engine at all entries")
	for _, n := range nodes[:hubs] {
		n.stop()
		assert.NilError(t, <-n.ended)
		n.ended <- nil
	}
	engines["i-1"].Drain()
	everyone(nodes[hubs:], "the second draining engine without the hubs")
}
