package pkrelay

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

var start = time.Unix(1_000_000, 0)

// Guards against a herd on one entry: those that are cut off together must spread their requests
// over all that have links, in fleets of any size.
func TestEntriesThatAreCutOffSpreadTheirRequests(t *testing.T) {
	for _, size := range []struct{ cutOff, inOrder int }{{2, 6}, {6, 2}, {12, 46}, {200, 785}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			const requests = 40
			var candidates []Peer
			for i := range size.inOrder {
				candidates = append(candidates, Peer{ID: pkid.EntryID(fmt.Sprint(i)), Near: true})
			}
			got := map[pkid.EntryID]int{}
			for range size.cutOff {
				var p Peers
				for range requests {
					one, found := p.Choose(start, candidates)
					assert.Assert(t, found)
					p.Begin(one.ID)
					got[one.ID]++
				}
			}
			most := 0
			for _, n := range got {
				most = max(most, n)
			}
			mean := float64(size.cutOff*requests) / float64(size.inOrder)
			assert.Assert(t, float64(most) <= 2*mean+10, "%d requests at one entry, %v on average", most, mean)
		})
	}
}

// Guards against an entry that gets requests again and again although it has passed one back, and
// against requests to another data centre while one of this has room.
func TestChoiceOfAnEntry(t *testing.T) {
	var p Peers
	near, far := Peer{ID: "near", Near: true}, Peer{ID: "far"}
	for range 10 {
		one, found := p.Choose(start, []Peer{far, near})
		assert.Assert(t, found)
		assert.Equal(t, one, near)
		p.Begin(one.ID)
	}
	p.Avoid(start, near.ID)
	one, found := p.Choose(start, []Peer{far, near})
	assert.Assert(t, found)
	assert.Equal(t, one, far)
	p.Avoid(start, far.ID)
	_, found = p.Choose(start, []Peer{far, near})
	assert.Assert(t, !found)
	one, found = p.Choose(start.Add(avoidTime), []Peer{far, near})
	assert.Assert(t, found)
	assert.Equal(t, one, near)
	end := p.Begin("other")
	end()
	end()
	assert.Equal(t, p.inFlight["other"], 0)
}
