package pkconn

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"peridotknot.example/pkverdict"
)

// Transport returns an HTTP/1.1 transport over counted connections.
func (o Options) Transport() *http.Transport {
	return &http.Transport{
		DialContext:         o.DialContext,
		MaxIdleConnsPerHost: o.PerHost,
		IdleConnTimeout:     o.Idle,
		DisableCompression:  true,
		// HTTP/2 puts many requests on one connection, so a count of written
		// bytes would no longer belong to one request. One connection that
		// goes silent would also take all its requests with it.
		ForceAttemptHTTP2: false,
		TLSNextProto:      map[string]func(string, *tls.Conn) http.RoundTripper{},
		Protocols:         http1(),
	}
}

func http1() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// Once wraps a body so that the client cannot send its request a second time.
//
// net/http repeats a GET, HEAD or OPTIONS, and whatever has an Idempotency-Key
// header, when a reused connection dies before the answer; the target would run
// a call twice that must run once, and no code of ours would have asked for it.
// It does so only if it can have the body again: a body that is set, is not
// http.NoBody and has no GetBody stops it.
func Once(body io.Reader) io.ReadCloser {
	if body == nil {
		return &onceBody{Reader: http.NoBody}
	}
	return &onceBody{Reader: body}
}

type onceBody struct{ io.Reader }

// Close closes the wrapped body if it can be closed.
func (b *onceBody) Close() error {
	if c, ok := b.Reader.(io.Closer); ok {
		return c.Close()
	}
	return nil
}

// Tracker watches one exchange for its verdict; the zero value is ready.
type Tracker struct {
	conn  atomic.Pointer[Conn]
	start atomic.Int64
	blind atomic.Bool
}

// Trace returns ctx with the tracker in it.
func (t *Tracker) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn, PutIdleConn: t.putIdle})
}

func (t *Tracker) gotConn(info httptrace.GotConnInfo) {
	raw := info.Conn
	if secure, ok := raw.(*tls.Conn); ok {
		raw = secure.NetConn()
	}
	c, ok := raw.(*Conn)
	if !ok {
		t.blind.Store(true)
		return
	}
	c.busy.Store(true)
	t.start.Store(c.written.Load())
	t.conn.Store(c)
}

// putIdle notes that the exchange has given its connection back to the pool.
func (t *Tracker) putIdle(err error) {
	if c := t.conn.Load(); c != nil && err == nil {
		c.busy.Store(false)
	}
}

// Progress returns what the exchange had done so far.
func (t *Tracker) Progress() pkverdict.Progress {
	c := t.conn.Load()
	if c == nil {
		return pkverdict.Progress{Connected: t.blind.Load(), Written: t.blind.Load()}
	}
	return pkverdict.Progress{Connected: true, Written: c.written.Load() > t.start.Load()}
}

// Conn returns the connection of the exchange, or nil before it has one.
func (t *Tracker) Conn() *Conn { return t.conn.Load() }
