package pkentry

import (
	"context"
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

// bodyTimeout bounds the time to read the body of a model request.
const bodyTimeout = 10 * time.Second

func (e *Entry) listModels(c *call) error {
	c.resource = "models:"
	return pkopenai.WriteModels(c.w, c.account.Models)
}

func (e *Entry) chat(c *call) error { return c.generate(pkopenai.Chat) }

func (e *Entry) completion(c *call) error { return c.generate(pkopenai.Completion) }

// generate handles a model request.
func (c *call) generate(endpoint pkopenai.Endpoint) error {
	c.resource = "model:"
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
	c.resource = "model:" + string(m.ID)
	prompt := req.PromptText(endpoint)
	limits := c.view.Manifest.Limits
	run := pkanswer.Request{
		ID:           c.id,
		Digest:       c.digest(req, prompt),
		Spec:         c.chooseSpec(m, adapter),
		Prompt:       prompt,
		PromptTokens: pkopenai.EstimateTokens(prompt),
		MaxTokens:    min(req.MaxTokensOr(limits.MaxOutputTokens), limits.MaxOutputTokens),
		Priority:     c.account.Priority,
		Deadline:     deadline,
	}
	c.holding.ShrinkTo(promptCopies * len(prompt))
	if run.PromptTokens > limits.MaxPromptTokens {
		return c.invalid(http.StatusBadRequest, "context_length_exceeded", fmt.Sprintf("the prompt has about %d tokens, %d are allowed", run.PromptTokens, limits.MaxPromptTokens))
	}
	return c.run(run, req, endpoint)
}

// digest returns a digest of a model request without its ID, by which the quarantine recognizes a
// request that is sent again.
func (c *call) digest(req pkopenai.Request, prompt string) pkquarantine.Digest {
	identity := pkquarantine.Identity{Account: c.account.ID, Method: c.r.Method, URI: c.r.URL.Path, Body: []byte(req.Model + "\n" + prompt)}
	return identity.Digest()
}

func (c *call) decode(endpoint pkopenai.Endpoint) (pkopenai.Request, error) {
	control := http.NewResponseController(c.w)
	// A slow client must not hold memory and a connection indefinitely.
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return pkopenai.Request{}, err
	}
	body, err := c.readBody()
	if err != nil {
		return pkopenai.Request{}, err
	}
	if err := c.holding.Grow(c.r.Context(), decodeCopies*len(body)); err != nil {
		return pkopenai.Request{}, c.busyOr(err, err)
	}
	req, err := pkopenai.Decode(body, endpoint)
	if err != nil {
		return req, c.invalid(http.StatusBadRequest, "invalid_body", err.Error())
	}
	return req, control.SetReadDeadline(time.Time{})
}

// model looks up a model by the name in the request: MODEL or MODEL:ADAPTER.
func (c *call) model(name pkid.ModelID) (*pkmanifest.Model, pkid.AdapterID, bool) {
	base, adapter, _ := strings.Cut(string(name), ":")
	m, found := c.view.Model(c.account, pkid.ModelID(base))
	if !found {
		return nil, "", false
	}
	if adapter == "" {
		return m, "", true
	}
	for _, id := range m.Adapters {
		if string(id) == adapter {
			return m, id, true
		}
	}
	return nil, "", false
}

func (c *call) run(run pkanswer.Request, req pkopenai.Request, endpoint pkopenai.Endpoint) error {
	ctx, cancel := context.WithDeadline(c.r.Context(), run.Deadline)
	defer cancel()
	g := c.gate(run.Spec.Pool)
	g.budget.Earn()
	leave, err := c.admit(ctx, g, pkadmit.Request{
		Account:        c.account.ID,
		Weight:         c.account.Weight,
		MaxInFlight:    c.account.MaxInFlight,
		Tokens:         run.PromptTokens + run.MaxTokens,
		Deadline:       run.Deadline,
		MinServiceTime: c.minServiceTime(run, g.output.Estimate(run.MaxTokens)),
	})
	if err != nil {
		return err
	}
	var used pkid.Tokens
	defer func() { leave(run.PromptTokens + used) }()
	info := pkopenai.ResponseInfo{ID: c.id, Model: pkid.ModelID(req.Model), Created: c.began, Endpoint: endpoint}
	out := answerSink{info: info}
	if req.Stream {
		include := req.StreamOptions != nil && req.StreamOptions.IncludeUsage
		out.stream = pkopenai.NewStream(c.w, info, include)
	}
	sink := &timedSink{sink: &out, call: c, last: c.began}
	result, err := c.runner.Run(ctx, run, sink, g.budget, &attemptTracer{call: c})
	used = result.Tokens
	c.record(run, req, result)
	if err != nil {
		return c.failStream(&out, err)
	}
	g.output.Observe(run.MaxTokens, result.Tokens)
	return out.end(c.w, result, pkopenai.NewUsage(run.PromptTokens, result.Tokens))
}

// minServiceTime estimates how long a request runs after admission: the prefill of its prompt plus
// the decoding of its output tokens. It returns zero if no chain is available.
func (c *call) minServiceTime(run pkanswer.Request, output pkid.Tokens) time.Duration {
	now := time.Now()
	chain, err := c.Choose(now, run.Spec, nil)
	if err != nil {
		return 0
	}
	estimate := time.Duration(output) * chain.StepTime
	for _, t := range chain.Stages {
		if r, _, known := t.LastReport(now); known {
			estimate += time.Duration(run.PromptTokens) * r.Prefill
		}
	}
	return estimate
}

