package pkreplica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against engines in order that are avoided for seconds after links that lost packets were found out, and
// against using engines again whose processes have ended or whose records are stale.
func TestOnlySilenceIsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(time.Second)
	for name, row := range map[string]struct {
		mark    func(*Target)
		avoided bool
	}{
		"silent": {mark: func(t *Target) { t.MarkDead(now, now.Add(4*time.Second)) }},
		"failed": {mark: func(t *Target) {
			t.RecordFailure(now)
			t.RecordFailure(now)
			t.RecordFailure(now)
			t.RecordFailure(now)
		}},
		"gone":                {mark: func(t *Target) { t.MarkGone(now, now.Add(4*time.Second)) }, avoided: true},
		"silent, misdirected": {mark: func(t *Target) { t.MarkDead(now, now.Add(2*time.Second)); t.Avoid(now, now.Add(5*time.Second)) }, avoided: true},
		"silent, of stale record": {mark: func(t *Target) {
			t.MarkDead(now, now.Add(2*time.Second))
			t.MarkStaleRecord(now, now.Add(5*time.Second))
		}, avoided: true},
	} {
		one := &Target{state: &state{}}
		row.mark(one)
		assert.Assert(t, one.Avoided(later), name)
		one.ForgetSilence(later)
		assert.Equal(t, one.Avoided(later), row.avoided, name)
	}
}
