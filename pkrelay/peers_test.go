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

// Guards against requests that go to entries of unknown condition, which may be cut off as well, while others are known
// to be in order.
func TestConfirmedEntriesComeFirst(t *testing.T) {
	var p Peers
	unknown, far := Peer{ID: "unknown", Near: true}, Peer{ID: "far", Confirmed: true}
	for range 10 {
		one, found := p.Choose(start, []Peer{unknown, far})
		assert.Assert(t, found)
		assert.Equal(t, one, far)
		p.Begin(one.ID)
	}
	p.Avoid(start, far.ID)
	one, _ := p.Choose(start, []Peer{unknown, far})
	assert.Equal(t, one, unknown)
}

// Guards against an entry that gets requests every second for as long as it passes them back: it is the one with the
// fewest in progress.
func TestEntryThatPassesBackIsAskedLessAndLess(t *testing.T) {
	var p Peers
	candidates := []Peer{{ID: "cut", Near: true}}
	asked := 0
	for at := time.Duration(0); at < 32*avoidTime; at += 10 * time.Millisecond {
		if _, found := p.Choose(start.Add(at), candidates); found {
			asked++
			p.Avoid(start.Add(at), "cut")
			p.Avoid(start.Add(at), "cut") // a request at the same time
		}
	}
	assert.Assert(t, asked >= 4 && asked <= 7, "asked %d times", asked)
	end := start.Add(time.Hour)
	p.Served("cut")
	p.Avoid(end, "cut")
	_, found := p.Choose(end.Add(avoidTime), candidates)
	assert.Assert(t, found, "it has served since")
}

// Guards against an entry that refuses requests for their callers and gets all that follow, since it has none in progress.
func TestEntryThatRefusesGetsNoMoreThanItsShare(t *testing.T) {
	const requests = 400
	var p Peers
	candidates := []Peer{{ID: "sheds", Near: true, Confirmed: true}, {ID: "one", Near: true, Confirmed: true}, {ID: "two", Near: true, Confirmed: true}}
	refused := 0
	var ends []func()
	for i := range requests {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		one, found := p.Choose(now, candidates)
		assert.Assert(t, found)
		end := p.Begin(one.ID)
		if one.ID == "sheds" {
			refused++
			end()
			p.Refused(now, one.ID)
			continue
		}
		if ends = append(ends, end); len(ends) > 60 { // each takes 0.9 s
			ends[0]()
			ends = ends[1:]
		}
	}
	assert.Assert(t, refused <= requests/3+requests/20, "%d of %d refused", refused, requests)
}
