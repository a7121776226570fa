package pkrate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

const (
	// window, tolerance and slack are the stated bound: in each window a target gets at most
	// tolerance times what its limit allows, and slack requests more.
	window    = 4 * time.Second
	tolerance = 1.5
	slack     = 5
	step      = 20 * time.Millisecond
)

// fleet is the entries of a fleet before one target.
type fleet struct {
	tables []Table
	places []float64
	sent   []time.Time
}

func newFleet(entries int, seed uint64) *fleet {
	random := rand.New(rand.NewPCG(seed, 2))
	f := &fleet{tables: make([]Table, entries), places: make([]float64, entries)}
	for i := range f.places {
		f.places[i] = random.Float64()
	}
	return f
}

// name tells all entries of a limit.
func (f *fleet) name(now time.Time, r pkid.RequestRate) {
	for i := range f.tables {
		f.tables[i].Record("a", 0, perSecond(r), now)
	}
}

// send sends the requests that wait at an entry, as far as it has permits, and returns their number.
func (f *fleet) send(now time.Time, entry, requests, entries int) int {
	for n := range requests {
		if !f.tables[entry].Take(now, "a", 0, Share{Entries: entries, Place: f.places[entry]}) {
			return n
		}
		f.sent = append(f.sent, now)
	}
	return requests
}

