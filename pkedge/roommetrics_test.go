package pkedge

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkexplain"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkstore"
)

// metricsDaemon returns a daemon with metrics that knows a pool of engines, and its service.
func metricsDaemon(t *testing.T, infos ...pkreplica.Info) (*Daemon, *pkconfig.Service) {
	t.Helper()
	d, s := poolDaemon(infos...)
	s.Engine.Kinds["l4"] = pklayers.Accelerator{MemoryMB: 180_000, StepFactor: 16, PrefillFactor: 8.2}
	assert.Assert(t, d.configs.Adopt(pkconfig.Config{Version: 1, Services: []pkconfig.Service{*s, {ID: "plain"}}}, pkstore.Item{Revision: 1}))
	d.metrics = newMetrics(d)
	setRetryBudget(d, 9)
	return d, s
}

// use fills a share of the memory of an engine, half of it by this entry and half by others.
func use(t *testing.T, d *Daemon, s *pkconfig.Service, info pkreplica.Info, share float64) {
	t.Helper()
	used := share * s.Engine.KVCapacity(info.Kind, info.Held.Len()) * float64(info.Held.Len())
	target := d.target(t, info.ID)
	target.Begin(time.Now().Add(-time.Minute), used/2, 0, time.Millisecond)
	target.SetPeerLoad(pkreplica.Load{Requests: 1, Tokens: used / 2})
}

func assertShare(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 1e-9, "%v, want %v", got, want)
}

// Guards against memory that no request can use being shown as unused: that of avoided engines, of engines without
// layers, and what an engine with too many requests appears to lack or to have in excess.
func TestUnusedRoomCountsWhatRequestsMayUse(t *testing.T) {
	half, overfull, idle := engine("a", "x", 0, 80), engine("b", "x", 0, 80), engine("c", "y", 0, 80)
	dead, empty, foreign := engine("d", "x", 0, 80), engine("e", "y", 0, 0), engine("f", "z", 0, 80)
	foreign.Kind = "unknown"
	d, s := metricsDaemon(t, half, overfull, idle, dead, empty, foreign)
	now := time.Now()
	use(t, d, s, half, 0.5)
	use(t, d, s, overfull, 1.5)
	use(t, d, s, idle, -0.1)
	d.target(t, "d").Avoid(now, now.Add(time.Minute))
	got := d.unusedRoom(now)
	assert.Equal(t, len(got), 3)
	assertShare(t, got["x"].all.share(), 0.25)
	assertShare(t, got["y"].all.share(), 1)
	assertShare(t, got["z"].all.share(), 0)
	assertShare(t, got["x"].weakest.share(), 0.25)
}

// Guards against a layer without room that is hidden by engines with room for other layers.
func TestLayerWithTheLeastUnusedRoomIsShown(t *testing.T) {
	front, back, second := engine("a", "x", 0, 40), engine("b", "x", 40, 80), engine("c", "x", 0, 40)
	part, lost := engine("d", "y", 0, 60), engine("e", "y", 60, 80)
	d, s := metricsDaemon(t, front, back, second, part, lost)
	now := time.Now()
	use(t, d, s, front, 0.9)
	use(t, d, s, back, 0.7)
	use(t, d, s, part, 0.4)
	got := d.unusedRoom(now)
	assertShare(t, got["x"].all.share(), (0.1+0.3+1)/3)
	assertShare(t, got["x"].weakest.share(), 0.3)
	assertShare(t, got["y"].weakest.share(), 0.6)
	d.target(t, "e").Avoid(now, now.Add(time.Minute))
	assertShare(t, d.unusedRoom(now)["y"].weakest.share(), 0)
}

// Guards against series by account, route or target, and against a scrape that fails before there is a
// configuration or on a data centre whose name is not UTF-8.
func TestRoomMetricsHaveOneSeriesForEachDataCenter(t *testing.T) {
	d, s := metricsDaemon(t, engine("a", "x", 0, 80), engine("b", "x", 0, 80), engine("c", "y\xff", 0, 80), engine("e", "z", 0, 0))
	use(t, d, s, engine("a", "x", 0, 80), 1)
	var got []string
	for line := range strings.Lines(scrape(t, d)) {
		if strings.HasPrefix(line, "peridotknot_room_unused") || strings.HasPrefix(line, "peridotknot_layer_room_unused") {
			got = append(got, strings.TrimSpace(line))
		}
	}
	assert.DeepEqual(t, got, []string{
		`peridotknot_layer_room_unused{data_center="x"} 0.5`,
		`peridotknot_layer_room_unused{data_center="y?"} 1`,
		`peridotknot_room_unused{data_center="x"} 0.5`,
		`peridotknot_room_unused{data_center="y?"} 1`,
		`peridotknot_room_unused{data_center="z"} 0`,
	})

	unconfigured, _ := poolDaemon()
	unconfigured.metrics = newMetrics(unconfigured)
	setRetryBudget(unconfigured, 9)
	assert.Assert(t, !strings.Contains(scrape(t, unconfigured), "room_unused"))
}

// scrape returns the metrics as they are served.
func scrape(t *testing.T, d *Daemon) string {
	t.Helper()
	out := httptest.NewRecorder()
	d.metrics.handler().ServeHTTP(out, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Equal(t, out.Code, http.StatusOK, out.Body.String())
	return out.Body.String()
}

// Guards against a log line on a refusal that lacks a field which peridotknot explain reads.
func TestRefusalInTheLogCanBeExplained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newQueuedPool(t)
		p.settings.Queue.MaxWaiting = 1
		var log bytes.Buffer
		p.log = hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p.fill(t, 0.9)
		out := make(chan waitResult, 2)
		p.wait(ctx, out, p.call("urgent"))
		last := p.call("overnight")
		last.account = "small"
		p.wait(ctx, out, last)
		got := <-out
		assert.Equal(t, got.name, "overnight")
		explanation, err := pkexplain.Read(&log, "overnight")
		assert.NilError(t, err)
		w := explanation.Wait
		assert.Assert(t, w != nil && w.Refusal != nil)
		assert.Equal(t, w.Service+" "+w.Account+" "+w.Priority+" "+w.Rank, "models small 2 2")
		assert.Equal(t, w.Refusal.Cause, causeFull)
		assert.Equal(t, w.Refusal.Waiting, int64(1))
		assert.Assert(t, w.Refusal.RetryAfterMS >= 500)
	})
}
