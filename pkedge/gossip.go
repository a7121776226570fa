package pkedge

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkid"
	"peridotknot.example/pkpack"
	"peridotknot.example/pkpeer"
	"peridotknot.example/pkrate"
	"peridotknot.example/pkrelay"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
	"peridotknot.example/pktimer"
)

const (
	// roundsPerPeerLinkUpdate is the number of rounds after which the links to peers are updated.
	roundsPerPeerLinkUpdate = 3
	// minLinkInterval is the shortest time between updates of the links.
	minLinkInterval = 100 * time.Millisecond
	// roundsPerSum is the number of rounds after which a message is due in fleets with hubs.
	roundsPerSum = int(pkshare.HubInterval / pkshare.Interval)
	// storeRecoveryAnnounceTime is how long this entry announces to peers that the store is
	// available again. Replicas renew expired records within that time.
	storeRecoveryAnnounceTime = 5 * time.Second
	// sendBatchDelay is the delay before a message that is sent at once. Engines that die together
	// are found within a few milliseconds of one another, and are reported in one message.
	sendBatchDelay = 5 * time.Millisecond
	// loadSumInterval is how often the loads of the other entries are summed, twice as often as
	// they are reported; loadSumIntervalWithHubs is the same if hubs report them.
	loadSumInterval         = pkshare.Interval / 2
	loadSumIntervalWithHubs = pkshare.HubInterval / 2
)

// gossip is the exchange of state with the other entries.
type gossip struct {
	table     pkshare.Table
	transport *pkpeer.Transport[pkshare.Message]
	listener  net.Listener
	// addr is the address that this entry receives messages at, empty if it has no peers.
	addr string
	// run identifies this start of the entry.
	run uint64

	// peerLinks are the connections to peers by address; only sendToPeers uses them.
	peerLinks map[string]*peerLink
	// withHubs is set if the fleet is large enough for hubs, which relay messages.
	withHubs atomic.Bool
	// designated is set if this entry is one of the designated entries of its data centre, which
	// are its hubs if there are hubs.
	designated atomic.Bool
	// first is set if this entry is the first designated one, firstHub is that one.
	first    atomic.Bool
	firstHub atomic.Pointer[pkid.EntryID]
	// rolesKnown is set once the roles were determined from the members in the store.
	rolesKnown atomic.Bool
	// packed is the configuration as it was last sent; only sendToPeers uses it.
	packed pkstore.Item
	// linked are the addresses that have peer links.
	linked atomic.Pointer[map[string]bool]
	// linksChanged is set if the peer links must be updated before the next round.
	linksChanged atomic.Bool

	// sendNow wakes the sender before its next round; urgent is set if a message must be sent then.
	sendNow chan struct{}
	urgent  atomic.Bool
	// helpWanted is set if a peer that this hub serves has reported that its links to the targets are impaired.
	helpWanted atomic.Bool

	mu       sync.Mutex
	sequence uint64
	suspects map[pkid.TargetID]suspicion
	wg       sync.WaitGroup
}

func (s *gossip) open(listen Listen) error {
	s.transport = pkpeer.NewTransport[pkshare.Message](pkpeer.Identity{}, pkconn.DefaultOptions())
	s.run = rand.Uint64()
	s.peerLinks = map[string]*peerLink{}
	s.suspects = map[pkid.TargetID]suspicion{}
	s.sendNow = make(chan struct{}, 1)
	if listen.Peers == "" {
		return nil
	}
	var err error
	if s.listener, err = net.Listen("tcp", listen.Peers); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	s.addr = s.listener.Addr().String()
	return nil
}

// peersHandler receives messages of other entries.
func (d *Daemon) peersHandler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pkpeer.Path, func(w http.ResponseWriter, r *http.Request) {
		c, err := d.gossip.transport.Accept(w, r)
		if err != nil {
			d.log.Warn("peer connection not accepted", "error", err)
			return
		}
		defer func() { _ = c.Close() }() // nothing is pending on it
		for {
			m, err := c.Receive(ctx)
			if err != nil {
				return
			}
			d.receiveMessage(time.Now(), m)
		}
	})
	mux.HandleFunc("POST "+pkrelay.Path, d.serveRelayed)
	return mux
}

