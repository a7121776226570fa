package pkedge

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"peridotknot.example/pkshare"
	"peridotknot.example/pktimer"
)

const (
	// dialTimeout bounds a connection attempt to a peer.
	dialTimeout = time.Second
	// redialBase and redialMax bound the backoff after a lost connection.
	redialBase = 100 * time.Millisecond
	redialMax  = 2 * time.Second
	// helpSamples is the number of samples of the helpers that are sent at the same time, so that entries that become
	// impaired together do not all turn to the same few.
	helpSamples = 4
)

// peerLink sends messages to one peer.
type peerLink struct {
	cancel context.CancelFunc
	// role is the role of the peer towards this entry.
	role pkshare.Role
	// out holds the newest message that was not sent yet.
	out chan outgoing
	// newConn is set by a new connection and cleared by the next broadcast, which sends a complete
	// message over it.
	newConn atomic.Bool
	// incomplete is set if the peer may have missed a message; only sendToPeers uses it.
	incomplete bool
	// candidates are those that the peer was last sent; only sendToPeers uses it.
	candidates []pkshare.Member
	// help is when the peer is sent helpers; only sendToPeers uses it.
	help pkshare.HelpSchedule
}

// outgoing is an encoded message.
type outgoing struct {
	raw []byte
	// catchUp is set if it has state that the peer lacks.
	catchUp bool
}

// candidatesDue reports whether a message for the peer is to hold the candidates: those that the peer was sent have
// changed and a message is due, or the peer may have missed the last message.
func (l *peerLink) candidatesDue(due, again bool, candidates []pkshare.Member) bool {
	return l.role == pkshare.Spoke && (again || (due && !slices.Equal(candidates, l.candidates)))
}

// nextHelpSample returns which sample of the helpers a message for the peer at now reports, and records it as sent; zero
// if none. Hubs of other data centres and impaired entries that this one serves are sent helpers every HelpInterval,
// the latter at once when they become impaired, and sooner after changedAt; again is set if the peer may have missed the
// last message.
func (l *peerLink) nextHelpSample(now, changedAt time.Time, due, again, impaired bool) int {
	spoke := l.role == pkshare.Spoke
	if l.role == pkshare.Peer || (spoke && !impaired) {
		l.help.Reset()
		return 0
	}
	if !spoke {
		changedAt = time.Time{}
	}
	switch {
	case spoke && (again || l.help.IsNew()):
		l.help.Begin(now)
	case !l.help.Next(now, changedAt, due):
		return 0
	}
	if !spoke {
		return 1
	}
	return 1 + rand.N(helpSamples)
}

// enqueue queues a message. Of two that were not sent yet it keeps the newer one, or the one with
// state that the peer lacks, which would be sent again much later.
func (l *peerLink) enqueue(m outgoing) {
	if m.raw == nil {
		return
	}
	l.incomplete = false
	select {
	case old := <-l.out:
		l.incomplete = true
		if old.catchUp && !m.catchUp {
			m = old
		}
	default:
	}
	l.out <- m
}

func (d *Daemon) runPeerLink(ctx context.Context, addr string, l *peerLink) {
	pause := redialBase
	for ctx.Err() == nil {
		began := time.Now()
		err := d.runConn(ctx, addr, l)
		if ctx.Err() != nil {
			return
		}
		d.log.Info("peer connection failed, connecting again", "addr", addr, "error", err)
		if time.Since(began) > redialMax {
			pause = redialBase
		}
		pktimer.Sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, redialMax)
	}
}

// runConn sends the queued messages over a new connection until it breaks.
func (d *Daemon) runConn(ctx context.Context, addr string, l *peerLink) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := d.gossip.transport.Dial(dialCtx, addr)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }() // nothing is pending on it
	ctx, lost := context.WithCancel(ctx)
	defer lost()
	d.gossip.wg.Go(func() {
		// The read returns only when the connection ends, since peers send nothing on it.
		_, _ = c.Receive(ctx)
		lost()
	})
	l.newConn.Store(true)
	if !d.gossip.designated.Load() {
		d.gossip.wake() // a starting entry is served once its hubs have heard from it
	}
	for {
		select {
		case <-ctx.Done():
			return errors.New("connection closed")
		case m := <-l.out:
			if _, err := c.SendRaw(ctx, m.raw); err != nil {
				return err
			}
		}
	}
}
