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

// fleet is entries that tell one another by their roles, each round at once.
type fleet struct {
	now     time.Time
	members []Member
	tables  map[pkid.EntryID]*Table
	dead    map[pkid.EntryID]bool
	round   uint64
	// told counts messages by sender in the last round.
	told map[pkid.EntryID]int
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

// say is one round: each entry holds one request of 10 tokens.
func (f *fleet) say() {
	f.round++
	f.now = f.now.Add(EveryWithHubs)
	f.told = map[pkid.EntryID]int{}
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
		near, sum := t.Sums(f.now, own)
		t.Told(own)
		for addr, role := range t.Roles(f.now, self, f.others(self.ID)) {
			m := own
			switch role {
			case OfHub:
				m.Loads, m.Flows, m.Sum = nil, nil, &sum
			case FarHub:
				m.Loads, m.Flows, m.Sum = nil, nil, &near
			case Peer:
			}
			f.told[self.ID]++
			all = append(all, message{pkid.EntryID(addr), m})
		}
	}
	for _, one := range all {
		if !f.dead[one.to] {
			f.tables[one.to].Hear(f.now, one.m)
		}
	}
}

func (f *fleet) live() int { return len(f.members) - len(f.dead) }

// check checks that each live entry knows what all others hold.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	own := map[pkid.TargetID]pkreplica.Load{"t": {Requests: 1, Tokens: 10}}
	want := 10 * float64(f.live()-1)
	for _, m := range f.members {
		if f.dead[m.ID] {
			continue
		}
		got := f.tables[m.ID].Others(f.now, f.live(), own)["t"].Tokens
		assert.Assert(t, math.Abs(got-want) < 0.5, "%s takes others to hold %v, they hold %v", m.ID, got, want)
		flow := f.tables[m.ID].Flow(f.now, f.live(), "b", "a", 10)
		assert.Assert(t, math.Abs(flow-want) < 0.5, "%s: %v between data centres, not %v", m.ID, flow, want)
	}
}

func TestAllKnowWhatAllHold(t *testing.T) {
	for _, row := range []struct{ dataCenters, each, most int }{
		{3, 3, 8}, {3, 4, 11}, {2, 7, 8}, {3, 23, 26}, {4, 21, 26}, {17, 22, 54},
	} {
		f := newFleet(row.dataCenters, row.each)
		for range 4 {
			f.say()
		}
		f.check(t)
		for id, n := range f.told {
			assert.Assert(t, n <= row.most, "%d x %d: %s tells %d", row.dataCenters, row.each, id, n)
		}
	}
}

// A hub dies, later the other one too. Its entries hear nothing and would take the pool
// to hold what they hold themselves, times the fleet: some engines would get the callers
// of all. Others must take the hubs' place by themselves, with no word from the store.
func TestHubsAreReplacedBySilence(t *testing.T) {
	f := newFleet(3, 10)
	for range 4 {
		f.say()
	}
	for _, id := range []pkid.EntryID{"a-08", "a-09", "b-09"} {
		f.dead[id] = true
		for range int((hubGrace+freshFor)/EveryWithHubs) + 5 {
			f.say()
		}
		f.check(t)
	}
}

// A hub that was passed over comes back and is one again.
func TestAHubComesBack(t *testing.T) {
	f := newFleet(2, 8)
	for range 4 {
		f.say()
	}
	f.dead["a-07"] = true
	for range 20 {
		f.say()
	}
	delete(f.dead, "a-07")
	for range int((hubGrace+hubAway)/EveryWithHubs) + 5 {
		f.say()
	}
	f.check(t)
	assert.Assert(t, f.told["a-07"] > hubsEach)
}

// A hub knows only what its own entries know, so it cannot leave it to others to help
// one of them. They follow no list themselves, so it tells them at once, and again if
// its word was lost.
func TestHubsHelpWhateverOthersKnow(t *testing.T) {
	var table Table
	for i := range 4 {
		table.Hear(start, said(pkid.EntryID(fmt.Sprint("a-", i)), 1, 9, 1))
	}
	table.Hear(start, said("late", 1, 5, 1))
	k := Known{Self: "hub", Config: 9, List: 9, Hub: true}
	list := Help{List: true, After: pkstore.Revision(5)}
	assert.Equal(t, table.Misses(start, "late", k), list)
	later := start.Add(missesFor)
	assert.Equal(t, table.Misses(later, "late", k), Help{Config: true})
	assert.Equal(t, table.Misses(later, "late", k), Help{})
	table.Hear(start.Add(tellAgain), said("late", 2, 5, 1))
	assert.Equal(t, table.Misses(start.Add(tellAgain), "late", k), list)
}

