package pkedge

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"peridotknot.example/pkcensus"
	"peridotknot.example/pkid"
	"peridotknot.example/pklease"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
)

const (
	// memberKeyPrefix and ownerKey are keys below the daemons' own prefix.
	memberKeyPrefix = "entry/"
	ownerKey        = "owner"
	// sizeKeyPrefix holds the number of entries of each data centre.
	sizeKeyPrefix = "size/"
)

// members holds the registered entries of the fleet, the owner of the pools and this daemon's lease.
type members struct {
	mu sync.Mutex
	// census counts the entries of the fleet, standing is whether they count this one.
	census   pkcensus.Census
	standing pkcensus.Standing
	// ownKey is whether the key of this entry registers this process.
	ownKey pkcensus.OwnKey
	// peers are the members that accept messages.
	peers map[pkid.EntryID]pkshare.Member
	// candidates are the entries of this data centre that a hub expects to be registered; nil if no
	// hub reported them.
	candidates []pkshare.Member
	// sizes are the numbers of entries of each data centre, as hubs saved them.
	sizes map[pkid.DataCenter]savedSize
	// listedBefore is set if the first list held a key of this entry.
	listedBefore bool
	// owner is the daemon that owns the pools, as of ownerRevision.
	owner         pkid.EntryID
	ownerRevision pkstore.Revision
	// ownerWrite is set while a write of the owner's key by this daemon has no answer: the key may be its
	// own.
	ownerWrite bool
	// actedAt is when this daemon last compared what engines hold with the plan, or ordered one, as the
	// owner of the pools.
	actedAt time.Time
	// known is set once the members were read, readTo is the revision up to which lists and watches were
	// applied. Own writes may be known of later revisions.
	known  bool
	readTo pkstore.Revision
	// ownRevision is the revision of this daemon's own key when it was last read.
	ownRevision pkstore.Revision

	leaseID pkstore.LeaseID
	lease   pklease.Lease
	// failures counts consecutive failed renewals.
	failures int
	// unanswered is set after a renewal without an answer, until the store answers one.
	unanswered bool
}

// membersRelayed reports whether hubs relay the members at now, so that this entry need not follow
// them itself: each change costs a call to the store per follower. The owner of the pools always
// follows them, since it must see a new owner.
func (d *Daemon) membersRelayed(now time.Time) bool {
	m := &d.members
	m.mu.Lock()
	may := m.known && !m.mayHoldOwnerKey(d.settings.Entry)
	m.mu.Unlock()
	return may && d.gossip.table.ServedByHub(now)
}

// hear records a message of another entry at now.
func (m *members) hear(now time.Time, in pkshare.Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.census.Hear(now, in.From, max(in.Entries, in.Members))
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

// isKnown reports whether the members were read from the store.
func (m *members) isKnown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known
}

// senderCount returns the number of daemons that send requests to the targets of a service at now: those
// that are cut off from them pass their requests on.
func (d *Daemon) senderCount(now time.Time, s pkid.ServiceID) int {
	return max(d.entryCount(now)-d.gossip.table.ImpairedCount(now, s), 1)
}

// countEntries returns the numbers of entries of this data centre and of the fleet, as a hub counts
// them at now for those that it serves.
func (d *Daemon) countEntries(now time.Time) (local, all int) {
	local, all = d.gossip.table.EntryCounts(now, d.self(), d.members.list())
	return local, max(all, d.members.count(now, d.settings.Entry))
}

// followMembers follows the list of daemons and the owner of the pools.
func (d *Daemon) followMembers(ctx context.Context) {
	d.follow(ctx, follower{
		name:          "members",
		prefix:        d.OwnPrefix,
		maxBatchDelay: maxMembersBatchDelay,
		onList: func(items []pkstore.Item, at pkstore.Revision) {
			d.loadSaved(time.Now(), items)
			d.replaceMembers(time.Now(), items, at)
		},
		onChange: func(events []pkstore.Event, at pkstore.Revision) {
			now := time.Now()
			d.loadSaved(now, written(events))
			d.applyMemberEvents(now, events, at)
		},
		relayed:    d.membersRelayed,
		findsHubs:  true,
		mayBeStale: true,
	})
}

