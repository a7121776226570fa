package pkshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkpeer"
)

// demandFleet simulates entries that exchange their demand in encoded messages, one round at a
// time. Hubs send changes of their sums only, also after a lost message.
type demandFleet struct {
	*fleet
	own map[pkid.EntryID][]Demand
	// earlier are entries of a build without demands.
	earlier map[pkid.EntryID]bool
	// lost reports whether a message is lost.
	lost func(from, to pkid.EntryID) bool
	// withDemands counts the messages and sums of the last round that held demands.
	withDemands int
}

func newDemandFleet(dataCenters, each int) *demandFleet {
	return &demandFleet{
		fleet: newFleet(dataCenters, each), own: map[pkid.EntryID][]Demand{}, earlier: map[pkid.EntryID]bool{},
		lost: func(pkid.EntryID, pkid.EntryID) bool { return false },
	}
}

// messages returns the messages of an entry in this round by receiver.
func (f *demandFleet) messages(self Member) map[pkid.EntryID]Message {
	table := f.tables[self.ID]
	own := Message{
		From: self.ID, Addr: self.Addr, DataCenter: self.DataCenter, Run: 1, Sequence: f.round,
		Loads: []Load{{Target: "t", Requests: 1, Tokens: 10}}, Demands: f.own[self.ID],
	}
	local, global := table.Sums(f.now, own)
	sums := map[Role]SumUpdate{Spoke: table.NextUpdate(Spoke, global, threshold), RemoteHub: table.NextUpdate(RemoteHub, local, threshold)}
	table.RecordSent(own)
	out := map[pkid.EntryID]Message{}
	for addr, role := range table.Roles(f.now, self, f.others(self.ID)).ByAddr {
		m := own
		if sum, found := sums[role]; found {
			m.Loads, m.Sum = nil, &sum.Delta // the hub's own demand stays, and must not be added to the sum
		}
		out[pkid.EntryID(addr)] = m
	}
	return out
}

// withoutDemands returns a message as an entry of an earlier build reads or writes it.
func withoutDemands(m Message) Message {
	m.Demands = nil
	if m.Sum != nil {
		sum := *m.Sum
		sum.Demands = nil
		m.Sum = &sum
	}
	return m
}

func (f *demandFleet) runRound(t *testing.T) {
	t.Helper()
	f.round++
	f.now = f.now.Add(HubInterval)
	f.withDemands = 0
	type delivery struct {
		to  pkid.EntryID
		raw []byte
	}
	var all []delivery
	for _, self := range f.members {
		if f.dead[self.ID] {
			continue
		}
		for to, m := range f.messages(self) {
			if f.earlier[self.ID] || f.earlier[to] {
				m = withoutDemands(m)
			}
			if m.Demands != nil || (m.Sum != nil && m.Sum.Demands != nil) {
				f.withDemands++
			}
			raw, err := pkpeer.Encode(m)
			assert.NilError(t, err)
			if !f.lost(self.ID, to) {
				all = append(all, delivery{to, raw})
			}
		}
	}
	for _, one := range all {
		m, err := pkpeer.Decode[Message](one.raw)
		assert.NilError(t, err)
		if !f.dead[one.to] {
			f.tables[one.to].Apply(f.now, m)
		}
	}
}

func (f *demandFleet) runRounds(t *testing.T, n int) {
	t.Helper()
	for range n {
		f.runRound(t)
	}
}

// demandOf returns what all live entries but one report for a service.
func (f *demandFleet) demandOf(except pkid.EntryID, s pkid.ServiceID) []Demand {
	var total demandLevels
	for _, m := range f.members {
		if m.ID != except && !f.dead[m.ID] && !f.earlier[m.ID] {
			total.add(s, f.own[m.ID])
		}
	}
	return total.appendTo(nil, s)
}

// check asserts that each live entry has the demand of all others, and its own not.
func (f *demandFleet) check(t *testing.T, context string) {
	t.Helper()
	for _, m := range f.members {
		if f.dead[m.ID] || f.earlier[m.ID] {
			continue
		}
		for _, s := range []pkid.ServiceID{"chat", "code", "none"} {
			got, want := f.tables[m.ID].Demands(f.now, s), f.demandOf(m.ID, s)
			assert.Assert(t, slices.Equal(got, want), "%s: demand for %s at %s: got %v, want %v", context, s, m.ID, got, want)
		}
	}
}

// burst lets requests wait at all entries, ten times as many at some as at others, and none at a few.
func (f *demandFleet) burst(r *rand.Rand) {
	for i, m := range f.members {
		f.own[m.ID] = nil
		if i%5 == 4 {
			continue
		}
		for priority := range 3 {
			n := 1 + r.IntN(4)
			if i%7 == 0 {
				n *= 10
			}
			f.own[m.ID] = append(f.own[m.ID], Demand{Service: "chat", Priority: priority, Requests: n, Tokens: float32(100 * n)})
		}
		f.own[m.ID] = append(f.own[m.ID], Demand{Service: "code", Priority: 9, Requests: 1, Tokens: 50})
	}
}

type fleetSize struct{ dataCenters, each int }

func (s fleetSize) String() string { return fmt.Sprintf("%d x %d", s.dataCenters, s.each) }

