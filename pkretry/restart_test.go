package pkretry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkrate"
)

const (
	// fleetRatio, fleetWindow and fleetStep are the bound's ratio and window, and the step of simulated time.
	fleetRatio  = 0.2
	fleetWindow = 10 * time.Second
	fleetStep   = 100 * time.Millisecond
	// fleetTime is how long a fleet runs.
	fleetTime = 45 * time.Second
	// requestsPerStep is the number of requests that an entry gets in a step.
	requestsPerStep = 1.5
)

// fleet is a fleet of entries in simulated time whose requests all want another send.
type fleet struct {
	random    *rand.Rand
	slack     float64
	processes []process
	// requests and retries are counted for each step.
	requests, retries []float64
}

// process is one process of an entry.
type process struct {
	budget  Budget
	started time.Time
}

// restart replaces the process of an entry by a new one.
func (f *fleet) restart(now time.Time, entry int) { f.processes[entry] = process{started: now} }

// limits returns the limits of an entry.
func (f *fleet) limits(entry int) Limits {
	n := len(f.processes)
	return Limits{
		Ratio: fleetRatio, Slack: f.slack, Window: fleetWindow, Started: f.processes[entry].started,
		Share: pkrate.Share{Entries: n, Place: float64(entry) / float64(n)},
	}
}

// run runs all entries for a step that begins at now.
func (f *fleet) run(now time.Time) {
	requests, retries := 0.0, 0.0
	for i := range f.processes {
		p, l := &f.processes[i], f.limits(i)
		n := int(requestsPerStep + f.random.Float64())
		for range n {
			p.budget.RecordRequest(now, l)
		}
		requests += float64(n)
		for tryRetry(&p.budget, now, l) {
			retries++
		}
	}
	f.requests, f.retries = append(f.requests, requests), append(f.retries, retries)
}

// sum returns the sum over the window that ends a number of steps before the last one.
func sum(all []float64, before int) float64 {
	steps := int(fleetWindow / fleetStep)
	end := max(len(all)-before, 0)
	total := 0.0
	for _, n := range all[max(end-steps, 0):end] {
		total += n
	}
	return total
}

// excess returns by how many retries the last window exceeds the bound, which counts the requests
// of that window, the one before it or the one half a window before it.
func (f *fleet) excess() float64 {
	steps := int(fleetWindow / fleetStep)
	requests := max(sum(f.requests, 0), sum(f.requests, steps/2), sum(f.requests, steps))
	return sum(f.retries, 0) - (fleetRatio*requests + f.slack)
}

// restarts are ways in which the entries of a fleet restart. Each is called once a step, with the
// time since the fleet has had its first requests.
var restarts = map[string]func(f *fleet, now time.Time, passed time.Duration){
	"none": func(*fleet, time.Time, time.Duration) {},
	"most are killed twice": func(f *fleet, now time.Time, passed time.Duration) {
		if passed != 18*time.Second && passed != 22*time.Second {
			return
		}
		for i := range f.processes {
			if f.random.Float64() < 0.6 {
				f.restart(now, i)
			}
		}
	},
	"one after the other": func(f *fleet, now time.Time, passed time.Duration) {
		const begin, length = 15 * time.Second, 12 * time.Second
		n := len(f.processes)
		for i := range f.processes {
			at := begin + time.Duration(i)*length/time.Duration(n)
			if at.Truncate(fleetStep) == passed {
				f.restart(now, i)
			}
		}
	},
	"all at once": func(f *fleet, now time.Time, passed time.Duration) {
		if passed == 20*time.Second {
			for i := range f.processes {
				f.restart(now, i)
			}
		}
	},
	"all again and again": func(f *fleet, now time.Time, passed time.Duration) {
		if passed > 12*time.Second && passed%(3*time.Second) == 0 {
			for i := range f.processes {
				f.restart(now, i)
			}
		}
	},
	"some in each second": func(f *fleet, now time.Time, passed time.Duration) {
		if passed%time.Second != 0 {
			return
		}
		for i := range f.processes {
			if f.random.Float64() < 0.15 {
				f.restart(now, i)
			}
		}
	},
}

// Guards against entries that have their whole part of the budget again after a restart, within the
// window in which their earlier process has spent it.
func TestRestartedEntriesStayWithinTheBoundOfTheFleet(t *testing.T) {
	for name, restart := range restarts {
		for entries, slack := range map[int]float64{1: 200, 10: 220, 100: 400, 1000: 2200, 2000: 700} {
			t.Run(fmt.Sprintf("%s, %d entries", name, entries), func(t *testing.T) {
				t.Parallel()
				f := &fleet{random: rand.New(rand.NewPCG(1, uint64(entries))), slack: slack, processes: make([]process, entries)}
				began := time.Unix(1_000_000, 0)
				most := 0.0
				for passed := time.Duration(0); passed < fleetTime; passed += fleetStep {
					now := began.Add(passed)
					restart(f, now, passed)
					f.run(now)
					most = max(most, f.excess())
				}
				assert.Assert(t, most <= 0, "%v retries beyond the bound in a window", most)
			})
		}
	}
}
