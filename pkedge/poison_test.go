package pkedge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/platform/platformtest"
)

const (
	// quarantined is the metric of requests that an entry keeps from replicas.
	quarantined = "peridotknot_quarantined_requests"
	// mostEnded is how many replicas a poison request may end: three show what it is, and the
	// attempt that ends the third may have one more send under way.
	mostEnded = 4
)

// poisonRequest is a request that crashes what runs it and comes to entries again and again.
type poisonRequest struct {
	w       *platformtest.World
	service string
	uri     string
	tokens  int
	// sent counts how often it came, replaced the replicas that others have taken the place of.
	sent     int
	replaced int
}

// send sends the request to an entry under a new id, and brings replicas that it ended back
// under new ids.
func (o *poisonRequest) send(t *testing.T, n *node) reply {
	t.Helper()
	o.sent++
	method, body := http.MethodGet, ""
	if o.tokens > 0 {
		method, body = http.MethodPost, "the same each time"
	}
	got := n.doWith(t, patience, method, o.uri, fmt.Sprintf("poison-%d", o.sent), platformtest.Key, o.tokens, body)
	for _, id := range o.w.Ended()[o.replaced:] {
		o.replaced++
		o.w.Store.Delete("servers/" + id)
		o.w.Add(o.service, fmt.Sprintf("again-%d", o.replaced), "a")
	}
	return got
}

// spread sends the request to one entry after the other until it has ended three replicas, and
// waits until all entries keep it from replicas.
func (o *poisonRequest) spread(t *testing.T, nodes ...*node) {
	t.Helper()
	for i := 0; len(o.w.Ended()) < 3; i++ {
		n := nodes[i%len(nodes)]
		if o.tokens > 0 {
			n.streams(t)
		}
		o.send(t, n)
		assert.Assert(t, i < 20, "it does not reach replicas")
	}
	o.held(t, nodes...)
}