// replaceMembers applies a list of the daemons' own keys at a revision, unless later changes were
// applied: a stale read may be older than what is known. What this daemon has written itself since that
// revision remains.
func (d *Daemon) replaceMembers(now time.Time, items []pkstore.Item, at pkstore.Revision) {
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	if at < m.readTo {
		return
	}
	first, before := !m.known, m.knownOwner()
	m.dropUnlisted(now, at)
	m.known, m.readTo = true, at
	if !slices.ContainsFunc(items, func(one pkstore.Item) bool { return one.Key == d.memberKey() }) {
		m.ownKey.Delete(at)
	}
	for _, one := range items {
		if one.Key == d.memberKey() {
			m.ownRevision = max(m.ownRevision, one.Revision)
			m.listedBefore = m.listedBefore || first
			d.seeOwnKey(pkstore.Event{Item: one})
		}
		m.apply(now, strings.TrimPrefix(one.Key, d.OwnPrefix), pkstore.Event{Item: one})
	}
	if d.gossip.table.ServedByHub(now) {
		m.usePeers(d.settings.DataCenter, m.candidates) // the list may be older than what the hub has reported
	}
	d.logOwner(before, "list", at)
	d.log.Info("members known", "source", "list", "members", len(m.peers), "known_to", at.String())
	d.gossip.updateLinks()
}

// dropUnlisted drops what is known as of a revision, before the items of a list at that revision are
// applied.
func (m *members) dropUnlisted(now time.Time, at pkstore.Revision) {
	if m.ownerRevision <= at {
		m.owner, m.ownerRevision = "", 0
	}
	if m.ownRevision <= at {
		m.ownRevision = 0
	}
	maps.DeleteFunc(m.sizes, func(_ pkid.DataCenter, one savedSize) bool { return one.revision <= at })
	clear(m.peers)
	m.census.BeginList(now)
}

// applyMemberEvents applies changes of the daemons' own keys up to a revision.
func (d *Daemon) applyMemberEvents(now time.Time, events []pkstore.Event, at pkstore.Revision) {
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.knownOwner()
	for _, ev := range events {
		if ev.Item.Revision > m.readTo {
			if ev.Item.Key == d.memberKey() {
				d.seeOwnKey(ev)
			}
			m.apply(now, strings.TrimPrefix(ev.Item.Key, d.OwnPrefix), ev)
		}
	}
	m.readTo = max(m.readTo, at)
	d.logOwner(before, "watch", at)
}

// seeOwnKey records a change of the key of this entry; the caller holds members.mu.
func (d *Daemon) seeOwnKey(ev pkstore.Event) {
	m := &d.members
	if ev.Deleted {
		m.ownKey.Delete(ev.Item.Revision)
		return
	}
	var one pkshare.Member
	err := json.Unmarshal(ev.Item.Value, &one)
	before := m.ownKey.IsReplaced()
	m.ownKey.See(ev.Item.Revision, err == nil && one.Addr == d.gossip.addr)
	if m.ownKey.IsReplaced() {
		m.standing.Replace()
	}
	if m.ownKey.IsReplaced() && !before && m.leaseID != 0 {
		d.log.Warn("another process has registered this entry", "addr", one.Addr, "own_addr", d.gossip.addr, "revision", ev.Item.Revision.String())
	}
}

// ownerAt is the owner of the pools, empty if there is none, as of a revision of its key.
type ownerAt struct {
	owner    pkid.EntryID
	revision pkstore.Revision
}

// knownOwner returns the owner that is known; the caller holds mu.
func (m *members) knownOwner() ownerAt { return ownerAt{owner: m.owner, revision: m.ownerRevision} }

// mayHoldOwnerKey reports whether the owner's key may be that of self; the caller holds mu.
func (m *members) mayHoldOwnerKey(self pkid.EntryID) bool { return m.owner == self || m.ownerWrite }

// setOwnerWrite records whether a write of the owner's key by this daemon has no answer.
func (m *members) setOwnerWrite(unanswered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownerWrite = unanswered
}

