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

// known says whether an entry knows the list up to a revision.
func (n *node) known(t *testing.T, revision int64) bool {
	text := n.metric(t, "peridotknot_list_revision")
	at, err := strconv.ParseFloat(text, 64)
	return err == nil && int64(at) >= revision
}

// members returns among how many entries a node shares what is bounded over all.
func (n *node) members(t *testing.T) int {
	at, err := strconv.Atoi(n.metric(t, "peridotknot_members"))
	if err != nil {
		return 0
	}
	return at
}

// Each change of a list that all entries follow costs the store a call an entry. In a
// large fleet only hubs follow it and tell the others, which must know all the same how many
// they are: the retry budget is shared among them. The hubs then stop; the others must learn
// of what leaves, or they go on sending to it.
func TestALargeFleetIsToldOfTheList(t *testing.T) {
	t.Parallel()
	const entries, hubs = 15, 2
	w, engines := pool(t)
	var nodes []*node
	for i := range entries {
		nodes = append(nodes, startWith(t, pkedge.Settings{
			Entry: pkid.EntryID(fmt.Sprintf("n-%02d", i)), DataCenter: "a", Store: w.Store.Addr(),
			Listen: pkedge.Listen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: "127.0.0.1:0"},
			Stop:   pkedge.Stop{GraceS: 1}, // no caller is there to wait for
			Retry:  pkedge.Retry{WindowS: 10},
		}))
	}
	for _, n := range nodes {
		eventually(t, "readiness", func() bool { return n.isReady(t) })
	}
	// Each change ends the watches of those that need none any more.
	eventually(t, "that only hubs follow the list", func() bool {
		n := w.Store.Watches(platform.ReplicaPrefix)
		if n > hubs {
			engines["i-5"].Touch()
		}
		return n == hubs
	})
	for _, n := range nodes {
		eventually(t, "the count of members", func() bool { return n.members(t) >= entries })
	}
	everyone := func(nodes []*node, what string) {
		revision := w.Store.Revision(platform.ReplicaPrefix)
		for _, n := range nodes {
			eventually(t, what, func() bool { return n.known(t, revision) })
		}
	}
	engines["i-0"].Leave()
	everyone(nodes, "word of a leaving engine")
	for _, n := range nodes[:hubs] {
		n.stop()
		assert.NilError(t, <-n.ended)
		n.ended <- nil
	}
	engines["i-1"].Leave()
	everyone(nodes[hubs:], "word of another one, with the hubs gone")
}
