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
	"peridotknot.example/pkverdict"
)

// Request is a caller's request, read whole.
type Request struct {
	Ask    Ask
	Method string
	Host   string
	// URI is the path and query as the caller wrote them.
	URI    string
	Header http.Header
	Body   []byte
}

// Sender makes exchanges with targets.
type Sender struct {
	dialect   Dialect
	transport *http.Transport
}

// NewSender returns a sender whose connections keep to o.
func NewSender(d Dialect, o pkconn.Options) *Sender {
	return &Sender{dialect: d, transport: o.Transport()}
}

// Close closes idle connections.
func (s *Sender) Close() error {
	s.transport.CloseIdleConnections()
	return nil
}

// Answer is the head of a target's answer; Close must be called.
type Answer struct {
	Head
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the length of the body, or -1 if it ends with its connection or
	// comes in chunks.
	Length int64
	resp   *http.Response
	conn   *pkconn.Conn
}

// Close ends the exchange. A body that was not read to its end ends the
// connection with it.
func (a *Answer) Close() { _ = a.resp.Body.Close() }

// errStray is the cause of failures by an answer that belongs to another request.
var errStray = errors.New("the answer belongs to another request")

// Do sends a request to the target at addr and returns the head of its answer. The
// error is a *pkverdict.Error; an answer that says that the request did not run is
// such an error too, of reason pkverdict.ReasonRefused, beside the answer's head.
func (s *Sender) Do(ctx context.Context, addr string, r *Request, out Send) (*Answer, error) {
	var track pkconn.Tracker
	req, err := s.request(track.Trace(ctx), addr, r, out)
	if err != nil {
		return nil, &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: err}
	}
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		progress := track.Progress()
		reason := pkverdict.ReasonTargetLost
		if !progress.Connected {
			reason = pkverdict.ReasonUnreachable
		}
		return nil, &pkverdict.Error{Verdict: pkverdict.Decide(progress), Reason: reason, Err: err}
	}
	a := &Answer{
		Head:   s.dialect.Head(resp.StatusCode, resp.Header),
		Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Length: resp.ContentLength,
		resp: resp, conn: track.Conn(),
	}
	if a.ID != r.Ask.ID {
		// A target that sends a second answer leaves it where the next one is
		// awaited. Taken for it, one caller would get another's answer.
		a.drop()
		return nil, &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: errStray}
	}
	if a.NotRun {
		a.discard()
		return a, &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: fmt.Errorf("status %d", a.Status)}
	}
	return a, nil
}

// drop ends the connection of an answer, also if its body is empty and the
// connection is in the pool again already.
func (a *Answer) drop() {
	if a.conn != nil {
		_ = a.conn.Close()
	}
	a.Close()
}

// discard reads a short refusal to its end, so that its connection is used again.
func (a *Answer) discard() {
	const most = 4 << 10
	_, _ = io.CopyN(io.Discard, a.Body, most)
	a.Close()
}

func (s *Sender) request(ctx context.Context, addr string, r *Request, out Send) (*http.Request, error) {
	u, err := target(addr, r.URI)
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
		Body:   pkconn.Once(body),
		// With a body set, 0 would mean that the length is not known, which -1
		// says too; net/http then finds the body empty and sends none.
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) == 0 {
		req.ContentLength = -1
	}
	Forward(req.Header, r.Header)
	if _, given := r.Header["User-Agent"]; !given {
		// net/http would add its own.
		req.Header["User-Agent"] = []string{""}
	}
	s.dialect.Dress(req.Header, out)
	return req.WithContext(ctx), nil
}

// target returns the URL that sends uri to addr as it is, without decoding and
// encoding it again.
func target(addr, uri string) (*url.URL, error) {
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

// hopByHop are the headers that belong to one connection.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// Forward copies the headers that go through from one side to the other.
func Forward(to, from http.Header) {
	var named map[string]bool
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if named == nil {
				named = map[string]bool{}
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !hopByHop[name] && !named[name] {
			to[name] = values
		}
	}
}

// ReadWhole reads an answer of at most limit bytes; the error is a
// *pkverdict.Error that says that the request may have run.
func (a *Answer) ReadWhole(limit int64) ([]byte, error) {
	var body []byte
	var err error
	if a.Length >= 0 && a.Length <= limit {
		body = make([]byte, a.Length)
		_, err = io.ReadFull(a.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(a.Body, limit+1))
	}
	if err == nil && int64(len(body)) > limit {
		err = fmt.Errorf("the answer has more than %d bytes", limit)
	}
	if err != nil {
		return nil, &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: err}
	}
	return body, nil
}