// held waits until entries keep the request from replicas; the checks that follow fail where they
// do not.
func (o *poisonRequest) held(t *testing.T, nodes ...*node) {
	t.Helper()
	end := time.Now().Add(patience)
	for _, n := range nodes {
		for n.metric(t, quarantined) != "1" && time.Now().Before(end) {
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// refused checks that entries refuse the request as one that has not run, and that it ends no
// replica any more.
func (o *poisonRequest) refused(t *testing.T, nodes ...*node) {
	t.Helper()
	before := len(o.w.Ended())
	var answers []reply
	for _, n := range nodes {
		answers = append(answers, o.send(t, n))
	}
	assert.Assert(t, len(o.w.Ended()) <= mostEnded, "%d replicas ended", len(o.w.Ended()))
	assert.Equal(t, len(o.w.Ended()), before)
	for _, got := range answers {
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 0)
	}
}

// meet waits until entries hear of one another.
func meet(t *testing.T, nodes ...*node) {
	t.Helper()
	for _, n := range nodes {
		eventually(t, "readiness", func() bool { return n.isReady(t) })
		eventually(t, "the other entries", func() bool { return n.metric(t, "peridotknot_peers") == strconv.Itoa(len(nodes)-1) })
	}
}

// A request crashes each engine that begins to run it, and its caller sends it again and again,
// to any entry. Each entry took the crash for the engine's failure and sent the request on to the
// next engine; the next entry began anew. Three times a day twelve engines ended so, one under it
// each 0.3 s while any lived: "an engine's process is gone" for i-49928b0584 at 37.76 s,
// i-4d45143602 at 38.05 s and i-f00f45c30e at 38.37 s, and 192 sends of others with them. Once
// three engines have ended, no entry may send it to another.
func TestARequestThatCrashesEnginesIsNotSentOn(t *testing.T) {
	t.Parallel()
	w, _ := pool(t)
	one, two := start(t, w, "one"), start(t, w, "two")
	meet(t, one, two)
	o := &poisonRequest{w: w, service: platformtest.Pool, uri: "/talk/poison", tokens: 5}
	w.Poison(o.uri)
	o.spread(t, one, two)
	o.refused(t, one, two)

	one.streams(t)
	got := two.do(t, http.MethodPost, "/talk/2", "sound", platformtest.Key, 3)
	assert.Equal(t, got.body, events(3), "the same caller's other requests")
}

// Twelve streams of other callers are under way when a poison request ends the engines that they
// begin at, one after the other; some are cut twice and come again. They met as many crashes as
// the request that is to blame. Each must be served, then or when it comes again: refused for what
// another's request did, its caller would have lost it for ten minutes.
func TestCallersBesideAPoisonRequestAreServed(t *testing.T) {
	t.Parallel()
	w, _ := pool(t)
	one, two := start(t, w, "one"), start(t, w, "two")
	meet(t, one, two)
	one.streams(t)
	two.streams(t)
	const streams, length = 12, 400
	type outcome struct {
		stream int
		reply  reply
	}
	answers := make(chan outcome, streams)
	send := func(n *node, stream, again int) outcome {
		id := fmt.Sprintf("beside-%d-%d", stream, again)
		got := n.doWith(t, patience, http.MethodPost, fmt.Sprintf("/talk/%d", stream), id, platformtest.Key, length, fmt.Sprint("prompt ", stream))
		return outcome{stream: stream, reply: got}
	}
	for i := range streams {
		go func() { answers <- send([]*node{one, two}[i%2], i, 0) }()
	}
	eventually(t, "streams under way", func() bool {
		begun := 0
		for i := range streams {
			begun += len(w.Runs(fmt.Sprintf("beside-%d-0", i)))
		}
		return begun >= streams
	})
	o := &poisonRequest{w: w, service: platformtest.Pool, uri: "/talk/poison", tokens: 5}
	w.Poison(o.uri)
	o.spread(t, one, two)
	o.refused(t, one, two)
	for range streams {
		got := <-answers
		for again := 1; got.reply.err != nil || got.reply.status != http.StatusOK; again++ {
			assert.Assert(t, again < 200, "stream %d is not served: %d", got.stream, got.reply.status)
			one.streams(t)
			got = send([]*node{one, two}[again%2], got.stream, again)
		}
		assert.Equal(t, got.reply.body, events(length))
	}
	for _, n := range []*node{one, two} {
		assert.Equal(t, n.metric(t, quarantined), "1", "only the poison request is kept from engines")
	}
}

// plainPoison returns a plain service and two entries at which a poison call has ended three
// replicas of it.
func plainPoison(t *testing.T) (w *platformtest.World, o *poisonRequest, one, two *node) {
	t.Helper()
	w = platformtest.NewWorld()
	t.Cleanup(w.Close)
	for _, id := range []string{"i-a", "i-b", "i-c"} {
		w.Add(platformtest.App, id, "a")
	}
	one, two = start(t, w, "one"), start(t, w, "two")
	meet(t, one, two)
	o = &poisonRequest{w: w, service: platformtest.App, uri: "/read/poison"}
	w.Poison(o.uri)
	o.spread(t, one, two)
	return w, o, one, two
}

// The same with a plain service: its replicas crash under a call that may be repeated.
func TestARequestThatCrashesPlainReplicasIsNotSentOn(t *testing.T) {
	t.Parallel()
	_, o, one, two := plainPoison(t)
	o.refused(t, one, two)
	assert.Equal(t, one.do(t, http.MethodGet, "/read/1", "sound", platformtest.Key, 0).status, http.StatusOK)
}

// The entries that have seen the crashes stop, one by one or all at once, and others start. A
// fresh entry that does not know of the poison request ends three replicas more.
func TestFreshEntriesKnowOfAPoisonRequest(t *testing.T) {
	t.Parallel()
	w, o, one, two := plainPoison(t)

	third := start(t, w, "three")
	o.held(t, third)
	o.refused(t, third)
	eventually(t, "that the store keeps it", func() bool { return w.Store.Revision("peridotknot/quarantine/") > 0 })
	for _, n := range []*node{one, two, third} {
		n.stop()
		err := <-n.ended
		n.ended <- err
		assert.NilError(t, err)
	}
	fourth := start(t, w, "four")
	o.held(t, fourth)
	o.refused(t, fourth)
}
