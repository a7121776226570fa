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
	ConnContext func(context.Context, net.Conn) context.Context
	ErrorLog    *log.Logger

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
	// conns is the number of open connections; the Server's lock guards it.
	conns int
}

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
	former := s.current
	if s.closing {
		s.mu.Unlock()
		return nil, http.ErrServerClosed
	}
	if former != nil && former.conns > 0 {
		if s.former == nil {
			s.former = map[*generation]struct{}{}
		}
		s.former[former] = struct{}{}
	}
	s.current = s.newGeneration()
	g, err := s.current, s.tcp.SetDeadline(time.Time{})
	s.mu.Unlock()
	if former != nil {
		former.SetKeepAlivesEnabled(false)
	}
	return g, err
}

func (s *Server) newGeneration() *generation {
	g := &generation{accepts: &sharedListener{TCPListener: s.tcp}}
	g.Server = http.Server{
		Handler: s.Handler, ConnContext: s.ConnContext, ErrorLog: s.ErrorLog,
		MaxHeaderBytes: s.limits.HeaderBytes, ReadHeaderTimeout: s.limits.HeaderTimeout, IdleTimeout: s.limits.IdleTimeout,
		ConnState: func(_ net.Conn, state http.ConnState) { s.countConn(g, state) },
	}
	return g
}

// countConn counts the open connections of a generation and drops a former one that has none left.
func (s *Server) countConn(g *generation, state http.ConnState) {
	if state != http.StateNew && state != http.StateClosed {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		g.conns++
		return
	}
	g.conns--
	if g.conns == 0 {
		delete(s.former, g)
	}
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
