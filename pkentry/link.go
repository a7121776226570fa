package pkentry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"peridotknot.example/pkhead"
	"peridotknot.example/pkmember"
	"peridotknot.example/pkpeer"
	"peridotknot.example/pktimer"
)

// runLink keeps a connection to a member, redialing with backoff and jitter until ctx is done.
func (e *Entry) runLink(ctx context.Context, l *link) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := e.runConnection(ctx, l)
		if ctx.Err() != nil {
			return
		}
		e.log.Debug("peer link failed", "peer", l.to.Entry, "error", err)
		if time.Since(began) > maxBackoff {
			backoff = initialBackoff
		}
		if !pktimer.Sleep(ctx, backoff/2+time.Duration(newRand().Int64N(int64(backoff)))) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// runConnection dials a member and sends updates to it until the connection fails or ctx is done.
func (e *Entry) runConnection(ctx context.Context, l *link) error {
	c, hello, err := e.dialPeer(ctx, l.to.Addr)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if hello.From.Instance != l.to.Instance {
		// The address has been taken over by another process.
		e.peers.table.Leave(time.Now(), l.to.Instance)
		return fmt.Errorf("address %s now belongs to another process of entry %s", l.to.Addr, hello.From.Entry)
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
		e.serveRequests(ctx, c)
	})
	return e.sendUpdates(ctx, c, l)
}

// dialPeer dials an address and performs the handshake.
func (e *Entry) dialPeer(ctx context.Context, addr string) (*pkpeer.Conn[pkmember.Message], *pkmember.Hello, error) {
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
		err = errors.New("peer did not answer with a hello")
	}
	if err != nil {
		return nil, nil, errors.Join(err, c.Close())
	}
	e.peers.table.AddKnown(time.Now(), append(m.Hello.Known, m.Hello.From))
	return c, m.Hello, nil
}

func (e *Entry) hello() *pkmember.Hello {
	return &pkmember.Hello{
		Version: pkmember.Version,
		Oldest:  pkmember.OldestVersion,
		From:    e.peers.table.Self(),
		Known:   e.peers.table.LiveMembers(time.Now()),
	}
}

// sendUpdates sends the changed state repeatedly, paced by the bandwidth budget or triggered by wake.
func (e *Entry) sendUpdates(ctx context.Context, c *pkpeer.Conn[pkmember.Message], l *link) error {
	sent := newSentState()
	sameNeighborhood := l.to.Neighborhood == e.peers.table.Self().Neighborhood
	for {
		size, err := c.Send(ctx, pkmember.Message{Update: e.nextUpdate(sent, sameNeighborhood), Leaving: e.leaving.Load()})
		if err != nil {
			return err
		}
		pace := time.NewTimer(pkmember.UpdateInterval(size, e.peers.linkCount()))
		select {
		case <-ctx.Done():
			pace.Stop()
			e.sendLeaving(c)
			return ctx.Err()
		case <-l.wake:
		case <-pace.C:
		}
		pace.Stop()
	}
}

// sendLeaving announces during a shutdown that this entry leaves, so that the peer need not wait for
// a timeout.
func (e *Entry) sendLeaving(c *pkpeer.Conn[pkmember.Message]) {
	if !e.stopping.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if _, err := c.Send(ctx, pkmember.Message{Leaving: true}); err != nil {
		e.log.Debug("failed to send leave message to peer", "error", err)
	}
}

func (p *peers) linkCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

// serveRequests handles what the peer sends on a connection that this entry dialed: requests for the
// manifest and replies to claims.
func (e *Entry) serveRequests(ctx context.Context, c *pkpeer.Conn[pkmember.Message]) {
	for {
		m, err := c.Receive(ctx)
		if err != nil {
			return
		}
		if m.ClaimReply != nil {
			e.claims.resolve(m.ClaimReply)
		}
		if m.ManifestRequest == nil {
			continue
		}
		offer, err := e.manifestMessage()
		if err != nil {
			e.log.Warn("failed to build manifest for peer", "error", err)
			continue
		}
		if _, err := c.Send(ctx, pkmember.Message{Manifest: offer}); err != nil {
			return
		}
	}
}

// manifestMessage returns the manifest in force in its wire format.
func (e *Entry) manifestMessage() (*pkmember.Manifest, error) {
	e.manifest.mu.Lock()
	defer e.manifest.mu.Unlock()
	if len(e.manifest.body) == 0 {
		return nil, errors.New("no manifest in force")
	}
	head, err := json.Marshal(e.manifest.head)
	if err != nil {
		return nil, err
	}
	packed, err := pkhead.Pack(e.manifest.body)
	return &pkmember.Manifest{Head: head, Body: packed}, err
}
