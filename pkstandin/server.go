package pkstandin

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is an HTTP server whose connections can be killed or silenced, and
// which comes back at the same address.
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
		_ = running.Serve(&listener{Listener: l, server: s}) // it ends when it is killed
	}()
	return nil
}

// kill resets all connections and stops listening.
func (s *server) kill() {
	s.mu.Lock()
	running, done := s.http, s.done
	s.http = nil
	s.mu.Unlock()
	if running == nil {
		return
	}
	_ = running.Close() // what was open is cut, as meant
	<-done
}

// silence makes the open connections go silent for good in both directions;
// new ones work.
func (s *server) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mute()
	}
}

type listener struct {
	net.Listener
	server *server
}

// Accept wraps each connection so that it can go silent.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, server: l.server, muted: make(chan struct{}), closed: make(chan struct{})}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[c] = struct{}{}
	return c, nil
}

// conn is a connection that can go silent, as one does that a middlebox has
// forgotten: what is written is lost, and nothing comes any more.
type conn struct {
	net.Conn
	server    *server
	muteOnce  sync.Once
	muted     chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

func (c *conn) mute() { c.muteOnce.Do(func() { close(c.muted) }) }

func (c *conn) silent() bool {
	select {
	case <-c.muted:
		return true
	default:
		return false
	}
}

// Read reads from the connection; on a silent one it waits until it is closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.silent() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write writes to the connection; on a silent one the bytes are lost.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
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
