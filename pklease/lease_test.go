package pklease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

var start = time.Unix(1000, 0)

var terms = Terms{TTL: 10 * time.Second, Margin: 2 * time.Second}

// The answer to a grant is slow. The store counts from when it wrote the lease,
// which was before the answer; an owner that counted from the answer would act
// in time that it does not have, beside the next owner.
func TestCountsFromBeforeTheRequest(t *testing.T) {
	l := Lease{Terms: terms}
	assert.Assert(t, !l.MayAct(start))
	l.Began(start, 7)
	assert.Assert(t, l.MayAct(start.Add(7999*time.Millisecond)))
	assert.Assert(t, !l.MayAct(start.Add(8*time.Second)))
	l.Renewed(start.Add(5 * time.Second))
	l.Renewed(start.Add(3 * time.Second)) // an answer that was overtaken
	assert.Assert(t, l.MayAct(start.Add(12*time.Second)))
	l.Lost()
	l.Renewed(start.Add(6 * time.Second))
	assert.Assert(t, !l.MayAct(start.Add(6*time.Second)))
}

// guards are the safeguards of the hand-over; the model below takes them away
// one at a time to see that each is needed.
type guards struct {
	// fenced: targets refuse a lower number.
	fenced bool
	// wait: a new owner waits before it orders, where targets do not refuse.
	wait bool
	// recheck: the owner looks at its lease again right before it sends.
	recheck bool
	// reconcile: the owner reads back and orders again until it is met.
	reconcile bool
	// before: leases count from before the request.
	before bool
}

// target is an engine that holds what the last order it took says.
type target struct {
	fenced bool
	fence  pkid.Fence
	holds  string
}

func (e *target) take(fence pkid.Fence, wants string) {
	if e.fenced && fence < e.fence {
		return
	}
	e.fence = max(e.fence, fence)
	e.holds = wants
}

// world runs one interleaving: owner A plans an order and is paused; its lease
// ends; B takes over and orders; A wakes and its order travels.
type world struct {
	guards
	engine target
	// times of what happens, after start.
	answer, pause, travel, takeover time.Duration
	// stall is a pause behind the last look at the lease, with the order in
	// hand.
	stall time.Duration
}

// sent is an order on its way.
type sent struct {
	at    time.Time
	fence pkid.Fence
	wants string
}

func (w *world) run() string {
	a := Lease{Terms: terms}
	counted := start
	if !w.before {
		counted = start.Add(w.answer)
	}
	a.Began(counted, 1)
	var orders []sent
	checked := start.Add(w.answer)
	if a.MayAct(checked) {
		at := checked.Add(w.pause)
		if !w.recheck || a.MayAct(at) {
			orders = append(orders, sent{at: at.Add(w.stall + w.travel), fence: 1, wants: "old"})
		}
	}
	// The store ends A's lease TTL after it wrote it, at start at the latest.
	began := start.Add(terms.TTL + w.takeover)
	b := Lease{Terms: terms}
	b.Began(began, 2)
	first := began
	for !b.MayOrder(first, w.fenced || !w.wait) {
		first = first.Add(100 * time.Millisecond)
	}
	orders = append(orders, sent{at: first, fence: 2, wants: "new"})
	if w.reconcile {
		// B reads back now and then for as long as it owns the pool.
		for round := time.Second; round < time.Minute; round += time.Second {
			orders = append(orders, sent{at: first.Add(round), fence: 2, wants: "new"})
		}
	}
	w.engine.fenced = w.fenced
	for len(orders) > 0 {
		next := 0
		for i, o := range orders {
			if o.at.Before(orders[next].at) {
				next = i
			}
		}
		w.engine.take(orders[next].fence, orders[next].wants)
		orders = append(orders[:next], orders[next+1:]...)
	}
	return w.engine.holds
}

// count runs every interleaving of the model and counts those that end with
// the old owner's order.
func count(g guards) (wrong, all int) {
	steps := []time.Duration{0, time.Second, 3 * time.Second, 7 * time.Second, 9 * time.Second, 11 * time.Second, 30 * time.Second}
	travels := []time.Duration{0, 500 * time.Millisecond, 1900 * time.Millisecond}
	for _, answer := range steps[:4] {
		for _, pause := range steps {
			for _, travel := range travels {
				for _, takeover := range []time.Duration{0, time.Second, 5 * time.Second} {
					for _, stall := range steps {
						w := world{guards: g, answer: answer, pause: pause, travel: travel, takeover: takeover, stall: stall}
						all++
						if w.run() != "new" {
							wrong++
						}
					}
				}
			}
		}
	}
	return wrong, all
}

// An owner is paused between its check and its order, for any time; another
// takes the pool over and orders something newer; the old order arrives. In the
// end the engine must hold what the new owner wants, in every interleaving,
// whether engines refuse old numbers or not. Taking a safeguard away must show.
func TestHandOverInAllInterleavings(t *testing.T) {
	cases := []struct {
		name string
		guards
		holds bool
	}{
		{"engines refuse old numbers", guards{fenced: true, before: true}, true},
		{"engines ignore numbers, all safeguards", guards{wait: true, recheck: true, reconcile: true, before: true}, true},
		{"engines ignore numbers, nothing is reread", guards{wait: true, recheck: true, before: true}, false},
		{"engines ignore numbers, no wait and no reread", guards{recheck: true, before: true}, false},
		{"mutation: counted from the answer, no reread", guards{wait: true, recheck: true}, false},
		{"mutation: no safeguard", guards{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			wrong, all := count(c.guards)
			assert.Equal(t, wrong == 0, c.holds, fmt.Sprintf("%d of %d interleavings end with the old order", wrong, all))
		})
	}
}
