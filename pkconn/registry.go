package pkconn

import (
	"net"
	"sync"
)

// Registry knows the open connections by the address that they lead to; the zero value is
// empty, and nil keeps nothing.
type Registry struct {
	mu    sync.Mutex
	conns map[string]map[*Conn]bool
}

// add keeps a connection until it is closed.
func (g *Registry) add(addr string, c *Conn) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns == nil {
		g.conns = map[string]map[*Conn]bool{}
	}
	if g.conns[addr] == nil {
		g.conns[addr] = map[*Conn]bool{}
	}
	g.conns[addr][c] = true
	c.closed = func() { g.remove(addr, c) }
}

func (g *Registry) remove(addr string, c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns[addr], c)
	if len(g.conns[addr]) == 0 {
		delete(g.conns, addr)
	}
}

// CloseIdle closes the connections to an address that serve no exchange at present. They may
// lead to a process that is gone: where its VM fell silent, nothing ends them, and the next
// request that is written to one may have run or not as far as its sender can tell.
func (g *Registry) CloseIdle(addr string) {
	if g == nil {
		return
	}
	for _, c := range g.idle(addr) {
		_ = c.Close() // nothing is on its way over it
	}
}

func (g *Registry) idle(addr string) []net.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []net.Conn
	for c := range g.conns[addr] {
		if !c.busy.Load() {
			out = append(out, c)
		}
	}
	return out
}
