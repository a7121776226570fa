package pkmember

import (
	"slices"
	"strings"
	"sync"
	"time"

	"peridotknot.example/pkid"
)

const (
	// aliveTimeout is how long a member counts as alive without a message. It exceeds two of the
	// longest intervals, so that one lost or late message does not move work.
	aliveTimeout = 2*maxInterval + time.Second
	// forgetAfter is how long an entry keeps trying to reach a silent member, so that data centres
	// that were partitioned for an hour reconnect.
	forgetAfter = 2 * time.Hour
	// remotePeers is the number of members of each other neighborhood that an entry sends to.
	remotePeers = 2
)

// Table holds the state of the other entries.
type Table struct {
	mu      sync.Mutex
	self    Member
	members map[Instance]*memberState
	// tombstones are the instances that have left, so that an outdated report from a neighbor does
	// not add them again.
	tombstones map[Instance]time.Time
}

type memberState struct {
	Member
	lastReceivedAt time.Time
	everConnected  bool
	// disconnected is set while the member has no connection to this entry. connection is the
	// number of its last one.
	disconnected bool
	connection   uint64
	counts       map[pkid.TargetID]int64
	pools        map[pkid.PoolID]PoolCount
}

// NewTable returns a table that contains only self.
func NewTable(self Member) *Table {
	return &Table{self: self, members: map[Instance]*memberState{}, tombstones: map[Instance]time.Time{}}
}

// Self returns this entry's own member.
func (t *Table) Self() Member { return t.self }

// AddKnown adds members reported by another entry, the store or the settings. They count as alive
// only once they connect.
func (t *Table) AddKnown(now time.Time, known []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range known {
		t.add(now, m)
	}
}

func (t *Table) add(now time.Time, m Member) *memberState {
	if m.Instance == t.self.Instance || m.Instance == "" {
		return nil
	}
	if _, left := t.tombstones[m.Instance]; left {
		return nil
	}
	state, found := t.members[m.Instance]
	if !found {
		state = &memberState{Member: m, lastReceivedAt: now, counts: map[pkid.TargetID]int64{}, pools: map[pkid.PoolID]PoolCount{}}
		t.members[m.Instance] = state
	}
	return state
}

// Connected records a new connection from a member and returns its number. Counts are sent as
// changes on one connection, so a new one resets them.
func (t *Table) Connected(now time.Time, m Member) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.add(now, m)
	if state == nil {
		return 0
	}
	state.lastReceivedAt = now
	state.everConnected = true
	state.disconnected = false
	state.connection++
	clear(state.counts)
	return state.connection
}

// Apply applies an update from a member.
func (t *Table) Apply(now time.Time, from Instance, u *Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, found := t.members[from]
	if !found {
		return
	}
	state.lastReceivedAt = now
	for _, c := range u.Counts {
		if c.N == 0 {
			delete(state.counts, c.Target)
		} else {
			state.counts[c.Target] = c.N
		}
	}
	for _, p := range u.Pools {
		state.pools[p.Pool] = p
	}
	for _, m := range u.Known {
		t.add(now, m)
	}
}

// Disconnected records that a connection from a member has ended and drops the member's counts: if
// its VM failed, the engines drop its requests, and if only the connection did, the next one sends
// the counts again. It has no effect once a newer connection is open.
func (t *Table) Disconnected(id Instance, connection uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state, found := t.members[id]; found && state.connection == connection {
		state.disconnected = true
		clear(state.counts)
	}
}

// Leave removes a member that has announced its departure.
func (t *Table) Leave(now time.Time, id Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.members, id)
	t.tombstones[id] = now
}

// Prune removes members that have been silent for too long, and expired tombstones.
func (t *Table) Prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, state := range t.members {
		limit := forgetAfter
		if !state.everConnected {
			// Members that were only reported by others are dropped sooner.
			limit = aliveTimeout
		}
		if now.Sub(state.lastReceivedAt) > limit {
			delete(t.members, id)
		}
	}
	for id, at := range t.tombstones {
		if now.Sub(at) > forgetAfter {
			delete(t.tombstones, id)
		}
	}
}

func (m *memberState) alive(now time.Time) bool {
	return m.everConnected && !m.disconnected && now.Sub(m.lastReceivedAt) <= aliveTimeout
}

// Neighbors returns the live members of this entry's neighborhood, itself included, in order of
// instance.
func (t *Table) Neighbors(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Member{t.self}
	for _, state := range t.members {
		if state.alive(now) && state.Neighborhood == t.self.Neighborhood {
			out = append(out, state.Member)
		}
	}
	sortMembers(out)
	return out
}

// Size returns the number of known members, this entry included. Members that are silent count until
// they are removed.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members) + 1
}

// LiveMembers returns all live members, this entry included. A joining entry that receives them can
// reach every member that it needs.
func (t *Table) LiveMembers(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Member{t.self}
	for _, state := range t.members {
		if state.alive(now) {
			out = append(out, state.Member)
		}
	}
	sortMembers(out)
	return out
}

// SendPeers returns the members that this entry sends to: all of its neighborhood and a few of each
// other one. Silent members are included until they are removed, so that they are found again when
// a partition ends.
func (t *Table) SendPeers(_ time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Member
	remote := map[Neighborhood][]Member{}
	for _, state := range t.members {
		if state.Neighborhood == t.self.Neighborhood {
			out = append(out, state.Member)
		} else {
			remote[state.Neighborhood] = append(remote[state.Neighborhood], state.Member)
		}
	}
	for _, members := range remote {
		out = append(out, TopRanked(members, string(t.self.Instance), remotePeers)...)
	}
	sortMembers(out)
	return out
}

// Counts returns the number of requests that live members have on each target.
func (t *Table) Counts(now time.Time) map[pkid.TargetID]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[pkid.TargetID]int64{}
	for _, state := range t.members {
		if !state.alive(now) {
			continue
		}
		for id, n := range state.counts {
			out[id] += n
		}
	}
	return out
}

// Pool returns the number of requests that live neighbors have in a pool, and the number of these
// neighbors.
func (t *Table) Pool(now time.Time, pool pkid.PoolID) (inFlight, neighbors int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, state := range t.members {
		if !state.alive(now) || state.Neighborhood != t.self.Neighborhood {
			continue
		}
		neighbors++
		inFlight += state.pools[pool].InFlight
	}
	return inFlight, neighbors
}

// MembersSharingID returns live members whose entry ID another entry has as well, as when two VMs
// were given the same ID. Their counts are kept apart, but an operator must give one of them
// another ID.
func (t *Table) MembersSharingID(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	instances := map[pkid.EntryID]Instance{t.self.Entry: t.self.Instance}
	var out []Member
	for _, state := range t.members {
		if !state.alive(now) {
			continue
		}
		if other, found := instances[state.Entry]; found && other != state.Instance {
			out = append(out, state.Member)
		}
		instances[state.Entry] = state.Instance
	}
	sortMembers(out)
	return out
}

func sortMembers(all []Member) {
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
}
