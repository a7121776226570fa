package pkedge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkedge"
	"peridotknot.example/pkid"
	"peridotknot.example/platform/platformtest"
)

// cuts are the ways in which the links of entries are cut in these tests.
var cuts = map[string]platformtest.Cut{
	"refusing": platformtest.CutRefusing, "resetting": platformtest.CutResetting, "silent": platformtest.CutSilent, "new only": platformtest.CutNewOnly,
}

// startCuttable starts entries of one data centre whose links can be cut, and waits until each
// serves streams and counts all of them.
func startCuttable(t *testing.T, w *platformtest.Platform, entries int) ([]*node, []*platformtest.Links) {
	t.Helper()
	nodes, links := make([]*node, entries), make([]*platformtest.Links, entries)
	for i := range nodes {
		links[i] = new(platformtest.Links)
		nodes[i] = startLinked(t, pkedge.Settings{
			Entry: pkid.EntryID(fmt.Sprintf("n-%d", i)), DataCenter: "a", Store: w.Store.Addr(),
			Listen: pkedge.Listen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: "127.0.0.1:0"},
			Stop:   pkedge.Stop{GraceS: 4},
			Retry:  pkedge.Retry{Ratio: 0.2, WindowS: 1, Slack: 400},
		}, links[i])
	}
	for _, n := range nodes {
		n.waitForStream(t)
		eventually(t, "all entries", func() bool { return n.memberCount(t) == entries && n.metric(t, "peridotknot_peers") == fmt.Sprint(entries-1) })
	}
	return nodes, links
}

// serveFor sends streams to a node, several at a time, and returns how many there were and how many
// were served whole.
func (n *node) serveFor(t *testing.T, name string, d time.Duration) (sent, served int) {
	t.Helper()
	const atOnce, length = 4, 10
	counts := make(chan [2]int, atOnce)
	for k := range atOnce {
		go func() {
			var c [2]int
			for began := time.Now(); time.Since(began) < d; c[0]++ {
				got := n.do(t, http.MethodPost, "/talk/1", fmt.Sprintf("%s-%d-%d", name, k, c[0]), platformtest.Key, length)
				if got.err == nil && got.body == events(length) {
					c[1]++
				}
			}
			counts <- c
		}()
	}
	for range atOnce {
		c := <-counts
		sent, served = sent+c[0], served+c[1]
	}
	return sent, served
}

// Guards against targets that all entries take for dead because one entry, whose links are cut,
// cannot reach them: entries in order must go on serving their callers.
func TestEntriesInOrderServeWhileAnotherIsCutOff(t *testing.T) {
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, _ := newPool(t)
			nodes, links := startCuttable(t, w, 2)
			links[0].Cut(cut)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				nodes[0].serveFor(t, "cut", time.Second)
			}()
			sent, served := nodes[1].serveFor(t, "sound", time.Second)
			<-ended
			assert.Assert(t, sent > 10 && served >= sent-sent/20, "%d of %d served", served, sent)
		})
	}
}
