package pkedge

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pklease"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
)

const (
	memberKey = "entry/"
	ownerKey  = "owner"
	// lateMember is how long a member that is gone still counts in the shares of
	// the retry budget: its last repeats are still in the window.
	lateMember = 10 * time.Second
)

// members is what a daemon knows of the others, and its own lease.
type members struct {
	mu sync.Mutex
	// seen is when each daemon was last a member; zero while it is one.
	seen map[pkid.EntryID]time.Time
	// peers is how the others know each member.
	peers map[pkid.EntryID]pkshare.Member
	// owner is the daemon that owns the pools, at a revision.
	owner         pkid.EntryID
	ownerRevision pkstore.Revision
	known         bool
	// ownRevision is the revision of this daemon's own entry, as it was last read.
	ownRevision pkstore.Revision
	// told is how many members a hub last named; zero once the list was read again.
	told int

	id    pkstore.LeaseID
	lease pklease.Lease
	// failures counts failed renewals in a row.
	failures int
	// unanswered says that a renewal got no answer, and none since has shown that the store serves
	// this entry.
	unanswered bool
}

// entries returns how many daemons share what is bounded over all; told is how many hubs
// tell of, zero where none does. A daemon that has lost its hubs, and perhaps the store with
// them, goes on with the greater of what they said and what it read: a share that is too
// small holds the bound.
func (m *members) entries(now time.Time, told int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if told > 0 {
		m.told = told
		return told
	}
	listed := 0
	for _, gone := range m.seen {
		if gone.IsZero() || now.Sub(gone) < lateMember {
			listed++
		}
	}
	return max(m.told, listed, 1)
}

// membersLed says whether hubs tell at now what this entry would follow the members for.
// The members change with each entry that comes, goes or loses its lease, and each change
// costs a call to the store of each entry that follows them. The owner of the pools must see
// who comes after it.
func (d *Daemon) membersLed(now time.Time) bool {
	m := &d.members
	m.mu.Lock()
	may := m.known && m.owner != d.settings.Entry
	m.mu.Unlock()
	return may && d.sharing.table.Led(now)
}

// list returns the members that take messages.
func (m *members) list() []pkshare.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]pkshare.Member, 0, len(m.peers))
	for _, one := range m.peers {
		out = append(out, one)
	}
	return out
}

// entries returns how many daemons share at now what is bounded over all.
func (d *Daemon) entries(now time.Time) int {
	return d.members.entries(now, d.sharing.table.MembersTold(now))
}

// followMembers keeps the list of daemons and the owner.
func (d *Daemon) followMembers(ctx context.Context) {
	m := &d.members
	d.follow(ctx, follower{
		name:     "members",
		prefix:   d.OwnPrefix,
		paceMost: membersPaceMost,
		list: func(items []pkstore.Item, _ pkstore.Revision) {
			now := time.Now()
			d.loadSaved(now, items)
			m.mu.Lock()
			defer m.mu.Unlock()
			m.owner, m.ownerRevision, m.ownRevision, m.known, m.told = "", 0, 0, true, 0
			for id, gone := range m.seen {
				if gone.IsZero() {
					m.seen[id] = now
					delete(m.peers, id)
				}
			}
			for _, one := range items {
				if one.Key == d.memberKey() {
					m.ownRevision = one.Revision
				}
				m.take(now, strings.TrimPrefix(one.Key, d.OwnPrefix), pkstore.Event{Item: one})
			}
		},
		change: func(events []pkstore.Event, _ pkstore.Revision) {
			now := time.Now()
			d.loadSaved(now, written(events))
			m.mu.Lock()
			defer m.mu.Unlock()
			for _, ev := range events {
				m.take(now, strings.TrimPrefix(ev.Item.Key, d.OwnPrefix), ev)
			}
		},
		led: d.membersLed,
	})
}

// written returns the items of events that wrote one.
func written(events []pkstore.Event) []pkstore.Item {
	var out []pkstore.Item
	for _, ev := range events {
		if !ev.Deleted {
			out = append(out, ev.Item)
		}
	}
	return out
}

func (m *members) take(now time.Time, key string, ev pkstore.Event) {
	if key == ownerKey {
		if ev.Item.Revision < m.ownerRevision {
			return
		}
		m.owner, m.ownerRevision = pkid.EntryID(ev.Item.Value), ev.Item.Revision
		if ev.Deleted {
			m.owner = ""
		}
		return
	}
	name, found := strings.CutPrefix(key, memberKey)
	if !found {
		return
	}
	if m.seen == nil {
		m.seen = map[pkid.EntryID]time.Time{}
		m.peers = map[pkid.EntryID]pkshare.Member{}
	}
	id := pkid.EntryID(name)
	if ev.Deleted {
		m.seen[id] = now
		delete(m.peers, id)
		return
	}
	m.seen[id] = time.Time{}
	one := pkshare.Member{ID: id}
	// A member whose value is not readable, of another build, still has its share of
	// what is bounded over all.
	if err := json.Unmarshal(ev.Item.Value, &one); err == nil && one.Addr != "" {
		m.peers[id] = one
	}
}

// memberKey returns the key of this daemon's own entry.
func (d *Daemon) memberKey() string { return d.OwnPrefix + memberKey + string(d.settings.Entry) }
