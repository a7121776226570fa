package pkrelay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pkpeer"
)

// Path is the HTTP path at which an entry accepts relayed requests.
const Path = "/relay"

// Headers of a response of the entry itself, which no target has given.
const (
	// HeaderVerdict is whether a target may have run the request, in the words of pkverdict.
	HeaderVerdict = "Relay-Verdict"
	// HeaderReason is the outcome of the request at the entry.
	HeaderReason = "Relay-Reason"
)

// Reasons for which an entry passes a relayed request back before it has sent it to any target.
const (
	ReasonCutOff      = "cut_off"
	ReasonStopping    = "stopping"
	ReasonOlderConfig = "older_configuration"
	ReasonInvalid     = "invalid_relay"
	ReasonBusy        = "callers_hold_too_much"
)

// ReasonLinksCut is the reason for which an entry gives up a relayed request that targets may have run: its links were cut
// before they answered.
const ReasonLinksCut = "links_cut"

// maxOverhead is the largest size of an encoded request beyond its body, in bytes.
const maxOverhead = 256 << 10

// maxRemaining is the longest time that a caller may still wait.
const maxRemaining = 24 * time.Hour

// Request is a caller's request as it is passed on to another entry.
type Request struct {
	From   pkid.EntryID        `cbor:"1,keyasint"`
	Method string              `cbor:"2,keyasint"`
	Host   string              `cbor:"3,keyasint"`
	URI    string              `cbor:"4,keyasint"`
	Header map[string][]string `cbor:"5,keyasint,omitempty"`
	Body   []byte              `cbor:"6,keyasint,omitempty"`
	// RemainingMS is how many milliseconds the caller still waits.
	RemainingMS int64 `cbor:"7,keyasint"`
	// Version is the configuration by which the sender has taken the request on.
	Version pkconfig.Version `cbor:"8,keyasint"`
	// Runs is the number of sends so far whose targets may have run the request.
	Runs int `cbor:"9,keyasint,omitempty"`
	// LastEventID is the last event of a stream that the caller has received; empty before the first.
	LastEventID string `cbor:"10,keyasint,omitempty"`
}

// Remaining returns how long the caller still waits.
func (r *Request) Remaining() time.Duration { return time.Duration(r.RemainingMS) * time.Millisecond }

// Encode returns the encoded request.
func (r *Request) Encode() ([]byte, error) { return pkpeer.Encode(*r) }

// MaxBytes returns the largest size of an encoded request whose body has at most maxBody bytes.
func MaxBytes(maxBody int64) int64 { return maxBody + maxOverhead }

// Decode decodes and checks an encoded request whose body has at most maxBody bytes.
func Decode(raw []byte, maxBody int64) (*Request, error) {
	if limit := MaxBytes(maxBody); int64(len(raw)) > limit {
		return nil, fmt.Errorf("relayed request exceeds %d bytes", limit)
	}
	r, err := pkpeer.Decode[Request](raw)
	if err != nil {
		return nil, err
	}
	return &r, r.check()
}

// check returns an error if the request cannot be one that an entry has passed on.
func (r *Request) check() error {
	switch {
	case r.Method == "" || r.Host == "":
		return errors.New("relayed request has no method or no host")
	case len(r.URI) == 0 || r.URI[0] != '/':
		return errors.New("relayed request has no path")
	case r.RemainingMS <= 0 || r.RemainingMS > maxRemaining.Milliseconds():
		return errors.New("relayed request has no time left, or more than a day")
	case r.Runs < 0:
		return errors.New("relayed request has a negative number of runs")
	}
	return nil
}

// HTTP returns the request as the sender received it from its caller.
func (r *Request) HTTP(ctx context.Context) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.URI)
	if err != nil {
		return nil, fmt.Errorf("relayed request has an invalid path: %w", err)
	}
	out := &http.Request{
		Method: r.Method, URL: u, RequestURI: r.URI, Host: r.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: make(http.Header, len(r.Header)),
		ContentLength: int64(len(r.Body)), Body: io.NopCloser(bytes.NewReader(r.Body)),
	}
	for name, values := range r.Header {
		out.Header[http.CanonicalHeaderKey(name)] = slices.Clone(values)
	}
	return out.WithContext(ctx), nil
}
