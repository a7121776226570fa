package pkconn

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"peridotknot.example/pkexchange"
	"peridotknot.example/pkid"
	"peridotknot.example/pkverdict"
)

// maxResponseHeaderBytes bounds the head of a response, which a faulty target may send without end.
const maxResponseHeaderBytes = 64 << 10

// Transport is an HTTP/1.1 transport that returns only responses whose head HTTP allows.
type Transport struct{ *http.Transport }

// RoundTrip sends a request and returns the head of its response, or an error of pkexchange.CheckHead.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := pkexchange.CheckHead(req.Header, resp.StatusCode, resp.Header); err != nil {
		t.discard(req.Context(), resp)
		return nil, err
	}
	return resp, nil
}

// discard closes a response and its connection, which may be idle already if the response has no body.
func (t *Transport) discard(ctx context.Context, resp *http.Response) {
	_ = resp.Body.Close() // nothing of it is used
	tracker, tracked := ctx.Value(trackerKey{}).(*Tracker)
	if !tracked || tracker.Conn() == nil {
		t.CloseIdleConnections()
		return
	}
	_ = tracker.Conn().Close()
}

// Transport returns a transport over connections that count the bytes written.
func (o Options) Transport() *Transport {
	return &Transport{&http.Transport{
		DialContext:            o.DialContext,
		MaxIdleConnsPerHost:    o.MaxIdlePerHost,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
		// HTTP/2 multiplexes requests on one connection, so the count of written bytes would no
		// longer belong to one request, and one lost connection would fail many requests.
		ForceAttemptHTTP2: false,
		TLSNextProto:      map[string]func(string, *tls.Conn) http.RoundTripper{},
		Protocols:         http1(),
	}}
}

func http1() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// NonReplayable wraps a body, which may be nil, so that net/http cannot retry its request.
//
// When a reused connection closes before the response, net/http retries a GET, HEAD or OPTIONS and
// every request with an Idempotency-Key header, and the target would run the request twice. It does
// so only if it can replay the body, which is not the case for a body that is neither nil nor
// http.NoBody and has no GetBody.
func NonReplayable(body io.Reader) io.ReadCloser {
	if body == nil {
		return &nonReplayableBody{Reader: http.NoBody}
	}
	return &nonReplayableBody{Reader: body}
}

type nonReplayableBody struct{ io.Reader }

// Close closes the wrapped body if it can be closed.
func (b *nonReplayableBody) Close() error {
	if c, ok := b.Reader.(io.Closer); ok {
		return c.Close()
	}
	return nil
}

// Tracker observes one exchange to determine its verdict; the zero value is ready to use.
type Tracker struct {
	// Request is the ID of the request, if it has one. A connection over which that was answered before is closed and
	// the exchange fails; see HasAvoided.
	Request pkid.RequestID

	avoided atomic.Bool
	conn    atomic.Pointer[Conn]
	// startWritten is the byte count of the connection at the start of the exchange.
	startWritten atomic.Int64
	// untracked is set if the connection does not count its bytes.
	untracked atomic.Bool
	// wroteRequest is closed once net/http has written the request, or has failed to.
	wroteRequest chan struct{}
}

// trackerKey is the context key of the tracker of an exchange.
type trackerKey struct{}

// Trace returns ctx with client trace hooks that feed the tracker.
func (t *Tracker) Trace(ctx context.Context) context.Context {
	t.wroteRequest = make(chan struct{})
	written := sync.OnceFunc(func() { close(t.wroteRequest) })
	ctx = context.WithValue(ctx, trackerKey{}, t)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: t.gotConn, PutIdleConn: t.putIdle,
		WroteRequest: func(httptrace.WroteRequestInfo) { written() },
	})
}

func (t *Tracker) gotConn(info httptrace.GotConnInfo) {
	raw := info.Conn
	if secure, ok := raw.(*tls.Conn); ok {
		raw = secure.NetConn()
	}
	c, ok := raw.(*Conn)
	if !ok {
		t.untracked.Store(true)
		return
	}
	c.busy.Store(true)
	t.startWritten.Store(c.written.Load())
	t.conn.Store(c)
	c.exchange.Store(t)
	if !c.Memory.MayCarry(t.Request) {
		t.avoided.Store(true)
		c.avoided.Store(true)
		_ = c.Close() // its writes fail either way
	}
}

// HasAvoided reports whether nothing was sent since the request had been answered over the connection before. What came
// as a response then is none.
func (t *Tracker) HasAvoided() bool { return t.avoided.Load() }

// putIdle records that the connection was returned to the pool.
func (t *Tracker) putIdle(err error) {
	if c := t.conn.Load(); c != nil && err == nil {
		c.busy.Store(false)
	}
}

// Progress returns the progress of the exchange so far. If its connection does not count bytes, the
// request counts as written.
func (t *Tracker) Progress() pkverdict.Progress {
	c := t.conn.Load()
	if c == nil {
		return pkverdict.Progress{Connected: t.untracked.Load(), Written: t.untracked.Load()}
	}
	return pkverdict.Progress{Connected: true, Written: c.written.Load() > t.startWritten.Load()}
}

// Conn returns the connection of the exchange, or nil if it has none yet.
func (t *Tracker) Conn() *Conn { return t.conn.Load() }
