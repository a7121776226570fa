package pkentry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkhead"
	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pkmember"
	"peridotknot.example/pkpeer"
)

const (
	tendPeersEvery = 250 * time.Millisecond
	seedsEvery     = time.Second
	peerTimeout    = 2 * time.Second
	// peerSilence is longer than the longest pace between two messages.
	peerSilence = 10 * time.Second
)

// peers is the entry's side of the membership.
type peers struct {
	table *pkmember.Table
	net   *pkpeer.Net

	mu    sync.Mutex
	links map[pkmember.Instance]*link
	wg    sync.WaitGroup
	// wanted is the revision that was asked for last, and when.
	wanted   pkid.Revision
	wantedAt time.Time
}

// wantAgain is how long an asked peer has before another one is asked.
const wantAgain = 500 * time.Millisecond

// mayWant says whether a revision should be asked for now. All neighbors tell
// of a new manifest at once; asking each of them for it would bring its body
// many times over.
func (p *peers) mayWant(rev pkid.Revision, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wanted >= rev && now.Sub(p.wantedAt) < wantAgain {
		return false
	}
	p.wanted = rev
	p.wantedAt = now
	return true
}

// link is the connection that this entry dials to one other.
type link struct {
	to   pkmember.Member
	stop context.CancelFunc
	kick chan struct{}
	// conn is the connection while it stands.
	conn atomic.Pointer[pkpeer.Conn]
}

// connTo returns the connection to a member; nil if there is none now.
func (p *peers) connTo(id pkmember.Instance) *pkpeer.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, found := p.links[id]; found {
		return l.conn.Load()
	}
	return nil
}

func (e *Entry) newPeers(addr string) *peers {
	s := e.settings
	near := pkmember.Neighborhood(s.DataCenter)
	if s.Peers.Neighborhood == NeighborhoodRegion {
		near = pkmember.Neighborhood(s.Region)
	}
	self := pkmember.Member{
		Entry:        s.Entry,
		Instance:     pkmember.Instance(ulid.Make().String()),
		Addr:         addr,
		DataCenter:   s.DataCenter,
		Neighborhood: near,
	}
	t := s.Peers.TLS
	return &peers{
		table: pkmember.NewTable(self),
		net:   pkpeer.NewNet(pkpeer.Identity{Cert: t.Cert, Key: t.Key, CA: t.CA}, pkconn.DefaultOptions()),
		links: map[pkmember.Instance]*link{},
	}
}

// kick makes all links send at once.
func (p *peers) kick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		select {
		case l.kick <- struct{}{}:
		default:
		}
	}
}

// tendPeers keeps a link to each member that should have one.
func (e *Entry) tendPeers(ctx context.Context) {
	defer e.peers.wg.Wait()
	every(ctx, tendPeersEvery, func(ctx context.Context) {
		now := time.Now()
		e.peers.table.Tend(now)
		e.peers.relink(ctx, e, e.peers.table.Links(now))
		counts := e.peers.table.Counts(now)
		for _, t := range e.targets.All() {
			t.SetPeers(counts[t.Info.ID])
		}
	})
}

func (p *peers) relink(ctx context.Context, e *Entry, want []pkmember.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := map[pkmember.Instance]bool{}
	for _, m := range want {
		wanted[m.Instance] = true
		if _, found := p.links[m.Instance]; found {
			continue
		}
		inner, cancel := context.WithCancel(ctx)
		l := &link{to: m, stop: cancel, kick: make(chan struct{}, 1)}
		p.links[m.Instance] = l
		p.wg.Go(func() { e.runLink(inner, l) })
	}
	for id, l := range p.links {
		if !wanted[id] {
			l.stop()
			delete(p.links, id)
		}
	}
}

// runLink dials a member again and again and sends to it while it can.
func (e *Entry) runLink(ctx context.Context, l *link) {
	backOff := backOffFirst
	for ctx.Err() == nil {
		began := time.Now()
		err := e.sendTo(ctx, l)
		if ctx.Err() != nil {
			return
		}
		e.log.Debug("a peer cannot be reached", "peer", l.to.Entry, "error", err)
		if time.Since(began) > backOffMost {
			backOff = backOffFirst
		}
		if !sleep(ctx, backOff/2+time.Duration(newRand().Int64N(int64(backOff)))) {
			return
		}
		backOff = min(2*backOff, backOffMost)
	}
}

