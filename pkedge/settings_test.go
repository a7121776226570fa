package pkedge_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkedge"
)

const goodSettings = `entry: one
data_center: a
listen: {callers: "127.0.0.1:1", ready: "127.0.0.1:2", peers: "127.0.0.1:3"}
seeds: ["127.0.0.1:4"]
store: "127.0.0.1:5"
memory_mb: 284
stop: {grace_s: 8}
retry: {ratio: 0.2, window_s: 10, slack: 200}
`

// Guards against a daemon that starts with missing, negative or unknown settings, and against
// errors without the line.
func TestSettingsAreChecked(t *testing.T) {
	s, err := pkedge.ParseSettings("s.yaml", []byte(goodSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Listen.Peers, "127.0.0.1:3")
	cases := []struct{ from, to, wantErr string }{
		{"entry: one", "entry: \"\"", "s.yaml:1: entry is missing"},
		{"grace_s: 8", "grace_s: 0", "stop.grace_s must be over 0"},
		{"ratio: 0.2", "ratio: -1", "retry.ratio must not be below 0"},
		{"window_s: 10", "window_s: 0", "retry.window_s must be over 0"},
		{"store:", "shop:", "unknown key \"shop\""},
		{"memory_mb: 284", "memory_mb: much", "expected a whole number"},
	}
	for _, c := range cases {
		_, err := pkedge.ParseSettings("s.yaml", []byte(strings.Replace(goodSettings, c.from, c.to, 1)))
		assert.ErrorContains(t, err, c.wantErr)
	}
}

// Guards against operators who cannot see that a running daemon does not use its settings file as it is.
func TestSettingsThatWaitForARestartAreCounted(t *testing.T) {
	t.Parallel()
	w, _ := newPool(t)
	s := graceSettings(w, 1)
	n := startWith(t, s)
	changed := s
	changed.MemoryMB, changed.Retry.Slack = 512, 1
	for _, row := range []struct {
		settings pkedge.Settings
		want     string
	}{{s, "0"}, {changed, "1"}, {s, "0"}} {
		n.Reload(row.settings)
		assert.Equal(t, n.metric(t, "peridotknot_settings_waiting"), row.want)
	}
}
