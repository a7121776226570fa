package pkretry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkrate"
)

// stopFleet is a fleet whose entries send all retries to targets that stand still for a time and then receive them.
type stopFleet struct {
	fleet
	stopped bool
	// waiting counts the retries that have yet to arrive.
	waiting float64
}

func (f *stopFleet) run(now time.Time) {
	sent := len(f.retries)
	f.fleet.run(now)
	for i := range f.processes {
		p := &f.processes[i]
		for target := range 3 {
			id := pkid.TargetID(fmt.Sprint(target))
			p.budget.Await(now, id)
			if !f.stopped {
				p.budget.Confirm(now, fleetWindow, id)
			}
		}
	}
	f.waiting += f.retries[sent]
	f.retries[sent] = 0
	if !f.stopped {
		f.retries[sent], f.waiting = f.waiting, 0
	}
}

// suspend records that the retries of a step, which went to targets that stand still, were given up.
func (f *stopFleet) suspend(now time.Time, before []float64) {
	if !f.stopped {
		return
	}
	for i := range f.processes {
		b, l := &f.processes[i].budget, f.limits(i)
		for n := b.chargedRetries(now, l) - before[i]; n >= 1; n-- {
			b.Suspend(now, fleetWindow, "0")
		}
	}
}

// chargedRetries returns the retries in the current bucket.
func (b *Budget) chargedRetries(now time.Time, l Limits) float64 { return b.bucket(now, l).retries }

// Guards against processes whose predecessors were killed with retries on their way to targets that stand still, and that
// use their share again before those arrive.
func TestRestartedEntriesStayWithinTheBoundWhileTargetsStandStill(t *testing.T) {
	for name, killed := range map[string]float64{"all": 1, "most": 0.6} {
		for entries, slack := range map[int]float64{1: 200, 10: 220, 100: 400, 1000: 2200} {
			t.Run(fmt.Sprintf("%s of %d entries", name, entries), func(t *testing.T) {
				t.Parallel()
				f := &stopFleet{fleet: fleet{random: rand.New(rand.NewPCG(1, uint64(entries))), slack: slack, processes: make([]process, entries)}}
				began, most := time.Unix(1_000_000, 0), 0.0
				for passed := time.Duration(0); passed < 100*time.Second; passed += fleetStep {
					now := began.Add(passed)
					f.stopped = passed >= 20*time.Second && passed < 55*time.Second
					if passed == 32*time.Second {
						for i := range f.processes {
							if f.random.Float64() < killed {
								f.restart(now, i)
							}
						}
					}
					before := make([]float64, entries)
					for i := range before {
						before[i] = f.processes[i].budget.chargedRetries(now, f.limits(i))
					}
					f.run(now)
					f.suspend(now, before)
					most = max(most, f.excess())
				}
				assert.Assert(t, most <= 0, "%v retries beyond the bound in a window", most)
			})
		}
	}
}

// Guards against a process that holds its retries back for long since some target was slow or has ended, or for targets
// that have answered it before.
func TestOnlyTargetsThatStandStillFromTheStartHoldRetriesBack(t *testing.T) {
	const window = 10 * time.Second
	started := time.Unix(1_000_000, 0)
	l := Limits{Slack: 100, Window: window, Share: pkrate.Share{Entries: 1}, Started: started}
	allowed := func(b *Budget, after time.Duration) float64 { return b.Usage(started.Add(after), l).Allowed }
	for name, row := range map[string]struct {
		faults func(b *Budget)
		at     time.Duration
		want   float64
	}{
		"silent from the start":  {func(b *Budget) { b.Await(started, "a") }, 30 * time.Second, 10},
		"silent for six windows": {func(b *Budget) { b.Await(started, "a") }, 60 * time.Second, 85},
		"slow": {func(b *Budget) {
			b.Await(started, "a")
			b.Confirm(started.Add(time.Second), window, "a")
		}, window, 85},
		"went on": {func(b *Budget) {
			b.Await(started, "a")
			b.Confirm(started.Add(30*time.Second), window, "a")
		}, 40 * time.Second, 10},
		"went on a window ago": {func(b *Budget) {
			b.Await(started, "a")
			b.Confirm(started.Add(30*time.Second), window, "a")
		}, 42 * time.Second, 85},
		"ended": {func(b *Budget) {
			b.Await(started, "a")
			b.Drop("a")
		}, 30 * time.Second, 85},
		"reset": {func(b *Budget) {
			b.Await(started, "a")
			b.Await(started, "b")
			b.StopAwaiting("a", "b")
		}, 30 * time.Second, 85},
		"silent after a reset": {func(b *Budget) {
			b.Await(started, "a")
			b.StopAwaiting("a")
			b.Await(started.Add(window), "a")
		}, 30 * time.Second, 10},
		"cut off": {func(b *Budget) {
			b.Await(started, "a")
			b.StopAwaiting()
		}, 30 * time.Second, 85},
		"silent after an answer": {func(b *Budget) {
			b.Await(started, "a")
			b.Confirm(started, window, "a")
			b.Await(started.Add(window), "a")
		}, 30 * time.Second, 85},
	} {
		t.Run(name, func(t *testing.T) {
			var b Budget
			row.faults(&b)
			assert.Equal(t, allowed(&b, row.at), row.want)
			b.RecordRequest(started.Add(pendingWindows*window), l)
			assert.Assert(t, b.inherited.ended && len(b.inherited.answered)+len(b.inherited.awaited) == 0)
		})
	}
}