// fleetSizes are full meshes of 3 to 12 entries and fleets with hubs in three data centres.
func fleetSizes() []fleetSize {
	out := []fleetSize{{3, 5}, {3, 8}, {3, 23}, {3, 1}, {3, 4}}
	for n := 3; n <= hubThreshold; n++ {
		out = append(out, fleetSize{1, n})
	}
	return out
}

// Guards against entries that let less urgent requests take the room which more urgent ones await
// elsewhere: an unevenly spread burst must be known to all within the time of three messages, without
// an entry's own part, and must be gone as fast.
func TestDemandReachesAllEntries(t *testing.T) {
	for _, size := range fleetSizes() {
		f := newDemandFleet(size.dataCenters, size.each)
		f.runRounds(t, 4)
		f.check(t, size.String())
		assert.Equal(t, f.withDemands, 0, "%s: demands are sent although nothing waits", size)
		r := rand.New(rand.NewPCG(1, uint64(size.each)))
		for range 3 {
			f.burst(r)
			f.runRounds(t, 3)
			f.check(t, size.String())
		}
	}
}

// Guards against room that stays reserved for requests which have been served: two hub intervals
// after the message that reports it, no entry may count them, and nothing more is sent of them.
func TestEndedDemandIsCleared(t *testing.T) {
	for _, size := range fleetSizes() {
		f := newDemandFleet(size.dataCenters, size.each)
		f.burst(rand.New(rand.NewPCG(2, 2)))
		f.runRounds(t, 5)
		f.check(t, size.String())
		clear(f.own)
		f.runRound(t)
		said := f.now
		f.runRounds(t, 2)
		assert.Equal(t, f.now.Sub(said), 2*HubInterval)
		f.check(t, size.String())
		f.runRound(t)
		assert.Equal(t, f.withDemands, 0, "%s: demands are sent although nothing waits", size)
	}
}

// Guards against lost messages, from which demand that changes all the time would be wrong for good:
// the hubs repeat no loads that have not changed.
func TestDemandAfterLostMessages(t *testing.T) {
	for _, size := range []fleetSize{{1, 3}, {1, 12}, {3, 5}, {3, 8}} {
		for seed := range uint64(10) {
			r := rand.New(rand.NewPCG(seed, 7))
			f := newDemandFleet(size.dataCenters, size.each)
			f.lost = func(pkid.EntryID, pkid.EntryID) bool { return r.IntN(5) == 0 }
			for round := range 20 {
				f.burst(r)
				if round%4 == 3 {
					clear(f.own)
				}
				f.runRound(t)
			}
			f.lost = func(pkid.EntryID, pkid.EntryID) bool { return false }
			f.runRounds(t, 3)
			f.check(t, fmt.Sprintf("%s, seed %d", size, seed))
		}
	}
}

// Guards against a release in parts: entries and hubs of an earlier build send no demands, which means
// that nothing waits there, and must not leave behind what others have reported.
func TestEntriesOfAnEarlierBuildHaveNoDemand(t *testing.T) {
	for _, size := range []fleetSize{{1, 5}, {3, 8}} {
		f := newDemandFleet(size.dataCenters, size.each)
		f.earlier["a-00"], f.earlier["a-01"] = true, true
		f.burst(rand.New(rand.NewPCG(3, 3)))
		f.runRounds(t, 4)
		f.check(t, size.String())
	}
	f := newDemandFleet(3, 8)
	f.burst(rand.New(rand.NewPCG(3, 3)))
	f.runRounds(t, 4)
	f.check(t, "before")
	f.earlier["a-06"], f.earlier["a-07"] = true, true // both hubs of a data centre
	f.runRounds(t, 4)
	for _, id := range []pkid.EntryID{"a-00", "a-05"} {
		assert.Equal(t, len(f.tables[id].Demands(f.now, "chat")), 0, "its hubs tell nothing")
	}
	var others demandLevels
	for _, m := range f.members {
		if m.DataCenter != "a" && m.ID != "b-00" {
			others.add("chat", f.own[m.ID])
		}
	}
	assert.DeepEqual(t, f.tables["b-00"].Demands(f.now, "chat"), others.appendTo(nil, "chat"))
}

// Guards against room that stays reserved for requests of an entry that has ended or is cut off.
func TestDemandOfASilentEntryIsDropped(t *testing.T) {
	f := newDemandFleet(1, 4)
	f.burst(rand.New(rand.NewPCG(4, 4)))
	f.runRounds(t, 2)
	one := f.tables["a-01"]
	assert.Assert(t, len(one.Demands(f.now.Add(staleAfter-1), "chat")) > 0)
	assert.Equal(t, len(one.Demands(f.now.Add(staleAfter), "chat")), 0)
	f.dead["a-00"] = true
	f.runRounds(t, int(staleAfter/HubInterval))
	f.check(t, "full mesh")

	f = newDemandFleet(3, 8)
	f.burst(rand.New(rand.NewPCG(4, 4)))
	f.runRounds(t, 4)
	f.dead["a-00"] = true
	f.runRounds(t, int(staleAfter/HubInterval)+2)
	f.check(t, "with hubs")
	f.dead["a-06"], f.dead["a-07"] = true, true // the hubs of a data centre
	f.runRounds(t, int(staleAfter/HubInterval))
	assert.Equal(t, len(f.tables["a-01"].Demands(f.now, "chat")), 0)
	f.runRounds(t, int(hubGrace/HubInterval)+5)
	f.check(t, "with new hubs")
}
