package pkretry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkrate"
)

// Guards against fleets that may retry nothing, since each entry's share of the slack is under one
// retry: entries must take turns, use most of the slack, and stay within it in every window.
func TestEntriesTakeTurnsWhereTheirShareIsLessThanOne(t *testing.T) {
	const slack, window = 1040.0, 10 * time.Second
	for _, entries := range []int{1500, 2000, 4000} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			budgets, places := make([]Budget, entries), make([]float64, entries)
			for i := range places {
				places[i] = random.Float64()
			}
			began := time.Unix(1_000_000, 0)
			var retries []time.Time
			first, most := 0, 0
			for now := began; now.Sub(began) < 5*window; now = now.Add(window / 20) {
				for i := range budgets {
					l := Limits{Ratio: 0.2, Slack: slack, Window: window, Share: pkrate.Share{Entries: entries, Place: places[i]}}
					if tryRetry(&budgets[i], now, l) {
						retries = append(retries, now)
					}
				}
				for now.Sub(retries[first]) >= window {
					first++
				}
				most = max(most, len(retries)-first)
			}
			t.Logf("at most %d retries in a window", most)
			assert.Assert(t, float64(most) <= slack, "%d retries in a window", most)
			assert.Assert(t, float64(most) >= 0.6*slack, "%d retries in a window", most)
		})
	}
}

// Guards against a fleet bound that is exceeded by chance: with little slack no entry may round its
// share up.
func TestNoTurnsWithLittleSlack(t *testing.T) {
	var b Budget
	began := time.Unix(1_000_000, 0)
	for i := range 2000 {
		now := began.Add(time.Duration(i) * 100 * time.Millisecond)
		assert.Assert(t, !tryRetry(&b, now, Limits{Slack: 1, Window: 10 * time.Second, Share: pkrate.Share{Entries: 1}}))
		assert.Assert(t, !tryRetry(&b, now, Limits{Slack: 500, Window: 10 * time.Second, Share: pkrate.Share{Entries: 1000}}))
	}
}
