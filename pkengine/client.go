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

// HeaderNotStarted on a refusal says that the engine did not start.
const HeaderNotStarted = "X-Engine-Not-Started"

const (
	maxReply    = 1 << 20
	traceParent = "traceparent"
)

// ErrFenced says that an engine has seen a higher fencing number.
var ErrFenced = errors.New("the engine has seen a higher fencing number")

// Client speaks the engine contract over HTTP.
type Client struct {
	http *http.Client
	// silence is how long a stream may say nothing before it counts as lost.
	silence time.Duration
}

// NewClient returns a client whose streams count as lost after silence.
func NewClient(o pkconn.Options, silence time.Duration) *Client {
	return &Client{http: &http.Client{Transport: o.Transport()}, silence: silence}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Open starts a stream; the error is a *pkverdict.Error.
func (c *Client) Open(ctx context.Context, addr string, o Open) (Stream, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	guard := time.AfterFunc(c.silence, func() { cancel(errSilent) })
	var track pkconn.Tracker
	req, err := http.NewRequestWithContext(track.Trace(ctx), http.MethodPost, "http://"+addr+PathStreams, pkconn.Once(bytes.NewReader(body)))
	if err != nil {
		guard.Stop()
		cancel(nil)
		return nil, &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: err}
	}
	req.ContentLength = int64(len(body))
	if tp := traceFrom(ctx); tp != "" {
		req.Header.Set(traceParent, tp)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		guard.Stop()
		err = withCause(ctx, err)
		cancel(nil)
		return nil, &pkverdict.Error{Verdict: pkverdict.Decide(track.Progress()), Reason: pkverdict.ReasonTargetLost, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel(nil)
		guard.Stop()
		return nil, refusal(resp)
	}
	return newReader(ctx, cancel, resp.Body, guard, c.silence), nil
}

func refusal(resp *http.Response) error {
	text := drain(resp.Body)
	progress := pkverdict.Progress{Connected: true, Written: true}
	progress.Refused = resp.Header.Get(HeaderNotStarted) == "true"
	return &pkverdict.Error{
		Verdict: pkverdict.Decide(progress),
		Reason:  pkverdict.ReasonRefused,
		Err:     fmt.Errorf("engine answered %d: %s", resp.StatusCode, text),
	}
}

// Cancel stops an attempt of a stream.
func (c *Client) Cancel(ctx context.Context, addr string, stream pkid.RequestID, attempt pkid.Attempt) error {
	target := fmt.Sprintf("http://%s%s/%s?attempt=%d", addr, PathStreams, url.PathEscape(string(stream)), attempt)
	return c.call(ctx, http.MethodDelete, target, nil, nil)
}

// Load returns the engine's report on itself.
func (c *Client) Load(ctx context.Context, addr string) (Load, error) {
	var l Load
	err := c.call(ctx, http.MethodGet, "http://"+addr+PathLoad, nil, &l)
	return l, err
}

// Order tells the engine what to hold.
func (c *Client) Order(ctx context.Context, addr string, o Order) error {
	return c.call(ctx, http.MethodPost, "http://"+addr+PathOrders, o, nil)
}

func (c *Client) call(ctx context.Context, method, target string, in, out any) error {
	var body io.Reader
	var size int64
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode call to engine: %w", err)
		}
		body = bytes.NewReader(raw)
		size = int64(len(raw))
	}
	req, err := http.NewRequestWithContext(ctx, method, target, pkconn.Once(body))
	if err != nil {
		return fmt.Errorf("make call to engine: %w", err)
	}
	req.ContentLength = size
	if in == nil {
		req.ContentLength = -1
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("call engine: %w", err)
	}
	if resp.StatusCode == http.StatusConflict {
		drain(resp.Body)
		return ErrFenced
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("engine answered %s: %s", strconv.Itoa(resp.StatusCode), drain(resp.Body))
	}
	defer drain(resp.Body)
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(out); err != nil {
		return fmt.Errorf("decode engine's answer: %w", err)
	}
	return nil
}

// drain reads a little of a body, so that its connection can be used again,
// and returns the start of it for an error text.
func drain(body io.ReadCloser) string {
	const keep = 200
	raw, _ := io.ReadAll(io.LimitReader(body, 4096)) // the text is a courtesy; the status already decided
	_ = body.Close()
	return string(raw[:min(len(raw), keep)])
}

type traceKey struct{}

// WithTrace returns ctx with a W3C traceparent value for calls to engines.
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
