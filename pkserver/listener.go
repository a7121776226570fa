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

	"peridotknot.example/pkbudget"
)

// listen listens on a TCP address, within the limits on connections that wait to be accepted. Without limits these are the
// system's number of connections with smallBuffer bytes each.
func listen(addr string, limits pkbudget.Limits) (*net.TCPListener, error) {
	buffer := smallBuffer
	if limits.PendingBytes > 0 {
		buffer = int(limits.PendingBytes)
	}
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return onSocket(c, func(fd int) error { return setReceiveBuffer(fd, buffer) })
	}}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp, isTCP := l.(*net.TCPListener)
	if !isTCP {
		return nil, errors.Join(fmt.Errorf("%s: not a TCP listener: %T", addr, l), l.Close())
	}
	if limits.Pending <= 0 {
		return tcp, nil
	}
	if err := boundPending(tcp, limits.Pending); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: bound connections that wait: %w", addr, err), tcp.Close())
	}
	return tcp, nil
}

// boundPending bounds the connections that wait to be accepted.
func boundPending(l *net.TCPListener, pending int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	return onSocket(raw, func(fd int) error { return unix.Listen(fd, pending) }) // again, with another bound
}

// onSocket calls do with the descriptor of a socket.
func onSocket(c syscall.RawConn, do func(fd int) error) error {
	var failed error
	err := c.Control(func(fd uintptr) { failed = do(int(fd)) })
	return errors.Join(err, failed)
}

// setReceiveBuffer bounds what a socket may have received and not read to a number of bytes: the system takes up to twice
// the size that is set.
func setReceiveBuffer(fd, bytes int) error {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes/2)
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
