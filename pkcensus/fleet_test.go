package pkcensus

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkrate"
	"peridotknot.example/pkretry"
)

var fleetSeeds = flag.Int("fleet.seeds", 20, "number of seeds that the model of a fleet plays for each size")

const (
	fleetStep   = 100 * time.Millisecond
	fleetWindow = 10 * time.Second
	fleetTime   = 120 * time.Second
	fleetRatio  = 0.2
	fleetLease  = 4 * time.Second
	// renewSteps and messageSteps are the steps between two renewals of a lease and two messages.
	renewSteps, messageSteps = 10, 3
)

// fleetEntry is one entry of a model of a fleet.
type fleetEntry struct {
	id       pkid.EntryID
	census   Census
	standing Standing
	budget   pkretry.Budget
	// cutOff is set while the entry does not reach the store, group is with whom it exchanges messages.
	cutOff bool
	group  int
	// stoppedUntil is when the process goes on, waiting are the requests that wait for it.
	stoppedUntil time.Time
	waiting      int
	// knows is set once the process has a configuration, leaseUntil is when its lease ends.
	knows      bool
	leaseUntil time.Time
}

// fleet is a model of entries whose requests all want a retry, with a store that registers them.
type fleet struct {
	random  *rand.Rand
	slack   float64
	entries []*fleetEntry
	// away is set while nobody reaches the store.
	away              bool
	requests, retries []float64
}

func newFleet(seed uint64, entries int, slack float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, uint64(entries))), slack: slack}
	for i := range entries {
		e := &fleetEntry{id: pkid.EntryID(fmt.Sprintf("e-%d", i))}
		e.standing.Start(epoch, epoch)
		f.entries = append(f.entries, e)
	}
	return f
}

func (f *fleet) reachesStore(e *fleetEntry) bool { return !f.away && !e.cutOff }

// followStore renews the lease of an entry and reads which entries are registered.
func (f *fleet) followStore(now time.Time, e *fleetEntry, step int) {
	if !f.reachesStore(e) {
		return
	}
	if step%renewSteps == 0 || !now.Before(e.leaseUntil) {
		e.leaseUntil = now.Add(fleetLease)
		e.standing.Confirm(now, e.leaseUntil, fleetWindow)
	}
	if !e.knows || !e.census.listed {
		e.census.BeginList(now)
	}
	e.knows = true
	e.census.Current(now)
	for _, other := range f.entries {
		switch {
		case now.Before(other.leaseUntil):
			e.census.Register(other.id)
		case e.census.WasRegistered(now, other.id, 0):
			e.census.Leave(now, other.id)
		}
	}
}

// exchange delivers the messages of an entry.
func (f *fleet) exchange(now time.Time, from *fleetEntry) {
	for _, to := range f.entries {
		if to != from && to.group == from.group && f.runs(now, to) {
			to.census.Hear(now, from.id, from.census.Report(now, from.id, fleetWindow))
			to.knows = to.knows || from.knows
		}
	}
}

func (f *fleet) runs(now time.Time, e *fleetEntry) bool { return !now.Before(e.stoppedUntil) }

// live returns the number of entries that an entry has had a message from shortly before now.
func (e *fleetEntry) live(now time.Time) int {
	n := 0
	for _, m := range e.census.heard {
		if now.Sub(m.at) < 1500*time.Millisecond {
			n++
		}
	}
	return n
}

func (f *fleet) limits(now time.Time, e *fleetEntry) pkretry.Limits {
	e.standing.Run(now, now, fleetWindow)
	return pkretry.Limits{
		Ratio: fleetRatio, Slack: f.slack, Window: fleetWindow,
		Share:   pkrate.Share{Entries: e.census.Sharing(now, e.id, Retention(fleetWindow))},
		Started: e.standing.Started(), SharesSince: e.standing.SharesSince(now, fleetWindow),
	}
}

// serve lets an entry serve its requests with as many retries as it may use, and returns their number.
func (f *fleet) serve(now time.Time, e *fleetEntry) float64 {
	if !e.knows {
		e.waiting = 0 // refused
		return 0
	}
	l := f.limits(now, e)
	for range e.waiting {
		e.budget.RecordRequest(now, l)
	}
	e.waiting = 0
	n := 0.0
	for c := e.budget.Charge(now, l); c != nil; c = e.budget.Charge(now, l) {
		c.Settle(now, fleetWindow)
		n++
	}
	return n
}

func (f *fleet) step(now time.Time, step int) {
	f.requests, f.retries = append(f.requests, 0), append(f.retries, 0)
	for _, e := range f.entries {
		arrived := int(1.5 + f.random.Float64())
		e.waiting += arrived
		f.requests[step] += float64(arrived)
		if !f.runs(now, e) {
			continue
		}
		e.standing.Run(now, now, fleetWindow)
		f.followStore(now, e, step)
		if (step+len(e.id))%messageSteps == 0 {
			f.exchange(now, e)
		}
		if e.live(now)+1 >= e.census.Sharing(now, e.id, Retention(fleetWindow)) && e.census.IsComplete(now, Retention(fleetWindow)) {
			e.standing.Confirm(now, now, fleetWindow)
		}
		f.retries[step] += f.serve(now, e)
	}
}

// fault does one random thing to a random part of the fleet.
func (f *fleet) fault(now time.Time) {
	part := f.random.Float64()
	kind := f.random.IntN(8)
	span := time.Duration(f.random.Float64() * float64(40*time.Second))
	switch kind {
	case 0:
		f.away = true
	case 1, 2:
		f.away = false
		for _, e := range f.entries {
			e.cutOff, e.group = false, 0
		}
	}
	for _, e := range f.entries {
		if f.random.Float64() > part {
			continue
		}
		switch kind {
		case 3:
			e.cutOff = !e.cutOff
		case 4:
			e.stoppedUntil = now.Add(span)
		case 5, 6: // killed and started again
			*e = fleetEntry{id: e.id, cutOff: e.cutOff, group: e.group, leaseUntil: e.leaseUntil}
			e.standing.Start(now, now)
		case 7:
			e.group, e.cutOff = 1+f.random.IntN(2), true
		}
	}
}

// excess returns by how many retries the window that ends with the last step exceeds the bound.
func (f *fleet) excess() float64 {
	steps := int(fleetWindow / fleetStep)
	sum := func(all []float64, before int) float64 {
		end, total := max(len(all)-before, 0), 0.0
		for _, n := range all[max(end-steps, 0):end] {
			total += n
		}
		return total
	}
	requests := max(sum(f.requests, 0), sum(f.requests, steps/2), sum(f.requests, steps))
	return sum(f.retries, 0) - (fleetRatio*requests + f.slack)
}

// Guards against retries beyond the bound of a fleet in any order of starts, standstills, outages of the store and cuts of
// entries from it and from one another.
func TestFleetStaysWithinItsBound(t *testing.T) {
	for _, entries := range []int{2, 4, 8, 12} {
		for seed := range uint64(*fleetSeeds) {
			t.Run(fmt.Sprintf("%d entries, seed %d", entries, seed), func(t *testing.T) {
				t.Parallel()
				f := newFleet(seed, entries, 200)
				most, at := -f.slack, time.Duration(0)
				for step := range int(fleetTime / fleetStep) {
					now := epoch.Add(time.Duration(step) * fleetStep)
					if step > 200 && f.random.Float64() < 0.02 {
						f.fault(now)
					}
					f.step(now, step)
					if over := f.excess(); over > most {
						most, at = over, now.Sub(epoch)
					}
				}
				assert.Assert(t, most <= 0, "%v retries beyond the bound in the window until %s", most, at)
			})
		}
	}
}
