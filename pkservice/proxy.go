package pkservice

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkforward"
	"peridotknot.example/pkid"
	"peridotknot.example/pktarget"
	"peridotknot.example/pkverdict"
)

// Chooser returns a target that is not in avoid.
type Chooser func(now time.Time, avoid []pkid.TargetID) (*pktarget.Target, error)

// Budget is a retry budget.
type Budget interface {
	// Spend takes a retry from the budget and reports whether there was one left.
	Spend() bool
}

// Call is a call to a plain service.
type Call struct {
	Method string
	// URI is the path and query to send to the service.
	URI    *url.URL
	Header http.Header
	Body   io.Reader
	// Size is the length of the body in bytes, or -1 if unknown.
	Size       int64
	Idempotent bool
}

// Proxy forwards calls to targets and retries failed ones. It is safe for concurrent use.
type Proxy struct {
	http     *http.Client
	attempts int
}

// New returns a proxy that makes at most the given number of attempts per call.
func New(o pkconn.Options, attempts int) *Proxy {
	return &Proxy{
		attempts: attempts,
		http: &http.Client{
			Transport: o.Transport(),
			// Redirects are returned to the client; following them here would run the call twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes idle connections.
func (p *Proxy) Close() error {
	p.http.CloseIdleConnections()
	return nil
}

// Reply is a service's response with its body still to be read. The receiver must close the body and
// then call Done on the target.
type Reply struct {
	Response *http.Response
	Target   *pktarget.Target
	Attempts int
}

// Do sends a call to a target returned by choose and returns once the response headers are read. It
// retries on other targets if the verdict, the body and the budget permit it; the error is a
// *pkverdict.Error.
func (p *Proxy) Do(ctx context.Context, c Call, choose Chooser, budget Budget) (Reply, error) {
	body := &countingReader{Reader: c.Body}
	verdict := pkverdict.NotRun
	var avoid []pkid.TargetID
	for attempt := 1; ; attempt++ {
		t, err := choose(time.Now(), avoid)
		if err != nil {
			return Reply{}, &pkverdict.Error{Verdict: verdict, Reason: pkverdict.ReasonNoRoute, Err: err}
		}
		resp, err := p.sendOnce(ctx, c, body, t)
		if err == nil {
			return Reply{Response: resp, Target: t, Attempts: attempt}, nil
		}
		var failure *pkverdict.Error
		if !errors.As(err, &failure) {
			return Reply{}, err
		}
		verdict = pkverdict.Join(verdict, failure.Verdict)
		failure.Verdict = verdict
		if ctx.Err() != nil {
			failure.Reason = pkverdict.ReasonDeadline
			return Reply{}, failure
		}
		t.RecordFailure(time.Now())
		avoid = append(avoid, t.Info.ID)
		// A partly read body cannot be replayed.
		retry := verdict.MayRetry(c.Idempotent) && body.n.Load() == 0
		if !retry || attempt >= p.attempts || !budget.Spend() {
			return Reply{}, failure
		}
	}
}

func (p *Proxy) sendOnce(ctx context.Context, c Call, body io.Reader, t *pktarget.Target) (*http.Response, error) {
	var track pkconn.Tracker
	target := url.URL{Scheme: "http", Host: t.Info.Addr, Path: c.URI.Path, RawPath: c.URI.RawPath, RawQuery: c.URI.RawQuery}
	req, err := http.NewRequestWithContext(track.Trace(ctx), c.Method, target.String(), pkconn.NonReplayable(body))
	if err != nil {
		return nil, &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: err}
	}
	req.ContentLength = c.Size
	if c.Size == 0 {
		// net/http takes zero with a non-nil body for unknown as well. For methods that usually have
		// no body it then probes for a first byte, and sends no body if there is none.
		req.ContentLength = -1
	}
	pkforward.CopyHeaders(req.Header, c.Header)
	t.Begin()
	resp, err := p.http.Do(req)
	if err == nil {
		p.checkEnd(ctx, t.Info.Addr, resp)
		return resp, nil
	}
	t.Done()
	progress := track.Progress()
	return nil, &pkverdict.Error{
		Verdict: pkverdict.Decide(progress),
		Reason:  pkverdict.ReasonTargetLost,
		Err:     fmt.Errorf("call %s: %w", t.Info.ID, withoutURL(err)),
	}
}

// withoutURL unwraps a *url.Error, because its text contains the URL: errors are logged, and paths can
// contain personal data.
func withoutURL(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

// countingReader counts the bytes read from a body; a nil Reader is an empty body.
type countingReader struct {
	io.Reader
	n atomic.Int64
}

// Read implements io.Reader.
func (b *countingReader) Read(p []byte) (int, error) {
	if b.Reader == nil {
		return 0, io.EOF
	}
	n, err := b.Reader.Read(p)
	b.n.Add(int64(n))
	return n, err
}
