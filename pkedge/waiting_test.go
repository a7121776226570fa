package pkedge

import (
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkyaml"
)

// Guards against a setting of which nobody has decided whether a change applies while a daemon runs.
func TestEachSettingAppliesOrWaits(t *testing.T) {
	assert.DeepEqual(t, slices.Sorted(maps.Keys(appliesWhileRunning)), slices.Sorted(slices.Values(pkyaml.Names[Settings]())))
}

// Guards against a changed setting that is neither in force nor named.
func TestChangedSettingsThatWaitAreNamed(t *testing.T) {
	var before Settings
	next := before
	next.Retry.Slack, next.Stop.GraceS, next.Seeds = 1, 2, []string{"a"}
	assert.Equal(t, len(before.waitForRestart(next)), 0)
	next.Listen.Peers, next.Queue.MaxWaiting = "b", 3
	assert.DeepEqual(t, before.waitForRestart(next), []string{"listen.peers", "queue.max_waiting"})
}
