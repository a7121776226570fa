package pkconn

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// receiptPollInterval is how often a connection is asked whether its peer has received what was written.
const receiptPollInterval = 2 * time.Millisecond

// errUnreceived means that the peer has not received what was written in time.
var errUnreceived = errors.New("the peer has not received all of it")

// awaitReceipt waits until the peer's kernel has received all that was written, and returns an error if it rejects that or has
// not by a time. A connection that cannot be asked counts as received.
func (c *Conn) awaitReceipt(until time.Time) error {
	for {
		unreceived, failure := receipt(c.Conn)
		switch {
		case failure != nil:
			return failure
		case unreceived == 0:
			return nil
		case !time.Now().Before(until):
			return errUnreceived
		}
		select {
		case <-time.After(receiptPollInterval):
		case <-c.closed:
			return net.ErrClosed
		}
	}
}

// receipt returns how many of the bytes written the peer has not acknowledged, zero if that is not known, and the pending
// error of the socket.
func receipt(conn net.Conn) (unreceived int, failure error) {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Control(func(fd uintptr) {
		if pending, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); err == nil && pending != 0 {
			failure = syscall.Errno(pending)
			return
		}
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unreceived = n
		}
	})
	return unreceived, errors.Join(err, failure)
}
