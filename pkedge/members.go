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
	// memberKeyPrefix and ownerKey are keys below the daemons' own prefix.
	memberKeyPrefix = "entry/"
	ownerKey        = "owner"
	// memberRetention is how long a former member still counts for the retry budget, since its last
	// retries are still within the window.
	memberRetention = 10 * time.Second
)

// members holds the entries of the fleet, the owner of the pools and this daemon's lease.
type members struct {
	mu sync.Mutex
	// leftAt holds when each former member left; zero for present members.
	leftAt map[pkid.EntryID]time.Time
	// peers are the members that accept messages.
	peers map[pkid.EntryID]pkshare.Member
	// owner is the daemon that owns the pools, as of ownerRevision.
	owner         pkid.EntryID
	ownerRevision pkstore.Revision
	// known is set once the members were read.
	known bool
	// ownRevision is the revision of this daemon's own key when it was last read.
	ownRevision pkstore.Revision
	// reportedCount is the number of members last reported by a hub; zero once the list was read
	// again.
	reportedCount int

	leaseID pkstore.LeaseID
	lease   pklease.Lease
	// failures counts consecutive failed renewals.
	failures int
	// unanswered is set after a renewal without an answer, until the store answers one.
	unanswered bool
}

// count returns the number of daemons that share limits of the whole fleet; reported is the number
// reported by hubs, or zero. Without hubs it returns the larger of the last reported and the listed
// number, since a count that is too high only makes each share smaller and so keeps the limit.
func (m *members) count(now time.Time, reported int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if reported > 0 {
		m.reportedCount = reported
		return reported
	}
	listed := 0
	for _, gone := range m.leftAt {
		if gone.IsZero() || now.Sub(gone) < memberRetention {
			listed++
		}
	}
	return max(m.reportedCount, listed, 1)
}

// membersRelayed reports whether hubs relay the members at now, so that this entry need not follow
// them itself: each change costs a call to the store per follower. The owner of the pools always
// follows them, since it must see a new owner.
func (d *Daemon) membersRelayed(now time.Time) bool {
	m := &d.members
	m.mu.Lock()
	may := m.known && m.owner != d.settings.Entry
	m.mu.Unlock()
	return may && d.gossip.table.ServedByHub(now)
}

// list returns the members that accept messages.
func (m *members) list() []pkshare.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]pkshare.Member, 0, len(m.peers))
	for _, one := range m.peers {
		out = append(out, one)
	}
	return out
}

// entryCount returns the number of daemons that share limits of the whole fleet at now.
func (d *Daemon) entryCount(now time.Time) int {
	return d.members.count(now, d.gossip.table.HubMemberCount(now))
}

// followMembers follows the list of daemons and the owner of the pools.
func (d *Daemon) followMembers(ctx context.Context) {
	m := &d.members
	d.follow(ctx, follower{
		name:          "members",
		prefix:        d.OwnPrefix,
		maxBatchDelay: maxMembersBatchDelay,
		onList: func(items []pkstore.Item, _ pkstore.Revision) {
			now := time.Now()
			d.loadSaved(now, items)
			m.mu.Lock()
			defer m.mu.Unlock()
			m.owner, m.ownerRevision, m.ownRevision, m.known, m.reportedCount = "", 0, 0, true, 0
			for id, gone := range m.leftAt {
				if gone.IsZero() {
					m.leftAt[id] = now
					delete(m.peers, id)
				}
			}
			for _, one := range items {
				if one.Key == d.memberKey() {
					m.ownRevision = one.Revision
				}
				m.apply(now, strings.TrimPrefix(one.Key, d.OwnPrefix), pkstore.Event{Item: one})
			}
		},
		onChange: func(events []pkstore.Event, _ pkstore.Revision) {
			now := time.Now()
			d.loadSaved(now, written(events))
			m.mu.Lock()
			defer m.mu.Unlock()
			for _, ev := range events {
				m.apply(now, strings.TrimPrefix(ev.Item.Key, d.OwnPrefix), ev)
			}
		},
		relayed: d.membersRelayed,
	})
}

// written returns the items written by events.
func written(events []pkstore.Event) []pkstore.Item {
	var out []pkstore.Item
	for _, ev := range events {
		if !ev.Deleted {
			out = append(out, ev.Item)
		}
	}
	return out
}

func (m *members) apply(now time.Time, key string, ev pkstore.Event) {
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
	name, found := strings.CutPrefix(key, memberKeyPrefix)
	if !found {
		return
	}
	if m.leftAt == nil {
		m.leftAt = map[pkid.EntryID]time.Time{}
		m.peers = map[pkid.EntryID]pkshare.Member{}
	}
	id := pkid.EntryID(name)
	if ev.Deleted {
		m.leftAt[id] = now
		delete(m.peers, id)
		return
	}
	m.leftAt[id] = time.Time{}
	one := pkshare.Member{ID: id}
	// A member whose value cannot be read, such as one written by another version, still counts.
	if err := json.Unmarshal(ev.Item.Value, &one); err == nil && one.Addr != "" {
		m.peers[id] = one
	}
}

// memberKey returns this daemon's own key.
func (d *Daemon) memberKey() string { return d.OwnPrefix + memberKeyPrefix + string(d.settings.Entry) }
