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
	"peridotknot.example/pkpeer"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkshare"
	"peridotknot.example/pktimer"
)

const (
	// roundsPerPeerLinkUpdate is the number of rounds after which the links to peers are updated.
	roundsPerPeerLinkUpdate = 3
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

	// sendNow triggers a message before the next one is due.
	sendNow chan struct{}

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
	return mux
}

// receiveMessage merges a message of another entry.
func (d *Daemon) receiveMessage(now time.Time, m pkshare.Message) {
	if m.From == d.settings.Entry || !d.gossip.table.Apply(now, m) {
		return
	}
	d.recordEra(now, max(m.Config, m.List), "peer "+string(m.From))
	if m.NewConfig != nil {
		d.adopt(*m.NewConfig, "peer "+string(m.From))
	}
	if m.StoreRecoveredAgoMS > 0 {
		d.roster.MarkPeerStoreAvailable(now.Add(-time.Duration(m.StoreRecoveredAgoMS) * time.Millisecond))
	}
	if m.RecordsAfter != nil {
		d.replicasChanged(d.roster.ApplyDelta(now, m.NewRecords, *m.RecordsAfter, m.List), m.List, "peer "+string(m.From))
	}
	for _, one := range m.Suspects {
		d.receiveSuspicion(now, m.From, one)
	}
	d.mergePaces(now, m.Paces)
	d.mergeCases(now, m.Cases, "peer "+string(m.From))
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
	for _, t := range all {
		t.SetPeerLoad(loads[t.ID])
	}
}

// reportDelay returns how long it takes until all other entries know of a request.
func (s *gossip) reportDelay() time.Duration {
	if s.withHubs.Load() {
		return 3 * pkshare.HubInterval / 2
	}
	return pkshare.Interval
}

// sendToPeers keeps the links to the other entries and sends them messages. Messages are built and
// encoded once per round for all links, which saves processor time.
func (d *Daemon) sendToPeers(ctx context.Context) {
	s := &d.gossip
	defer s.wg.Wait()
	var before pkshare.Message
	var last time.Time
	round := 0
	send := func(due bool) {
		now := time.Now()
		m := d.message(now)
		due = due || !s.withHubs.Load() || len(m.Suspects) != len(before.Suspects)
		changed := due && (hasChanges(before, m) || now.Sub(last) >= pkshare.HeartbeatInterval)
		if changed {
			before, last = m, now
		}
		d.broadcast(now, m, due, changed)
	}
	pktimer.EveryOrWake(ctx, pkshare.Interval, s.sendNow, func(ctx context.Context) {
		if round%roundsPerPeerLinkUpdate == 0 {
			d.updatePeerLinks(ctx, time.Now())
		}
		round++
		send(round%roundsPerSum == 0)
	}, func(ctx context.Context) {
		if pktimer.Sleep(ctx, sendBatchDelay) {
			send(true)
		}
	})
}

// updatePeerLinks starts and ends links to match the peers known at now.
func (d *Daemon) updatePeerLinks(ctx context.Context, now time.Time) {
	s := &d.gossip
	wanted := d.roles(now)
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
		l := &peerLink{cancel: cancel, role: role, out: make(chan []byte, 1)}
		s.peerLinks[addr] = l
		s.wg.Go(func() { d.runPeerLink(inner, addr, l) })
	}
}

// addCatchUp adds to a message the state that its receiver lacks, and reports whether there is any.
func (d *Daemon) addCatchUp(now time.Time, m *pkshare.Message, to pkid.EntryID, role pkshare.Role) bool {
	known := pkshare.LocalState{Self: d.settings.Entry, Config: m.Config, Version: m.Version, List: m.List, QuarantineChecksum: m.QuarantineChecksum, Hub: role != pkshare.Peer}
	catchUp := d.gossip.table.CatchUpFor(now, to, known)
	if table := d.configs.Table(); catchUp.Config && table != nil {
		item := table.Item
		m.NewConfig = &item
	}
	if catchUp.List {
		m.NewRecords, m.RecordsAfter = d.roster.Since(catchUp.After), &catchUp.After
	}
	if catchUp.Quarantine {
		m.Cases = append(d.quarantine.table.QuarantinedCases(now), m.Cases...)
	}
	return catchUp.Config || catchUp.List || catchUp.Quarantine
}

// roles returns the role of each peer to send to by its address. Peers are the members in the store
// and those known from messages, or the seeds of the settings while neither is known.
func (d *Daemon) roles(now time.Time) map[string]pkshare.Role {
	self := d.self()
	byAddr := map[string]pkshare.Member{}
	for _, one := range append(d.gossip.table.Members(now), d.members.list()...) {
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
	d.gossip.designated.Store(d.gossip.table.IsDesignated(now, self, others))
	return d.gossip.table.Roles(now, self, others)
}

// hasChanges reports whether message b must be sent after message a.
func hasChanges(a, b pkshare.Message) bool {
	if a.Config != b.Config || a.Version != b.Version || a.List != b.List || a.QuarantineChecksum != b.QuarantineChecksum || len(a.Loads) != len(b.Loads) {
		return true
	}
	if len(b.Suspects) > 0 || len(a.Cases) > 0 || len(b.Paces) > 0 {
		return true
	}
	for i := range a.Loads {
		if a.Loads[i] != b.Loads[i] {
			return true
		}
	}
	return false
}

// message returns the message to all peers at now.
func (d *Daemon) message(now time.Time) pkshare.Message {
	s := &d.gossip
	m := pkshare.Message{
		From: d.settings.Entry, Addr: s.addr, Run: s.run, List: d.roster.At(),
		DataCenter: d.settings.DataCenter, ProcessorShare: float32(d.settings.ProcessorShare),
		Following: d.listed.Load() && !d.roster.StoreUnavailable(),
		Cases:     d.quarantine.table.RecentChanges(now), QuarantineChecksum: d.quarantine.table.Checksum(now),
		Paces: d.paces.Observations(now),
	}
	if back := now.Sub(d.roster.StoreRecoveredAt()); back < storeRecoveryAnnounceTime {
		m.StoreRecoveredAgoMS = max(back.Milliseconds(), 1)
	}
	for _, f := range d.linkUsage.Flows(now) {
		m.Flows = append(m.Flows, pkshare.Flow{A: f.A, B: f.B, Tokens: float32(f.Tokens)})
	}
	if s.withHubs.Load() && s.table.HubMemberCount(now) == 0 {
		m.Members = d.members.count(now, 0)
	}
	if table := d.configs.Table(); table != nil {
		m.Config, m.Version = table.Item.Revision, table.Version
	}
	s.mu.Lock()
	s.sequence++
	m.Sequence = s.sequence
	for id, one := range s.suspects {
		left := one.until.Sub(now)
		t, found := d.roster.Target(id)
		if left <= 0 || (found && d.outdated(t, one)) {
			delete(s.suspects, id)
			continue
		}
		m.Suspects = append(m.Suspects, pkshare.Suspect{
			Target: id, RemainingMS: left.Milliseconds(), Gone: one.fault == faultGone, StaleRecord: one.fault == faultStaleRecord,
			Born: one.startTime, RecordRevision: one.recordRevision,
		})
	}
	s.mu.Unlock()
	for _, t := range d.roster.All() {
		if own := t.OwnLoad(); own.Requests > 0 {
			load := pkshare.Load{Target: t.ID, Requests: own.Requests, Tokens: float32(own.Tokens)}
			if t.Restarted() {
				load.Born = t.Born
			}
			m.Loads = append(m.Loads, load)
		}
	}
	return m
}