// mostInWindow returns the largest number of requests in a window.
func (f *fleet) mostInWindow() int {
	most, first := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (f *fleet) assertWithinLimit(t *testing.T, r pkid.RequestRate) {
	t.Helper()
	allowed := tolerance*float64(max(r, minRate))*window.Seconds() + slack
	assert.Assert(t, float64(f.mostInWindow()) <= allowed, "%d requests in a window, %.1f allowed", f.mostInWindow(), allowed)
}

// Guards against entries that each spend the whole limit, and against an even share that rounds to
// no request at all: with requests waiting at each entry, the fleet uses most of the limit.
func TestEntriesTogetherUseTheLimitAndNoMore(t *testing.T) {
	for _, entries := range []int{1, 10, 100, 1000} {
		for _, rate := range []pkid.RequestRate{0, 1, 12.4, 200} {
			t.Run(fmt.Sprint(entries, " entries, ", rate, " a second"), func(t *testing.T) {
				f := newFleet(entries, 1)
				f.name(start, rate)
				const lasts = 60 * time.Second
				for now := start; now.Sub(start) < lasts; now = now.Add(step) {
					for i := range f.tables {
						f.send(now, i, 100, entries)
					}
				}
				f.assertWithinLimit(t, rate)
				used := float64(len(f.sent)) / (float64(max(rate, minRate)) * lasts.Seconds())
				t.Logf("used %.2f, at most %d in a window", used, f.mostInWindow())
				assert.Assert(t, rate < 1 || used >= 0.6, "used %.2f of the limit", used)
			})
		}
	}
}

// Guards against a rush after a calm: what entries without requests did not use must not reach the
// target all at once.
func TestUnusedPermitsAreNotSavedUp(t *testing.T) {
	for _, entries := range []int{1, 10, 100, 1000} {
		for _, rate := range []pkid.RequestRate{1, 12.4, 200} {
			for seed := range uint64(20) {
				f := newFleet(entries, seed)
				f.name(start, rate)
				for now := start.Add(time.Minute); now.Sub(start) < 70*time.Second; now = now.Add(step) {
					for i := range f.tables {
						f.send(now, i, 100, entries)
					}
				}
				f.assertWithinLimit(t, rate)
			}
		}
	}
}

// Guards against a limit that is exceeded while entries come and go: each counts more or fewer
// others than there are for a moment, and one that has restarted begins anew.
func TestLimitHoldsWhileEntriesRestart(t *testing.T) {
	const entries, rate = 8, 12.4
	for seed := range uint64(20) {
		f := newFleet(entries, seed)
		f.name(start, rate)
		for now := start; now.Sub(start) < time.Minute; now = now.Add(step) {
			if restarted := int(now.Sub(start) / step); restarted%250 == 0 {
				i := restarted / 250 % entries
				f.tables[i] = Table{}
				f.tables[i].Record("a", 0, perSecond(rate), now)
			}
			for i := range f.tables {
				f.send(now, i, 100, entries)
			}
		}
		f.assertWithinLimit(t, rate)
	}
}

// Guards against entries that are cut off from one another: each keeps to its share of the entries
// that it last counted.
func TestLimitHoldsWithoutNewsOfOthers(t *testing.T) {
	const entries = 100
	f := newFleet(entries, 3)
	f.name(start, 12.4)
	for now := start; now.Sub(start) < time.Minute; now = now.Add(step) {
		for i := range entries / 2 {
			f.send(now, i, 100, entries)
		}
	}
	f.assertWithinLimit(t, 12.4)
}

// Guards against a change of the limit that takes effect a whole old interval later, and against
// one that lets through what the old limit has saved.
func TestChangedLimitTakesEffect(t *testing.T) {
	var table Table
	s := Share{Entries: 8, Place: 0.5}
	table.Record("a", 0, perSecond(1), start)
	slow := table.Wait(start, "a", 0, s)
	assert.Assert(t, slow > 0)
	table.Record("a", 0, perSecond(100), start.Add(time.Millisecond))
	fast := table.Wait(start, "a", 0, s)
	assert.Assert(t, fast > 0 && fast <= slow/50, "%v, before %v", fast, slow)
	table.Record("a", 0, Limit{}, start.Add(2*time.Millisecond))
	assert.Equal(t, table.Wait(start, "a", 0, s), time.Duration(0))
	assert.Assert(t, table.Take(start, "a", 0, s))
}

// Guards against arithmetic that overflows with the rates and counts that a sick target or a wrong
// count can give.
func TestExtremeRatesAndCounts(t *testing.T) {
	for _, entries := range []int{-1, 0, 1, 1 << 40} {
		last := maxInterval
		for _, rate := range []pkid.RequestRate{0, 1e-300, 1e-9, 1, 1e18, 1e300} {
			var table Table
			s := Share{Entries: entries, Place: 0.99}
			assert.Assert(t, 0 < s.interval(rate) && s.interval(rate) <= last)
			last = s.interval(rate)
			table.Record("a", 0, perSecond(rate), start)
			for _, after := range []time.Duration{0, time.Second, time.Hour, 24 * time.Hour} {
				now := start.Add(after)
				wait := table.Wait(now, "a", 0, s)
				assert.Assert(t, wait >= 0)
				table.Take(now.Add(wait), "a", 0, s)
			}
		}
	}
}

// Guards against a limit that is exceeded where most or all entries restart several times within one
// window: what their earlier processes have sent still counts.
func TestLimitHoldsWhileMostEntriesRestartAtOnce(t *testing.T) {
	const every, rounds = 700 * time.Millisecond, 12
	for _, entries := range []int{1, 10, 100, 1000} {
		for _, rate := range []pkid.RequestRate{1, 12.4, 200} {
			for _, part := range []float64{0.6, 1} {
				t.Run(fmt.Sprint(entries, " entries, ", rate, " a second, ", part), func(t *testing.T) {
					f := newFleet(entries, 5)
					f.name(start, rate)
					random := rand.New(rand.NewPCG(6, 7))
					for now := start; now.Sub(start) < rounds*every; now = now.Add(step) {
						for i := range f.tables {
							if now.Sub(start)%every == 0 && random.Float64() < part {
								f.tables[i] = Table{}
								f.tables[i].Record("a", 0, perSecond(rate), now)
							}
							f.send(now, i, 100, entries)
						}
					}
					f.assertWithinLimit(t, rate)
				})
			}
		}
	}
}
