package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"peridotknot.example/platform/platformtest"
)

// exchange is one request on a connection to a replica.
type exchange struct {
	conn *replicaConn
	req  *http.Request
	id   string
	body string
}

// replicaConn is a connection to a replica. Its requests are served one after another.
type replicaConn struct {
	net.Conn
	// closed is closed once the other end has closed the connection.
	closed chan struct{}
	// late is written where the next response is expected.
	late string
}

// write writes text and reports whether that succeeded.
func (c *replicaConn) write(text string) bool {
	_, err := io.WriteString(c.Conn, text)
	return err == nil
}

// isClosed reports whether the other end has closed the connection.
func (c *replicaConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// replica is a stand-in for a replica, as a listener of this process.
type replica struct {
	id, service, kind string
	listener          net.Listener
	store             *platformtest.Store
	// serve serves a request of a client.
	serve func(*replica, *exchange)

	mu          sync.Mutex
	first, end  int
	orders      uint64
	beats       int
	state       string
	activeConns map[net.Conn]bool
}

// startReplica starts a replica and registers it.
func (r *run) startReplica(s *platformtest.Store, id, service, kind string, first, end int, serve func(*replica, *exchange)) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	out := &replica{id: id, service: service, kind: kind, listener: l, store: s, serve: serve, first: first, end: end, state: "ready", activeConns: map[net.Conn]bool{}}
	r.atEnd(out.close)
	go out.accept()
	out.register()
	return out, nil
}

func (p *replica) addr() string { return p.listener.Addr().String() }

func (p *replica) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.activeConns {
		_ = c.Close()
	}
}

// register writes the replica's entry to the store.
func (p *replica) register() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beats++
	p.store.Put("servers/"+p.id, registration(p.service, p.addr(), p.kind, p.state, p.beats, p.first, p.end))
}

// registration returns the entry of a replica in the store.
func registration(service, addr, kind, state string, beats, first, end int) map[string]any {
	out := map[string]any{
		"service": service, "address": addr, "zone": "a", "version": "v1", "capacity_slots": 64, "state": state, "cold_left_ms": 0, "sequence": beats,
	}
	if end > first {
		out["route_type"], out["layers"] = kind, map[string]any{"from": first, "target": end, "version": 1}
	}
	return out
}

func (p *replica) holds(first, end int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.first <= first && end <= p.end
}

func (p *replica) accept() {
	for {
		raw, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.activeConns[raw] = true
		p.mu.Unlock()
		go p.serveConn(&replicaConn{Conn: raw, closed: make(chan struct{})})
	}
}

// serveConn reads the requests of a connection and serves them one after another.
func (p *replica) serveConn(c *replicaConn) {
	requests := make(chan *exchange, 16)
	go func() {
		defer close(requests)
		defer close(c.closed)
		in := bufio.NewReader(c.Conn)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			requests <- &exchange{conn: c, req: req, id: req.Header.Get("Peridotknot-Attempt-Id"), body: string(body)}
		}
	}()
	for x := range requests {
		if late := c.late; late != "" {
			c.late = ""
			c.write(late)
		}
		p.handle(x)
	}
	_ = c.Close()
}

func (p *replica) handle(x *exchange) {
	switch x.req.URL.Path {
	case "/report":
		p.report(x)
	case "/order":
		p.order(x)
	case "/health":
		x.conn.write("HTTP/1.1 200 OK\r\nPeridotknot-Replica-Id: " + p.id + "\r\nContent-Length: 0\r\n\r\n")
	default:
		if x.req.Header.Get("Peridotknot-Expect-Instance") != p.id {
			x.conn.write("HTTP/1.1 421 Misdirected Request\r\nPeridotknot-Replica-Id: " + p.id + "\r\nContent-Length: 0\r\n\r\n")
			return
		}
		p.serve(p, x)
	}
}

// report answers with the state of an engine.
func (p *replica) report(x *exchange) {
	p.mu.Lock()
	body := map[string]any{"stage": "prefill_decode", "models": []any{}, "busy": false, "sequence": p.orders, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 100000, "handles": 0, "pace": 1, "stalled": []any{}}
	if p.end > p.first {
		body["layers"] = map[string]any{"from": p.first, "target": p.end, "version": 1}
	}
	p.mu.Unlock()
	raw, _ := json.Marshal(body)
	x.conn.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(raw), raw))
}

// order takes layers at once.
func (p *replica) order(x *exchange) {
	var in struct {
		Operation string
		From      int
		Target    int
		Expected  *uint64
	}
	status := "202 Accepted"
	p.mu.Lock()
	switch err := json.Unmarshal([]byte(x.body), &in); {
	case err != nil || in.Operation != "place":
		status = "400 Bad Request"
	case in.Expected != nil && *in.Expected != p.orders:
		status = "409 Conflict"
	default:
		p.orders++
		p.first, p.end = in.From, in.Target
	}
	p.mu.Unlock()
	if strings.HasPrefix(status, "202") {
		p.register()
	}
	x.conn.write("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n")
}

// head returns the head of a success with chunks.
func head(id string) string {
	return "HTTP/1.1 200 OK\r\nPeridotknot-Attempt-Id: " + id + "\r\nPeridotknot-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// event returns an event of a stream.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: part %d of %s\n\n", n, n, id) }

func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

// events returns a whole stream.
func events(id string, count int) string {
	var b strings.Builder
	for n := 1; n <= count; n++ {
		b.WriteString(event(id, n))
	}
	return b.String()
}

// stream sends events at an interval, the first after a delay, and reports whether all were sent. begun is called
// when the first is made.
func stream(x *exchange, count int, delay, interval time.Duration, begun func()) bool {
	time.Sleep(delay)
	if x.conn.isClosed() {
		return false
	}
	begun()
	if !x.conn.write(head(x.id)) {
		return false
	}
	for n := 1; n <= count; n++ {
		if x.conn.isClosed() || !x.conn.write(chunk(event(x.id, n))) {
			return false
		}
		time.Sleep(interval)
	}
	return x.conn.write("0\r\n\r\n")
}
