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

// recordAt returns a replica's record in an era with a heartbeat count.
func recordAt(e pkstore.Era, number uint64, id string, beats uint64, change func(*Info)) Record {
	rec := Record{Revision: pkstore.NewRevision(e, number), Beats: beats, Info: Info{ID: pkid.TargetID(id), Service: "s", Addr: id, Slots: 8}}
	if change != nil {
		change(&rec.Info)
	}
	return rec
}

// The store is restored from a copy in which a leaving replica is still ready, one that has since
// loaded layers is empty, and a deleted one exists. Guards against applying these older records.
func TestRestoredStoreCopyRevertsNoRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Roster
	held := func(i *Info) { i.Held = pkid.Range{End: 8} }
	leaves := func(i *Info) { i.Leaving = true }
	old := []Record{recordAt(1, 10, "leaves", 5, nil), recordAt(1, 11, "loaded", 5, nil), recordAt(1, 12, "gone", 5, nil)}
	r.Replace(now, old, pkstore.NewRevision(1, 12))
	r.Apply(now, []Record{
		recordAt(1, 13, "leaves", 8, leaves), recordAt(1, 14, "loaded", 8, held),
		{Revision: pkstore.NewRevision(1, 15), Info: Info{ID: "gone"}, Deleted: true},
	}, pkstore.NewRevision(1, 15))

	now = now.Add(time.Second)
	restored := []Record{recordAt(2, 10, "leaves", 5, nil), recordAt(2, 11, "loaded", 5, nil), recordAt(2, 12, "gone", 5, nil)}
	assert.Equal(t, len(r.Replace(now, restored, pkstore.NewRevision(2, 12))), 0)
	live := r.Live(now, "s")
	assert.Equal(t, len(live), 1)
	assert.Equal(t, live[0].ID, pkid.TargetID("loaded"))
	assert.Equal(t, live[0].Held.Len(), 8)

	// Records written after the restore reuse revision numbers and must still be applied.
	r.Apply(now, []Record{recordAt(2, 13, "loaded", 9, nil), recordAt(2, 14, "gone", 6, nil)}, pkstore.NewRevision(2, 14))
	live = r.Live(now, "s")
	assert.Equal(t, len(live), 2)
	assert.Equal(t, live[1].Held.Len(), 0)
}

// Live replicas that started after the copy was made are missing from it. Guards against treating
// them as deleted before they have written their records again.
func TestReplicasMissingFromRestoredCopyGetGracePeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Roster
	r.Replace(now, []Record{recordAt(1, 10, "new", 1, nil), recordAt(1, 11, "ended", 1, nil)}, pkstore.NewRevision(1, 11))
	r.Replace(now, nil, pkstore.NewRevision(2, 3))
	assert.Equal(t, len(r.Live(now, "s")), 2)
	now = now.Add(time.Second)
	r.Apply(now, []Record{recordAt(2, 4, "new", 2, nil)}, pkstore.NewRevision(2, 4))
	assert.Equal(t, len(r.Live(now, "s")), 2)
	now = now.Add(deletionGrace)
	live := r.Live(now, "s")
	assert.Equal(t, len(live), 1, "a record not written again counts as deleted")
	assert.Equal(t, live[0].ID, pkid.TargetID("new"))
}

// A replica restarts during a store outage, with a heartbeat count that begins again. Guards
// against keeping the layers of the previous start because of its higher count.
func TestRestartInLaterEraReplacesRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Roster
	born := func(b pkid.StartTime, layers pkid.Layer) func(*Info) {
		return func(i *Info) { i.Born, i.Held = b, pkid.Range{End: layers} }
	}
	r.Replace(now, []Record{recordAt(1, 10, "r", 50, born(5, 8))}, pkstore.NewRevision(1, 10))
	r.Replace(now, []Record{recordAt(2, 4, "r", 1, born(6, 0))}, pkstore.NewRevision(2, 4))
	live := r.Live(now, "s")
	assert.Equal(t, len(live), 1)
	assert.Equal(t, live[0].Held.Len(), 0)
	assert.Equal(t, live[0].Born, pkid.StartTime(6))
}

