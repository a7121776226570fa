package pkshare

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pkquarantine"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkstore"
)

const (
	// Interval is the interval between messages. It is a small fraction of a request's duration,
	// since entries with older load data would overload the same target.
	Interval = 150 * time.Millisecond
	// HeartbeatInterval is the heartbeat interval of an entry that has nothing new to send.
	HeartbeatInterval = time.Second
	// staleAfter is the age from which a peer's last message is ignored.
	staleAfter = 1500 * time.Millisecond
	// HubInterval is the interval between messages to and from hubs. Load data passes through up
	// to two hubs and reaches all entries in about half a second.
	HubInterval = 300 * time.Millisecond
	// catchUpDelay is how long an entry may lag before its peers send it what it lacks, since most
	// receive a change from the store within milliseconds. Hubs send the replica list without
	// delay, since their entries do not watch it themselves.
	catchUpDelay = 250 * time.Millisecond
	// standbyDelay is the same at a hub that is not the first of its data centre: the first one's
	// catch-up and the answer to it take two messages.
	standbyDelay = HubInterval + 200*time.Millisecond
	// catchUpRetry is the pause before an entry that still lags is sent the same state again. Its
	// next message comes within a third of that.
	catchUpRetry = time.Second
	// catchUpSenders is how many entries send the same state to a lagging one.
	catchUpSenders = 2
)

// peer is the state that one other entry last reported.
type peer struct {
	addr string
	run  uint64
	// endedRun is the run before this one.
	endedRun       uint64
	sequence       uint64
	lastReceivedAt time.Time
	config         pkstore.Revision
	version        pkconfig.Version
	list           pkstore.Revision
	loads          []Load
	flows          []Flow
	demands        []Demand
	// sum is set where the peer sent its message as a hub.
	sum            *Sum
	dataCenter     pkid.DataCenter
	processorShare float64
	// configBehindSince and listBehindSince are when the peer was first seen with an older state
	// than this entry's; zero while it has none.
	configBehindSince time.Time
	listBehindSince   time.Time
	// quarantine is the difference between the peer's quarantined requests and this entry's.
	quarantine quarantineSync
	// configSentAt and listSentAt are when the peer was last sent a catch-up.
	configSentAt time.Time
	listSentAt   time.Time
	// relays is set if the peer accepts relayed requests, impaired are the services whose targets it
	// cannot reach.
	relays   bool
	impaired []pkid.ServiceID
	// wantedHelpAt is when the peer last reported that too few entries of its data centre are in order.
	wantedHelpAt time.Time
	// owns is the revision of the owner's key that the peer acts on, nil if its build does not tell.
	owns *pkstore.Revision
	// following is set if the peer watches the replica list in the store, followingSince is since
	// when it has done so without interruption.
	following      bool
	followingSince time.Time
	// relaying is set if the peer is a hub that receives the store's changes from another one.
	relaying bool
	// members and localEntries are the numbers of entries of the fleet and of the peer's data
	// centre, as the peer counted them.
	members      int
	localEntries int
}

// Table holds the last state of each other entry; the zero value is empty.
type Table struct {
	mu    sync.Mutex
	peers map[pkid.EntryID]*peer
	// expectedSince is since when each silent hub has been expected to send.
	expectedSince map[pkid.EntryID]time.Time
	// anyImpaired is set if some peer may be cut off from the targets of a service.
	anyImpaired bool
	// impairedAt is when a peer last became impaired.
	impairedAt time.Time
	// helpers are entries in order as hubs report them, and helpReportedAt is when one last did.
	helpers        map[pkid.EntryID]reportedHelper
	helpReportedAt time.Time
	// lastSent is the state that this entry last sent to its hubs, sentSums are the loads that it
	// last sent as a hub, by role.
	lastSent Message
	sentSums [roleCount]sentLoads
}

// Apply applies a message and reports whether it is newer than the last one from its sender.
func (t *Table) Apply(now time.Time, m Message) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.sender(m.From)
	if p.run == m.Run && m.Sequence <= p.sequence {
		return false
	}
	if p.run != m.Run {
		// A late message of the run that ended would bring back what waited and ran there.
		if p.endedRun == m.Run && now.Sub(p.lastReceivedAt) < staleAfter {
			return false
		}
		*p = peer{endedRun: p.run}
	}
	m.Sum = p.wholeSum(m.Sum)
	p.addr, p.run, p.sequence, p.lastReceivedAt = m.Addr, m.Run, m.Sequence, now
	p.config, p.version, p.list = m.Config, m.Version, m.List
	p.loads, p.flows, p.demands = m.Loads, m.Flows, m.Demands
	if m.Following && !p.following {
		p.followingSince = now
	}
	p.following, p.relaying, p.quarantine.checksum = m.Following, m.Relaying, m.QuarantineChecksum
	p.members, p.localEntries = m.Members, m.LocalEntries
	if len(m.Impaired) > 0 && len(p.impaired) == 0 {
		t.impairedAt = now
	}
	p.relays, p.impaired, p.owns = m.Relays, m.Impaired, m.Owns
	t.applyHelp(now, p, m.Help)
	t.anyImpaired = t.anyImpaired || len(m.Impaired) > 0
	p.sum, p.dataCenter, p.processorShare = m.Sum, m.DataCenter, float64(m.ProcessorShare)
	return true
}

