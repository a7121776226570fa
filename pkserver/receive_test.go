package pkserver

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"peridotknot.example/pkbudget"
)

// unread returns how many bytes a connection has received and not read, once no more come.
func unread(t *testing.T, c *net.TCPConn) int {
	t.Helper()
	raw, err := c.SyscallConn()
	assert.NilError(t, err)
	for before := -1; ; time.Sleep(100 * time.Millisecond) {
		var now int
		assert.NilError(t, onSocket(raw, func(fd int) (err error) {
			now, err = unix.IoctlGetInt(fd, unix.TIOCINQ)
			return err
		}))
		if now == before && now > 0 {
			return now
		}
		before = now
	}
}

// Guards against connections that have received more than the limits count for them, before and after they are accepted.
func TestConnectionsReceiveNoMoreThanTheirBound(t *testing.T) {
	const pendingBuffer = 2 << 10
	for name, piece := range map[string]int{"small": 100, "segments": 1460, "large": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			l, err := listen("127.0.0.1:0", pkbudget.Limits{PendingBytes: pendingBuffer})
			assert.NilError(t, err)
			defer func() { assert.NilError(t, l.Close()) }()
			client, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				for err := error(nil); err == nil; {
					_, err = client.Write(bytes.Repeat([]byte("a"), piece)) // until the connection is closed
				}
			}()
			time.Sleep(100 * time.Millisecond) // to receive more than it may before it is accepted
			tcp, err := l.AcceptTCP()
			assert.NilError(t, err)
			got := unread(t, tcp)
			assert.Assert(t, got <= pendingBuffer, got)

			var b Budget
			c := open(&b, tcp)
			got = unread(t, tcp)
			assert.Assert(t, got <= smallBuffer, got)
			_, err = c.Read(make([]byte, high))
			assert.NilError(t, err)
			got = unread(t, tcp)
			assert.Assert(t, got <= smallBuffer, got)

			c.holding.setReceiveBuffer(largeBuffer)
			_, err = c.Read(make([]byte, high))
			assert.NilError(t, err)
			got = unread(t, tcp)
			assert.Assert(t, got <= largeBuffer, got)
			assert.NilError(t, errors.Join(tcp.Close(), client.Close()))
			<-sent
		})
	}
}

// Guards against connections without a bound that wait to be accepted.
func TestPendingConnectionsAreBounded(t *testing.T) {
	g := Guard{Memory: 38 << 20, Largest: func() pkbudget.Bytes { return 1 << 20 }}
	limits, _ := g.machine().Limits()
	l, err := g.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	connected := 0
	for range limits.Pending + 4 {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", l.Addr().String())
		cancel()
		var timeout net.Error
		if err != nil {
			assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), err)
			continue
		}
		defer func() { assert.NilError(t, c.Close()) }()
		connected++
	}
	assert.Assert(t, connected > 0 && connected <= limits.Pending+1, "%d connections wait, of %d", connected, limits.Pending) // the system adds one
}
