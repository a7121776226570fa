package pkmember

import (
	"slices"
	"strings"
	"sync"
	"time"

	"peridotknot.example/pkid"
)

const (
	// aliveFor is how long a member counts as alive without a message. It is
	// more than two of the longest paces, so that one lost or late message
	// does not move work about.
	aliveFor = 2*paceMost + time.Second
	// forgetAfter is how long a silent member is still tried, so that data
	// centres that lost each other for an hour find each other again.
	forgetAfter = 2 * time.Hour
	// farLinks is how many members of each other neighborhood a node reaches.
	farLinks = 2
)

// Table is what one entry knows of the others.
type Table struct {
	mu      sync.Mutex
	self    Member
	members map[Instance]*member
	// leaving holds instances that said goodbye, so that a neighbor's older
	// word does not bring them back.
	leaving map[Instance]time.Time
}

type member struct {
	Member
	heard time.Time
	spoke bool
	// broken is set while no connection from the member stands, and connection
	// counts those that stood.
	broken     bool
	connection uint64
	counts     map[pkid.TargetID]int64
	pools      map[pkid.PoolID]PoolCount
}

// NewTable returns a table that knows only self.
func NewTable(self Member) *Table {
	return &Table{self: self, members: map[Instance]*member{}, leaving: map[Instance]time.Time{}}
}

// Self returns the entry's own member.
func (t *Table) Self() Member { return t.self }

// Learn takes over members that another entry, the store or the settings know
// of. They count as alive only once they speak.
func (t *Table) Learn(now time.Time, known []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range known {
		t.learn(now, m)
	}
}

func (t *Table) learn(now time.Time, m Member) *member {
	if m.Instance == t.self.Instance || m.Instance == "" {
		return nil
	}
	if _, gone := t.leaving[m.Instance]; gone {
		return nil
	}
	one, found := t.members[m.Instance]
	if !found {
		one = &member{Member: m, heard: now, counts: map[pkid.TargetID]int64{}, pools: map[pkid.PoolID]PoolCount{}}
		t.members[m.Instance] = one
	}
	return one
}

// Connected records a new connection from a member and returns its number for
// Break. Counts are told as changes on one connection, so a new one starts them
// over.
func (t *Table) Connected(now time.Time, m Member) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	one := t.learn(now, m)
	if one == nil {
		return 0
	}
	one.heard = now
	one.spoke = true
	one.broken = false
	one.connection++
	clear(one.counts)
	return one.connection
}

// Take records the counts of a Share.
func (t *Table) Take(now time.Time, from Instance, s *Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	one, found := t.members[from]
	if !found {
		return
	}
	one.heard = now
	for _, c := range s.Counts {
		if c.N == 0 {
			delete(one.counts, c.Target)
		} else {
			one.counts[c.Target] = c.N
		}
	}
	for _, p := range s.Pools {
		one.pools[p.Pool] = p
	}
	for _, m := range s.Known {
		t.learn(now, m)
	}
}

// Break records that a connection from a member broke. If its VM died, the
// engines drop what it had in progress, so its counts go at once; if only the
// connection did, the next one brings them back. An old connection may be seen
// to break after the next one stands; that changes nothing.
func (t *Table) Break(id Instance, connection uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if one, found := t.members[id]; found && one.connection == connection {
		one.broken = true
		clear(one.counts)
	}
}

// Leave records that a member said goodbye.
func (t *Table) Leave(now time.Time, id Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.members, id)
	t.leaving[id] = now
}

// Tend forgets members that were silent for very long.
func (t *Table) Tend(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, one := range t.members {
		limit := forgetAfter
		if !one.spoke {
			// Hearsay about a member that never spoke is worth little.
			limit = aliveFor
		}
		if now.Sub(one.heard) > limit {
			delete(t.members, id)
		}
	}
	for id, at := range t.leaving {
		if now.Sub(at) > forgetAfter {
			delete(t.leaving, id)
		}
	}
}

func (m *member) alive(now time.Time) bool {
	return m.spoke && !m.broken && now.Sub(m.heard) <= aliveFor
}

// Neighbors returns the members of the own neighborhood that are alive, self
// included, in order of instance.
func (t *Table) Neighbors(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Member{t.self}
	for _, one := range t.members {
		if one.alive(now) && one.Neighborhood == t.self.Neighborhood {
			out = append(out, one.Member)
		}
	}
	sortMembers(out)
	return out
}

// Known returns the members that are alive, self included; a newcomer that is
// told of them meets everyone that matters to it.
func (t *Table) Known(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Member{t.self}
	for _, one := range t.members {
		if one.alive(now) {
			out = append(out, one.Member)
		}
	}
	sortMembers(out)
	return out
}

// Links returns the members that self should send to: all of its neighborhood
// and a few of each other one. Silent members stay among them until they are
// forgotten, because whoever is cut off is found again only by trying.
func (t *Table) Links(_ time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Member
	far := map[Neighborhood][]Member{}
	for _, one := range t.members {
		if one.Neighborhood == t.self.Neighborhood {
			out = append(out, one.Member)
		} else {
			far[one.Neighborhood] = append(far[one.Neighborhood], one.Member)
		}
	}
	for _, members := range far {
		out = append(out, First(members, string(t.self.Instance), farLinks)...)
	}
	sortMembers(out)
	return out
}

// Counts returns how many requests the living members have on each target.
func (t *Table) Counts(now time.Time) map[pkid.TargetID]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[pkid.TargetID]int64{}
	for _, one := range t.members {
		if !one.alive(now) {
			continue
		}
		for id, n := range one.counts {
			out[id] += n
		}
	}
	return out
}

// Pool returns how many requests the living neighbors have in a pool, and how
// many neighbors there are.
func (t *Table) Pool(now time.Time, pool pkid.PoolID) (inFlight, neighbors int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, one := range t.members {
		if !one.alive(now) || one.Neighborhood != t.self.Neighborhood {
			continue
		}
		neighbors++
		inFlight += one.pools[pool].InFlight
	}
	return inFlight, neighbors
}

// Twins returns living members that have the id of another entry: two VMs that
// were given one id. Their counts are kept apart, so nothing is lost, but an
// operator must know.
func (t *Table) Twins(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	owner := map[pkid.EntryID]Instance{t.self.Entry: t.self.Instance}
	var out []Member
	for _, one := range t.members {
		if !one.alive(now) {
			continue
		}
		if other, found := owner[one.Entry]; found && other != one.Instance {
			out = append(out, one.Member)
		}
		owner[one.Entry] = one.Instance
	}
	sortMembers(out)
	return out
}

func sortMembers(all []Member) {
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
}
