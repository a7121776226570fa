package pkyaml

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type sample struct {
	Name string        `yaml:"name"`
	Wait time.Duration `yaml:"wait"`
	Many []int         `yaml:"many"`
}

func TestDecodeReportsFaults(t *testing.T) {
	cases := map[string]struct{ body, want string }{
		"unknown key":   {"name: a\nnick: b\n", `f.yaml:2: unknown key "nick"`},
		"wrong unit":    {"wait: 20 parsecs\n", `f.yaml:1: found "20 parsecs", expected a duration such as 250ms or 20s`},
		"wrong type":    {"many: three\n", `f.yaml:1: found "three", expected a list`},
		"two documents": {"name: a\n---\nname: b\n", "f.yaml:1: expected one document, found more"},
		"empty":         {"", "f.yaml:1: file is empty"},
		"two faults":    {"nick: b\nwait: x\n", "f.yaml:1: unknown key \"nick\"\nf.yaml:2: found \"x\", expected a duration such as 250ms or 20s"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, _, err := Decode[sample]("f.yaml", []byte(c.body))
			assert.Error(t, err, c.want)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("name: a\nwait: 3s\nmany: [1, 2]\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Fuzz(func(_ *testing.T, body []byte) {
		_, doc, err := Decode[sample]("f.yaml", body)
		if err == nil {
			_ = doc.Fault("anywhere", "many", 0)
		}
	})
}
