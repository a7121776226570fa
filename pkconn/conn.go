package pkconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a connection that counts the bytes written to it.
type Conn struct {
	net.Conn
	written atomic.Int64
	// busy says that an exchange has it.
	busy atomic.Bool
	// closed is told once when it is closed.
	closed func()
	once   sync.Once
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		if c.closed != nil {
			c.closed()
		}
	})
	return err
}

// Write writes to the connection; the count goes up before the bytes leave.
func (c *Conn) Write(p []byte) (int, error) {
	// Counted first: a write that fails midway may have sent a part.
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Options bounds how long a connection may be unusable before it is known.
type Options struct {
	// Dial bounds the time to connect.
	Dial time.Duration
	// Unacknowledged bounds the time that sent data may stay without an
	// acknowledgement.
	Unacknowledged time.Duration
	// Idle bounds the age of an unused connection in a pool.
	Idle time.Duration
	// PerHost bounds the idle connections kept for one target.
	PerHost int
	// Registry keeps the connections that are made; nil keeps none.
	Registry *Registry
}

// DefaultOptions returns limits for links within one region.
func DefaultOptions() Options {
	return Options{
		Dial:           300 * time.Millisecond,
		Unacknowledged: 900 * time.Millisecond,
		Idle:           15 * time.Second,
		PerHost:        256,
	}
}

func (o Options) dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: o.Dial,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     time.Second,
			Interval: time.Second,
			Count:    2,
		},
		Control: o.control,
	}
}

// control sets TCP_USER_TIMEOUT. A middlebox that forgot a connection drops
// what is written to it without a reset; without this limit the kernel sends
// again for many minutes, and the caller waits for an answer that cannot come.
func (o Options) control(_, _ string, raw syscall.RawConn) error {
	var fault error
	err := raw.Control(func(fd uintptr) {
		fault = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.Unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return fault
}

// DialContext connects to addr and returns a Conn.
func (o Options) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := o.dialer().DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: raw}
	c.busy.Store(true)
	o.Registry.add(addr, c)
	return c, nil
}
