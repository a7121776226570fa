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

// safeguards are the precautions at a change of owner. The test also disables some of them.
type safeguards struct {
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

// target is an engine that holds the layers of the last order it accepted.
type target struct {
	fenced bool
	fence  pkid.FencingToken
	held   string
}

func (t *target) accept(fence pkid.FencingToken, layers string) {
	if t.fenced && fence < t.fence {
		return
	}
	t.fence = max(t.fence, fence)
	t.held = layers
}

// scenario is one interleaving: owner A plans an order and is paused; its lease ends; B takes over
// and orders; A resumes and its order arrives.
type scenario struct {
	safeguards
	engine target
	// The durations between the events, from start on.
	reply, pause, latency, takeover time.Duration
	// stall is a pause between the last check of the lease and the sending of the order.
	stall time.Duration
}

// inFlight is an order on its way to the engine.
type inFlight struct {
	at     time.Time
	fence  pkid.FencingToken
	layers string
}

func (s *scenario) run() string {
	a := Lease{Terms: terms}
	measuredFrom := start
	if !s.fromRequest {
		measuredFrom = start.Add(s.reply)
	}
	a.Granted(measuredFrom, 1)
	var orders []inFlight
	checked := start.Add(s.reply)
	if a.MayAct(checked) {
		at := checked.Add(s.pause)
		if !s.recheck || a.MayAct(at) {
			orders = append(orders, inFlight{at: at.Add(s.stall + s.latency), fence: 1, layers: "old"})
		}
	}
	// The store ends A's lease no earlier than its TTL after start.
	grantedAt := start.Add(terms.TTL + s.takeover)
	b := Lease{Terms: terms}
	b.Granted(grantedAt, 2)
	first := grantedAt
	for !b.MayOrder(first, s.fenced || !s.wait) {
		first = first.Add(100 * time.Millisecond)
	}
	orders = append(orders, inFlight{at: first, fence: 2, layers: "new"})
	if s.reconcile {
		// B reads back periodically for as long as it owns the pool.
		for round := time.Second; round < time.Minute; round += time.Second {
			orders = append(orders, inFlight{at: first.Add(round), fence: 2, layers: "new"})
		}
	}
	s.engine.fenced = s.fenced
	for len(orders) > 0 {
		next := 0
		for i, o := range orders {
			if o.at.Before(orders[next].at) {
				next = i
			}
		}
		s.engine.accept(orders[next].fence, orders[next].layers)
		orders = append(orders[:next], orders[next+1:]...)
	}
	return s.engine.held
}

// count runs every interleaving and counts those that end with the old owner's order.
func count(g safeguards) (wrong, all int) {
	steps := []time.Duration{0, time.Second, 3 * time.Second, 7 * time.Second, 9 * time.Second, 11 * time.Second, 30 * time.Second}
	latencies := []time.Duration{0, 500 * time.Millisecond, 1900 * time.Millisecond}
	for _, reply := range steps[:4] {
		for _, pause := range steps {
			for _, latency := range latencies {
				for _, takeover := range []time.Duration{0, time.Second, 5 * time.Second} {
					for _, stall := range steps {
						s := scenario{safeguards: g, reply: reply, pause: pause, latency: latency, takeover: takeover, stall: stall}
						all++
						if s.run() != "new" {
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
		safeguards
		safe bool
	}{
		{"engines reject old tokens", safeguards{fenced: true, fromRequest: true}, true},
		{"engines ignore tokens, all safeguards", safeguards{wait: true, recheck: true, reconcile: true, fromRequest: true}, true},
		{"engines ignore tokens, no reconciliation", safeguards{wait: true, recheck: true, fromRequest: true}, false},
		{"engines ignore tokens, no wait and no reconciliation", safeguards{recheck: true, fromRequest: true}, false},
		{"mutation: measured from the reply, no reconciliation", safeguards{wait: true, recheck: true}, false},
		{"mutation: no safeguards", safeguards{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			wrong, all := count(c.safeguards)
			assert.Equal(t, wrong == 0, c.safe, fmt.Sprintf("%d of %d interleavings end with the old order", wrong, all))
		})
	}
}
