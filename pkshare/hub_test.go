package pkshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkstore"
)

// fleet simulates entries that exchange messages by role, one round at a time.
type fleet struct {
	now     time.Time
	members []Member
	tables  map[pkid.EntryID]*Table
	dead    map[pkid.EntryID]bool
	round   uint64
	// sent counts the messages of the last round by sender.
	sent map[pkid.EntryID]int
}

func newFleet(dataCenters, each int) *fleet {
	f := &fleet{now: start, tables: map[pkid.EntryID]*Table{}, dead: map[pkid.EntryID]bool{}}
	for dc := range dataCenters {
		for i := range each {
			id := pkid.EntryID(fmt.Sprintf("%c-%02d", 'a'+dc, i))
			m := Member{ID: id, Addr: string(id), DataCenter: pkid.DataCenter('a' + rune(dc)), ProcessorShare: 0.2}
			if i >= each-2 {
				m.ProcessorShare = 0.8
			}
			f.members = append(f.members, m)
			f.tables[id] = &Table{}
		}
	}
	return f
}

func (f *fleet) others(self pkid.EntryID) []Member {
	var out []Member
	for _, m := range f.members {
		if m.ID != self {
			out = append(out, m)
		}
	}
	return out
}

// runRound runs one round in which each entry holds one request of 10 tokens.
func (f *fleet) runRound() {
	f.round++
	f.now = f.now.Add(HubInterval)
	f.sent = map[pkid.EntryID]int{}
	type message struct {
		to pkid.EntryID
		m  Message
	}
	var all []message
	for _, self := range f.members {
		if f.dead[self.ID] {
			continue
		}
		t := f.tables[self.ID]
		own := Message{From: self.ID, Addr: self.Addr, DataCenter: self.DataCenter, Run: 1, Sequence: f.round}
		own.Loads = []Load{{Target: "t", Requests: 1, Tokens: 10}}
		own.Flows = []Flow{{A: "a", B: "b", Tokens: 10}}
		local, global := t.Sums(f.now, own)
		t.RecordSent(own)
		for addr, role := range t.Roles(f.now, self, f.others(self.ID)).ByAddr {
			m := own
			switch role {
			case Spoke:
				m.Loads, m.Flows, m.Sum = nil, nil, &global
			case RemoteHub:
				m.Loads, m.Flows, m.Sum = nil, nil, &local
			case Peer:
			}
			f.sent[self.ID]++
			all = append(all, message{pkid.EntryID(addr), m})
		}
	}
	for _, msg := range all {
		if !f.dead[msg.to] {
			f.tables[msg.to].Apply(f.now, msg.m)
		}
	}
}

func (f *fleet) live() int { return len(f.members) - len(f.dead) }

// check asserts that each live entry has the load of all others.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	own := map[pkid.TargetID]pkreplica.Load{"t": {Requests: 1, Tokens: 10}}
	want := 10 * float64(f.live()-1)
	for _, m := range f.members {
		if f.dead[m.ID] {
			continue
		}
		got := f.tables[m.ID].PeerLoads(f.now, f.live(), own)["t"].Tokens
		assert.Assert(t, math.Abs(got-want) < 0.5, "%s: tokens of others: got %v, want %v", m.ID, got, want)
		flow := f.tables[m.ID].Flow(f.now, f.live(), "b", "a", 10)
		assert.Assert(t, math.Abs(flow-want) < 0.5, "%s: tokens between data centres: got %v, want %v", m.ID, flow, want)
	}
}

func TestLoadsReachAllEntries(t *testing.T) {
	for _, row := range []struct{ dataCenters, each, maxSends int }{
		{3, 3, 8}, {3, 4, 11}, {2, 7, 8}, {3, 23, 26}, {4, 21, 26}, {17, 22, 54},
	} {
		f := newFleet(row.dataCenters, row.each)
		for range 4 {
			f.runRound()
		}
		f.check(t)
		for id, n := range f.sent {
			assert.Assert(t, n <= row.maxSends, "%d x %d: %s sends to %d entries", row.dataCenters, row.each, id, n)
		}
	}
}

// Entries without hubs would extrapolate the load of the fleet from their own and overload some
// engines. Failed hubs must be replaced without the store.
func TestSilentHubsAreReplaced(t *testing.T) {
	f := newFleet(3, 10)
	for range 4 {
		f.runRound()
	}
	for _, id := range []pkid.EntryID{"a-08", "a-09", "b-09"} {
		f.dead[id] = true
		for range int((hubGrace+staleAfter)/HubInterval) + 5 {
			f.runRound()
		}
		f.check(t)
	}
}

// An excluded hub must be used again once it recovers.
func TestRecoveredHubIsUsedAgain(t *testing.T) {
	f := newFleet(2, 8)
	for range 4 {
		f.runRound()
	}
	f.dead["a-07"] = true
	for range 20 {
		f.runRound()
	}
	delete(f.dead, "a-07")
	for range int((hubGrace+hubExclusion)/HubInterval) + 5 {
		f.runRound()
	}
	f.check(t)
	assert.Assert(t, f.sent["a-07"] > hubsPerDataCenter)
}