func (e *Entry) sendTo(ctx context.Context, l *link) error {
	c, hello, err := e.meet(ctx, l.to.Addr)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if hello.From.Instance != l.to.Instance {
		// Another process has the address now.
		e.peers.table.Leave(time.Now(), l.to.Instance)
		return fmt.Errorf("%s is now %s", l.to.Addr, hello.From.Entry)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	l.conn.Store(c)
	defer l.conn.Store(nil)
	wg.Go(func() {
		defer cancel()
		e.serveWants(ctx, c)
	})
	return e.share(ctx, c, l)
}

// meet dials an address and exchanges hellos.
func (e *Entry) meet(ctx context.Context, addr string) (*pkpeer.Conn, *pkmember.Hello, error) {
	dial, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	c, err := e.peers.net.Dial(dial, addr)
	if err != nil {
		return nil, nil, err
	}
	_, err = c.Send(dial, pkmember.Message{Hello: e.hello()})
	if err != nil {
		return nil, nil, errors.Join(err, c.Close())
	}
	m, err := c.Receive(dial)
	if err == nil && m.Hello == nil {
		err = errors.New("the peer did not say hello")
	}
	if err != nil {
		return nil, nil, errors.Join(err, c.Close())
	}
	e.peers.table.Learn(time.Now(), append(m.Hello.Known, m.Hello.From))
	return c, m.Hello, nil
}

func (e *Entry) hello() *pkmember.Hello {
	return &pkmember.Hello{
		Version: pkmember.Version,
		Oldest:  pkmember.OldestVersion,
		From:    e.peers.table.Self(),
		Known:   e.peers.table.Known(time.Now()),
	}
}

// share sends what changed, at the pace that the budget allows.
func (e *Entry) share(ctx context.Context, c *pkpeer.Conn, l *link) error {
	told := newTold()
	near := l.to.Neighborhood == e.peers.table.Self().Neighborhood
	for {
		size, err := c.Send(ctx, pkmember.Message{Share: e.nextShare(told, near), Leaving: e.refusing.Load()})
		if err != nil {
			return err
		}
		pace := time.NewTimer(pkmember.Pace(size, e.peers.count()))
		select {
		case <-ctx.Done():
			pace.Stop()
			e.sayGoodbye(c)
			return ctx.Err()
		case <-l.kick:
		case <-pace.C:
		}
		pace.Stop()
	}
}

// sayGoodbye tells a peer that this entry is going, so that it need not find
// out by silence.
func (e *Entry) sayGoodbye(c *pkpeer.Conn) {
	if !e.stopping.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if _, err := c.Send(ctx, pkmember.Message{Leaving: true}); err != nil {
		e.log.Debug("goodbye was not taken", "error", err)
	}
}

func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

// serveWants answers what the other side asks for on a connection that this
// entry dialed.
func (e *Entry) serveWants(ctx context.Context, c *pkpeer.Conn) {
	for {
		m, err := c.Receive(ctx)
		if err != nil {
			return
		}
		if m.Claimed != nil {
			e.claims.answered(m.Claimed)
		}
		if m.Want == nil {
			continue
		}
		offer, err := e.offer()
		if err != nil {
			e.log.Warn("the manifest cannot be offered", "error", err)
			continue
		}
		if _, err := c.Send(ctx, pkmember.Message{Manifest: offer}); err != nil {
			return
		}
	}
}

func (e *Entry) offer() (*pkmember.Manifest, error) {
	e.follow.mu.Lock()
	defer e.follow.mu.Unlock()
	if len(e.follow.body) == 0 {
		return nil, errors.New("there is none")
	}
	head, err := json.Marshal(e.follow.head)
	if err != nil {
		return nil, err
	}
	packed, err := pkhead.Pack(e.follow.body)
	return &pkmember.Manifest{Head: head, Body: packed}, err
}

func (e *Entry) peersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pkpeer.Path, func(w http.ResponseWriter, r *http.Request) {
		c, err := e.peers.net.Accept(w, r)
		if err != nil {
			e.log.Debug("a peer was not accepted", "error", err)
			return
		}
		defer func() { _ = c.Close() }()
		if err := e.listenTo(r.Context(), c); err != nil {
			e.log.Debug("a peer's connection ended", "error", err)
		}
	})
	return mux
}