// receiveMessage merges a message of another entry.
func (d *Daemon) receiveMessage(now time.Time, m pkshare.Message) {
	if m.From == d.settings.Entry {
		return
	}
	wantsHelp := d.gossip.table.WantsHelp(now, m)
	if !d.gossip.table.Apply(now, m) {
		return
	}
	d.members.hear(now, m)
	if wantsHelp && d.gossip.designated.Load() {
		d.gossip.requestHelp(m)
	}
	if d.gossip.isUnknown(m) {
		d.gossip.updateLinks()
	}
	d.recordEra(now, max(m.Config, m.List), "peer "+string(m.From))
	d.receiveConfig(m)
	if m.Candidates != nil {
		members := d.members.applyCandidates(m.DataCenter, m.Candidates)
		d.log.Info("members known", "source", "peer "+string(m.From), "members", members)
	}
	if m.StoreRecoveredAgoMS > 0 {
		d.roster.MarkPeerStoreAvailable(now.Add(-time.Duration(m.StoreRecoveredAgoMS) * time.Millisecond))
	}
	if m.RecordsAfter != nil {
		d.replicasChanged(d.roster.ApplyDelta(now, m.NewRecords, *m.RecordsAfter, m.List), m.List, "peer "+string(m.From))
	}
	if m.RecordsAfter != nil && *m.RecordsAfter == 0 && (m.Following || m.Relaying) {
		d.listed.Store(true)
	}
	for _, one := range m.Suspects {
		d.receiveSuspicion(now, m.From, one)
	}
	d.mergePaces(now, m.Paces)
	d.mergeLimits(now, m.Limits, m.From)
	d.mergeCases(now, m.Cases, "peer "+string(m.From))
}

// receiveConfig adopts the configuration in a message.
func (d *Daemon) receiveConfig(m pkshare.Message) {
	source := "peer " + string(m.From)
	if m.NewConfig != nil {
		d.adopt(*m.NewConfig, source)
	}
	if m.PackedConfig == nil {
		return
	}
	item := *m.PackedConfig
	var err error
	if item.Value, err = pkpack.Unpack(item.Value); err != nil {
		d.log.Error("invalid configuration ignored", "revision", item.Revision.String(), "source", source, "error", err)
		return
	}
	d.adopt(item, source)
}

// requestSend triggers a message to the peers before the next one is due.
func (s *gossip) requestSend() {
	s.urgent.Store(true)
	s.wake()
}

// requestHelp triggers a report of helpers before the next message is due, to the sender of a message that asks for it or
// to all hubs of other data centres.
func (s *gossip) requestHelp(m pkshare.Message) {
	if m.Help != nil && m.Help.Wanted {
		s.urgent.Store(true)
	}
	s.helpWanted.Store(true)
	s.wake()
}

// updateLinks triggers an update of the peer links.
func (s *gossip) updateLinks() {
	s.linksChanged.Store(true)
	s.wake()
}

func (s *gossip) wake() {
	select {
	case s.sendNow <- struct{}{}:
	default: // woken already
	}
}

// isUnknown reports whether a message comes from an entry that has no peer link yet.
func (s *gossip) isUnknown(m pkshare.Message) bool {
	linked := s.linked.Load()
	return linked != nil && s.designated.Load() && m.Addr != "" && !(*linked)[m.Addr]
}

// setLinked records the addresses that have peer links.
func (s *gossip) setLinked(wanted map[string]pkshare.Role) {
	linked := make(map[string]bool, len(wanted))
	for addr := range wanted {
		linked[addr] = true
	}
	s.linked.Store(&linked)
}

// updateLoads keeps the load by other entries of each target up to date while requests are in
// progress. In a large fleet most entries have none most of the time.
func (d *Daemon) updateLoads(ctx context.Context) {
	for pktimer.Sleep(ctx, d.loadInterval()) {
		if d.active.Load() > 0 {
			d.refreshLoads(time.Now())
		}
	}
}

// loadInterval returns how often the loads of the other entries are summed.
func (d *Daemon) loadInterval() time.Duration {
	if d.gossip.withHubs.Load() {
		return loadSumIntervalWithHubs
	}
	return loadSumInterval
}

// refreshLoads sums the load by other entries of each target at now, unless that was just done.
func (d *Daemon) refreshLoads(now time.Time) {
	d.loadsMu.Lock()
	defer d.loadsMu.Unlock()
	if now.Sub(d.loadsSummedAt) < d.loadInterval()/2 {
		return
	}
	d.loadsSummedAt = now
	d.sumLoads(now)
}

