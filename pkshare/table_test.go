package pkshare

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkstore"
)

var start = time.Unix(1000, 0)

func newMessage(from pkid.EntryID, sequence uint64, list pkstore.Revision, tokens float32) Message {
	return Message{From: from, Addr: string(from), Run: 1, Sequence: sequence, Config: list, List: list, Loads: []Load{{Target: "t", Requests: 1, Tokens: tokens}}}
}

// After a simultaneous restart no entry has received a message from another. Each must assume that
// the others carry its own load, or all would choose the same path.
func TestLoadsOfSilentMembersAreExtrapolated(t *testing.T) {
	var table Table
	own := map[pkid.TargetID]pkreplica.Load{"t": {Requests: 1, Tokens: 100}}
	assert.Equal(t, table.PeerLoads(start, 4, own)["t"], pkreplica.Load{Requests: 3, Tokens: 300})
	assert.Equal(t, table.Flow(start, 4, "a", "b", 10), 30.0)
	table.Apply(start, newMessage("b", 1, 1, 100))
	assert.Equal(t, table.PeerLoads(start, 2, own)["t"], pkreplica.Load{Requests: 1, Tokens: 100})
	assert.Equal(t, table.PeerLoads(start, 4, own)["t"], pkreplica.Load{Requests: 3, Tokens: 300})
	assert.Equal(t, table.PeerLoads(start, 4, nil)["t"], pkreplica.Load{Requests: 2, Tokens: 200})
	assert.Equal(t, len(table.PeerLoads(start.Add(staleAfter), 2, nil)), 0, "stale loads are ignored")
}

// A late message from a replaced connection must not bring back loads that have ended.
func TestOlderMessageIsIgnored(t *testing.T) {
	var table Table
	assert.Assert(t, table.Apply(start, newMessage("b", 2, 1, 10)))
	assert.Assert(t, !table.Apply(start, newMessage("b", 1, 1, 99)))
	assert.Equal(t, table.PeerLoads(start, 2, nil)["t"].Tokens, 10.0)
	restarted := newMessage("b", 1, 1, 5)
	restarted.Run = 2
	assert.Assert(t, table.Apply(start, restarted))
	assert.Equal(t, table.PeerLoads(start, 2, nil)["t"].Tokens, 5.0)
}

// An entry that cannot reach the store could accept a revoked key or use a removed replica. Two
// others must send it the newer state, once.
func TestLaggingEntryIsSentCatchUp(t *testing.T) {
	var table Table
	table.Apply(start, newMessage("z", 1, 5, 0))
	table.Apply(start, newMessage("b", 1, 9, 0))
	table.Apply(start, newMessage("c", 1, 9, 0))
	local := func(self pkid.EntryID) LocalState { return LocalState{Self: self, Config: 9, List: 9} }
	assert.Equal(t, table.CatchUpFor(start, "z", local("a")), CatchUp{}, "the store may still serve it")
	later := start.Add(catchUpDelay)
	assert.Equal(t, table.CatchUpFor(later, "z", local("a")), CatchUp{Config: true, List: true, After: 5})
	assert.Equal(t, table.CatchUpFor(later, "z", local("a")), CatchUp{}, "already sent")
	table.Reconnected("z")
	assert.Equal(t, table.CatchUpFor(later, "z", local("d")), CatchUp{}, "two others have lower IDs")
	assert.Equal(t, table.CatchUpFor(later, "b", local("a")), CatchUp{})
}

// Only a live peer that has watched the list since before the store was lost shows that the store
// was available to others.
func TestFollowedSinceBeforeTheStoreWasLost(t *testing.T) {
	lost := time.Unix(1000, 0)
	now := lost.Add(time.Second)
	for _, row := range []struct {
		name      string
		following []bool
		first     time.Duration
		followed  bool
	}{
		{"without interruption", []bool{true, true, true, true}, -time.Second, true},
		{"interrupted and resumed", []bool{true, false, true, true}, -time.Second, false},
		{"interrupted", []bool{true, true, true, false}, -time.Second, false},
		{"began later", []bool{true, true}, 500 * time.Millisecond, false},
		{"stale", []bool{true}, -time.Second, false},
	} {
		var table Table
		for i, following := range row.following {
			at := lost.Add(row.first + time.Duration(i)*600*time.Millisecond)
			table.Apply(at, Message{From: "p", Run: 1, Sequence: uint64(i + 1), Following: following})
		}
		assert.Equal(t, table.FollowedSince(now, lost), row.followed, row.name)
	}
}

// Guards against requests passed on to entries of earlier builds, which do not take them, and to entries
// that are cut off as well.
func TestRelayMembers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var table Table
	table.Apply(now, Message{From: "able", Addr: "able", Sequence: 1, Relays: true})
	table.Apply(now, Message{From: "older", Addr: "older", Sequence: 1})
	table.Apply(now, Message{From: "cut", Addr: "cut", Sequence: 1, Relays: true, Impaired: []pkid.ServiceID{"s"}})
	known := []Member{{ID: "able", Addr: "able", Relays: true}, {ID: "cut", Addr: "cut", Relays: true}, {ID: "known", Addr: "known", Relays: true}, {ID: "older-known", Addr: "older-known"}}
	ids := func(at time.Time, s pkid.ServiceID) string {
		var out []string
		for _, m := range table.RelayMembers(at, Member{}, s, known) {
			out = append(out, string(m.ID))
		}
		slices.Sort(out)
		return strings.Join(out, " ")
	}
	assert.Equal(t, ids(now, "s"), "able known")
	assert.Equal(t, ids(now, "another"), "able cut known")
	assert.Equal(t, ids(now.Add(staleAfter), "s"), "known", "those who fell silent are not tried")
}