// sender returns what is known of an entry that has sent a message.
func (t *Table) sender(id pkid.EntryID) *peer {
	if t.peers == nil {
		t.peers = map[pkid.EntryID]*peer{}
	}
	if t.peers[id] == nil {
		t.peers[id] = &peer{}
	}
	return t.peers[id]
}

// wholeSum returns a sum with the loads that it leaves out since they have not changed.
func (p *peer) wholeSum(sum *Sum) *Sum {
	if sum == nil || !sum.Partial {
		return sum
	}
	whole := *sum
	whole.Partial, whole.Changed = false, nil
	if p.sum != nil {
		whole.Loads = p.sum.Loads
	}
	whole.Loads = merge(whole.Loads, sum.Changed)
	return &whole
}

// PeerLoads returns the load of all other entries by target; own is the load of this one. Members
// that have sent nothing are assumed to carry the average load of the others and this one: after a
// simultaneous restart each entry would otherwise take the pool for empty, and all would overload
// the same targets.
func (t *Table) PeerLoads(now time.Time, members int, own map[pkid.TargetID]pkreplica.Load) map[pkid.TargetID]pkreplica.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	reported := t.addOthers(now)
	out := make(map[pkid.TargetID]pkreplica.Load, len(reported.loads))
	for id, l := range reported.loads {
		out[id] = pkreplica.Load{Requests: l.Requests, Tokens: float64(l.Tokens)}
	}
	ratio := missingRatio(reported.entries, members)
	for id, load := range own {
		sum := out[id]
		sum.Requests += int(ratio * float64(sum.Requests+load.Requests))
		sum.Tokens += ratio * (sum.Tokens + load.Tokens)
		out[id] = sum
	}
	for id, sum := range out {
		if _, counted := own[id]; !counted {
			out[id] = pkreplica.Load{Requests: int((1 + ratio) * float64(sum.Requests)), Tokens: (1 + ratio) * sum.Tokens}
		}
	}
	return out
}

// Flow returns the tokens of all other entries in flight between two data centres, extrapolated to
// members that have sent nothing; own is what this entry has in flight.
func (t *Table) Flow(now time.Time, members int, a, b pkid.DataCenter, own float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum, reporting := t.othersFlow(now, pairOf(a, b))
	return sum + missingRatio(reporting, members)*(sum+own)
}

// missingRatio returns the ratio of members that have sent nothing to members that are reporting,
// with this entry among the latter.
func missingRatio(reporting, members int) float64 {
	return float64(max(members-1-reporting, 0)) / float64(1+reporting)
}

// LivePeerCount returns the number of entries whose last message is not stale.
func (t *Table) LivePeerCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.peers {
		if now.Sub(p.lastReceivedAt) < staleAfter {
			n++
		}
	}
	return n
}

// LocalState is this entry's own state, with which that of a peer is compared.
type LocalState struct {
	Self   pkid.EntryID
	Config pkstore.Revision
	// Version is the version of the configuration at revision Config.
	Version pkconfig.Version
	List    pkstore.Revision
	// QuarantineChecksum is a checksum of the quarantined requests.
	QuarantineChecksum pkquarantine.Checksum
	// Hub is set if this entry is a hub of the peer. It then sends a catch-up regardless of other
	// entries.
	Hub bool
	// Spoke is set if the peer relies on this hub and follows nothing in the store itself.
	Spoke bool
	// Standby is set if another hub of the data centre comes first. This one then waits for the
	// other before it sends the same.
	Standby bool
}

// catchUpWaits returns how long a peer may lag before it is sent the configuration and the list.
func (l LocalState) catchUpWaits() (config, list time.Duration) {
	switch {
	case l.Spoke && l.Standby:
		return standbyDelay, standbyDelay
	case l.Spoke:
		return 0, 0
	case l.Hub:
		return catchUpDelay, 0
	default:
		return catchUpDelay, catchUpDelay
	}
}

// CatchUp is what to send to a lagging peer: the configuration, the records of the replica list
// after revision After, or the quarantined requests.
type CatchUp struct {
	Config bool
	List   bool
	After  pkstore.Revision
	// Quarantine is set if the peer's quarantined requests differ from this entry's.
	Quarantine bool
}

