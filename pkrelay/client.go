package pkrelay

import (
	"bytes"
	"context"
	"fmt"
	"net/http"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkverdict"
)

// Client sends requests to other entries.
type Client struct {
	transport *pkconn.Transport
}

// NewClient returns a client whose connections are made with o.
func NewClient(o pkconn.Options) *Client { return &Client{transport: o.Transport()} }

// Close closes idle connections.
func (c *Client) Close() error {
	c.transport.CloseIdleConnections()
	return nil
}

// Do sends a request to the entry at addr and returns its response, whose body must be closed. The
// error is a *pkverdict.Error; a response of the entry itself, which no target has given, is an
// error with the response.
func (c *Client) Do(ctx context.Context, addr string, r *Request) (*http.Response, error) {
	raw, err := r.Encode()
	if err != nil {
		return nil, &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonUnreachable, Err: err}
	}
	var tracker pkconn.Tracker
	req, err := http.NewRequestWithContext(tracker.Trace(ctx), http.MethodPost, "http://"+addr+Path, pkconn.NonReplayable(bytes.NewReader(raw)))
	if err != nil {
		return nil, &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonUnreachable, Err: err}
	}
	req.ContentLength = int64(len(raw))
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		progress, reason := tracker.Progress(), pkverdict.ReasonTargetLost
		if !progress.Connected {
			reason = pkverdict.ReasonUnreachable
		}
		return nil, &pkverdict.Error{Verdict: pkverdict.Decide(progress), Reason: reason, Err: err}
	}
	if resp.Header.Get(HeaderVerdict) == "" {
		return resp, nil
	}
	verdict, reason := pkverdict.MayHaveRun, pkverdict.ReasonTargetLost
	if resp.Header.Get(HeaderVerdict) == pkverdict.NotRun.String() {
		verdict, reason = pkverdict.NotRun, pkverdict.ReasonRefused
	}
	switch {
	case PassedBack(resp):
		reason = pkverdict.ReasonUnreachable
	case verdict == pkverdict.MayHaveRun && resp.Header.Get(HeaderReason) == ReasonLinksCut:
		reason = pkverdict.ReasonCutOff
	}
	return resp, &pkverdict.Error{Verdict: verdict, Reason: reason, Err: fmt.Errorf("entry %s has answered %d: %s", addr, resp.StatusCode, resp.Header.Get(HeaderReason))}
}

// PassedBack reports whether an entry has passed a request back without sending it to any target, so
// that another entry can take it.
func PassedBack(resp *http.Response) bool {
	switch resp.Header.Get(HeaderReason) {
	case ReasonCutOff, ReasonStopping, ReasonOlderConfig, ReasonInvalid, ReasonBusy:
		return true
	default:
		return false
	}
}
