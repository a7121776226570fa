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
	// linksEvery is after how many messages the list of entries to tell is brought
	// up to date: twice a second.
	linksEvery = 3
	// sumsEvery is after how many messages' time hubs are told and tell.
	sumsEvery = int(pkshare.EveryWithHubs / pkshare.Every)
	// storeBackTold is for how long the others are told that the store has returned:
	// longer than entries that lapsed meanwhile take to be back.
	storeBackTold = 5 * time.Second
	// tellGather is how long news of a dead engine waits for more: those that die together
	// are found within a few milliseconds of one another.
	tellGather = 5 * time.Millisecond
	// loadsEvery is how often the loads of other entries are added up, twice as often as they are
	// told; loadsEveryHubs is the same where hubs tell them.
	loadsEvery     = pkshare.Every / 2
	loadsEveryHubs = pkshare.EveryWithHubs / 2
)

// sharing is how a daemon tells the others and hears them.
type sharing struct {
	table    pkshare.Table
	net      *pkpeer.Net[pkshare.Message]
	listener net.Listener
	// addr is where this entry takes messages; empty where it keeps to itself.
	addr string
	run  uint64

	// links belong to the loop that tells peers.
	links map[string]*link
	// withHubs says that there are so many entries that they have hubs.
	withHubs atomic.Bool
	// first says that this entry is among the first of its data centre.
	first atomic.Bool

	// urgent asks for a message before the next is due.
	urgent chan struct{}

	mu       sync.Mutex
	sequence uint64
	suspects map[pkid.TargetID]suspicion
	wg       sync.WaitGroup
}

func (s *sharing) open(listen Listen) error {
	s.net = pkpeer.NewNet[pkshare.Message](pkpeer.Identity{}, pkconn.DefaultOptions())
	s.run = rand.Uint64()
	s.links = map[string]*link{}
	s.suspects = map[pkid.TargetID]suspicion{}
	s.urgent = make(chan struct{}, 1)
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

// peersHandler takes messages of other entries.
func (d *Daemon) peersHandler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pkpeer.Path, func(w http.ResponseWriter, r *http.Request) {
		c, err := d.sharing.net.Accept(w, r)
		if err != nil {
			d.log.Warn("a peer was not let in", "error", err)
			return
		}
		defer func() { _ = c.Close() }() // a closed connection has nothing left to lose
		for {
			m, err := c.Receive(ctx)
			if err != nil {
				return
			}
			d.hear(time.Now(), m)
		}
	})
	return mux
}

// hear takes what another entry says.
func (d *Daemon) hear(now time.Time, m pkshare.Message) {
	if m.From == d.settings.Entry || !d.sharing.table.Hear(now, m) {
		return
	}
	d.noteEra(now, max(m.Config, m.List), "peer "+string(m.From))
	if m.NewConfig != nil {
		d.adopt(*m.NewConfig, "peer "+string(m.From))
	}
	if m.StoreBackMS > 0 {
		d.roster.StoreReturned(now.Add(-time.Duration(m.StoreBackMS) * time.Millisecond))
	}
	if m.RecordsAfter != nil {
		d.replicasChanged(d.roster.Learn(now, m.NewRecords, *m.RecordsAfter, m.List), m.List, "peer "+string(m.From))
	}
	for _, one := range m.Suspects {
		d.receiveSuspicion(now, m.From, one)
	}
	d.mergePaces(now, m.Paces)
	d.mergeCases(now, m.Cases, "peer "+string(m.From))
}

// takeLoads keeps with each target what the other entries hold of it.
func (d *Daemon) takeLoads(ctx context.Context) {
	for pause := loadsEvery; pktimer.Sleep(ctx, pause); {
		pause = loadsEvery
		if d.sharing.withHubs.Load() {
			pause = loadsEveryHubs
		}
		d.addLoads(time.Now())
	}
}

// addLoads adds up at now what the other entries hold of each target.
func (d *Daemon) addLoads(now time.Time) {
	all := d.roster.All()
	own := make(map[pkid.TargetID]pkreplica.Load, len(all))
	for _, t := range all {
		own[t.ID] = t.Own()
	}
	loads := d.sharing.table.Others(now, d.entries(now), own)
	for _, t := range all {
		t.SetOthers(loads[t.ID])
	}
}

// toldAfter returns how long it takes until all other entries know of a request.
func (s *sharing) toldAfter() time.Duration {
	if s.withHubs.Load() {
		return 3 * pkshare.EveryWithHubs / 2
	}
	return pkshare.Every
}

