package pklayers

import (
	"cmp"
	"slices"
	"time"

	"peridotknot.example/pkid"
)

const (
	// fastWithin says how much slower than the fastest engines others may be to stand in a
	// row with them: a token passes a row as fast as the sum of its parts, so one slow part
	// takes away what the fast ones bring.
	fastWithin = 4
	// slowShare is what room of slow engines counts for a fast one: it decides between
	// layers that fast engines hold alike.
	slowShare = 0.01
	// coldShare is the share of engines that hold layers below which a pool is
	// taken as new and is planned as a whole.
	coldShare = 0.25
	// engineRequests is how many requests of usual size an engine should have room for
	// beside its layers where the pool does not declare its engines' memory for tokens.
	engineRequests = 100
	// layerShare is the share of an engine's memory for layers where nothing is declared: what
	// the usual room leaves to them on most accelerators.
	layerShare = 0.7
	// leastRoomShare is the share of the usual room that an engine keeps where layers would else
	// be held by none: some ten requests.
	leastRoomShare = 0.1
	// farShare is what room outside an engine's own group counts for: a path that goes there
	// and back sends its prompt through two pipes.
	farShare = 0.1
	// moveShare is the share below which an engine is moved to the layers with the least.
	// The pool takes no more than these do: after five of 39 engines had left, it refused a
	// quarter of all requests while the mean engine stood half empty.
	moveShare = 0.7
	// steadyTime is how long none must have come or gone before engines are moved:
	// one that crashed is back within five seconds, and moving others meanwhile cost
	// more than it brought.
	steadyTime = 5 * time.Second
	// urgentShare is the share below which a layer does not wait for that: two engines that
	// left at one moment took two of three copies of some layers with them, and the pool
	// refused a third of all requests for ten seconds.
	urgentShare = 0.5
	// urgentTime is how long none must have come or gone even then, so that those that
	// leave together are seen together.
	urgentTime = time.Second
	// moveGain is by how much a move must lower what layers lack to be worth a load.
	moveGain = 1.08
	// wholeShare is the share of the room of a new layout that each layer of a whole group
	// has.
	wholeShare = 0.75
)

// Card is one engine as the plan sees it.
type Card struct {
	ID         pkid.TargetID
	DataCenter pkid.DataCenter
	Kind       pkid.Kind
	// Held is what it holds, or was ordered to hold and is loading.
	Held pkid.Range
	// Fresh says that it came so lately that what it replaces may not have left yet.
	Fresh bool
}

// Plan returns the layers that engines should hold where that differs from what
// they hold. Engines that are leaving must not be among the cards.
//
// A pool that holds next to nothing is laid out as a whole. Later plans move nothing
// that is right: they give empty engines the layers with the least room. A pool that has
// been quiet, in which none came or went for some time, moves one engine at a time where that
// raises the least room; each load takes an engine's time for seconds. Layers that none holds
// are taken by the engines beside them, or the pool is laid out anew.
func Plan(m *Model, cards []Card, quiet time.Duration) map[pkid.TargetID]pkid.Range {
	live := slices.Clone(cards)
	live = slices.DeleteFunc(live, func(c Card) bool { return m.Most(c.Kind) == 0 })
	slices.SortFunc(live, func(a, b Card) int { return cmp.Compare(a.ID, b.ID) })
	if len(live) == 0 || m.Layers == 0 {
		return nil
	}
	held := 0
	for i := range live {
		if live[i].Held.Len() > 0 {
			held++
		}
	}
	if float64(held) < coldShare*float64(len(live)) {
		return layOut(m, live)
	}
	p := newPool(m, live)
	out := fillEmpty(p)
	if len(out) == 0 && quiet >= urgentTime && p.missing() {
		return restore(p)
	}
	for g := range p.groups {
		if len(out) == 0 {
			rebalance(p, g, out, quiet)
		}
	}
	return out
}
