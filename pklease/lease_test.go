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

// A lease must be measured from before the request: an owner that measured it from a slow reply
// would act after the store had granted it to the next owner.
func TestLeaseIsMeasuredFromBeforeTheRequest(t *testing.T) {
	l := Lease{Terms: terms}
	assert.Assert(t, !l.MayAct(start))
	l.Granted(start, 7)
	assert.Assert(t, l.MayAct(start.Add(7999*time.Millisecond)))
	assert.Assert(t, !l.MayAct(start.Add(8*time.Second)))
	l.Renewed(start.Add(5 * time.Second))
	l.Renewed(start.Add(3 * time.Second)) // a reply that arrives out of order
	assert.Assert(t, l.MayAct(start.Add(12*time.Second)))
	l.Lost()
	l.Renewed(start.Add(6 * time.Second))
	assert.Assert(t, !l.MayAct(start.Add(6*time.Second)))
}

// guards are the safeguards of a change of owner. The test also disables some of them.
type guards struct {
	// fenced: targets reject a lower fencing token.
	fenced bool
	// wait: a new owner waits before it orders, where targets do not reject.
	wait bool
	// recheck: the owner checks its lease again right before it sends.
	recheck bool
	// reconcile: the owner reads back and orders again until the engine complies.
	reconcile bool
	// fromRequest: leases are measured from before the request.
	fromRequest bool
}

// target is an engine that holds what the last accepted order says.
type target struct {
	fenced bool
	fence  pkid.FencingToken
	holds  string
}

func (e *target) accept(fence pkid.FencingToken, wants string) {
	if e.fenced && fence < e.fence {
		return
	}
	e.fence = max(e.fence, fence)
	e.holds = wants
}

// scenario is one interleaving: owner A plans an order and is paused; its lease ends; B takes over
// and orders; A resumes and its order arrives.
type scenario struct {
	guards
	engine target
	// The durations between the events, from start on.
	reply, pause, latency, takeover time.Duration
	// stall is a pause between the last check of the lease and the sending of the order.
	stall time.Duration
}

// inFlight is an order on its way to the engine.
type inFlight struct {
	at    time.Time
	fence pkid.FencingToken
	wants string
}

func (w *scenario) run() string {
	a := Lease{Terms: terms}
	measuredFrom := start
	if !w.fromRequest {
		measuredFrom = start.Add(w.reply)
	}
	a.Granted(measuredFrom, 1)
	var orders []inFlight
	checked := start.Add(w.reply)
	if a.MayAct(checked) {
		at := checked.Add(w.pause)
		if !w.recheck || a.MayAct(at) {
			orders = append(orders, inFlight{at: at.Add(w.stall + w.latency), fence: 1, wants: "old"})
		}
	}
	// The store ends A's lease no earlier than its TTL after start.
	began := start.Add(terms.TTL + w.takeover)
	b := Lease{Terms: terms}
	b.Granted(began, 2)
	first := began
	for !b.MayOrder(first, w.fenced || !w.wait) {
		first = first.Add(100 * time.Millisecond)
	}
	orders = append(orders, inFlight{at: first, fence: 2, wants: "new"})
	if w.reconcile {
		// B reads back periodically for as long as it owns the pool.
		for round := time.Second; round < time.Minute; round += time.Second {
			orders = append(orders, inFlight{at: first.Add(round), fence: 2, wants: "new"})
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
		w.engine.accept(orders[next].fence, orders[next].wants)
		orders = append(orders[:next], orders[next+1:]...)
	}
	return w.engine.holds
}

// count runs every interleaving and counts those that end with the old owner's order.
func count(g guards) (wrong, all int) {
	steps := []time.Duration{0, time.Second, 3 * time.Second, 7 * time.Second, 9 * time.Second, 11 * time.Second, 30 * time.Second}
	latencies := []time.Duration{0, 500 * time.Millisecond, 1900 * time.Millisecond}
	for _, reply := range steps[:4] {
		for _, pause := range steps {
			for _, latency := range latencies {
				for _, takeover := range []time.Duration{0, time.Second, 5 * time.Second} {
					for _, stall := range steps {
						w := scenario{guards: g, reply: reply, pause: pause, latency: latency, takeover: takeover, stall: stall}
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

// An owner may be paused for any time between its check and its order, while another takes over.
// The engine must end with the new owner's order in every interleaving, with and without fencing.
// With safeguards disabled the model must find interleavings that end otherwise.
func TestOwnerChangeInAllInterleavings(t *testing.T) {
	cases := []struct {
		name string
		guards
		safe bool
	}{
		{"engines reject old tokens", guards{fenced: true, fromRequest: true}, true},
		{"engines ignore tokens, all safeguards", guards{wait: true, recheck: true, reconcile: true, fromRequest: true}, true},
		{"engines ignore tokens, no reconciliation", guards{wait: true, recheck: true, fromRequest: true}, false},
		{"engines ignore tokens, no wait and no reconciliation", guards{recheck: true, fromRequest: true}, false},
		{"mutation: measured from the reply, no reconciliation", guards{wait: true, recheck: true}, false},
		{"mutation: no safeguards", guards{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			wrong, all := count(c.guards)
			assert.Equal(t, wrong == 0, c.safe, fmt.Sprintf("%d of %d interleavings end with the old order", wrong, all))
		})
	}
}
