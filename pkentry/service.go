package pkentry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"peridotknot.example/pkadmit"
	"peridotknot.example/pkforward"
	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pkopenai"
	"peridotknot.example/pkservice"
	"peridotknot.example/pktarget"
	"peridotknot.example/pktrace"
	"peridotknot.example/pkverdict"
)

// copyBufferSize is the buffer size for copying response bodies.
const copyBufferSize = 16 << 10

// callService forwards a call to a plain service.
func (e *Entry) callService(c *call) error {
	c.resource = "service:"
	s, found := c.view.Service(c.account, pkid.ServiceID(c.r.PathValue("service")))
	if !found {
		return c.invalid(http.StatusNotFound, "service_not_found", "the service does not exist or is not yours to use")
	}
	c.resource = "service:" + string(s.ID)
	deadline, err := c.deadline()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), deadline)
	defer cancel()
	control := http.NewResponseController(c.w)
	if err := control.SetReadDeadline(deadline); err != nil {
		return err
	}
	// A call whose body does not come must not hold a place.
	body, err := c.readBody()
	if err != nil {
		return err
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	g := c.gate(s.Pool)
	g.budget.Earn()
	leave, err := c.admit(ctx, g, pkadmit.Request{
		Account:     c.account.ID,
		Weight:      c.account.Weight,
		MaxInFlight: c.account.MaxInFlight,
		Tokens:      1,
		Deadline:    deadline,
	})
	if err != nil {
		return err
	}
	defer leave(1)
	release, err := c.claim(s.ID, s.Retryable(c.r.Method, servicePath(c.r.URL, s.ID).Path))
	if err != nil {
		return err
	}
	err = c.forward(ctx, s, deadline, body, g)
	if err != nil && failure(err).Verdict == pkverdict.NotRun {
		release()
	}
	return err
}

func (c *call) forward(ctx context.Context, s *pkmanifest.Service, deadline time.Time, body []byte, g *gate) error {
	uri := servicePath(c.r.URL, s.ID)
	idempotent := s.Retryable(c.r.Method, uri.Path)
	ctx, span := c.tracer.Start(ctx, "service", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	header := c.r.Header.Clone()
	// The API key must not reach the service.
	header.Del("Authorization")
	header.Set(pkopenai.HeaderRequestID, c.requestID())
	w3c.Inject(ctx, propagation.HeaderCarrier(header))
	out := pkservice.Call{
		Method:     c.r.Method,
		URI:        uri,
		Header:     header,
		Body:       bytes.NewReader(body),
		Size:       int64(len(body)),
		Idempotent: idempotent,
	}
	reply, err := c.ports.Services.Do(ctx, out, c.chooseService(s.Pool), g.budget)
	c.recordCall(s, idempotent, deadline)
	if err != nil {
		return err
	}
	c.metrics.repeated.Add(float64(reply.Attempts - 1))
	span.SetAttributes(attribute.String("target", string(reply.Target.Info.ID)), attribute.Int("attempts", reply.Attempts))
	defer reply.Target.Done()
	defer func() { _ = reply.Response.Body.Close() }() // unread data is discarded
	return c.copyResponse(reply)
}

func (c *call) chooseService(pool pkid.PoolID) pkservice.Chooser {
	return func(now time.Time, avoid []pkid.TargetID) (*pktarget.Target, error) {
		return c.chooseTarget(now, pool, avoid)
	}
}

// copyResponse copies a service's response to the client. If the response cannot be read to
// its end, it aborts the client's connection, because a cleanly ended body would look complete.
func (c *call) copyResponse(reply pkservice.Reply) error {
	resp := reply.Response
	pkforward.CopyHeaders(c.w.Header(), resp.Header)
	c.w.Header().Set(pkopenai.HeaderRequestID, c.requestID())
	// Only the router sets the verdict header.
	c.w.Header().Del(pkopenai.HeaderVerdict)
	c.w.WriteHeader(resp.StatusCode)
	control := http.NewResponseController(c.w)
	buf := make([]byte, copyBufferSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, werr := c.w.Write(buf[:n]); werr != nil {
				return fmt.Errorf("%w: %w", errResponseStarted, werr)
			}
			if resp.ContentLength < 0 {
				if ferr := control.Flush(); ferr != nil {
					return fmt.Errorf("%w: %w", errResponseStarted, ferr)
				}
			}
		}
		if err == io.EOF {
			reply.Target.RecordSuccess()
			return nil
		}
		if err != nil {
			reply.Target.RecordFailure(time.Now())
			c.log.Warn("failed to read service response; aborting client connection", "request_id", c.requestID(), "target", reply.Target.Info.ID, "error", err)
			panic(http.ErrAbortHandler)
		}
	}
}

func (c *call) recordCall(s *pkmanifest.Service, idempotent bool, deadline time.Time) {
	err := c.recorder.add(c.began, pktrace.Line{
		Kind:       pktrace.KindCall,
		Account:    c.account.ID,
		Service:    s.ID,
		Method:     c.r.Method,
		BodyBytes:  max(c.r.ContentLength, 0),
		Idempotent: idempotent,
		DeadlineMS: deadline.Sub(c.began).Milliseconds(),
	})
	if err != nil {
		c.log.Warn("failed to record call", "error", err)
	}
}

// servicePath returns the path and query of u without the prefix of the service.
func servicePath(u *url.URL, id pkid.ServiceID) *url.URL {
	prefix := servicePrefix + string(id)
	out := &url.URL{Path: strings.TrimPrefix(u.Path, prefix), RawQuery: u.RawQuery}
	if u.RawPath != "" {
		out.RawPath = strings.TrimPrefix(u.RawPath, prefix)
	}
	return out
}