// tellPeers keeps a connection to each other entry and tells it what is new. A
// message is made and encoded once for all: made for each, idle entries spent twice
// the processor time.
func (d *Daemon) tellPeers(ctx context.Context) {
	s := &d.sharing
	defer s.wg.Wait()
	var before pkshare.Message
	var last time.Time
	round := 0
	tell := func(due bool) {
		now := time.Now()
		m := d.message(now)
		due = due || !s.withHubs.Load() || len(m.Suspects) != len(before.Suspects)
		news := due && (differs(before, m) || now.Sub(last) >= pkshare.Quiet)
		if news {
			before, last = m, now
		}
		d.broadcast(now, m, due, news)
	}
	pktimer.EveryOr(ctx, pkshare.Every, s.urgent, func(ctx context.Context) {
		if round%linksEvery == 0 {
			d.updateLinks(ctx, time.Now())
		}
		round++
		tell(round%sumsEvery == 0)
	}, func(ctx context.Context) {
		if pktimer.Sleep(ctx, tellGather) {
			tell(true)
		}
	})
}

// updateLinks begins and ends links by the addresses that are known at now.
func (d *Daemon) updateLinks(ctx context.Context, now time.Time) {
	s := &d.sharing
	wanted := d.roles(now)
	for addr, l := range s.links {
		if _, still := wanted[addr]; !still {
			l.cancel()
			delete(s.links, addr)
		}
	}
	for addr, role := range wanted {
		if l := s.links[addr]; l != nil {
			l.lacks = l.lacks || l.role != role
			l.role = role
			continue
		}
		inner, cancel := context.WithCancel(ctx)
		l := &link{cancel: cancel, role: role, out: make(chan []byte, 1)}
		s.links[addr] = l
		s.wg.Go(func() { d.runLink(inner, addr, l) })
	}
}

// help adds to a message what an entry misses and says whether that is anything.
func (d *Daemon) help(now time.Time, m *pkshare.Message, to pkid.EntryID, role pkshare.Role) bool {
	known := pkshare.Known{Self: d.settings.Entry, Config: m.Config, Version: m.Version, List: m.List, Held: m.Held, Hub: role != pkshare.Peer}
	misses := d.sharing.table.Misses(now, to, known)
	if table := d.book.Table(); misses.Config && table != nil {
		item := table.Item
		m.NewConfig = &item
	}
	if misses.List {
		m.NewRecords, m.RecordsAfter = d.roster.Since(misses.After), &misses.After
	}
	if misses.Held {
		m.Cases = append(d.quarantine.table.Held(now), m.Cases...)
	}
	return misses.Config || misses.List || misses.Held
}

// roles returns whom to tell: the entries that the store names and those that are heard
// of, and while neither is known, those of the settings.
func (d *Daemon) roles(now time.Time) map[string]pkshare.Role {
	self := d.self()
	byAddr := map[string]pkshare.Member{}
	for _, one := range append(d.sharing.table.Members(now), d.members.list()...) {
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
	d.sharing.withHubs.Store(pkshare.WithHubs(len(byAddr)))
	others := slices.Collect(maps.Values(byAddr))
	d.sharing.first.Store(d.sharing.table.IsFirst(now, self, others))
	return d.sharing.table.Roles(now, self, others)
}

// differs says whether a message says something new.
func differs(a, b pkshare.Message) bool {
	if a.Config != b.Config || a.Version != b.Version || a.List != b.List || a.Held != b.Held || len(a.Loads) != len(b.Loads) {
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

// message returns what all other entries are told at now.
func (d *Daemon) message(now time.Time) pkshare.Message {
	s := &d.sharing
	m := pkshare.Message{
		From: d.settings.Entry, Addr: s.addr, Run: s.run, List: d.roster.At(),
		DataCenter: d.settings.DataCenter, ProcessorShare: float32(d.settings.ProcessorShare),
		Following: d.listed.Load() && !d.roster.Away(),
		Cases:     d.quarantine.table.News(now), Held: d.quarantine.table.Sum(now),
		Paces: d.paces.Words(now),
	}
	if back := now.Sub(d.roster.Returned()); back < storeBackTold {
		m.StoreBackMS = max(back.Milliseconds(), 1)
	}
	for _, f := range d.pipes.Flows(now) {
		m.Flows = append(m.Flows, pkshare.Flow{A: f.A, B: f.B, Tokens: float32(f.Tokens)})
	}
	if s.withHubs.Load() && s.table.MembersTold(now) == 0 {
		m.Members = d.members.entries(now, 0)
	}
	if table := d.book.Table(); table != nil {
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
			Target: id, ForMS: left.Milliseconds(), Gone: one.fault == faultGone, Misplaced: one.fault == faultMisplaced,
			Born: one.born, Entry: one.entry,
		})
	}
	s.mu.Unlock()
	for _, t := range d.roster.All() {
		if own := t.Own(); own.Requests > 0 {
			load := pkshare.Load{Target: t.ID, Requests: own.Requests, Tokens: float32(own.Tokens)}
			if t.Restarted() {
				load.Born = t.Born
			}
			m.Loads = append(m.Loads, load)
		}
	}
	return m
}
