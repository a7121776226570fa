package pkyaml

import (
	"testing"

	"gotest.tools/v3/assert"
)

type changing struct {
	Name   string   `yaml:"name"`
	Seeds  []string `yaml:"seeds,omitempty"`
	Listen struct {
		Port int `yaml:"port"`
	} `yaml:"listen"`
}

// Guards against a changed setting that is not named.
func TestChangesNameEachSetting(t *testing.T) {
	assert.DeepEqual(t, Names[changing](), []string{"name", "seeds", "listen.port"})
	before := changing{Name: "a", Seeds: []string{"x"}}
	after := changing{Name: "a", Seeds: []string{"x"}}
	assert.Equal(t, len(Changes(before, after)), 0)
	after.Seeds = []string{"y"}
	after.Listen.Port = 1
	assert.DeepEqual(t, Changes(before, after), []string{"seeds", "listen.port"})
}
