package pkconn

import (
	"net"
	"sync"
)

// Registry tracks open connections by their remote address. The zero value is empty; a nil
// Registry tracks nothing.
type Registry struct {
	mu    sync.Mutex
	conns map[string]map[*Conn]bool
}

// add tracks a connection until it is closed.
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
	c.onClose = func() { g.remove(addr, c) }
}

func (g *Registry) remove(addr string, c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns[addr], c)
	if len(g.conns[addr]) == 0 {
		delete(g.conns, addr)
	}
}

// CloseIdle closes the connections to addr that no exchange uses. They may belong to a former
// process: if its VM became unreachable, nothing closes them, and for a request written to one of
// them the sender cannot tell whether it ran.
func (g *Registry) CloseIdle(addr string) {
	if g == nil {
		return
	}
	for _, c := range g.idle(addr) {
		_ = c.Close() // no exchange uses it
	}
}

// Open returns the number of open connections to addr, idle ones included.
func (g *Registry) Open(addr string) int {
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns[addr])
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
