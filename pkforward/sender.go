package pkforward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkexchange"
	"peridotknot.example/pkverdict"
)

// Request is a caller's request with its complete body.
type Request struct {
	Meta   RequestMeta
	Method string
	Host   string
	// URI is the path and query as received from the caller.
	URI    string
	Header http.Header
	Body   []byte
}

// Sender makes HTTP exchanges with targets.
type Sender struct {
	dialect   Dialect
	transport *pkconn.Transport
}

// NewSender returns a sender whose connections are made with o.
func NewSender(d Dialect, o pkconn.Options) *Sender {
	return &Sender{dialect: d, transport: o.Transport()}
}

// Close closes idle connections.
func (s *Sender) Close() error {
	s.transport.CloseIdleConnections()
	return nil
}

// Response is a target's response with its body unread; Close must be called.
type Response struct {
	ResponseMeta
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the length of the body in bytes, or -1 if it is chunked or delimited by the end of
	// the connection.
	Length int64
	// Delimited is set if the response itself says where its body ends, by a length or in chunks.
	// Otherwise its body ends with the connection, for whatever reason that ends.
	Delimited bool
	resp      *http.Response
	conn      *pkconn.Conn
}

// Close ends the exchange. If the body was not read to its end, the connection is closed as well.
func (r *Response) Close() { _ = r.resp.Body.Close() }

// Do sends a request to the target at addr and returns the head of its response. The error is a
// *pkverdict.Error. If the target did not run the request, Do returns both the head and
// an error with the reason pkverdict.ReasonRefused.
func (s *Sender) Do(ctx context.Context, addr string, r *Request, out SendOptions) (*Response, error) {
	response, err := s.exchange(ctx, addr, r, out)
	if err != nil {
		return nil, err
	}
	head := response.head()
	if err := head.CheckRequest(r.Meta.ID); err != nil {
		response.closeConn()
		return nil, err
	}
	if err := head.CheckRun(); err != nil {
		if response.conn != nil {
			response.conn.Memory.Answered(r.Meta.ID)
		}
		response.drain()
		return response, err
	}
	return response, nil
}

// head returns what decides whether the response is an answer.
func (r *Response) head() pkexchange.Head {
	return pkexchange.Head{Status: r.Status, Request: r.ID, NotRun: r.NotRun, Sealed: r.Sealed, Encoded: r.Header.Get("Content-Encoding") != ""}
}

// CheckAnswer returns an error if the response is not an answer for the caller; see pkexchange.Head.
func (r *Response) CheckAnswer() error { return r.head().CheckAnswer() }

// exchange sends a request and returns the head of the response, over a connection on which the request was not
// refused before: a second copy of that refusal would be taken for the response.
func (s *Sender) exchange(ctx context.Context, addr string, r *Request, out SendOptions) (*Response, error) {
	for {
		tracker := pkconn.Tracker{Request: r.Meta.ID}
		req, err := s.request(tracker.Trace(ctx), addr, r, out)
		if err != nil {
			return nil, &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: err}
		}
		resp, err := s.transport.RoundTrip(req)
		if tracker.HasAvoided() {
			if err == nil {
				_ = resp.Body.Close() // its connection is closed
			}
			continue
		}
		if err == nil {
			return s.response(resp, tracker.Conn()), nil
		}
		var failure *pkverdict.Error
		if errors.As(err, &failure) {
			return nil, failure // what came is not a response of HTTP
		}
		progress := tracker.Progress()
		reason := pkverdict.ReasonTargetLost
		if !progress.Connected {
			reason = pkverdict.ReasonUnreachable
		}
		return nil, &pkverdict.Error{Verdict: pkverdict.Decide(progress), Reason: reason, Err: err, Unanswered: true}
	}
}

func (s *Sender) response(resp *http.Response, conn *pkconn.Conn) *Response {
	r := &Response{
		ResponseMeta: s.dialect.ParseResponse(resp.StatusCode, resp.Header),
		Status:       resp.StatusCode, Header: resp.Header, Body: resp.Body, Length: resp.ContentLength,
		Delimited: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
		resp:      resp, conn: conn,
	}
	if resp.Request.Method == http.MethodHead {
		r.Length, r.Delimited = 0, true // its length is that of the answer to GET
	}
	return r
}

// closeConn closes the connection of a response, even if the body is empty and the connection is
// back in the pool already.
func (r *Response) closeConn() {
	if r.conn != nil {
		_ = r.conn.Close()
	}
	r.Close()
}

// drain reads a short response to its end, so that its connection can be reused.
func (r *Response) drain() {
	const limit = 4 << 10
	_, _ = io.CopyN(io.Discard, r.Body, limit)
	r.Close()
}

func (s *Sender) request(ctx context.Context, addr string, r *Request, out SendOptions) (*http.Request, error) {
	u, err := targetURL(addr, r.URI)
	if err != nil {
		return nil, err
	}
	var body io.Reader
	if len(r.Body) > 0 {
		body = bytes.NewReader(r.Body)
	}
	req := &http.Request{
		Method: r.Method, URL: u, Host: r.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(r.Header)+4),
		Body:   pkconn.NonReplayable(body),
		// With a non-nil Body, 0 and -1 both mean an unknown length; net/http then probes the body
		// and sends none if it is empty.
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) == 0 {
		req.ContentLength = -1
	}
	CopyHeaders(req.Header, r.Header)
	if _, given := r.Header["User-Agent"]; !given {
		// Keeps net/http from adding its default.
		req.Header["User-Agent"] = []string{""}
	}
	s.dialect.SetHeaders(req.Header, out)
	return req.WithContext(ctx), nil
}

// targetURL returns the URL that sends uri to addr unchanged, without decoding and re-encoding it.
func targetURL(addr, uri string) (*url.URL, error) {
	u := &url.URL{Scheme: "http", Host: addr}
	if strings.HasPrefix(uri, "/") && !strings.HasPrefix(uri, "//") {
		u.Opaque = uri
		return u, nil
	}
	in, err := url.ParseRequestURI(uri)
	if err != nil {
		return nil, err
	}
	u.Path, u.RawPath, u.RawQuery = in.Path, in.RawPath, in.RawQuery
	return u, nil
}

// hopByHop lists the headers that apply to a single connection and are not forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// CopyHeaders copies end-to-end headers, without hop-by-hop headers and those listed in Connection.
func CopyHeaders(to, from http.Header) {
	var connHeaders map[string]bool
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if connHeaders == nil {
				connHeaders = map[string]bool{}
			}
			connHeaders[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !hopByHop[name] && !connHeaders[name] {
			to[name] = values
		}
	}
}

// ReadAll reads a body of at most limit bytes; the error is a *pkverdict.Error with the verdict
// that the request may have run.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	return ReadBody(r.Body, r.Length, limit)
}

// ReadBody reads a body of at most limit bytes whose length is given, or negative if it is not known;
// the error is a *pkverdict.Error with the verdict that the request may have run.
func ReadBody(in io.Reader, length, limit int64) ([]byte, error) {
	var body []byte
	var err error
	if length >= 0 && length <= limit {
		body = make([]byte, length)
		_, err = io.ReadFull(in, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(in, limit+1))
	}
	if err == nil && int64(len(body)) > limit {
		err = fmt.Errorf("response body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, pkverdict.Lost(err)
	}
	return body, nil
}
