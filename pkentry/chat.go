package pkentry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"peridotknot.example/pkadmit"
	"peridotknot.example/pkanswer"
	"peridotknot.example/pkengine"
	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pkopenai"
	"peridotknot.example/pkquarantine"
	"peridotknot.example/pkroute"
	"peridotknot.example/pktrace"
)

// bodyTimeout bounds how long a caller may take to send a model request.
const bodyTimeout = 10 * time.Second

func (e *Entry) listModels(c *call) error {
	c.key = "models:"
	return pkopenai.WriteModels(c.w, c.account.Models)
}

func (e *Entry) chat(c *call) error { return c.generate(pkopenai.Chat) }

func (e *Entry) completion(c *call) error { return c.generate(pkopenai.Completion) }

// generate serves a model request.
func (c *call) generate(endpoint pkopenai.Endpoint) error {
	c.key = "model:"
	deadline, err := c.deadline()
	if err != nil {
		return err
	}
	req, err := c.decode(endpoint)
	if err != nil {
		return err
	}
	m, adapter, found := c.model(pkid.ModelID(req.Model))
	if !found {
		return c.invalid(http.StatusNotFound, "model_not_found", fmt.Sprintf("model %q does not exist or is not yours to use", req.Model))
	}
	c.key = "model:" + string(m.ID)
	prompt := req.Text(endpoint)
	limits := c.view.Manifest.Limits
	run := pkanswer.Request{
		ID:           c.id,
		Digest:       c.digest(req, prompt),
		Want:         c.wantNow(m, adapter),
		Prompt:       prompt,
		PromptTokens: pkopenai.CountTokens(prompt),
		MaxTokens:    min(req.Max(limits.MaxOutputTokens), limits.MaxOutputTokens),
		Priority:     c.account.Priority,
		Deadline:     deadline,
	}
	if run.PromptTokens > limits.MaxPromptTokens {
		return c.invalid(http.StatusBadRequest, "context_length_exceeded", fmt.Sprintf("the prompt has about %d tokens, %d are allowed", run.PromptTokens, limits.MaxPromptTokens))
	}
	return c.run(run, req, endpoint)
}

// digest tells whether a model request is the same as another but for its id.
func (c *call) digest(req pkopenai.Request, prompt string) pkquarantine.Digest {
	same := pkquarantine.Identity{Account: c.account.ID, Method: c.r.Method, URI: c.r.URL.Path, Body: []byte(req.Model + "\n" + prompt)}
	return same.Digest()
}

func (c *call) decode(endpoint pkopenai.Endpoint) (pkopenai.Request, error) {
	limit := c.view.Manifest.Limits.MaxBody
	if c.r.ContentLength > limit {
		c.w.Header().Set("Connection", "close")
		return pkopenai.Request{}, c.invalid(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body may have %d bytes", limit))
	}
	control := http.NewResponseController(c.w)
	// A body that comes byte by byte would hold memory and a connection.
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return pkopenai.Request{}, err
	}
	req, err := pkopenai.Decode(http.MaxBytesReader(c.w, c.r.Body, limit), endpoint)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return req, c.invalid(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body may have %d bytes", limit))
	case err != nil:
		return req, c.invalid(http.StatusBadRequest, "invalid_body", err.Error())
	}
	return req, control.SetReadDeadline(time.Time{})
}

// model finds a model by the name that the caller wrote: MODEL or
// MODEL:ADAPTER.
func (c *call) model(name pkid.ModelID) (*pkmanifest.Model, pkid.AdapterID, bool) {
	base, adapter, _ := strings.Cut(string(name), ":")
	m, found := c.view.Model(c.account, pkid.ModelID(base))
	if !found {
		return nil, "", false
	}
	if adapter == "" {
		return m, "", true
	}
	for _, one := range m.Adapters {
		if string(one) == adapter {
			return m, one, true
		}
	}
	return nil, "", false
}

func (c *call) run(run pkanswer.Request, req pkopenai.Request, endpoint pkopenai.Endpoint) error {
	ctx, cancel := context.WithDeadline(c.r.Context(), run.Deadline)
	defer cancel()
	g := c.gate(run.Want.Pool)
	g.budget.Earn()
	leave, err := c.admit(ctx, g, pkadmit.Ask{
		Account:     c.account.ID,
		Weight:      c.account.Weight,
		MaxInFlight: c.account.MaxInFlight,
		Tokens:      run.PromptTokens + run.MaxTokens,
		Deadline:    run.Deadline,
		Least:       c.least(run, g.output.Expect(run.MaxTokens)),
	})
	if err != nil {
		return err
	}
	var used pkid.Tokens
	defer func() { leave(run.PromptTokens + used) }()
	head := pkopenai.Head{ID: c.id, Model: pkid.ModelID(req.Model), Created: c.began, Endpoint: endpoint}
	out := answer{head: head}
	if req.Stream {
		include := req.StreamOptions != nil && req.StreamOptions.IncludeUsage
		out.stream = pkopenai.NewStream(c.w, head, include)
	}
	sink := &timed{sink: &out, call: c, last: c.began}
	finish, err := c.runner.Run(ctx, run, sink, g.budget, &watcher{call: c})
	used = finish.Tokens
	c.record(run, req, finish)
	if err != nil {
		return c.failed(&out, err)
	}
	g.output.Observe(run.MaxTokens, finish.Tokens)
	return out.end(c.w, finish, pkopenai.NewUsage(run.PromptTokens, finish.Tokens))
}

