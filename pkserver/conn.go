package pkserver

import (
	"context"
	"errors"
	"net"
	"time"

	"peridotknot.example/pkbudget"
)

// refusal answers a connection for which there is no room, while all others have requests in progress.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// conn is a client's connection that counts what arrives.
type conn struct {
	*net.TCPConn
	holding *Holding
}

// open returns a connection with its Holding, and nil if it was refused.
func open(b *Budget, tcp *net.TCPConn) *conn {
	h := &Holding{conn: tcp, abort: func() {
		_ = tcp.SetReadDeadline(longAgo) // it may be closed
	}}
	decision := b.Connect(time.Now(), h)
	for _, other := range decision.Evicted {
		other.closeConnection()
	}
	if decision.Hold == nil {
		_, _ = tcp.Write([]byte(refusal)) // a new connection has room for it
		_ = tcp.Close()
		return nil
	}
	h.hold = decision.Hold
	h.setReceiveBuffer(smallBuffer)
	return &conn{TCPConn: tcp, holding: h}
}

// Read reads from the connection and charges what has arrived.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	if busy := c.holding.received(n); busy != nil {
		return 0, errors.Join(busy, err)
	}
	return n, err
}

// received charges bytes that have arrived, unless they are those of a body, which its reader charges.
func (h *Holding) received(n int) error {
	switch phase(h.phase.Load()) {
	case phaseWaiting:
		h.begin()
		return h.receivedHeader(n)
	case phaseHeader:
		return h.receivedHeader(n)
	case phaseWhole:
		h.phase.Store(int32(phaseOver))
		// The client has sent more than its request, which waits in the receive buffer until the answer is sent.
		h.setReceiveBuffer(smallBuffer)
		return h.grow(context.Background(), largeBuffer)
	default:
		return nil
	}
}

func (h *Holding) begin() {
	h.hold.Begin(time.Now())
	h.header.Store(0)
	h.phase.Store(int32(phaseHeader))
}

func (h *Holding) receivedHeader(n int) error {
	before := h.header.Load()
	h.header.Store(before + int64(n))
	more := pkbudget.Bytes(before + int64(n) - max(before, freeHeader))
	if more <= 0 {
		return nil
	}
	return h.grow(context.Background(), headerFactor*more)
}

// beginBody records that the header was read whole.
func (h *Holding) beginBody() {
	if phase(h.phase.Load()) == phaseWaiting { // read together with the request before
		h.begin()
	}
	h.hold.Arrive()
	h.phase.Store(int32(phaseBody))
}

// end releases what the request held.
func (h *Holding) end() {
	if h.largeBuffer {
		h.largeBuffer = false
		h.setReceiveBuffer(smallBuffer)
	}
	h.phase.Store(int32(phaseWaiting))
	h.hold.End(time.Now())
}
