package pkedge

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkstore"
)

// Guards against restarting a working watch: during frequent changes each poll finds a newer
// revision than the watch has delivered.
func TestWatchIsStaleIfItMissesTheVersionOfThePreviousPoll(t *testing.T) {
	var w staleWatchDetector
	w.recordDelivered(5)
	for i, step := range []struct {
		delivered, polled pkstore.Revision
		want              bool
	}{{5, 5, false}, {5, 7, false}, {7, 9, false}, {9, 11, false}, {10, 13, true}, {13, 13, false}, {13, 4, false}} {
		w.recordDelivered(step.delivered)
		assert.Equal(t, w.recordPoll(step.polled), step.want, "poll %d", i)
	}
}
