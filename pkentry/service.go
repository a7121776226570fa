package pkentry

import (
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

// copyBuffer is the size of the pieces that bodies are passed on in.
const copyBuffer = 16 << 10

// callService passes a call on to a plain service.
func (e *Entry) callService(c *call) error {
	c.key = "service:"
	s, found := c.view.Service(c.account, pkid.ServiceID(c.r.PathValue("service")))
	if !found {
		return c.invalid(http.StatusNotFound, "service_not_found", "the service does not exist or is not yours to use")
	}
	c.key = "service:" + string(s.ID)
	deadline, err := c.deadline()
	if err != nil {
		return err
	}
	limit := c.view.Manifest.Limits.MaxBody
	if c.r.ContentLength > limit {
		c.w.Header().Set("Connection", "close")
		return c.invalid(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body may have %d bytes", limit))
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), deadline)
	defer cancel()
	if err := http.NewResponseController(c.w).SetReadDeadline(deadline); err != nil {
		return err
	}
	g := c.gate(s.Pool)
	g.budget.Earn()
	leave, err := c.admit(ctx, g, pkadmit.Ask{
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
	release, err := c.claim(s.ID, s.Repeatable(c.r.Method, servicePath(c.r.URL, s.ID).Path))
	if err != nil {
		return err
	}
	err = c.pass(ctx, s, deadline, limit, g)
	if err != nil && failure(err).Verdict == pkverdict.NotRun {
		release()
	}
	return err
}

func (c *call) pass(ctx context.Context, s *pkmanifest.Service, deadline time.Time, limit int64, g *gate) error {
	uri := servicePath(c.r.URL, s.ID)
	idempotent := s.Repeatable(c.r.Method, uri.Path)
	ctx, span := c.tracer.Start(ctx, "service", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	header := c.r.Header.Clone()
	// The API key is between the caller and the router.
	header.Del("Authorization")
	header.Set(pkopenai.HeaderRequestID, c.givenID())
	w3c.Inject(ctx, propagation.HeaderCarrier(header))
	out := pkservice.Call{
		Method:     c.r.Method,
		URI:        uri,
		Header:     header,
		Body:       http.MaxBytesReader(c.w, c.r.Body, limit),
		Size:       c.r.ContentLength,
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
	defer func() { _ = reply.Response.Body.Close() }() // what was read is passed on; the rest is not needed
	return c.reply(reply)
}

func (c *call) chooseService(pool pkid.PoolID) pkservice.Chooser {
	return func(now time.Time, avoid []pkid.TargetID) (*pktarget.Target, error) {
		return c.chooseTarget(now, pool, avoid)
	}
}

// reply passes an answer on. If it breaks off, the caller's connection is cut:
// a body that simply ended would look whole.
func (c *call) reply(reply pkservice.Reply) error {
	resp := reply.Response
	pkforward.Forward(c.w.Header(), resp.Header)
	c.w.Header().Set(pkopenai.HeaderRequestID, c.givenID())
	// A verdict is the router's word; a service must not give it.
	c.w.Header().Del(pkopenai.HeaderVerdict)
	c.w.WriteHeader(resp.StatusCode)
	control := http.NewResponseController(c.w)
	buf := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, werr := c.w.Write(buf[:n]); werr != nil {
				return fmt.Errorf("%w: %w", errBegun, werr)
			}
			if resp.ContentLength < 0 {
				if ferr := control.Flush(); ferr != nil {
					return fmt.Errorf("%w: %w", errBegun, ferr)
				}
			}
		}
		if err == io.EOF {
			reply.Target.Succeeded()
			return nil
		}
		if err != nil {
			reply.Target.Failed(time.Now())
			c.log.Warn("an answer broke off", "request_id", c.givenID(), "target", reply.Target.Info.ID, "error", err)
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
		c.log.Warn("the call was not recorded", "error", err)
	}
}

// servicePath returns the URL as the service should see it.
func servicePath(u *url.URL, id pkid.ServiceID) *url.URL {
	prefix := servicePrefix + string(id)
	out := &url.URL{Path: strings.TrimPrefix(u.Path, prefix), RawQuery: u.RawQuery}
	if u.RawPath != "" {
		out.RawPath = strings.TrimPrefix(u.RawPath, prefix)
	}
	return out
}
