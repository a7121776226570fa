package pkentry

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `entry: a
region: r
data_center: d
listen: {callers: 127.0.0.1:1, admin: 127.0.0.1:2, peers: 127.0.0.1:3}
store: 127.0.0.1:4
platform: 127.0.0.1:5
`

func TestParseSettingsErrors(t *testing.T) {
	_, err := ParseSettings("s.yaml", []byte(validSettings))
	assert.NilError(t, err)
	cases := map[string]struct{ old, now, want string }{
		"unknown key":          {"region: r", "regoin: r", `s.yaml:2: unknown key "regoin"`},
		"missing":              {"entry: a\n", "", "entry is missing"},
		"host name":            {"127.0.0.1:4", "store.example:4", "s.yaml:5: store: expected IP:port"},
		"no port":              {"127.0.0.1:1,", "127.0.0.1,", "s.yaml:4: listen.callers: expected IP:port"},
		"unspecified peer IP":  {"127.0.0.1:3", "0.0.0.0:3", "listen.peers: expected IP:port by which"},
		"wrong unit":           {"platform: 127.0.0.1:5", "platform: 127.0.0.1:5\nstop: {delay: 2, limit: soon}", `s.yaml:7: found "soon", expected a duration`},
		"limit below delay":    {"platform: 127.0.0.1:5", "platform: 127.0.0.1:5\nstop: {delay: 2s, limit: 1s}", "s.yaml:7: limit must not be below delay"},
		"partial TLS identity": {"platform: 127.0.0.1:5", "platform: 127.0.0.1:5\npeers: {tls: {cert: c}}", "s.yaml:7: cert, key and ca go together"},
		"unknown policy":       {"platform: 127.0.0.1:5", "platform: 127.0.0.1:5\npolicy: best", "s.yaml:7: expected one of"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseSettings("s.yaml", []byte(strings.Replace(validSettings, c.old, c.now, 1)))
			assert.ErrorContains(t, err, c.want)
		})
	}
}