// sumLoads sums the load by other entries of each target at now.
func (d *Daemon) sumLoads(now time.Time) {
	all := d.roster.All()
	own := map[pkid.TargetID]pkreplica.Load{}
	for _, t := range all {
		if load := t.OwnLoad(); load.Requests > 0 {
			own[t.ID] = load
		}
	}
	loads := d.gossip.table.PeerLoads(now, d.entryCount(now), own)
	// Entries that have not reported are taken into account at the choice of a path where requests are queued.
	reported := loads
	table := d.configs.Table()
	if d.queuesAny(table) && d.fleet(now).Unreported() > 0 {
		reported = d.gossip.table.PeerLoads(now, 0, own)
	}
	for _, t := range all {
		load := loads[t.ID]
		if d.queuesFor(table, t.Service) {
			load = reported[t.ID]
		}
		t.SetPeerLoad(load)
	}
	d.roomFreed()
}

// reportDelay returns how long it takes until all other entries know of a request.
func (s *gossip) reportDelay() time.Duration {
	if s.withHubs.Load() {
		return 3 * pkshare.HubInterval / 2
	}
	return pkshare.Interval
}

// peerSender is the state of the loop that sends messages to the other entries.
type peerSender struct {
	d *Daemon
	// before is the last message that was sent, at sentAt.
	before   pkshare.Message
	sentAt   time.Time
	linkedAt time.Time
	rounds   int
}

// sendToPeers keeps the links to the other entries and sends them messages. Messages are built and
// encoded once per round for all links, which saves processor time.
func (d *Daemon) sendToPeers(ctx context.Context) {
	defer d.gossip.wg.Wait()
	s := peerSender{d: d}
	pktimer.EveryOrWake(ctx, pkshare.Interval, d.gossip.sendNow, s.round, func(ctx context.Context) {
		if pktimer.Sleep(ctx, sendBatchDelay) {
			s.wake(ctx)
		}
	})
}

// round does the periodic work.
func (s *peerSender) round(ctx context.Context) {
	if s.rounds%roundsPerPeerLinkUpdate == 0 || s.d.gossip.linksChanged.Load() {
		s.updateLinks(ctx)
	}
	s.rounds++
	s.d.updateStanding(time.Now())
	s.send(s.rounds%roundsPerSum == 0)
}

// wake does what was requested before the next round. A hub reaches new entries in its next round,
// since a thousand may start at once.
func (s *peerSender) wake(ctx context.Context) {
	if s.d.gossip.linksChanged.Load() {
		s.updateLinks(ctx)
	}
	helpWanted := s.d.gossip.helpWanted.Swap(false)
	switch {
	case s.d.gossip.urgent.Swap(false) || !s.d.gossip.designated.Load():
		s.send(true)
	case helpWanted:
		s.send(false)
	}
}

func (s *peerSender) updateLinks(ctx context.Context) {
	now := time.Now()
	// The first list of members is not held up: a starting entry waits for it until it asks for the
	// configuration and the list of replicas.
	if now.Sub(s.linkedAt) < minLinkInterval && s.d.gossip.rolesKnown.Load() == s.d.members.isKnown() {
		return
	}
	s.linkedAt = now
	s.d.gossip.linksChanged.Store(false)
	s.d.updatePeerLinks(ctx, now)
}

// send sends a message to the peers that it is due for.
func (s *peerSender) send(due bool) {
	gossip := &s.d.gossip
	withHubs := gossip.withHubs.Load()
	if !due && withHubs && !gossip.designated.Load() {
		return // only hubs have more to send
	}
	now := time.Now()
	m := s.d.message(now)
	due = due || !withHubs || len(m.Suspects) != len(s.before.Suspects)
	changed := due && (hasChanges(s.before, m) || now.Sub(s.sentAt) >= pkshare.HeartbeatInterval)
	if changed {
		s.before, s.sentAt = m, now
	}
	s.d.broadcast(now, m, due, changed)
}

// updatePeerLinks starts and ends links to match the peers known at now.
func (d *Daemon) updatePeerLinks(ctx context.Context, now time.Time) {
	s := &d.gossip
	known := d.members.isKnown()
	wanted := d.roles(now)
	if s.withHubs.Load() {
		d.hubsSeenAt.CompareAndSwap(nil, &now)
	}
	s.rolesKnown.Store(known)
	s.setLinked(wanted)
	for addr, l := range s.peerLinks {
		if _, still := wanted[addr]; !still {
			l.cancel()
			delete(s.peerLinks, addr)
		}
	}
	for addr, role := range wanted {
		if l := s.peerLinks[addr]; l != nil {
			l.incomplete = l.incomplete || l.role != role
			l.role = role
			continue
		}
		inner, cancel := context.WithCancel(ctx)
		l := &peerLink{cancel: cancel, role: role, out: make(chan outgoing, 1)}
		s.peerLinks[addr] = l
		s.wg.Go(func() { d.runPeerLink(inner, addr, l) })
	}
}

