package pkshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkstore"
)

var start = time.Unix(1000, 0)

func said(from pkid.EntryID, sequence uint64, list pkstore.Revision, tokens float32) Message {
	return Message{From: from, Addr: string(from), Run: 1, Sequence: sequence, Config: list, List: list, Loads: []Load{{Target: "t", Requests: 1, Tokens: tokens}}}
}

// All entries start again at once and their callers come back together. None has
// heard of another yet. Each must take the rest to do as it does itself, or the
// cheapest path gets the callers of all.
func TestLoadsOfSilentMembersAreGuessed(t *testing.T) {
	var table Table
	own := map[pkid.TargetID]pkreplica.Load{"t": {Requests: 1, Tokens: 100}}
	assert.Equal(t, table.Others(start, 4, own)["t"], pkreplica.Load{Requests: 3, Tokens: 300})
	assert.Equal(t, table.Flow(start, 4, "a", "b", 10), 30.0)
	table.Hear(start, said("b", 1, 1, 100))
	assert.Equal(t, table.Others(start, 2, own)["t"], pkreplica.Load{Requests: 1, Tokens: 100})
	assert.Equal(t, table.Others(start, 4, own)["t"], pkreplica.Load{Requests: 3, Tokens: 300})
	assert.Equal(t, table.Others(start, 4, nil)["t"], pkreplica.Load{Requests: 2, Tokens: 200})
	assert.Equal(t, len(table.Others(start.Add(freshFor), 2, nil)), 0, "what is old no longer counts")
}

// A connection is replaced, and a message that waited in the old one comes last.
// Loads that have ended would count again until the next message.
func TestAnOlderMessageIsPassedOver(t *testing.T) {
	var table Table
	assert.Assert(t, table.Hear(start, said("b", 2, 1, 10)))
	assert.Assert(t, !table.Hear(start, said("b", 1, 1, 99)))
	assert.Equal(t, table.Others(start, 2, nil)["t"].Tokens, 10.0)
	restarted := said("b", 1, 1, 5)
	restarted.Run = 2
	assert.Assert(t, table.Hear(start, restarted))
	assert.Equal(t, table.Others(start, 2, nil)["t"].Tokens, 5.0)
}

// The store turns one entry away while a key is revoked and a replica leaves. It
// would serve the key and send to the replica until the store takes it back; the
// others know better and two of them must tell it, once.
func TestAnEntryThatIsBehindIsHelped(t *testing.T) {
	var table Table
	table.Hear(start, said("z", 1, 5, 0))
	table.Hear(start, said("b", 1, 9, 0))
	table.Hear(start, said("c", 1, 9, 0))
	known := func(self pkid.EntryID) Known { return Known{Self: self, Config: 9, List: 9} }
	assert.Equal(t, table.Misses(start, "z", known("a")), Help{}, "the store may still tell it")
	later := start.Add(missesFor)
	assert.Equal(t, table.Misses(later, "z", known("a")), Help{Config: true, List: true, After: 5})
	assert.Equal(t, table.Misses(later, "z", known("a")), Help{}, "it was told")
	table.Reconnected("z")
	assert.Equal(t, table.Misses(later, "z", known("d")), Help{}, "two others are first by name")
	assert.Equal(t, table.Misses(later, "b", known("a")), Help{})
}

// An entry finds out whether it alone was turned away by the store. An entry that says that it
// follows the list, and said so before the store was lost, has been served meanwhile; one that began
// since, that lost it too, or that is not heard of any more says nothing.
func TestWhoFollowedTheListAllTheWhile(t *testing.T) {
	lost := time.Unix(1000, 0)
	now := lost.Add(time.Second)
	for _, row := range []struct {
		name     string
		said     []bool
		first    time.Duration
		followed bool
	}{
		{"served all the while", []bool{true, true, true, true}, -time.Second, true},
		{"back before this entry", []bool{true, false, true, true}, -time.Second, false},
		{"away still", []bool{true, true, true, false}, -time.Second, false},
		{"began since", []bool{true, true}, 500 * time.Millisecond, false},
		{"not heard of", []bool{true}, -time.Second, false},
	} {
		var table Table
		for i, following := range row.said {
			at := lost.Add(row.first + time.Duration(i)*600*time.Millisecond)
			table.Hear(at, Message{From: "p", Run: 1, Sequence: uint64(i + 1), Following: following})
		}
		assert.Equal(t, table.Followed(now, lost), row.followed, row.name)
	}
}