// logOwner logs a change of the owner since it was the one before; the caller holds members.mu. knownTo is
// the revision up to which the source knew the store.
func (d *Daemon) logOwner(before ownerAt, source string, knownTo pkstore.Revision) {
	if now := d.members.knownOwner(); now != before {
		d.log.Info("the owner of the pools has changed", "owner", now.owner, "revision", now.revision.String(), "before", before.owner,
			"before_revision", before.revision.String(), "source", source, "known_to", knownTo.String())
	}
}

// refreshMembers lists the daemons' own keys before this daemon registers in a data centre that
// seems to have no registered entry: what it has read may be seconds old.
func (d *Daemon) refreshMembers(ctx context.Context) {
	items, at, err := d.Store.List(ctx, d.OwnPrefix)
	d.recordStoreCall(callList, askerLease, err)
	if err != nil {
		d.log.Warn("the members were not read before registration", "error", err)
		return
	}
	d.replaceMembers(time.Now(), items, at)
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
	if dc, found := strings.CutPrefix(key, sizeKeyPrefix); found {
		m.applySize(pkid.DataCenter(dc), ev)
		return
	}
	name, found := strings.CutPrefix(key, memberKeyPrefix)
	if !found {
		return
	}
	if m.peers == nil {
		m.peers = map[pkid.EntryID]pkshare.Member{}
	}
	id := pkid.EntryID(name)
	if ev.Deleted {
		m.census.Leave(now, id)
		delete(m.peers, id)
		return
	}
	m.census.Register(id)
	one := pkshare.Member{ID: id}
	// A member whose value cannot be read, such as one written by another version, still counts.
	if err := json.Unmarshal(ev.Item.Value, &one); err == nil && one.Addr != "" {
		m.peers[id] = one
	}
}

// memberKey returns this daemon's own key.
func (d *Daemon) memberKey() string { return d.OwnPrefix + memberKeyPrefix + string(d.settings.Entry) }

// savedSize is a saved number of entries, as of the revision of its key.
type savedSize struct {
	entries  int
	revision pkstore.Revision
}

// applySize applies a change of the saved number of entries of a data centre. One that cannot be
// read is ignored.
func (m *members) applySize(dc pkid.DataCenter, ev pkstore.Event) {
	if ev.Item.Revision < m.sizes[dc].revision {
		return
	}
	if m.sizes == nil {
		m.sizes = map[pkid.DataCenter]savedSize{}
	}
	n, err := strconv.Atoi(string(ev.Item.Value))
	if ev.Deleted || err != nil {
		delete(m.sizes, dc)
		return
	}
	m.sizes[dc] = savedSize{entries: n, revision: ev.Item.Revision}
}

// applyCandidates replaces the members of a data centre by those that a hub reported, and returns how many members
// are known.
func (m *members) applyCandidates(dc pkid.DataCenter, candidates []pkshare.Member) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.candidates = candidates
	m.usePeers(dc, candidates)
	return len(m.peers)
}

// usePeers replaces the members of a data centre by the registered ones that a hub reported, if one did; the caller
// holds mu.
func (m *members) usePeers(dc pkid.DataCenter, candidates []pkshare.Member) {
	if candidates == nil {
		return
	}
	maps.DeleteFunc(m.peers, func(_ pkid.EntryID, one pkshare.Member) bool { return one.DataCenter == dc })
	if m.peers == nil {
		m.peers = map[pkid.EntryID]pkshare.Member{}
	}
	for _, one := range candidates {
		if !one.Unregistered {
			m.peers[one.ID] = one
		}
	}
}

// knowsOthers reports whether another entry than this one is registered.
func (m *members) knowsOthers(self pkid.EntryID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.peers {
		if id != self {
			return true
		}
	}
	return false
}

// wasRegistered reports whether an entry is registered at now, or was until recently: a store that
// was unavailable drops the leases of all entries, which must not change the hubs.
func (m *members) wasRegistered(now time.Time, id pkid.EntryID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, present := m.peers[id]; present {
		return true
	}
	return m.census.WasRegistered(now, id, pkshare.EntryRetention)
}