// eraModel simulates replicas that start, change, drain and end, and a store that is restored from
// copies. It generates what a roster receives: changes in order, lists, and late changes of
// previous eras.
type eraModel struct {
	rand   *rand.Rand
	era    pkstore.Era
	number uint64
	items  map[pkid.TargetID]Record
	copies []eraCopy
	late   []Record
	// live is the actual state of each replica.
	live map[pkid.TargetID]Record
	next int
}

type eraCopy struct {
	number uint64
	items  map[pkid.TargetID]Record
}

func (m *eraModel) write(rec Record) Record {
	m.number++
	rec.Revision = pkstore.NewRevision(m.era, m.number)
	if rec.Deleted {
		delete(m.items, rec.Info.ID)
	} else {
		m.items[rec.Info.ID] = rec
	}
	if m.rand.IntN(4) == 0 {
		m.late = append(m.late, rec)
	}
	return rec
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

// step makes one change and returns the records that a watch would deliver.
func (m *eraModel) step() []Record {
	if m.rand.IntN(3) == 0 || len(m.live) == 0 {
		m.next++
		rec := recordAt(0, 0, fmt.Sprintf("r%03d", m.next), 1, nil)
		m.live[rec.Info.ID] = rec
		return []Record{m.write(rec)}
	}
	rec, _ := m.pick()
	switch m.rand.IntN(3) {
	case 0:
		delete(m.live, rec.Info.ID)
		return []Record{m.write(Record{Info: Info{ID: rec.Info.ID}, Deleted: true})}
	case 1:
		rec.Info.Leaving = true
	default:
		rec.Info.Held = pkid.Range{End: pkid.Layer(1 + m.rand.IntN(8))}
	}
	rec.Beats++
	m.live[rec.Info.ID] = rec
	return []Record{m.write(rec)}
}

// restore starts a new era from a random copy.
func (m *eraModel) restore() {
	m.era++
	from := m.copies[m.rand.IntN(len(m.copies))]
	m.number, m.items, m.copies = from.number, map[pkid.TargetID]Record{}, nil
	for id, rec := range from.items {
		rec.Revision = pkstore.NewRevision(m.era, rec.Revision.Number())
		m.items[id] = rec
	}
}

// check asserts that no leaving or ended replica is used and that every live one is. settled is set
// once all replicas have written their records again.
func (m *eraModel) check(t *testing.T, r *Roster, now time.Time, seed uint64, settled bool) {
	t.Helper()
	used := map[pkid.TargetID]bool{}
	for _, target := range r.Live(now, "s") {
		used[target.ID] = true
		actual, live := m.live[target.ID]
		assert.Assert(t, !actual.Info.Leaving, "seed %d: %s is leaving but used", seed, target.ID)
		assert.Assert(t, live || !settled, "seed %d: %s has ended but is used", seed, target.ID)
		assert.Assert(t, !settled || target.Held == actual.Info.Held, "seed %d: %s holds layers %v, roster has %v", seed, target.ID, actual.Info.Held, target.Held)
	}
	for id, actual := range m.live {
		assert.Assert(t, used[id] || actual.Info.Leaving, "seed %d: %s is live but not used", seed, id)
	}
}

// schedules is the number of seeds of TestRosterFollowsListAcrossEras, 40 steps each.
var schedules = flag.Uint64("schedules", 300, "number of random schedules of a list followed across eras")

// Follows a list over several restores of the store, with late changes of previous eras. Guards
// against using a replica known to be leaving, omitting a live one, and, once all replicas have
// written their records again, any state that differs from theirs.
func TestRosterFollowsListAcrossEras(t *testing.T) {
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
			m.restore()
			r.Replace(now, m.list(), pkstore.NewRevision(m.era, m.number))
			m.check(t, &r, now, seed, false)
			for _, id := range slices.Sorted(maps.Keys(m.live)) {
				rec := m.live[id]
				rec.Beats++
				m.live[id] = rec
				r.Apply(now, []Record{m.write(rec)}, pkstore.NewRevision(m.era, m.number))
			}
			for _, id := range slices.Sorted(maps.Keys(m.items)) {
				if _, live := m.live[id]; !live {
					r.Apply(now, []Record{m.write(Record{Info: Info{ID: id}, Deleted: true})}, pkstore.NewRevision(m.era, m.number))
				}
			}
			now = now.Add(deletionGrace)
			m.check(t, &r, now, seed, true)
		}
	}
}
