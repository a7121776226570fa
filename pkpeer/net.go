package pkpeer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/coder/websocket"

	"peridotknot.example/pkconn"
)

// Path is the HTTP path at which an entry accepts connections from peers.
const Path = "/peer"

// Transport dials other entries and accepts their connections.
type Transport[M any] struct {
	identity Identity
	options  pkconn.Options
	sent     atomic.Int64
	received atomic.Int64
}

// NewTransport returns a transport with an identity and connection options.
func NewTransport[M any](i Identity, o pkconn.Options) *Transport[M] {
	return &Transport[M]{identity: i, options: o}
}

// Bytes returns the total number of bytes sent and received in messages.
func (n *Transport[M]) Bytes() (sent, received int64) { return n.sent.Load(), n.received.Load() }

// Listen returns l, wrapped in mutual TLS if an identity is configured.
func (n *Transport[M]) Listen(l net.Listener) net.Listener {
	if !n.identity.Enabled() {
		return l
	}
	return tls.NewListener(l, n.identity.server())
}

// Dial connects to the entry at addr.
func (n *Transport[M]) Dial(ctx context.Context, addr string) (*Conn[M], error) {
	transport := n.options.Transport()
	scheme := "ws"
	if n.identity.Enabled() {
		config, err := n.identity.client()
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = config
		scheme = "wss"
	}
	ws, resp, err := websocket.Dial(ctx, scheme+"://"+addr+Path, &websocket.DialOptions{HTTPClient: &http.Client{Transport: transport}})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close() // ws keeps the connection open
	}
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	return n.conn(ws), nil
}

// Accept upgrades a request from another entry to a connection.
func (n *Transport[M]) Accept(w http.ResponseWriter, r *http.Request) (*Conn[M], error) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, fmt.Errorf("accept peer: %w", err)
	}
	return n.conn(ws), nil
}

func (n *Transport[M]) conn(ws *websocket.Conn) *Conn[M] {
	ws.SetReadLimit(maxMessageSize)
	return &Conn[M]{ws: ws, sent: &n.sent, received: &n.received}
}
