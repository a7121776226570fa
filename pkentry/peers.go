package pkentry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkid"
	"peridotknot.example/pkmember"
	"peridotknot.example/pkpeer"
	"peridotknot.example/pktimer"
)

const (
	linkInterval = 250 * time.Millisecond
	seedInterval = time.Second
	peerTimeout  = 2 * time.Second
	// peerIdleTimeout is how long an inbound connection may be silent; it must exceed the longest
	// pause between two messages.
	peerIdleTimeout = 10 * time.Second
)

// peers holds the membership table and the connections to other entries.
type peers struct {
	table *pkmember.Table
	net   *pkpeer.Transport[pkmember.Message]

	mu    sync.Mutex
	links map[pkmember.Instance]*link
	wg    sync.WaitGroup
	// closed rejects new inbound connections.
	closed bool
	// requestedRevision is the manifest revision requested last, at requestedAt.
	requestedRevision pkid.Revision
	requestedAt       time.Time
}

// manifestRetryInterval is how long a peer has to send a requested manifest before another peer is
// asked.
const manifestRetryInterval = 500 * time.Millisecond

// shouldRequest reports whether to request a manifest revision now, and records the request. All
// neighbors announce a new revision at about the same time, and its body should be sent only once.
func (p *peers) shouldRequest(rev pkid.Revision, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requestedRevision >= rev && now.Sub(p.requestedAt) < manifestRetryInterval {
		return false
	}
	p.requestedRevision = rev
	p.requestedAt = now
	return true
}

// link is the outbound connection to a peer, redialed while the peer is a member.
type link struct {
	to   pkmember.Member
	stop context.CancelFunc
	wake chan struct{}
	// conn is nil while the link is not connected.
	conn atomic.Pointer[pkpeer.Conn[pkmember.Message]]
}

// connTo returns the outbound connection to a member, or nil if there is none.
func (p *peers) connTo(id pkmember.Instance) *pkpeer.Conn[pkmember.Message] {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, found := p.links[id]; found {
		return l.conn.Load()
	}
	return nil
}

func (e *Entry) newPeers(addr string) *peers {
	s := e.settings
	neighborhood := pkmember.Neighborhood(s.DataCenter)
	if s.Peers.Neighborhood == NeighborhoodRegion {
		neighborhood = pkmember.Neighborhood(s.Region)
	}
	self := pkmember.Member{
		Entry:        s.Entry,
		Instance:     pkmember.Instance(ulid.Make().String()),
		Addr:         addr,
		DataCenter:   s.DataCenter,
		Neighborhood: neighborhood,
	}
	t := s.Peers.TLS
	return &peers{
		table: pkmember.NewTable(self),
		net:   pkpeer.NewTransport[pkmember.Message](pkpeer.Identity{Cert: t.Cert, Key: t.Key, CA: t.CA}, pkconn.DefaultOptions()),
		links: map[pkmember.Instance]*link{},
	}
}

// addInbound adds an inbound connection to the wait group. It returns false after closeAndWait was
// called.
func (p *peers) addInbound() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.wg.Add(1)
	return true
}

// closeAndWait rejects new inbound connections and waits for all links and connections to end.
func (p *peers) closeAndWait() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.wg.Wait()
}

// neighbors returns the live members of the neighborhood except this entry.
func (p *peers) neighbors(now time.Time) []pkmember.Member {
	self := p.table.Self()
	return slices.DeleteFunc(p.table.Neighbors(now), func(m pkmember.Member) bool { return m.Instance == self.Instance })
}

// wakeAll makes all links send an update immediately.
func (p *peers) wakeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// maintainPeers maintains the links to other members, updates the targets with the peers' request
// counts, and hands over claims when the neighborhood changes.
func (e *Entry) maintainPeers(ctx context.Context) {
	defer e.peers.closeAndWait()
	var before []pkmember.Member
	pktimer.Every(ctx, linkInterval, func(ctx context.Context) {
		now := time.Now()
		if members := e.peers.table.Neighbors(now); !slices.Equal(members, before) {
			before = members
			e.peers.wg.Go(func() { e.handOverClaims(ctx, members) })
		}
		e.peers.table.Prune(now)
		e.peers.updateLinks(ctx, e, e.peers.table.SendPeers(now))
		counts := e.peers.table.Counts(now)
		for _, t := range e.targets.All() {
			t.SetPeerRequests(counts[t.Info.ID])
		}
	})
}

func (p *peers) updateLinks(ctx context.Context, e *Entry, want []pkmember.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := map[pkmember.Instance]bool{}
	for _, m := range want {
		wanted[m.Instance] = true
		if _, found := p.links[m.Instance]; found {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &link{to: m, stop: cancel, wake: make(chan struct{}, 1)}
		p.links[m.Instance] = l
		p.wg.Go(func() { e.runLink(linkCtx, l) })
	}
	for id, l := range p.links {
		if !wanted[id] {
			l.stop()
			delete(p.links, id)
		}
	}
}

// contactSeeds discovers peers by contacting the seeds that are not known members, and through the
// entry keys in the store.
func (e *Entry) contactSeeds(ctx context.Context) {
	round := 0
	pktimer.Every(ctx, seedInterval, func(ctx context.Context) {
		known := map[string]bool{}
		for _, m := range e.peers.table.LiveMembers(time.Now()) {
			known[m.Addr] = true
		}
		for _, addr := range e.settings.Peers.Seeds {
			if known[addr] {
				continue
			}
			c, _, err := e.dialPeer(ctx, addr)
			if err != nil {
				continue
			}
			_ = c.Close() // the link to the member dials its own connection
		}
		if round%registerRounds == 0 {
			e.register(ctx)
		}
		round++
	})
}
