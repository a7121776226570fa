package pkconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"peridotknot.example/pkexchange"
)

// Conn is a connection that counts the bytes written to it.
type Conn struct {
	net.Conn
	written atomic.Int64
	// busy is set while an exchange uses the connection.
	busy atomic.Bool
	// onClose is called once when the connection is closed.
	onClose   func()
	closeOnce sync.Once
	// avoided is set once an exchange has avoided the connection, which sends nothing more then.
	avoided atomic.Bool
	// Memory is what the connection remembers of its exchanges.
	Memory pkexchange.Memory

	// exchange tracks the last exchange on the connection; nil if it had none.
	exchange atomic.Pointer[Tracker]
	closed   chan struct{}
	// writing is held during a write, and guards writeErr, the first error of one.
	writing  sync.Mutex
	writeErr error
}

// maxUploadAfterEnd is how long the peer may take to receive the request after the end of the connection's input.
const maxUploadAfterEnd = 500 * time.Millisecond

// Close closes the connection and removes it from its registry.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		close(c.closed)
		if c.onClose != nil {
			c.onClose()
		}
	})
	return err
}

// Write writes to the connection and counts the bytes.
func (c *Conn) Write(p []byte) (int, error) {
	if c.avoided.Load() {
		return 0, net.ErrClosed
	}
	// Counted first, since a write that fails may have sent a part of p.
	c.written.Add(int64(len(p)))
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection. The end of the input is an error that wraps io.ErrUnexpectedEOF if the peer does not
// receive the whole request of the exchange.
//
// The kernel reports a reset once. If a write fails with it, the input just ends, like that of a peer that has closed the
// connection after a complete response.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if cause := c.awaitRequest(time.Now().Add(maxUploadAfterEnd)); cause != nil {
		return n, fmt.Errorf("%w: write request: %w", io.ErrUnexpectedEOF, cause)
	}
	return n, err
}

// awaitRequest waits until the peer has received the request of the exchange, and returns an error if it cannot or does
// not by a time.
func (c *Conn) awaitRequest(until time.Time) error {
	t := c.exchange.Load()
	if t == nil {
		return nil
	}
	if err := c.SetWriteDeadline(until); err != nil {
		return err
	}
	select {
	case <-t.wroteRequest:
	case <-c.closed:
	}
	c.writing.Lock()
	err := c.writeErr
	c.writing.Unlock()
	if err != nil {
		return err
	}
	return c.awaitReceipt(until)
}

// Options sets the timeouts and the pool limits of connections.
type Options struct {
	// DialTimeout limits the time to connect.
	DialTimeout time.Duration
	// TCPUserTimeout limits the time that sent data may stay unacknowledged (TCP_USER_TIMEOUT).
	TCPUserTimeout time.Duration
	// IdleTimeout limits the time that a connection stays unused in the pool.
	IdleTimeout time.Duration
	// MaxIdlePerHost limits the idle connections to one address.
	MaxIdlePerHost int
	// Registry tracks the open connections; it may be nil.
	Registry *Registry
	// Dial replaces the dialer where it is set; DialTimeout applies to it as well.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// DefaultOptions returns options for links within one region.
func DefaultOptions() Options {
	return Options{
		DialTimeout:    300 * time.Millisecond,
		TCPUserTimeout: 900 * time.Millisecond,
		IdleTimeout:    15 * time.Second,
		MaxIdlePerHost: 256,
	}
}

func (o Options) dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     time.Second,
			Interval: time.Second,
			Count:    2,
		},
		Control: o.control,
	}
}

// control sets TCP_USER_TIMEOUT. A middlebox that lost the state of a connection drops its packets
// without a reset; without this limit the kernel retransmits for many minutes while the caller
// waits for a response that cannot arrive.
func (o Options) control(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.TCPUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

func (o Options) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if o.Dial == nil {
		return o.dialer().DialContext(ctx, network, addr)
	}
	ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
	defer cancel()
	return o.Dial(ctx, network, addr)
}

// DialContext connects to addr and returns a Conn.
func (o Options) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := o.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: raw, closed: make(chan struct{})}
	c.busy.Store(true)
	o.Registry.add(addr, c)
	return c, nil
}
