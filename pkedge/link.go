package pkedge

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"peridotknot.example/pkshare"
	"peridotknot.example/pktimer"
)

const (
	// dialTimeout bounds how long it takes to reach an entry.
	dialTimeout = time.Second
	// redialFirst and redialMost bound the pause after a lost connection.
	redialFirst = 100 * time.Millisecond
	redialMost  = 2 * time.Second
)

// link is the way to one other entry.
type link struct {
	cancel context.CancelFunc
	// role is what the other entry is to this one.
	role pkshare.Role
	// out holds the newest message that has not gone out; an older one is dropped.
	out chan []byte
	// connected is set by a new connection, whose other end has heard nothing yet.
	connected atomic.Bool
	// lacks says that the other end may not have heard all that was told; it belongs to the loop
	// that tells peers.
	lacks bool
}

// put leaves a message for the connection; one before it that has not gone out is dropped.
func (l *link) put(raw []byte) {
	if raw == nil {
		return
	}
	l.lacks = false
	select {
	case <-l.out:
		l.lacks = true
	default:
	}
	l.out <- raw
}

func (d *Daemon) runLink(ctx context.Context, addr string, l *link) {
	pause := redialFirst
	for ctx.Err() == nil {
		began := time.Now()
		err := d.runConn(ctx, addr, l)
		if ctx.Err() != nil {
			return
		}
		d.log.Info("a peer is not reached", "addr", addr, "error", err)
		if time.Since(began) > redialMost {
			pause = redialFirst
		}
		pktimer.Sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, redialMost)
	}
}

// runConn tells one entry what is left for it until the connection breaks.
func (d *Daemon) runConn(ctx context.Context, addr string, l *link) error {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := d.sharing.net.Dial(dial, addr)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }() // a closed connection has nothing left to lose
	ctx, lost := context.WithCancel(ctx)
	defer lost()
	d.sharing.wg.Go(func() {
		// Nothing comes this way; a read ends when the connection does.
		_, _ = c.Receive(ctx)
		lost()
	})
	l.connected.Store(true)
	for {
		select {
		case <-ctx.Done():
			return errors.New("the connection ended")
		case raw := <-l.out:
			if _, err := c.SendRaw(ctx, raw); err != nil {
				return err
			}
		}
	}
}
