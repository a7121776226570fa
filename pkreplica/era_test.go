package pkreplica

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkstore"
)

// entryAt is an entry as a replica wrote it with a count of heartbeats.
func entryAt(e pkstore.Era, number uint64, id string, beats uint64, change func(*Info)) Record {
	one := Record{Revision: pkstore.NewRevision(e, number), Beats: beats, Info: Info{ID: pkid.TargetID(id), Service: "s", Addr: id, Slots: 8}}
	if change != nil {
		change(&one.Info)
	}
	return one
}

// The store comes back from a copy of some seconds before, in which a replica that leaves is still
// ready, one that was given layers is empty, and one that has gone is there. Requests would go to
// the first and the last, and the second would be ordered anew.
func TestACopyOfTheListBringsNothingBack(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Roster
	held := func(i *Info) { i.Held = pkid.Range{End: 8} }
	leaves := func(i *Info) { i.Leaving = true }
	old := []Record{entryAt(1, 10, "leaves", 5, nil), entryAt(1, 11, "loaded", 5, nil), entryAt(1, 12, "gone", 5, nil)}
	r.Replace(now, old, pkstore.NewRevision(1, 12))
	r.Apply(now, []Record{
		entryAt(1, 13, "leaves", 8, leaves), entryAt(1, 14, "loaded", 8, held),
		{Revision: pkstore.NewRevision(1, 15), Info: Info{ID: "gone"}, Deleted: true},
	}, pkstore.NewRevision(1, 15))

	now = now.Add(time.Second)
	back := []Record{entryAt(2, 10, "leaves", 5, nil), entryAt(2, 11, "loaded", 5, nil), entryAt(2, 12, "gone", 5, nil)}
	assert.Equal(t, len(r.Replace(now, back, pkstore.NewRevision(2, 12))), 0)
	live := r.Live(now, "s")
	assert.Equal(t, len(live), 1)
	assert.Equal(t, live[0].ID, pkid.TargetID("loaded"))
	assert.Equal(t, live[0].Held.Len(), 8)

	// What the replicas write again has a number that was given out before, and counts.
	r.Apply(now, []Record{entryAt(2, 13, "loaded", 9, nil), entryAt(2, 14, "gone", 6, nil)}, pkstore.NewRevision(2, 14))
	live = r.Live(now, "s")
	assert.Equal(t, len(live), 2)
	assert.Equal(t, live[1].Held.Len(), 0)
}

// Replicas that came after the copy was made are not in it. They live, and write themselves again
// within two seconds; taken for gone at once, a pool that was just renewed would be empty.
func TestReplicasThatTheCopyLacksStayForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Roster
	r.Replace(now, []Record{entryAt(1, 10, "new", 1, nil), entryAt(1, 11, "ended", 1, nil)}, pkstore.NewRevision(1, 11))
	r.Replace(now, nil, pkstore.NewRevision(2, 3))
	assert.Equal(t, len(r.Live(now, "s")), 2)
	now = now.Add(time.Second)
	r.Apply(now, []Record{entryAt(2, 4, "new", 2, nil)}, pkstore.NewRevision(2, 4))
	assert.Equal(t, len(r.Live(now, "s")), 2)
	now = now.Add(lapseGrace)
	live := r.Live(now, "s")
	assert.Equal(t, len(live), 1, "what was not written again has ended")
	assert.Equal(t, live[0].ID, pkid.TargetID("new"))
}

// A replica has started again while the store was away. It counts its heartbeats from one, and
// holds nothing: what was known of the start before says nothing of it.
func TestALaterStartCountsInALaterEra(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Roster
	born := func(b pkid.Birth, layers pkid.Layer) func(*Info) {
		return func(i *Info) { i.Born, i.Held = b, pkid.Range{End: layers} }
	}
	r.Replace(now, []Record{entryAt(1, 10, "r", 50, born(5, 8))}, pkstore.NewRevision(1, 10))
	r.Replace(now, []Record{entryAt(2, 4, "r", 1, born(6, 0))}, pkstore.NewRevision(2, 4))
	live := r.Live(now, "s")
	assert.Equal(t, len(live), 1)
	assert.Equal(t, live[0].Held.Len(), 0)
	assert.Equal(t, live[0].Born, pkid.Birth(6))
}

// eraModel plays replicas that come, change, leave and end, and a store that comes back from
// copies, and tells a roster what it would hear: changes in their order, lists, and late changes
// of eras that have ended.
type eraModel struct {
	rand   *rand.Rand
	era    pkstore.Era
	number uint64
	items  map[pkid.TargetID]Record
	copies []eraCopy
	late   []Record
	// live is what each replica is now, by what it knows itself.
	live map[pkid.TargetID]Record
	next int
}

type eraCopy struct {
	number uint64
	items  map[pkid.TargetID]Record
}