// addCatchUp adds to a message the state that its receiver lacks, and reports whether there is any.
func (d *Daemon) addCatchUp(now time.Time, m *pkshare.Message, to pkid.EntryID, role pkshare.Role) bool {
	catchUp := d.catchUpFor(now, m, to, role)
	d.fillCatchUp(now, m, catchUp, role)
	return catchUp != pkshare.CatchUp{}
}

// catchUpFor returns what the receiver of a message lacks at now.
func (d *Daemon) catchUpFor(now time.Time, m *pkshare.Message, to pkid.EntryID, role pkshare.Role) pkshare.CatchUp {
	first := d.gossip.first.Load()
	// The other hub of the data centre relies on the first one as well.
	standby := first && role == pkshare.Peer && d.gossip.withHubs.Load()
	return d.gossip.table.CatchUpFor(now, to, pkshare.LocalState{
		Self: d.settings.Entry, Config: m.Config, Version: m.Version, List: m.List, QuarantineChecksum: m.QuarantineChecksum,
		Hub: role != pkshare.Peer || standby, Spoke: role == pkshare.Spoke || standby, Standby: !first && d.hearsFirstHub(now),
	})
}

// fillCatchUp adds a catch-up to a message.
func (d *Daemon) fillCatchUp(now time.Time, m *pkshare.Message, catchUp pkshare.CatchUp, role pkshare.Role) {
	if table := d.configs.Table(); catchUp.Config && table != nil {
		d.addConfig(m, table.Item, role)
	}
	if catchUp.List {
		m.NewRecords, m.RecordsAfter = d.roster.Since(catchUp.After), &catchUp.After
	}
	if catchUp.Quarantine {
		m.Cases = append(d.quarantine.table.QuarantinedCases(now), m.Cases...)
	}
}

// roles returns the role of each peer to send to by its address. Peers are the members in the store
// and those known from messages, or the seeds of the settings while neither is known.
func (d *Daemon) roles(now time.Time) map[string]pkshare.Role {
	self := d.selfAt(now)
	byAddr := map[string]pkshare.Member{}
	for _, one := range d.gossip.table.Members(now) {
		one.Unregistered = !d.members.wasRegistered(now, one.ID)
		byAddr[one.Addr] = one
	}
	for _, one := range d.members.list() {
		byAddr[one.Addr] = one
	}
	if len(byAddr) < 2 {
		for _, addr := range *d.seeds.Load() {
			if _, known := byAddr[addr]; !known {
				byAddr[addr] = pkshare.Member{Addr: addr}
			}
		}
	}
	delete(byAddr, self.Addr)
	delete(byAddr, "")
	d.gossip.withHubs.Store(pkshare.UsesHubs(len(byAddr)))
	others := slices.Collect(maps.Values(byAddr))
	roles := d.gossip.table.Roles(now, self, others)
	d.gossip.designated.Store(roles.Designated)
	d.quarantine.table.SetForwarding(roles.Designated && d.gossip.withHubs.Load())
	d.gossip.first.Store(roles.First)
	d.gossip.firstHub.Store(&roles.FirstHub)
	return roles.ByAddr
}

// rolesChanged reports whether message b says something else than message a of what its sender may be asked for.
func rolesChanged(a, b pkshare.Message) bool {
	return a.Relays != b.Relays || !slices.Equal(a.Impaired, b.Impaired) || ownedRevision(a) != ownedRevision(b)
}

// ownedRevision returns the revision of the owner's key that the sender of a message acts on, or zero.
func ownedRevision(m pkshare.Message) pkstore.Revision {
	if m.Owns == nil {
		return 0
	}
	return *m.Owns
}

// hasChanges reports whether message b must be sent after message a.
func hasChanges(a, b pkshare.Message) bool {
	if rolesChanged(a, b) || a.Config != b.Config || a.Version != b.Version || a.List != b.List || a.QuarantineChecksum != b.QuarantineChecksum || len(a.Loads) != len(b.Loads) {
		return true
	}
	if len(b.Suspects) > 0 || len(a.Cases) > 0 || len(b.Paces) > 0 || !pkrate.SameLimits(a.Limits, b.Limits) || !slices.Equal(a.Demands, b.Demands) {
		return true
	}
	for i := range a.Loads {
		if a.Loads[i] != b.Loads[i] {
			return true
		}
	}
	return false
}

