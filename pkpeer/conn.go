package pkpeer

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	// maxMessageSize allows for a manifest of several megabytes.
	maxMessageSize = 8 << 20
	writeTimeout   = 2 * time.Second
)

// decMode limits the memory that a malformed or malicious message can make the decoder allocate.
var decMode = mustDecoder(cbor.DecOptions{
	MaxNestedLevels:  16,
	MaxArrayElements: 1 << 16,
	MaxMapPairs:      1 << 16,
	IndefLength:      cbor.IndefLengthForbidden,
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
})

func mustDecoder(o cbor.DecOptions) cbor.DecMode {
	mode, err := o.DecMode()
	if err != nil {
		panic(err) // the options above are constant
	}
	return mode
}

// Conn is a connection to another entry that carries messages of type M.
type Conn[M any] struct {
	ws *websocket.Conn
	// sent and received count the bytes of all connections that share them.
	sent     *atomic.Int64
	received *atomic.Int64
}

// Send sends a message and returns its size in bytes.
func (c *Conn[M]) Send(ctx context.Context, m M) (int, error) {
	raw, err := Encode(m)
	if err != nil {
		return 0, err
	}
	return c.SendRaw(ctx, raw)
}

// SendRaw sends a message encoded by Encode and returns its size in bytes. It avoids encoding a
// message again for each receiver.
func (c *Conn[M]) SendRaw(ctx context.Context, raw []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, raw); err != nil {
		return 0, fmt.Errorf("send to peer: %w", err)
	}
	c.sent.Add(int64(len(raw)))
	return len(raw), nil
}

// Receive waits for the next message.
func (c *Conn[M]) Receive(ctx context.Context) (M, error) {
	_, raw, err := c.ws.Read(ctx)
	if err != nil {
		var none M
		return none, fmt.Errorf("receive from peer: %w", err)
	}
	c.received.Add(int64(len(raw)))
	return Decode[M](raw)
}

// Close closes the connection without a closing handshake.
func (c *Conn[M]) Close() error { return c.ws.CloseNow() }

// Encode returns the CBOR encoding of a message.
func Encode[M any](m M) ([]byte, error) {
	raw, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message to peer: %w", err)
	}
	return raw, nil
}

// Decode decodes a message from CBOR and rejects one that exceeds the decoder's limits.
func Decode[M any](raw []byte) (M, error) {
	var m M
	if err := decMode.Unmarshal(raw, &m); err != nil {
		return m, fmt.Errorf("decode message from peer: %w", err)
	}
	return m, nil
}