// listenTo takes what a peer that dialed in says.
func (e *Entry) listenTo(ctx context.Context, c *pkpeer.Conn) error {
	m, err := c.Receive(ctx)
	if err != nil {
		return err
	}
	h := m.Hello
	if h == nil || h.Oldest > pkmember.Version || h.Version < pkmember.OldestVersion {
		return errors.New("the peer said no hello of a version that is spoken here")
	}
	if _, err := c.Send(ctx, pkmember.Message{Hello: e.hello()}); err != nil {
		return err
	}
	table := e.peers.table
	now := time.Now()
	table.Learn(now, h.Known)
	table.Heard(now, h.From, true)
	// A probe of a seed says hello and goes; only what follows is a link.
	linked := false
	defer func() {
		if linked {
			table.Break(h.From.Instance)
		}
	}()
	for {
		wait, cancel := context.WithTimeout(ctx, peerSilence)
		m, err := c.Receive(wait)
		cancel()
		if err != nil {
			return err
		}
		linked = true
		if err := e.hear(ctx, c, h.From, m); err != nil {
			return err
		}
	}
}

func (e *Entry) hear(ctx context.Context, c *pkpeer.Conn, from pkmember.Member, m pkmember.Message) error {
	now := time.Now()
	switch {
	case m.Leaving:
		e.peers.table.Leave(now, from.Instance)
		return errors.New("the peer is leaving")
	case m.Claim != nil:
		return e.answerClaim(ctx, c, m.Claim)
	case m.Manifest != nil:
		if err := e.takeManifest(m.Manifest, now); err != nil {
			e.log.Warn("a peer's manifest was not taken", "peer", from.Entry, "error", err)
		}
	case m.Share != nil:
		e.peers.table.Take(now, from.Instance, m.Share)
		e.takeReports(m.Share.Reports, now)
		return e.wantNewer(ctx, c, m.Share)
	}
	return nil
}

// wantNewer asks for a peer's manifest if it is newer than the one in force.
func (e *Entry) wantNewer(ctx context.Context, c *pkpeer.Conn, s *pkmember.Share) error {
	if s.Revision == 0 {
		return nil
	}
	var rev pkid.Revision
	var digest pkmanifest.Digest
	if view := e.view.Load(); view != nil {
		rev, digest = view.Revision, view.Digest
	}
	switch pkhead.Consider(rev, digest, s.Revision, s.Digest) {
	case pkhead.Adopt:
		if !e.peers.mayWant(s.Revision, time.Now()) {
			return nil
		}
		_, err := c.Send(ctx, pkmember.Message{Want: &pkmember.Want{Revision: s.Revision}})
		return err
	case pkhead.Conflict:
		e.raise(fmt.Sprintf("a peer has another manifest as revision %d", rev))
	default:
	}
	return nil
}

func (e *Entry) takeManifest(m *pkmember.Manifest, now time.Time) error {
	head, err := pkhead.Decode(m.Head)
	if err != nil {
		return err
	}
	body, err := pkhead.Unpack(m.Body)
	if err != nil {
		return err
	}
	if got := pkmanifest.DigestOf(body); got != head.Digest {
		return fmt.Errorf("revision %d has digest %s, its head says %s", head.Revision, got, head.Digest)
	}
	return e.adopt(head, body, now)
}

// meetSeeds looks for peers at the seeds of the settings and at those that the
// store lists, until some are known.
func (e *Entry) meetSeeds(ctx context.Context) {
	round := 0
	every(ctx, seedsEvery, func(ctx context.Context) {
		known := map[string]bool{}
		for _, m := range e.peers.table.Known(time.Now()) {
			known[m.Addr] = true
		}
		for _, addr := range e.settings.Peers.Seeds {
			if known[addr] {
				continue
			}
			c, _, err := e.meet(ctx, addr)
			if err != nil {
				continue
			}
			_ = c.Close() // the link that follows dials its own
		}
		if round%registerRounds == 0 {
			e.register(ctx)
		}
		round++
	})
}
