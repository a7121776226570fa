package pkedge_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkedge"
	"peridotknot.example/platform/platformtest"
)

func graceSettings(w *platformtest.Platform, graceS float64) pkedge.Settings {
	return pkedge.Settings{
		Entry: "one", DataCenter: "a", Store: w.Store.Addr(),
		Listen: pkedge.Listen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: "127.0.0.1:0"},
		Stop:   pkedge.Stop{GraceS: graceS},
		Retry:  pkedge.Retry{Ratio: 0.2, WindowS: 1, Slack: 200},
	}
}

// Guards against streams that a stop breaks off after an outdated grace period, whether it was changed before the stop or
// during it.
func TestALongerGracePeriodApplies(t *testing.T) {
	t.Parallel()
	const (
		graceS = 4
		// length is the number of events of a stream that lasts longer than the first grace period.
		length = 1000
	)
	for name, reloadFirst := range map[string]bool{"before the stop": true, "during the stop": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, _ := newPool(t)
			s := graceSettings(w, graceS)
			n := startWith(t, s)
			n.waitForStream(t)
			answers := make(chan reply, 1)
			go func() { answers <- n.do(t, http.MethodPost, "/talk/1", "long", platformtest.Key, length) }()
			eventually(t, "the stream", func() bool { return len(w.Runs("long")) == 1 })
			s.Stop.GraceS = waitTimeout.Seconds()
			if reloadFirst {
				n.Reload(s)
			}
			n.stop()
			eventually(t, "the end of readiness", func() bool { return !n.isReady(t) })
			if !reloadFirst {
				n.Reload(s)
			}
			long := <-answers
			assert.NilError(t, long.err)
			assert.Equal(t, long.body, events(length))
		})
	}
}

// Guards against a stop that a shorter grace period cuts while it is in progress.
func TestAShorterGracePeriodCutsNoStop(t *testing.T) {
	t.Parallel()
	w, _ := newPool(t)
	s := graceSettings(w, waitTimeout.Seconds())
	n := startWith(t, s)
	n.waitForStream(t)
	answers := make(chan reply, 1)
	go func() { answers <- n.do(t, http.MethodPost, "/talk/1", "long", platformtest.Key, 300) }()
	eventually(t, "the stream", func() bool { return len(w.Runs("long")) == 1 })
	n.stop()
	eventually(t, "the end of readiness", func() bool { return !n.isReady(t) })
	s.Stop.GraceS = 0.1
	n.Reload(s)
	long := <-answers
	assert.NilError(t, long.err)
	assert.Equal(t, long.body, events(300))
}
