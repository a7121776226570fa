package pkshare

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

// keySet is an immutable set of registered entries as of a moment.
type keySet struct {
	at    int
	byID  map[pkid.EntryID]Member
	local map[pkid.DataCenter][]Member
	all   []Member
}

func newKeySet(at int, byID map[pkid.EntryID]Member) *keySet {
	k := &keySet{at: at, byID: maps.Clone(byID), local: map[pkid.DataCenter][]Member{}}
	for _, m := range byID {
		k.all = append(k.all, m)
		k.local[m.DataCenter] = append(k.local[m.DataCenter], m)
	}
	return k
}

// starting simulates a fleet whose entries start within 0.3 s, with a store whose stale reads lag.
// Roles follow from what each entry has read or received; loads are left out.
type starting struct {
	now     time.Time
	began   time.Time
	entries []*startingEntry
	byAddr  map[string]*startingEntry
	// registered are the keys in the store, history holds them as of each step.
	registered map[pkid.EntryID]Member
	current    *keySet
	history    []*keySet
	lag        time.Duration
	rand       *rand.Rand
}

type startingEntry struct {
	self  Member
	reg   Registration
	table Table
	known *keySet
	// read is set once the members were read, listed if they held this entry's key.
	read, listed bool
	// rolesKnown is set once the roles were determined from the members.
	rolesKnown bool
	hubsSeenAt time.Time
	searchedAt time.Time
	usesHubs   bool
	roles      Roles
	holds      bool
	candidates []Member
	sequence   uint64
	// followed is set once the entry has read the lists itself, servedAt is when a hub served it.
	followed bool
	servedAt time.Time
	// staleReads, reads and writes count its calls to the store.
	staleReads, reads, writes int
	dead                      bool
	diedAt                    time.Time
}

const startLeaseTTL = 4 * time.Second

const startStep = 100 * time.Millisecond

// newStarting returns a fleet of five data centres, with ten large VMs in each; the others are
// small.
func newStarting(entries int) *starting {
	f := &starting{now: start, byAddr: map[string]*startingEntry{}, registered: map[pkid.EntryID]Member{}, lag: 2 * time.Second, rand: rand.New(rand.NewPCG(1, 2))}
	for i := range entries {
		m := Member{ID: pkid.EntryID(fmt.Sprintf("%c-%04d", 'a'+i%5, i/5)), DataCenter: pkid.DataCenter('a' + rune(i%5)), ProcessorShare: 0.192}
		m.Addr = string(m.ID)
		if i/5 < 10 {
			m.ProcessorShare = 0.8
		}
		e := &startingEntry{self: m}
		f.entries = append(f.entries, e)
		f.byAddr[m.Addr] = e
	}
	f.changed()
	f.history = append(f.history, f.current)
	f.restart()
	for _, e := range f.entries {
		e.reg.Bootstrap = true
	}
	return f
}

// restart ends all entries and starts them again; keys in the store stay.
func (f *starting) restart() {
	f.began = f.now
	for _, e := range f.entries {
		*e = startingEntry{self: e.self, known: newKeySet(-1, nil)}
		delay := time.Duration(f.rand.Float64() * float64(300*time.Millisecond))
		e.reg = Registration{Self: e.self, Started: f.now.Add(delay), Jitter: f.rand.Float64()}
	}
}

// changed records a change of the keys.
func (f *starting) changed() { f.current = newKeySet(len(f.history), f.registered) }

// apply applies a list unless the entry knows a newer one.
func (e *startingEntry) apply(k *keySet) {
	if k.at < e.known.at {
		return
	}
	_, listed := k.byID[e.self.ID]
	e.listed = e.listed || (!e.read && listed)
	e.known, e.read = k, true
}

func (e *startingEntry) view(now time.Time) View {
	v := View{MembersRead: e.read, Listed: e.listed, Holds: e.holds, Served: e.table.ServedByHub(now)}
	v.Appointed = e.candidates == nil || ContainsEntry(e.candidates, e.self.ID)
	for _, m := range e.known.local[e.self.DataCenter] {
		if m.ID != e.self.ID {
			v.Registered = append(v.Registered, m)
		}
	}
	return v
}

// step advances the fleet: each live entry reads the store as its state demands, and sends its
// messages every third step.
func (f *starting) step() {
	f.now = f.now.Add(startStep)
	for _, e := range f.entries {
		if e.holds && e.dead && f.now.Sub(e.diedAt) >= startLeaseTTL {
			e.holds = false
			delete(f.registered, e.self.ID)
			f.changed()
		}
		if f.runs(e) {
			f.read(e)
			f.register(e)
		}
	}
	f.history = append(f.history, f.current)
	if len(f.history)%3 != 0 {
		return
	}
	for _, e := range f.entries {
		if f.runs(e) {
			f.updateRoles(e)
			f.send(e)
		}
	}
}