func (m *eraModel) write(one Record) Record {
	m.number++
	one.Revision = pkstore.NewRevision(m.era, m.number)
	if one.Deleted {
		delete(m.items, one.Info.ID)
	} else {
		m.items[one.Info.ID] = one
	}
	if m.rand.IntN(4) == 0 {
		m.late = append(m.late, one)
	}
	return one
}

func (m *eraModel) list() []Record {
	var out []Record
	for _, id := range slices.Sorted(maps.Keys(m.items)) {
		out = append(out, m.items[id])
	}
	return out
}

func (m *eraModel) pick() (Record, bool) {
	if len(m.live) == 0 {
		return Record{}, false
	}
	ids := slices.Sorted(maps.Keys(m.live))
	return m.live[ids[m.rand.IntN(len(ids))]], true
}

// step changes one thing and returns what a watch would tell of it.
func (m *eraModel) step() []Record {
	if m.rand.IntN(3) == 0 || len(m.live) == 0 {
		m.next++
		one := entryAt(0, 0, fmt.Sprintf("r%03d", m.next), 1, nil)
		m.live[one.Info.ID] = one
		return []Record{m.write(one)}
	}
	one, _ := m.pick()
	switch m.rand.IntN(3) {
	case 0:
		delete(m.live, one.Info.ID)
		return []Record{m.write(Record{Info: Info{ID: one.Info.ID}, Deleted: true})}
	case 1:
		one.Info.Leaving = true
	default:
		one.Info.Held = pkid.Range{End: pkid.Layer(1 + m.rand.IntN(8))}
	}
	one.Beats++
	m.live[one.Info.ID] = one
	return []Record{m.write(one)}
}

// comeBack returns the store to a copy and has the replicas write themselves again later.
func (m *eraModel) comeBack() {
	m.era++
	from := m.copies[m.rand.IntN(len(m.copies))]
	m.number, m.items, m.copies = from.number, map[pkid.TargetID]Record{}, nil
	for id, one := range from.items {
		one.Revision = pkstore.NewRevision(m.era, one.Revision.Number())
		m.items[id] = one
	}
}

// check says what a roster has wrong of replicas that leave or have ended.
func (m *eraModel) check(t *testing.T, r *Roster, now time.Time, seed uint64, settled bool) {
	t.Helper()
	used := map[pkid.TargetID]bool{}
	for _, one := range r.Live(now, "s") {
		used[one.ID] = true
		truth, lives := m.live[one.ID]
		assert.Assert(t, !truth.Info.Leaving, "seed %d: %s leaves and is used", seed, one.ID)
		assert.Assert(t, lives || !settled, "seed %d: %s has ended and is used", seed, one.ID)
		assert.Assert(t, !settled || one.Held == truth.Info.Held, "seed %d: %s holds %v, not %v", seed, one.ID, truth.Info.Held, one.Held)
	}
	for id, truth := range m.live {
		assert.Assert(t, used[id] || truth.Info.Leaving, "seed %d: %s lives and is not used", seed, id)
	}
}

// schedules is how many seeds TestTheListIsFollowedOverEras plays, 40 steps each.
var schedules = flag.Uint64("schedules", 300, "schedules of a list that is followed over eras")

// A list is followed over several returns of the store, with late answers of eras that have ended.
// At no moment may a replica that was known to leave be used, or one that lives be left out, and
// once all have written themselves again nothing else counts.
func TestTheListIsFollowedOverEras(t *testing.T) {
	for seed := range *schedules {
		m := &eraModel{rand: rand.New(rand.NewPCG(seed, 7)), era: 1, items: map[pkid.TargetID]Record{}, live: map[pkid.TargetID]Record{}}
		now := time.Unix(1000, 0)
		var r Roster
		for range 40 {
			now = now.Add(50 * time.Millisecond)
			if m.rand.IntN(5) == 0 {
				m.copies = append(m.copies, eraCopy{number: m.number, items: maps.Clone(m.items)})
			}
			r.Apply(now, m.step(), pkstore.NewRevision(m.era, m.number))
			if m.rand.IntN(6) == 0 && len(m.late) > 0 {
				r.Apply(now, []Record{m.late[m.rand.IntN(len(m.late))]}, 0)
			}
			m.check(t, &r, now, seed, false)
			if m.rand.IntN(12) != 0 || len(m.copies) == 0 {
				continue
			}
			m.comeBack()
			r.Replace(now, m.list(), pkstore.NewRevision(m.era, m.number))
			m.check(t, &r, now, seed, false)
			for _, id := range slices.Sorted(maps.Keys(m.live)) {
				one := m.live[id]
				one.Beats++
				m.live[id] = one
				r.Apply(now, []Record{m.write(one)}, pkstore.NewRevision(m.era, m.number))
			}
			for _, id := range slices.Sorted(maps.Keys(m.items)) {
				if _, lives := m.live[id]; !lives {
					r.Apply(now, []Record{m.write(Record{Info: Info{ID: id}, Deleted: true})}, pkstore.NewRevision(m.era, m.number))
				}
			}
			now = now.Add(lapseGrace)
			m.check(t, &r, now, seed, true)
		}
	}
}