// Hubs tell of the list only while they follow it. One that lost the store, or that was
// not heard of for long, leaves its entries to follow by themselves.
func TestEntriesAreLedByHubsThatFollow(t *testing.T) {
	var table Table
	hub := said("hub", 1, 9, 1)
	assert.Assert(t, !table.Led(start))
	hub.Following = true
	table.Hear(start, hub)
	assert.Assert(t, !table.Led(start), "it speaks for itself only")
	hub.Sequence, hub.Sum = 2, &Sum{All: true}
	table.Hear(start, hub)
	assert.Assert(t, !table.Led(start), "it does not say how many members there are")
	hub.Sequence, hub.Members = 3, 78
	table.Hear(start, hub)
	assert.Assert(t, table.Led(start))
	assert.Equal(t, table.MembersTold(start), 78)
	assert.Assert(t, !table.Led(start.Add(freshFor)))
	assert.Equal(t, table.MembersTold(start.Add(freshFor)), 0)
	hub.Sequence, hub.Following = 4, false
	table.Hear(start, hub)
	assert.Assert(t, !table.Led(start))
}

// What is done once or twice for a data centre, such as holding connections to its engines,
// is done by its first entries, in fleets with hubs and without. When they fall silent others
// take it over, or nobody would.
func TestTheFirstEntriesOfEachDataCenter(t *testing.T) {
	for _, each := range []int{1, 3, 30} {
		f := newFleet(2, each)
		f.say()
		first := func() map[pkid.DataCenter][]pkid.EntryID {
			out := map[pkid.DataCenter][]pkid.EntryID{}
			for _, m := range f.members {
				if !f.dead[m.ID] && f.tables[m.ID].IsFirst(f.now, m, f.others(m.ID)) {
					out[m.DataCenter] = append(out[m.DataCenter], m.ID)
				}
			}
			return out
		}
		before := first()
		for _, dc := range []pkid.DataCenter{"a", "b"} {
			assert.Equal(t, len(before[dc]), min(each, hubsEach), "%d entries", each)
		}
		if each <= hubsEach {
			continue
		}
		f.dead = map[pkid.EntryID]bool{before["a"][0]: true}
		for range int(2*hubGrace/EveryWithHubs) + 1 {
			f.say()
			first()
		}
		assert.Equal(t, len(first()["a"]), hubsEach, "%d entries", each)
	}
}

// An engine has started again under its id, and some entries do not know yet. What requests
// held of its earlier start must not be added to what they hold of the present one, nor taken
// off it: the engine would count as half full, or as empty.
func TestLoadsOfAnEarlierStartAreNotAddedUp(t *testing.T) {
	a := newAdder()
	a.add(1, []Load{{Target: "t", Requests: 5, Tokens: 50, Born: 100}}, nil)
	a.add(1, []Load{{Target: "t", Requests: 2, Tokens: 20, Born: 200}}, nil)
	a.add(1, []Load{{Target: "t", Requests: 7, Tokens: 70, Born: 100}}, nil)
	a.add(1, []Load{{Target: "t", Requests: 1, Tokens: 10}}, nil)
	assert.DeepEqual(t, a.sum(true).Loads, []Load{{Target: "t", Requests: 3, Tokens: 30, Born: 200}})
	a.takeOff(Message{Loads: []Load{{Target: "t", Requests: 2, Tokens: 20, Born: 100}}})
	assert.DeepEqual(t, a.sum(true).Loads, []Load{{Target: "t", Requests: 3, Tokens: 30, Born: 200}})
	a.takeOff(Message{Loads: []Load{{Target: "t", Requests: 1, Tokens: 10, Born: 200}}})
	assert.DeepEqual(t, a.sum(true).Loads, []Load{{Target: "t", Requests: 2, Tokens: 20, Born: 200}})
}