// CatchUpFor returns what to send to a peer that has lagged behind this entry for some time, and
// records it as sent. Only a few entries send the same state to one peer.
func (t *Table) CatchUpFor(now time.Time, to pkid.EntryID, local LocalState) CatchUp {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[to]
	if p == nil || now.Sub(p.lastReceivedAt) >= staleAfter {
		return CatchUp{}
	}
	configWait, listWait := local.catchUpWaits()
	var out CatchUp
	if sustained(now, &p.configBehindSince, p.hasOlderConfig(local), configWait) && now.Sub(p.configSentAt) >= catchUpRetry &&
		(local.Hub || t.sendsCatchUp(now, to, local.Self, func(p *peer) bool { return !p.hasOlderConfig(local) })) {
		p.configSentAt = now
		out.Config = true
	}
	if sustained(now, &p.listBehindSince, p.list < local.List, listWait) && now.Sub(p.listSentAt) >= catchUpRetry &&
		(local.Hub || t.sendsCatchUp(now, to, local.Self, func(p *peer) bool { return p.list >= local.List })) {
		p.listSentAt = now
		out.List, out.After = true, p.list
	}
	out.Quarantine = p.quarantine.catchUpDue(now, p.lastReceivedAt, local.QuarantineChecksum)
	return out
}

// FollowedSince reports whether some live peer has watched the replica list without interruption
// since before the given time, so that the store has been available to it throughout.
func (t *Table) FollowedSince(now, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.following && p.followingSince.Before(since) && now.Sub(p.lastReceivedAt) < staleAfter {
			return true
		}
	}
	return false
}

// ServedByHub reports whether a hub sends this entry the configuration, the replica list and the
// number of members, so that it need not watch them in the store: each watching entry costs the
// store one call per change.
func (t *Table) ServedByHub(now time.Time) bool { return t.HubMemberCount(now) > 0 }

// HubMemberCount returns the number of members that hubs report; zero where no hub serves this
// entry.
func (t *Table) HubMemberCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	most := 0
	for _, p := range t.peers {
		if p.sum != nil && p.sum.Global && (p.following || p.relaying) && now.Sub(p.lastReceivedAt) < staleAfter {
			most = max(most, p.members)
		}
	}
	return most
}

// sustained reports whether a condition has held for at least wait; since records when it began.
func sustained(now time.Time, since *time.Time, condition bool, wait time.Duration) bool {
	if !condition {
		*since = time.Time{}
		return false
	}
	if since.IsZero() {
		*since = now
	}
	return now.Sub(*since) >= wait
}

// hasOlderConfig reports whether a peer's configuration is older than this entry's. Versions decide
// where both are known: a store that was restored from an older copy may hold an older version at a
// later revision until the newest one is written again.
func (p *peer) hasOlderConfig(local LocalState) bool {
	if p.version != 0 && local.Version != 0 && p.version != local.Version {
		return p.version < local.Version
	}
	return p.config < local.Config
}

// sendsCatchUp reports whether this entry is one of the catchUpSenders entries with the lowest IDs
// that can send a peer its catch-up.
func (t *Table) sendsCatchUp(now time.Time, to, self pkid.EntryID, canSend func(*peer) bool) bool {
	candidates := []pkid.EntryID{self}
	for id, p := range t.peers {
		if id != to && now.Sub(p.lastReceivedAt) < staleAfter && canSend(p) {
			candidates = append(candidates, id)
		}
	}
	slices.SortFunc(candidates, cmp.Compare[pkid.EntryID])
	return slices.Index(candidates, self) < catchUpSenders
}

// Reconnected makes a peer eligible for all catch-ups again, since messages on its previous
// connection may have been lost.
func (t *Table) Reconnected(to pkid.EntryID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[to]; p != nil {
		p.configSentAt, p.listSentAt, p.quarantine.sentAt = time.Time{}, time.Time{}, time.Time{}
	}
}

// Members returns the entries that accept messages and whose last message is not stale. Only the
// store shows which of them are registered.
func (t *Table) Members(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Member
	for id, p := range t.peers {
		if now.Sub(p.lastReceivedAt) < staleAfter && p.addr != "" {
			out = append(out, Member{ID: id, Addr: p.addr, DataCenter: p.dataCenter, ProcessorShare: p.processorShare, Unregistered: true, Relays: p.relays})
		}
	}
	return out
}

// ImpairedCount returns the number of live entries at now that cannot reach the targets of a service.
func (t *Table) ImpairedCount(now time.Time, s pkid.ServiceID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.anyImpaired {
		return 0
	}
	n := 0
	t.anyImpaired = false
	for _, p := range t.peers {
		if now.Sub(p.lastReceivedAt) >= staleAfter || len(p.impaired) == 0 {
			continue
		}
		t.anyImpaired = true
		if slices.Contains(p.impaired, s) {
			n++
		}
	}
	return n
}

// OwnerIdle reports whether an entry that is heard of at now tells that it does not act on the owner's
// key at a revision.
func (t *Table) OwnerIdle(now time.Time, owner pkid.EntryID, key pkstore.Revision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[owner]
	return p != nil && now.Sub(p.lastReceivedAt) < staleAfter && p.owns != nil && *p.owns != key
}
