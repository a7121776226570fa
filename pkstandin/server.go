package pkstandin

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is an HTTP server that can be killed and restarted at the same address, and whose open
// connections can be black-holed.
type server struct {
	handler http.Handler
	addr    string

	mu    sync.Mutex
	http  *http.Server
	conns map[*conn]struct{}
	done  chan struct{}
}

func newServer(addr string, h http.Handler) (*server, error) {
	s := &server{handler: h, addr: addr, conns: map[*conn]struct{}{}}
	return s, s.start()
}

func (s *server) start() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr = l.Addr().String()
	s.http = &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Minute}
	s.done = make(chan struct{})
	running, done := s.http, s.done
	go func() {
		defer close(done)
		_ = running.Serve(&listener{Listener: l, server: s}) // returns when the server is killed
	}()
	return nil
}

// kill closes all connections and the listener.
func (s *server) kill() {
	s.mu.Lock()
	running, done := s.http, s.done
	s.http = nil
	s.mu.Unlock()
	if running == nil {
		return
	}
	_ = running.Close() // open connections are closed on purpose
	<-done
}

// blackholeConns drops all further traffic of the open connections in both directions. New
// connections are not affected.
func (s *server) blackholeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.blackhole()
	}
}

type listener struct {
	net.Listener
	server *server
}

// Accept wraps each connection so that it can be black-holed.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, server: l.server, blackholed: make(chan struct{}), closed: make(chan struct{})}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[c] = struct{}{}
	return c, nil
}

// conn is a connection that can be black-holed, like one whose state a middlebox has dropped: written
// data is lost and nothing is received.
type conn struct {
	net.Conn
	server        *server
	blackholeOnce sync.Once
	blackholed    chan struct{}
	closeOnce     sync.Once
	closed        chan struct{}
}

func (c *conn) blackhole() { c.blackholeOnce.Do(func() { close(c.blackholed) }) }

func (c *conn) isBlackholed() bool {
	select {
	case <-c.blackholed:
		return true
	default:
		return false
	}
}

// Read reads from the connection. On a black-holed one it blocks until the connection is closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.isBlackholed() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write writes to the connection. On a black-holed one the data is dropped.
func (c *conn) Write(p []byte) (int, error) {
	if c.isBlackholed() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection. Further calls return nil.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		close(c.closed)
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
		err = c.Conn.Close()
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