// Entries with hubs do not watch the replica list. A hub must send it to a lagging entry at once,
// whatever the others have, and again if the message was lost.
func TestHubSendsCatchUpRegardlessOfPeers(t *testing.T) {
	var table Table
	for i := range 4 {
		table.Apply(start, newMessage(pkid.EntryID(fmt.Sprint("a-", i)), 1, 9, 1))
	}
	table.Apply(start, newMessage("late", 1, 5, 1))
	local := LocalState{Self: "hub", Config: 9, List: 9, Hub: true}
	list := CatchUp{List: true, After: pkstore.Revision(5)}
	assert.Equal(t, table.CatchUpFor(start, "late", local), list)
	later := start.Add(catchUpDelay)
	assert.Equal(t, table.CatchUpFor(later, "late", local), CatchUp{Config: true})
	assert.Equal(t, table.CatchUpFor(later, "late", local), CatchUp{})
	table.Apply(start.Add(catchUpRetry), newMessage("late", 2, 5, 1))
	assert.Equal(t, table.CatchUpFor(start.Add(catchUpRetry), "late", local), list)
}

// Entries must watch the replica list themselves if no live hub watches it for them.
func TestOnlyWatchingHubsServeEntries(t *testing.T) {
	var table Table
	hub := newMessage("hub", 1, 9, 1)
	assert.Assert(t, !table.ServedByHub(start))
	hub.Following = true
	table.Apply(start, hub)
	assert.Assert(t, !table.ServedByHub(start), "it sent no sum over all entries")
	hub.Sequence, hub.Sum = 2, &Sum{Global: true}
	table.Apply(start, hub)
	assert.Assert(t, !table.ServedByHub(start), "it did not report the number of members")
	hub.Sequence, hub.Members = 3, 78
	table.Apply(start, hub)
	assert.Assert(t, table.ServedByHub(start))
	assert.Equal(t, table.HubMemberCount(start), 78)
	assert.Assert(t, !table.ServedByHub(start.Add(staleAfter)))
	assert.Equal(t, table.HubMemberCount(start.Add(staleAfter)), 0)
	hub.Sequence, hub.Following = 4, false
	table.Apply(start, hub)
	assert.Assert(t, !table.ServedByHub(start))
}

// Work that is done once or twice per data centre must be taken over when a designated entry fails,
// in fleets with hubs and without.
func TestDesignatedEntriesOfEachDataCenter(t *testing.T) {
	for _, each := range []int{1, 3, 30} {
		f := newFleet(2, each)
		f.runRound()
		designated := func() map[pkid.DataCenter][]pkid.EntryID {
			out := map[pkid.DataCenter][]pkid.EntryID{}
			for _, m := range f.members {
				if !f.dead[m.ID] && f.tables[m.ID].Roles(f.now, m, f.others(m.ID)).Designated {
					out[m.DataCenter] = append(out[m.DataCenter], m.ID)
				}
			}
			return out
		}
		before := designated()
		for _, dc := range []pkid.DataCenter{"a", "b"} {
			assert.Equal(t, len(before[dc]), min(each, hubsPerDataCenter), "%d entries", each)
		}
		if each <= hubsPerDataCenter {
			continue
		}
		f.dead = map[pkid.EntryID]bool{before["a"][0]: true}
		for range int(2*hubGrace/HubInterval) + 1 {
			f.runRound()
			designated()
		}
		assert.Equal(t, len(designated()["a"]), hubsPerDataCenter, "%d entries", each)
	}
}

// Loads on an earlier start of an engine must neither be added to those on the present one nor
// subtracted from them: the engine would seem half full, or empty.
func TestLoadsOfAnEarlierStartAreNotCounted(t *testing.T) {
	a := newAccumulator()
	a.add(1, []Load{{Target: "t", Requests: 5, Tokens: 50, Born: 100}}, nil)
	a.add(1, []Load{{Target: "t", Requests: 2, Tokens: 20, Born: 200}}, nil)
	a.add(1, []Load{{Target: "t", Requests: 7, Tokens: 70, Born: 100}}, nil)
	a.add(1, []Load{{Target: "t", Requests: 1, Tokens: 10}}, nil)
	assert.DeepEqual(t, a.sum(true).Loads, []Load{{Target: "t", Requests: 3, Tokens: 30, Born: 200}})
	a.subtract(Message{Loads: []Load{{Target: "t", Requests: 2, Tokens: 20, Born: 100}}})
	assert.DeepEqual(t, a.sum(true).Loads, []Load{{Target: "t", Requests: 3, Tokens: 30, Born: 200}})
	a.subtract(Message{Loads: []Load{{Target: "t", Requests: 1, Tokens: 10, Born: 200}}})
	assert.DeepEqual(t, a.sum(true).Loads, []Load{{Target: "t", Requests: 2, Tokens: 20, Born: 200}})
}
