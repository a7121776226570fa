package pkengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkid"
	"peridotknot.example/pkverdict"
)

// Paths of the engine contract.
const (
	PathStreams = "/engine/v1/streams"
	PathLoad    = "/engine/v1/load"
	PathOrders  = "/engine/v1/orders"
)

// HeaderNotStarted is "true" on an error response if the engine did not start the request.
const HeaderNotStarted = "X-Engine-Not-Started"

const (
	maxResponseBytes  = 1 << 20
	headerTraceParent = "traceparent"
)

// ErrFenced is returned for an order with a fencing token lower than one the engine has seen.
var ErrFenced = errors.New("engine has seen a higher fencing token")

// Client implements Engine over HTTP.
type Client struct {
	http *http.Client
	// idleTimeout is the longest time without an event after which a stream counts as lost.
	idleTimeout time.Duration
}

// NewClient returns a client whose streams count as lost after idleTimeout without an event.
func NewClient(o pkconn.Options, idleTimeout time.Duration) *Client {
	return &Client{http: &http.Client{Transport: o.Transport()}, idleTimeout: idleTimeout}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Open starts a stream; the error is a *pkverdict.Error.
func (c *Client) Open(ctx context.Context, addr string, o OpenRequest) (Stream, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	idleTimer := time.AfterFunc(c.idleTimeout, func() { cancel(errIdle) })
	var tracker pkconn.Tracker
	req, err := http.NewRequestWithContext(tracker.Trace(ctx), http.MethodPost, "http://"+addr+PathStreams, pkconn.NonReplayable(bytes.NewReader(body)))
	if err != nil {
		idleTimer.Stop()
		cancel(nil)
		return nil, &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: err}
	}
	req.ContentLength = int64(len(body))
	if tp := traceFrom(ctx); tp != "" {
		req.Header.Set(headerTraceParent, tp)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		idleTimer.Stop()
		err = withCause(ctx, err)
		cancel(nil)
		return nil, &pkverdict.Error{Verdict: pkverdict.Decide(tracker.Progress()), Reason: pkverdict.ReasonTargetLost, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel(nil)
		idleTimer.Stop()
		return nil, statusError(resp)
	}
	return newReader(ctx, cancel, resp.Body, idleTimer, c.idleTimeout), nil
}

func statusError(resp *http.Response) error {
	text := drain(resp.Body)
	progress := pkverdict.Progress{Connected: true, Written: true}
	progress.Refused = resp.Header.Get(HeaderNotStarted) == "true"
	return &pkverdict.Error{
		Verdict: pkverdict.Decide(progress),
		Reason:  pkverdict.ReasonRefused,
		Err:     fmt.Errorf("engine returned status %d: %s", resp.StatusCode, text),
	}
}

// Cancel stops an attempt of a stream.
func (c *Client) Cancel(ctx context.Context, addr string, stream pkid.RequestID, attempt pkid.Attempt) error {
	target := fmt.Sprintf("http://%s%s/%s?attempt=%d", addr, PathStreams, url.PathEscape(string(stream)), attempt)
	return c.call(ctx, http.MethodDelete, target, nil, nil)
}

// Load returns the engine's report on its state and load.
func (c *Client) Load(ctx context.Context, addr string) (Load, error) {
	var l Load
	err := c.call(ctx, http.MethodGet, "http://"+addr+PathLoad, nil, &l)
	return l, err
}

// Order sends the engine its desired state; the error is ErrFenced if a later owner has
// sent an order.
func (c *Client) Order(ctx context.Context, addr string, o Order) error {
	return c.call(ctx, http.MethodPost, "http://"+addr+PathOrders, o, nil)
}

func (c *Client) call(ctx context.Context, method, target string, in, out any) error {
	var body io.Reader
	var size int64
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode engine request: %w", err)
		}
		body = bytes.NewReader(raw)
		size = int64(len(raw))
	}
	req, err := http.NewRequestWithContext(ctx, method, target, pkconn.NonReplayable(body))
	if err != nil {
		return fmt.Errorf("create engine request: %w", err)
	}
	req.ContentLength = size
	if in == nil {
		req.ContentLength = -1
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("send engine request: %w", err)
	}
	if resp.StatusCode == http.StatusConflict {
		drain(resp.Body)
		return ErrFenced
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("engine returned status %s: %s", strconv.Itoa(resp.StatusCode), drain(resp.Body))
	}
	defer drain(resp.Body)
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return fmt.Errorf("decode engine response: %w", err)
	}
	return nil
}

// drain reads and closes a short body, so that its connection can be reused, and returns the start
// of it for an error text.
func drain(body io.ReadCloser) string {
	const maxText = 200
	raw, _ := io.ReadAll(io.LimitReader(body, 4096)) // the text is only informative; the status decides
	_ = body.Close()
	return string(raw[:min(len(raw), maxText)])
}

type traceKey struct{}

// WithTrace returns ctx with a W3C traceparent value, which Open sends to the engine.
func WithTrace(ctx context.Context, traceparent string) context.Context {
	return context.WithValue(ctx, traceKey{}, traceparent)
}

func traceFrom(ctx context.Context) string {
	tp, _ := ctx.Value(traceKey{}).(string)
	return tp
}

func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}