func (f *starting) runs(e *startingEntry) bool { return !e.dead && !f.now.Before(e.reg.Started) }

func (f *starting) read(e *startingEntry) {
	served := e.table.ServedByHub(f.now)
	if served && e.servedAt.IsZero() {
		e.servedAt = f.now
	}
	if served {
		return
	}
	v := e.view(f.now)
	v.MembersRead = v.MembersRead && e.rolesKnown
	awaits := e.reg.AwaitsHub(f.now, StartView{View: v, KnowsOthers: len(e.known.all) > 0, UsesHubs: e.usesHubs, HubsSeenAt: e.hubsSeenAt, Designated: e.roles.Designated})
	switch {
	case awaits && (e.searchedAt.IsZero() || f.now.Sub(e.searchedAt) >= 500*time.Millisecond):
		e.staleReads++
		e.searchedAt = f.now
		e.apply(f.history[max(len(f.history)-1-int(f.lag/startStep), 0)])
	case !awaits && !e.followed:
		e.followed = true
		e.reads++
		e.apply(f.current)
	case e.followed:
		e.apply(f.current) // its watch of the members
	}
}

func (f *starting) updateRoles(e *startingEntry) {
	byID := map[pkid.EntryID]Member{}
	for _, m := range e.table.Members(f.now) {
		byID[m.ID] = m
	}
	maps.Copy(byID, e.known.byID)
	delete(byID, e.self.ID)
	self := e.self
	_, listed := e.known.byID[self.ID]
	self.Unregistered = !e.holds && !listed
	e.roles = e.table.Roles(f.now, self, slices.Collect(maps.Values(byID)))
	e.rolesKnown, e.usesHubs = e.read, UsesHubs(len(byID))
	if e.usesHubs && e.hubsSeenAt.IsZero() {
		e.hubsSeenAt = f.now
	}
}

func (f *starting) register(e *startingEntry) {
	v := e.view(f.now)
	wanted := e.reg.Wanted(f.now, v)
	if wanted && !v.Holds && len(v.Registered) == 0 {
		e.reads++
		e.apply(f.current)
		wanted = e.reg.Wanted(f.now, e.view(f.now))
	}
	if wanted == e.holds {
		return
	}
	e.holds = wanted
	if wanted {
		e.writes += 2
		f.registered[e.self.ID] = e.self
	} else {
		delete(f.registered, e.self.ID)
	}
	f.changed()
}

func (f *starting) send(e *startingEntry) {
	e.sequence++
	m := Message{From: e.self.ID, Addr: e.self.Addr, Run: uint64(f.began.UnixNano()), Sequence: e.sequence, DataCenter: e.self.DataCenter, ProcessorShare: float32(e.self.ProcessorShare)}
	m.Following = e.followed && !e.table.ServedByHub(f.now)
	var local, global Sum
	if e.roles.Designated {
		local, global = e.table.Sums(f.now, m)
		m.LocalEntries, m.Members = e.table.EntryCounts(f.now, e.self, e.known.all)
		e.candidates = e.table.Candidates(f.now, e.self, e.known.all)
	}
	for addr, role := range e.roles.ByAddr {
		to := f.byAddr[addr]
		if !f.runs(to) {
			continue
		}
		out := m
		switch role {
		case Spoke:
			out.Sum = &global
			to.receiveCandidates(e.self.DataCenter, e.candidates)
		case RemoteHub:
			out.Sum = &local
		case Peer:
		}
		to.table.Apply(f.now, out)
	}
}

// receiveCandidates replaces the known entries of a data centre.
func (e *startingEntry) receiveCandidates(dc pkid.DataCenter, candidates []Member) {
	if slices.Equal(e.candidates, candidates) {
		return
	}
	e.candidates = candidates
	byID := maps.Clone(e.known.byID)
	maps.DeleteFunc(byID, func(_ pkid.EntryID, m Member) bool { return m.DataCenter == dc })
	if byID == nil {
		byID = map[pkid.EntryID]Member{}
	}
	for _, m := range candidates {
		if !m.Unregistered {
			byID[m.ID] = m
		}
	}
	e.known = newKeySet(e.known.at, byID)
}

