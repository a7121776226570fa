package pkserver

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits bound the headers of requests and idle connections.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server is an HTTP server whose limits may change. A change applies to new connections; those of before are closed
// at once if they are idle, and else after the answer to their next request.
type Server struct {
	Handler     http.Handler
	BaseContext func(net.Listener) context.Context
	ConnContext func(context.Context, net.Conn) context.Context
	ErrorLog    *log.Logger
	// Budget bounds what clients hold; HoldingOf returns what a request holds of it.
	Budget Budget

	mu     sync.Mutex
	tcp    *net.TCPListener
	limits Limits
	// current accepts connections.
	current *generation
	// former are the generations of earlier limits that have connections left.
	former  map[*generation]struct{}
	closing bool
}

// generation serves the connections that were accepted under the same limits.
type generation struct {
	http.Server
	accepts *sharedListener
	// conns are the open connections; the Server's lock guards them.
	conns map[net.Conn]*clientConn
}

// clientConn is an open connection; the Server's lock guards it.
type clientConn struct {
	// idle is set between two requests, closed once the connection was closed then.
	idle, closed bool
	holding      *Holding
}

// clientConnKey is the context key of a request's clientConn.
type clientConnKey struct{}

// Serve serves the connections of a listener, which it closes, until Shutdown or Close. It returns
// http.ErrServerClosed then, and at once if one of them was called before.
func (s *Server) Serve(l *net.TCPListener) error {
	defer func() { _ = l.Close() }() // the last generation may have closed it
	s.mu.Lock()
	s.tcp = l
	s.mu.Unlock()
	for {
		g, err := s.replace()
		if err != nil {
			return err
		}
		if err := g.Serve(g.accepts); !errors.Is(err, errRetired) {
			return err
		}
	}
}

// replace makes a generation with the present limits the current one.
func (s *Server) replace() (*generation, error) {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return nil, http.ErrServerClosed
	}
	former := s.current
	s.current = s.newGeneration()
	if former != nil {
		s.retire(former)
	}
	g, err := s.current, s.tcp.SetDeadline(time.Time{})
	s.mu.Unlock()
	if former != nil {
		former.SetKeepAlivesEnabled(false) // answers in progress say that their connection closes
	}
	return g, err
}

// retire closes the idle connections of a generation and keeps it until the others are closed; the caller holds the lock.
func (s *Server) retire(g *generation) {
	if len(g.conns) == 0 {
		return
	}
	if s.former == nil {
		s.former = map[*generation]struct{}{}
	}
	s.former[g] = struct{}{}
	for accepted, c := range g.conns {
		c.closeIfIdle(accepted)
	}
}

// closeIfIdle closes a connection of a former generation that has no request; the caller holds the lock.
func (c *clientConn) closeIfIdle(accepted net.Conn) {
	if c.idle && !c.closed {
		c.closed = true
		_ = accepted.Close() // the client may have closed it
	}
}

func (s *Server) newGeneration() *generation {
	g := &generation{accepts: &sharedListener{TCPListener: s.tcp, budget: &s.Budget}, conns: map[net.Conn]*clientConn{}}
	g.Server = http.Server{
		Handler: http.HandlerFunc(s.serve), ErrorLog: s.ErrorLog, BaseContext: s.BaseContext,
		MaxHeaderBytes: s.limits.HeaderBytes, ReadHeaderTimeout: s.limits.HeaderTimeout, IdleTimeout: s.limits.IdleTimeout,
		ConnContext: func(ctx context.Context, accepted net.Conn) context.Context { return s.addConn(ctx, g, accepted) },
		ConnState:   func(accepted net.Conn, state http.ConnState) { s.recordState(g, accepted, state) },
	}
	return g
}

func (s *Server) addConn(ctx context.Context, g *generation, accepted net.Conn) context.Context {
	c := &clientConn{}
	s.mu.Lock()
	g.conns[accepted] = c
	s.mu.Unlock()
	ctx = context.WithValue(ctx, clientConnKey{}, c)
	if counted, isConn := accepted.(*conn); isConn {
		c.holding = counted.holding
		ctx = context.WithValue(ctx, holdingKey{}, c.holding)
	}
	if s.ConnContext == nil {
		return ctx
	}
	return s.ConnContext(ctx, accepted)
}

// recordState records the state of a connection. One of a former generation is closed as soon as it is idle.
func (s *Server) recordState(g *generation, accepted net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, found := g.conns[accepted]
	if !found {
		return
	}
	c.idle = state == http.StateIdle
	if c.idle && c.holding != nil {
		c.holding.end()
	}
	switch {
	case state == http.StateClosed:
		c.holding.Close()
		delete(g.conns, accepted)
		if len(g.conns) == 0 {
			delete(s.former, g)
		}
	case g != s.current:
		c.closeIfIdle(accepted)
	}
}

// serve serves a request unless its connection was closed before it was read, so that it has no effect without an answer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	s.mu.Lock()
	closed := c != nil && c.closed
	s.mu.Unlock()
	if closed {
		panic(http.ErrAbortHandler)
	}
	if c != nil && c.holding != nil {
		c.holding.beginBody()
	}
	s.Handler.ServeHTTP(w, r)
}

// SetLimits changes the limits, also before Serve; the zero value stands for those of net/http.
func (s *Server) SetLimits(limits Limits) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits == limits {
		return nil
	}
	s.limits = limits
	if s.current == nil || s.closing {
		return nil
	}
	return s.current.accepts.retire()
}

// Shutdown stops accepting connections, closes them as they become idle, and returns when none is left or with the
// error of ctx once that is done.
func (s *Server) Shutdown(ctx context.Context) error {
	var err error
	for _, g := range s.end() {
		err = errors.Join(err, g.Shutdown(ctx))
	}
	return err
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	var err error
	for _, g := range s.end() {
		err = errors.Join(err, g.Close())
	}
	return err
}

// end lets no further generation begin and returns all that are left.
func (s *Server) end() []*generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	var out []*generation
	if s.current != nil {
		out = append(out, s.current)
	}
	for g := range s.former {
		out = append(out, g)
	}
	return out
}
