package pkserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listen listens on a TCP address. Its connections have small receive buffers, also before they are accepted.
func Listen(addr string) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBuffer) })
		return errors.Join(err, failed)
	}}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp, isTCP := l.(*net.TCPListener)
	if !isTCP {
		return nil, errors.Join(fmt.Errorf("%s: not a TCP listener: %T", addr, l), l.Close())
	}
	return tcp, nil
}

// errRetired is the error of Accept once a listener is retired.
var errRetired = errors.New("another server accepts the connections")

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// sharedListener is one server's use of a TCP listener. It can be retired, which ends Accept without closing the
// TCP listener or losing a connection.
type sharedListener struct {
	*net.TCPListener
	budget  *Budget
	retired atomic.Bool
}

// Accept returns the next connection for which the budget has room, or errRetired once the listener is retired.
func (l *sharedListener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		switch {
		case err != nil && l.retired.Load():
			return nil, errRetired
		case err != nil:
			return nil, err
		}
		if c := open(l.budget, tcp); c != nil {
			return c, nil
		}
	}
}

// Close closes the TCP listener unless this use of it is retired.
func (l *sharedListener) Close() error {
	if l.retired.Load() {
		return nil
	}
	return l.TCPListener.Close()
}

// retire makes Accept return errRetired. The TCP listener accepts again once its deadline is reset.
func (l *sharedListener) retire() error {
	l.retired.Store(true)
	return l.SetDeadline(longAgo)
}