// least returns the time that a request needs once it starts: its prompt, and
// the tokens that it will probably use.
func (c *call) least(run pkanswer.Request, output pkid.Tokens) time.Duration {
	now := time.Now()
	chain, err := c.Choose(now, run.Want, nil)
	if err != nil {
		return 0
	}
	least := time.Duration(output) * chain.Step
	for _, t := range chain.Stages {
		if r, _, known := t.Reported(now); known {
			least += time.Duration(run.PromptTokens) * r.Prefill
		}
	}
	return least
}

// failed tells the caller of a stream that began that it is not whole.
func (c *call) failed(out *answer, err error) error {
	if out.stream == nil || !out.stream.Begun() {
		return err
	}
	f := failure(err)
	f.RequestID = pkid.RequestID(c.givenID())
	if werr := out.stream.Fail(f); werr != nil {
		c.log.Debug("the caller did not take the failure", "request_id", c.givenID(), "error", werr)
	}
	return fmt.Errorf("%w: %w", errBegun, err)
}

func (c *call) record(run pkanswer.Request, req pkopenai.Request, f pkanswer.Finish) {
	if f.Tokens == 0 {
		// A replay could not tell what to ask for.
		return
	}
	err := c.recorder.add(c.began, pktrace.Line{
		Kind:         pktrace.KindModel,
		Account:      c.account.ID,
		Model:        run.Want.Model,
		Stream:       req.Stream,
		PromptTokens: run.PromptTokens,
		OutputTokens: f.Tokens,
		DeadlineMS:   run.Deadline.Sub(c.began).Milliseconds(),
	})
	if err != nil {
		c.log.Warn("the request was not recorded", "error", err)
	}
}

// answer takes tokens for a stream or for a whole answer.
type answer struct {
	head   pkopenai.Head
	stream *pkopenai.Stream
	said   strings.Builder
}

// Token takes one token.
func (a *answer) Token(index pkid.Index, text string) error {
	if a.stream != nil {
		return a.stream.Token(index, text)
	}
	a.said.WriteString(text)
	return nil
}

func (a *answer) end(w http.ResponseWriter, f pkanswer.Finish, u pkopenai.Usage) error {
	if a.stream != nil {
		return a.stream.End(f.Reason, u)
	}
	return pkopenai.WriteWhole(w, a.head, a.said.String(), f.Reason, u)
}

// timed measures the time to the first token and between tokens.
type timed struct {
	sink pkanswer.Sink
	call *call
	last time.Time
}

// Token passes a token on and measures it.
func (t *timed) Token(index pkid.Index, text string) error {
	now := time.Now()
	if index == 0 {
		t.call.metrics.firstToken.Observe(now.Sub(t.last).Seconds())
	} else {
		t.call.metrics.betweenTokens.Observe(now.Sub(t.last).Seconds())
	}
	t.last = now
	return t.sink.Token(index, text)
}

// watcher makes a span of each attempt.
type watcher struct {
	call *call
	span trace.Span
}

// AttemptBegan starts the attempt's span.
func (w *watcher) AttemptBegan(ctx context.Context, attempt pkid.Attempt, chain pkroute.Chain) context.Context {
	ctx, w.span = w.call.tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	w.span.SetAttributes(attribute.Int("attempt", int(attempt)))
	if w.span.IsRecording() {
		var stages []string
		for _, t := range chain.Stages {
			stages = append(stages, string(t.Info.ID))
		}
		w.span.SetAttributes(attribute.StringSlice("stages", stages))
	}
	if attempt > 1 {
		w.call.metrics.resumed.Inc()
	}
	carrier := propagation.MapCarrier{}
	w3c.Inject(ctx, carrier)
	return pkengine.WithTrace(ctx, carrier.Get("traceparent"))
}

// AttemptEnded ends the attempt's span.
func (w *watcher) AttemptEnded(_ context.Context, attempt pkid.Attempt, err error) {
	if err != nil {
		w.span.SetStatus(codes.Error, "the attempt was given up")
		w.call.metrics.givenUp.WithLabelValues(failure(err).Verdict.String()).Inc()
		w.call.log.Info("an attempt was given up", "request_id", w.call.givenID(),
			"trace_id", w.span.SpanContext().TraceID().String(), "attempt", attempt, "error", err)
	}
	w.span.End()
}

const (
	cancelQueue   = 1024
	cancelTimeout = 500 * time.Millisecond
	cancelsAtOnce = 8
)

// cancelled is an attempt that an engine should stop.
type cancelled struct {
	addr    string
	id      pkid.RequestID
	attempt pkid.Attempt
}

// cancel asks for an attempt to be stopped, without waiting: the engine that
// should be told is often the one that is lost.
func (e *Entry) cancel(addr string, id pkid.RequestID, attempt pkid.Attempt) {
	select {
	case e.cancelled <- cancelled{addr: addr, id: id, attempt: attempt}:
	default:
		// The closed connection tells the engine as well.
	}
}

func (e *Entry) sendCancels(ctx context.Context) {
	slots := make(chan struct{}, cancelsAtOnce)
	for {
		select {
		case <-ctx.Done():
			return
		case one := <-e.cancelled:
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				call, cancel := context.WithTimeout(ctx, cancelTimeout)
				defer cancel()
				if err := e.ports.Engines.Cancel(call, one.addr, one.id, one.attempt); err != nil {
					e.log.Debug("an attempt could not be cancelled", "error", err)
				}
			}()
		}
	}
}
