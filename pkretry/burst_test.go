package pkretry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runBursts runs all entries for a step that begins at now, with a mean number of requests each that want up to three
// retries.
func (f *fleet) runBursts(now time.Time, mean float64) {
	const sends = 4
	requests, retries := 0.0, 0.0
	for i := range f.processes {
		p, l := &f.processes[i], f.limits(i)
		n := int(mean + f.random.Float64())
		for range n {
			p.budget.RecordRequest(now, l)
		}
		requests += float64(n)
		for wanted := n * (sends - 1); wanted > 0 && tryRetry(&p.budget, now, l); wanted-- {
			retries++
		}
	}
	f.requests, f.retries = append(f.requests, requests), append(f.retries, retries)
}

// Guards against retries that two bursts of requests allow, in a window that holds the requests of only one of them.
func TestRetriesStayWithinTheBoundWhereRequestsComeInBursts(t *testing.T) {
	means := []float64{0, 0.2, 1, 2, 5, 10}
	for _, slack := range []float64{20, 50, 200} {
		for seed := range uint64(100) {
			t.Run(fmt.Sprintf("slack %g, seed %d", slack, seed), func(t *testing.T) {
				f := &fleet{random: rand.New(rand.NewPCG(seed, 7)), slack: slack, processes: make([]process, 8)}
				began, mean, until, most := time.Unix(1_000_000, 0), 1.0, time.Duration(0), 0.0
				for passed := time.Duration(0); passed < 60*time.Second; passed += fleetStep {
					if passed >= until {
						mean = means[f.random.IntN(len(means))]
						until = passed + time.Duration(f.random.IntN(6000))*time.Millisecond
					}
					f.runBursts(began.Add(passed), mean)
					if passed >= 2*fleetWindow { // requests of the window before the first were not recorded
						most = max(most, f.excess())
					}
				}
				assert.Assert(t, most <= 0, "%v retries beyond the bound in a window", most)
			})
		}
	}
}

func BenchmarkCharge(b *testing.B) {
	f := &fleet{random: rand.New(rand.NewPCG(1, 1)), slack: 200, processes: make([]process, 8)}
	now := time.Unix(1_000_000, 0)
	for range 300 {
		now = now.Add(fleetStep)
		f.runBursts(now, 10)
	}
	l := f.limits(0)
	for b.Loop() {
		f.processes[0].budget.HasRetries(now, l, 1)
	}
}