// followsStore reports whether this entry follows the list of replicas in the store itself and
// without a gap.
func (d *Daemon) followsStore(now time.Time) bool {
	return d.listed.Load() && !d.roster.StoreUnavailable() && !d.isServed(now)
}

// isServed reports whether another entry sends this one the configuration and the list of replicas
// at now.
func (d *Daemon) isServed(now time.Time) bool {
	return d.gossip.table.ServedByHub(now) || d.isStandby(now)
}

// isStandby reports whether this entry is a hub but not the first of its data centre, and the first
// one follows the store at now.
func (d *Daemon) isStandby(now time.Time) bool {
	s := &d.gossip
	first := s.firstHub.Load()
	return s.withHubs.Load() && s.designated.Load() && !s.first.Load() && first != nil && s.table.Follows(now, *first)
}

// hearsFirstHub reports whether the first hub of the data centre is heard from at now. While all entries start,
// the other hub may serve theirs some hundred milliseconds before it.
func (d *Daemon) hearsFirstHub(now time.Time) bool {
	first := d.gossip.firstHub.Load()
	return first != nil && d.gossip.table.Hears(now, *first)
}

// message returns the message to all peers at now.
func (d *Daemon) message(now time.Time) pkshare.Message {
	s := &d.gossip
	m := pkshare.Message{
		From: d.settings.Entry, Addr: s.addr, Run: s.run, List: d.roster.At(),
		DataCenter: d.settings.DataCenter, ProcessorShare: float32(d.settings.ProcessorShare),
		Following: d.followsStore(now),
		Relays:    s.addr != "" && d.isReady(), Impaired: d.links.ImpairedServices(),
		Cases: d.quarantine.table.RecentChanges(now), QuarantineChecksum: d.quarantine.table.Checksum(now),
		Paces:   d.paces.Observations(now),
		Entries: d.noticedEntries(now),
		Limits:  d.limits.Observations(now, s.withHubs.Load() && s.designated.Load()),
	}
	if back := now.Sub(d.roster.StoreRecoveredAt()); back < storeRecoveryAnnounceTime {
		m.StoreRecoveredAgoMS = max(back.Milliseconds(), 1)
	}
	for _, f := range d.linkUsage.Flows(now) {
		m.Flows = append(m.Flows, pkshare.Flow{A: f.A, B: f.B, Tokens: float32(f.Tokens)})
	}
	if s.withHubs.Load() && s.table.HubMemberCount(now) == 0 {
		m.LocalEntries, m.Members = d.countEntries(now)
		m.Relaying = !m.Following && d.listed.Load() && s.designated.Load() &&
			(d.isStandby(now) || s.table.RemoteFollower(now, d.settings.DataCenter))
	}
	if table := d.configs.Table(); table != nil {
		m.Config, m.Version = table.Item.Revision, table.Version
	}
	owns := d.actingRevision(now)
	m.Owns = &owns
	m.Sequence, m.Suspects = d.suspects(now)
	m.Loads, m.Demands = d.ownLoads(), d.ownDemands(now)
	return m
}

// suspects returns the sequence number of the next message and the suspicions that it reports at
// now.
func (d *Daemon) suspects(now time.Time) (sequence uint64, suspects []pkshare.Suspect) {
	s := &d.gossip
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	for id, one := range s.suspects {
		left := one.until.Sub(now)
		t, found := d.roster.Target(id)
		if left <= 0 || (found && d.outdated(t, one)) {
			delete(s.suspects, id)
			continue
		}
		suspects = append(suspects, pkshare.Suspect{
			Target: id, RemainingMS: left.Milliseconds(), Gone: one.fault == faultGone, StaleRecord: one.fault == faultStaleRecord,
			Born: one.startTime, RecordRevision: one.recordRevision,
		})
	}
	return s.sequence, suspects
}

// ownLoads returns the loads of this entry's requests on targets.
func (d *Daemon) ownLoads() []pkshare.Load {
	var out []pkshare.Load
	for _, t := range d.roster.All() {
		own := t.OwnLoad()
		if own.Requests == 0 {
			continue
		}
		load := pkshare.Load{Target: t.ID, Requests: own.Requests, Tokens: float32(own.Tokens)}
		if t.Restarted() {
			load.Born = t.Born
		}
		out = append(out, load)
	}
	return out
}
