package pkentry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"peridotknot.example/pkclaim"
	"peridotknot.example/pkhead"
	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pkmember"
	"peridotknot.example/pkpeer"
)

func (e *Entry) peersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pkpeer.Path, func(w http.ResponseWriter, r *http.Request) {
		// http.Server does not track hijacked connections; the wait group lets the shutdown wait
		// for them.
		if !e.peers.addInbound() {
			return
		}
		defer e.peers.wg.Done()
		c, err := e.peers.net.Accept(w, r)
		if err != nil {
			e.log.Debug("failed to accept peer connection", "error", err)
			return
		}
		defer func() { _ = c.Close() }()
		if err := e.servePeer(r.Context(), c); err != nil {
			e.log.Debug("peer connection closed", "error", err)
		}
	})
	return mux
}

// servePeer performs the handshake on an inbound connection and handles its messages until it fails
// or is silent for peerIdleTimeout.
func (e *Entry) servePeer(ctx context.Context, c *pkpeer.Conn[pkmember.Message]) error {
	first, cancel := context.WithTimeout(ctx, peerTimeout)
	m, err := c.Receive(first)
	cancel()
	if err != nil {
		return err
	}
	h := m.Hello
	if h == nil || h.Oldest > pkmember.Version || h.Version < pkmember.OldestVersion {
		return errors.New("peer sent no hello or an unsupported protocol version")
	}
	if _, err := c.Send(ctx, pkmember.Message{Hello: e.hello()}); err != nil {
		return err
	}
	table := e.peers.table
	table.AddKnown(time.Now(), append(h.Known, h.From))
	// A discovery probe closes after the handshake. The connection is registered with the first
	// message after it, because registration resets the peer's counts.
	var connection uint64
	var refs pkmember.RefDecoder
	defer func() { table.Disconnected(h.From.Instance, connection) }()
	for {
		wait, cancel := context.WithTimeout(ctx, peerIdleTimeout)
		m, err := c.Receive(wait)
		cancel()
		if err != nil {
			return err
		}
		if connection == 0 {
			connection = table.Connected(time.Now(), h.From)
		}
		if m.Update != nil {
			if err := refs.Resolve(m.Update); err != nil {
				return err
			}
		}
		if err := e.handleMessage(ctx, c, h.From, m); err != nil {
			return err
		}
	}
}

func (e *Entry) handleMessage(ctx context.Context, c *pkpeer.Conn[pkmember.Message], from pkmember.Member, m pkmember.Message) error {
	now := time.Now()
	switch {
	case m.Leaving:
		e.peers.table.Leave(now, from.Instance)
		return errors.New("the peer is leaving")
	case m.HandOver != nil:
		for _, claim := range m.HandOver {
			e.claims.table.Claim(now, pkclaim.Key(claim.Key), claim.Holder)
		}
	case m.Claim != nil:
		return e.handleClaim(ctx, c, m.Claim)
	case m.Manifest != nil:
		if err := e.receiveManifest(m.Manifest, now); err != nil {
			e.log.Warn("failed to adopt manifest from peer", "peer", from.Entry, "error", err)
		}
	case m.Update != nil:
		e.peers.table.Apply(now, from.Instance, m.Update)
		e.applyReports(m.Update.Reports, now)
		return e.requestNewerManifest(ctx, c, m.Update)
	}
	return nil
}

// requestNewerManifest requests a peer's manifest if it is newer than the one in force.
func (e *Entry) requestNewerManifest(ctx context.Context, c *pkpeer.Conn[pkmember.Message], u *pkmember.Update) error {
	if u.Revision == 0 {
		return nil
	}
	var rev pkid.Revision
	var digest pkmanifest.Digest
	if view := e.view.Load(); view != nil {
		rev, digest = view.Revision, view.Digest
	}
	switch pkhead.Compare(rev, digest, u.Revision, u.Digest) {
	case pkhead.Adopt:
		if !e.peers.shouldRequest(u.Revision, time.Now()) {
			return nil
		}
		_, err := c.Send(ctx, pkmember.Message{ManifestRequest: &pkmember.ManifestRequest{Revision: u.Revision}})
		return err
	case pkhead.Conflict:
		e.setAlarm(fmt.Sprintf("a peer has another manifest as revision %d", rev))
	default:
	}
	return nil
}

func (e *Entry) receiveManifest(m *pkmember.Manifest, now time.Time) error {
	head, err := pkhead.Decode(m.Head)
	if err != nil {
		return err
	}
	body, err := pkhead.Unpack(m.Body)
	if err != nil {
		return err
	}
	if got := pkmanifest.DigestOf(body); got != head.Digest {
		return fmt.Errorf("manifest revision %d has digest %s, expected %s", head.Revision, got, head.Digest)
	}
	return e.adopt(head, body, now)
}