// run runs the fleet for a while.
func (f *starting) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// calls returns the calls to the store, with stale reads at a tenth.
func (f *starting) calls() float64 {
	n := 0.0
	for _, e := range f.entries {
		n += float64(e.staleReads)/10 + float64(e.reads+e.writes)
	}
	return n
}

func (f *starting) unserved() int {
	n := 0
	for _, e := range f.entries {
		if !e.dead && !e.roles.Designated && !e.table.ServedByHub(f.now) {
			n++
		}
	}
	return n
}

// Guards against calls to the store that grow with entries times lists: in a fleet that starts at
// once few entries may register or read the lists, also if all stale reads lag by seconds, and all
// others must be served by hubs.
func TestFewEntriesCallTheStoreAtTheStart(t *testing.T) {
	for _, entries := range []int{200, 1000, 2000} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			f := newStarting(entries)
			f.run(8 * time.Second)
			t.Logf("%.0f calls at the first start, %d registered", f.calls(), len(f.registered))
			assert.Equal(t, f.unserved(), 0)
			assert.Assert(t, f.calls() <= 400+1.6*float64(entries), "%.0f calls", f.calls())

			f.restart()
			f.run(8 * time.Second)
			t.Logf("%.0f calls at the restart of all, %d registered", f.calls(), len(f.registered))
			assert.Equal(t, f.unserved(), 0)
			assert.Assert(t, f.calls() <= 300+0.2*float64(entries), "%.0f calls", f.calls())
			for _, e := range f.entries {
				assert.Assert(t, e.roles.Designated || e.servedAt.Sub(e.reg.Started) <= 1500*time.Millisecond, "%s served after %v", e.self.ID, e.servedAt.Sub(e.reg.Started))
			}
		})
	}
}

// Guards against a retry budget that grows as entries are no longer registered: the count at each
// entry must include those that only their hubs know.
func TestUnregisteredEntriesAreCounted(t *testing.T) {
	f := newStarting(500)
	f.run(8 * time.Second)
	for _, e := range f.entries {
		if !e.roles.Designated {
			assert.Equal(t, e.table.HubMemberCount(f.now), 500, string(e.self.ID))
		}
	}
	for _, e := range f.entries[100:200] {
		e.dead, e.diedAt = true, f.now
	}
	f.run(EntryRetention / 2)
	assert.Equal(t, f.entries[300].table.HubMemberCount(f.now), 500, "entries that left still count")
	f.run(2 * EntryRetention)
	assert.Equal(t, f.entries[300].table.HubMemberCount(f.now), 400)
}

// Guards against entries that all register when one that is registered leaves, and against a data
// centre that has no candidates left when its hubs fail one after the other.
func TestOneEntryTakesThePlaceOfOneThatLeft(t *testing.T) {
	f := newStarting(500)
	f.run(8 * time.Second)
	before := f.calls()
	registered := 0
	for _, e := range f.entries {
		if e.self.DataCenter == "a" && e.holds && !e.roles.Designated {
			e.dead, e.diedAt = true, f.now
			break
		}
	}
	f.run(15 * time.Second)
	assert.Assert(t, f.calls()-before <= 4, "%.1f calls", f.calls()-before)
	for _, e := range f.entries {
		if e.self.DataCenter == "a" && e.holds && !e.dead {
			registered++
		}
	}
	assert.Equal(t, registered, registeredPerDataCenter)
	assert.Equal(t, f.unserved(), 0)
}

// Guards against a saved number of entries that follows each outage: the retry budget of the entries
// that are left would grow while those that failed come back.
func TestSizeIsSavedOnceItSettles(t *testing.T) {
	var r SizeRecord
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	assert.Assert(t, !r.ShouldSave(at(0), 10, 0))
	assert.Assert(t, !r.ShouldSave(at(1), 150, 0), "it grows")
	assert.Assert(t, !r.ShouldSave(at(2), 200, 0))
	assert.Assert(t, !r.ShouldSave(at(3), 200, 0))
	assert.Assert(t, r.ShouldSave(at(4), 200, 0))
	assert.Assert(t, !r.ShouldSave(at(5), 200, 200))
	assert.Assert(t, !r.ShouldSave(at(6), 40, 200), "an outage")
	assert.Assert(t, !r.ShouldSave(at(30), 40, 200))
	assert.Assert(t, !r.ShouldSave(at(31), 190, 200), "it has ended")
	assert.Assert(t, !r.ShouldSave(at(32), 40, 200))
	assert.Assert(t, !r.ShouldSave(at(91), 40, 200))
	assert.Assert(t, r.ShouldSave(at(92), 40, 200), "the fleet is smaller")
}
