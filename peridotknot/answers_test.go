package main

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"peridotknot.example/platform/platformtest"
)

// streamCrowd is the number of callers whose streams have a response without end.
const streamCrowd = 600

// startFaultyEdge starts an entry daemon whose targets treat all streams in a given way.
func startFaultyEdge(t *testing.T, b platformtest.Behavior) *crowdDaemon {
	t.Helper()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	w.Configure(func(config map[string]any) {
		config["routes"] = append(config["routes"].([]any), platformtest.RouteConfig("flow", "/flow/", "streaming", platformtest.App))
	})
	d := startEdgeBefore(t, w, crowdDescriptors)
	w.SetStreamBehavior(b)
	return d
}

// stream sends a request for a stream.
func stream(_ *crowdDaemon, conn io.Writer) error {
	_, err := fmt.Fprintf(conn, "%sPeridotknot-Token-Counts: 10,5\r\nContent-Length: 0\r\n\r\n",
		platformtest.Head("/flow/1", requestID(), platformtest.Key, waitTimeout))
	return err
}

// Guards against a process that runs out of memory by responses without end, which faulty targets send to many streams.
func TestEdgeOutlivesResponsesWithoutEnd(t *testing.T) {
	for _, b := range []platformtest.Behavior{platformtest.EndlessEvent, platformtest.EndlessFailure} {
		t.Run(strings.ReplaceAll(string(b), " ", "-"), func(t *testing.T) {
			d := startFaultyEdge(t, b)
			c, leave := d.start(t, streamCrowd, stream, true)
			c.awaitSent()
			d.check(t)
			leave()
			d.check(t)
			d.end(t)
		})
	}
}
