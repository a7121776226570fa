package pkedge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/platform/platformtest"
)

const (
	// poisonPartID is the part of prompts that crashes engines.
	poisonPartID = "bad0bad0"
	// maxPartCrashes is how many engines a part of prompts may crash: five, and three requests more.
	maxPartCrashes = 8
)

// promptSender sends requests with prompts to entries, no two alike, and replaces the engines that crash.
type promptSender struct {
	w        *platformtest.Platform
	nodes    []*node
	behavior platformtest.Behavior
	sent     int
	replaced int
}

// send sends a request whose prompt has the given shared parts and a last part of its own.
func (p *promptSender) send(t *testing.T, n *node, parts ...string) reply {
	t.Helper()
	p.sent++
	id := fmt.Sprintf("prompt-%d", p.sent)
	req, err := platformtest.NewRequest(t.Context(), http.MethodPost, "http://"+n.CallersAddr()+"/talk/1", id, platformtest.Key, 5, waitTimeout, strings.NewReader(id))
	assert.NilError(t, err)
	var prompt strings.Builder
	for _, part := range parts {
		fmt.Fprintf(&prompt, "%s:40,", part)
	}
	req.Header.Set(platformtest.PromptHeader, fmt.Sprintf("%s%08x:700", prompt.String(), p.sent))
	got := n.sendRequest(req)
	for _, crashed := range p.w.CrashedReplicas()[p.replaced:] {
		p.replaced++
		p.w.Store.Delete("servers/" + crashed)
		p.w.Add(platformtest.Pool, fmt.Sprintf("again-%d", p.replaced), "a").SetBehavior(p.behavior)
	}
	return got
}

// poisonPool starts a pool whose engines crash when they have written some events of an answer to a
// prompt with the poison part, and two entries.
func poisonPool(t *testing.T, events int, b platformtest.Behavior) *promptSender {
	t.Helper()
	w, engines := newPool(t)
	for _, e := range engines {
		e.SetBehavior(b)
	}
	one, two := start(t, w, "one"), start(t, w, "two")
	waitForPeers(t, one, two)
	one.waitForStream(t)
	two.waitForStream(t)
	w.PoisonPart(poisonPartID, events)
	return &promptSender{w: w, nodes: []*node{one, two}, behavior: b}
}

// crashEngines sends requests with the poison part to the entries in turn until engines have crashed
// that often or some requests were refused, and sound ones with the other parts between them.
func (p *promptSender) crashEngines(t *testing.T, crashes int, poison, sound []string) {
	t.Helper()
	for i, refused := 0, 0; len(p.w.CrashedReplicas()) < crashes && refused < 6; i++ {
		n := p.nodes[i%len(p.nodes)]
		n.waitForStream(t)
		p.send(t, n, sound...)
		if p.send(t, n, poison...).status == http.StatusServiceUnavailable {
			refused++
		}
		assert.Assert(t, i < 40, "the requests do not reach engines")
	}
}

// assertPartRefused checks that requests with the poison part crash hardly an engine more, that they are
// refused as not run, and that requests with the other parts are served.
func (p *promptSender) assertPartRefused(t *testing.T, poison, sound []string) {
	t.Helper()
	for i := range 12 {
		p.send(t, p.nodes[i%len(p.nodes)], poison...)
	}
	assert.Assert(t, len(p.w.CrashedReplicas()) <= maxPartCrashes, "%d engines crashed", len(p.w.CrashedReplicas()))
	for _, n := range p.nodes {
		got := p.send(t, n, poison...)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		n.waitForStream(t)
		assertServed(t, p.send(t, n, sound...), 5)
	}
}

// partPositions are prompts with the poison part, and sound ones that share their other parts.
var partPositions = []struct {
	name          string
	poison, sound []string
}{
	{"first of three", []string{poisonPartID, "cafe0001"}, []string{"cafe0000", "cafe0001"}},
	{"second of three", []string{"cafe0000", poisonPartID}, []string{"cafe0000"}},
}

// Guards against requests that differ but share a part of their prompts, and crash one engine after
// another because each is taken for another request.
func TestPromptPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	t.Parallel()
	for _, row := range partPositions {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			p := poisonPool(t, 0, platformtest.Normal)
			p.crashEngines(t, 5, row.poison, row.sound)
			p.assertPartRefused(t, row.poison, row.sound)
		})
	}
}

// Guards against taking the end of an answer without a length for its completion where the engine has
// crashed between two events, which would clear the part that crashed it.
func TestPromptPartThatCrashesEnginesBetweenEvents(t *testing.T) {
	t.Parallel()
	row := partPositions[1]
	p := poisonPool(t, 2, platformtest.NoContentLength)
	p.crashEngines(t, 5, row.poison, row.sound)
	p.assertPartRefused(t, row.poison, row.sound)
}