// failStream ends a started stream with an error event, so that the client does not take it for
// complete. If no stream was started, it returns err.
func (c *call) failStream(out *answerSink, err error) error {
	if out.stream == nil || !out.stream.Started() {
		return err
	}
	f := failure(err)
	f.RequestID = pkid.RequestID(c.requestID())
	if werr := out.stream.WriteError(f); werr != nil {
		c.log.Debug("failed to write error event to stream", "request_id", c.requestID(), "error", werr)
	}
	return fmt.Errorf("%w: %w", errResponseStarted, err)
}

func (c *call) record(run pkanswer.Request, req pkopenai.Request, f pkanswer.Result) {
	if f.Tokens == 0 {
		// A replay needs the number of output tokens to request.
		return
	}
	err := c.recorder.add(c.began, pktrace.Line{
		Kind:         pktrace.KindModel,
		Account:      c.account.ID,
		Model:        run.Spec.Model,
		Stream:       req.Stream,
		PromptTokens: run.PromptTokens,
		OutputTokens: f.Tokens,
		DeadlineMS:   run.Deadline.Sub(c.began).Milliseconds(),
	})
	if err != nil {
		c.log.Warn("failed to record model request", "error", err)
	}
}

// answerSink writes tokens to a stream, or collects them for a response sent as a whole.
type answerSink struct {
	info   pkopenai.ResponseInfo
	stream *pkopenai.Stream
	text   strings.Builder
}

// Token writes or collects a token.
func (a *answerSink) Token(index pkid.TokenIndex, text string) error {
	if a.stream != nil {
		return a.stream.WriteToken(index, text)
	}
	a.text.WriteString(text)
	return nil
}

func (a *answerSink) end(w http.ResponseWriter, f pkanswer.Result, u pkopenai.Usage) error {
	if a.stream != nil {
		return a.stream.Finish(f.FinishReason, u)
	}
	return pkopenai.WriteCompletion(w, a.info, a.text.String(), f.FinishReason, u)
}

// timedSink records the time to the first token and between tokens.
type timedSink struct {
	sink pkanswer.Sink
	call *call
	last time.Time
}

// Token records the latency of a token and passes it to the wrapped sink.
func (t *timedSink) Token(index pkid.TokenIndex, text string) error {
	now := time.Now()
	if index == 0 {
		t.call.metrics.firstToken.Observe(now.Sub(t.last).Seconds())
	} else {
		t.call.metrics.betweenTokens.Observe(now.Sub(t.last).Seconds())
	}
	t.last = now
	return t.sink.Token(index, text)
}

// attemptTracer records a span for each attempt, and logs and counts failed attempts.
type attemptTracer struct {
	call *call
	span trace.Span
}

// AttemptBegan starts the attempt's span and returns a context that propagates it to engines.
func (a *attemptTracer) AttemptBegan(ctx context.Context, attempt pkid.Attempt, chain pkroute.Chain) context.Context {
	ctx, a.span = a.call.tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	a.span.SetAttributes(attribute.Int("attempt", int(attempt)))
	if a.span.IsRecording() {
		var stages []string
		for _, t := range chain.Stages {
			stages = append(stages, string(t.Info.ID))
		}
		a.span.SetAttributes(attribute.StringSlice("stages", stages))
	}
	if attempt > 1 {
		a.call.metrics.resumed.Inc()
	}
	carrier := propagation.MapCarrier{}
	w3c.Inject(ctx, carrier)
	return pkengine.WithTrace(ctx, carrier.Get("traceparent"))
}

// AttemptEnded ends the attempt's span; a non-nil err marks the attempt as failed.
func (a *attemptTracer) AttemptEnded(_ context.Context, attempt pkid.Attempt, err error) {
	if err != nil {
		a.span.SetStatus(codes.Error, "the attempt was given up")
		a.call.metrics.givenUp.WithLabelValues(failure(err).Verdict.String()).Inc()
		a.call.log.Info("attempt failed", "request_id", a.call.requestID(),
			"trace_id", a.span.SpanContext().TraceID().String(), "attempt", attempt, "error", err)
	}
	a.span.End()
}

const (
	cancelQueueSize      = 1024
	cancelTimeout        = 500 * time.Millisecond
	maxConcurrentCancels = 8
)

// cancellation is a request to an engine to stop an attempt.
type cancellation struct {
	addr    string
	id      pkid.RequestID
	attempt pkid.Attempt
}

// queueCancel queues the cancellation of an attempt. It does not wait for the engine, which may be
// the one that failed.
func (e *Entry) queueCancel(addr string, id pkid.RequestID, attempt pkid.Attempt) {
	select {
	case e.cancellations <- cancellation{addr: addr, id: id, attempt: attempt}:
	default:
		// The queue is full. The engine also detects the closed connection.
	}
}

func (e *Entry) sendCancels(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentCancels)
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-e.cancellations:
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				call, cancel := context.WithTimeout(ctx, cancelTimeout)
				defer cancel()
				if err := e.ports.Engines.Cancel(call, c.addr, c.id, c.attempt); err != nil {
					e.log.Debug("failed to cancel attempt", "error", err)
				}
			}()
		}
	}
}
