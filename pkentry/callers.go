package pkentry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"peridotknot.example/pkadmit"
	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pkopenai"
	"peridotknot.example/pkserver"
	"peridotknot.example/pkverdict"
)

const (
	servicePrefix   = "/services/"
	maxRequestIDLen = 128
	// defaultRetryAfter is the Retry-After of responses to requests that were not run.
	defaultRetryAfter = time.Second
)

var w3c = propagation.TraceContext{}

func (e *Entry) callersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/models", e.handle(e.listModels))
	mux.HandleFunc("POST /v1/chat/completions", e.handle(e.chat))
	mux.HandleFunc("POST /v1/completions", e.handle(e.completion))
	mux.HandleFunc(servicePrefix+"{service}/", e.handle(e.callService))
	mux.HandleFunc("/", e.handle(func(c *call) error {
		return c.invalid(http.StatusNotFound, "not_found", "there is nothing at this path")
	}))
	return mux
}

// call is a client's request while the entry handles it.
type call struct {
	*Entry
	w     http.ResponseWriter
	r     *http.Request
	id    pkid.RequestID
	began time.Time
	view  *pkmanifest.View
	// holding is what the call holds of the memory for callers, bodyRead is set once its body was read to its end.
	holding  *pkserver.Holding
	bodyRead bool
	account  *pkmanifest.Account
	span     trace.Span
	// resource is what the request addresses, for logs and metrics: "models:", "model:ID" or
	// "service:ID".
	resource string
}

// handle wraps do with the steps common to all calls: it assigns a request ID, starts a span, takes a
// manifest snapshot and authenticates the account. An error from do is written as the response.
func (e *Entry) handle(do func(*call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx := w3c.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := e.tracer.Start(ctx, "call", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		c := &call{Entry: e, w: w, r: r.WithContext(ctx), id: pkid.RequestID(ulid.Make().String()), began: time.Now(), span: span, holding: pkserver.HoldingOf(r.Context())}
		w.Header().Set(pkopenai.HeaderRequestID, c.requestID())
		span.SetAttributes(attribute.String("request_id", c.requestID()))
		err := c.boundBody()
		if err == nil {
			err = c.authenticate()
		}
		if err == nil {
			err = do(c)
		}
		c.finish(err)
	}
}

// requestID returns the request ID from the client's header if it is valid, or else the generated
// one.
func (c *call) requestID() string {
	given := c.r.Header.Get(pkopenai.HeaderRequestID)
	if given == "" || len(given) > maxRequestIDLen || strings.ContainsFunc(given, notPrintable) {
		return string(c.id)
	}
	return given
}

func notPrintable(r rune) bool { return r <= ' ' || r > '~' }

func (c *call) authenticate() error {
	if c.refusing.Load() {
		c.w.Header().Set("Connection", "close")
		return &pkopenai.Failure{Status: http.StatusServiceUnavailable, Type: pkopenai.TypeServer, Code: "stopping", Message: "this entry is stopping", Verdict: pkverdict.NotRun, RetryAfter: defaultRetryAfter}
	}
	c.view = c.Entry.view.Load()
	if c.view == nil {
		return &pkopenai.Failure{Status: http.StatusServiceUnavailable, Type: pkopenai.TypeServer, Code: "no_manifest", Message: "this entry has no manifest yet", Verdict: pkverdict.NotRun, RetryAfter: defaultRetryAfter}
	}
	key, found := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return c.unauthorized("an API key is missing: send it as Authorization: Bearer KEY")
	}
	account, found := c.view.Account(key)
	if !found {
		return c.unauthorized("the API key is not known")
	}
	c.account = account
	c.holding.SetAccount(string(account.ID))
	if err := c.holding.Admit(c.r.Context()); err != nil {
		return c.busyOr(err, err)
	}
	c.span.SetAttributes(attribute.String("account", string(account.ID)))
	return nil
}

func (c *call) unauthorized(text string) error {
	return &pkopenai.Failure{Status: http.StatusUnauthorized, Type: pkopenai.TypeAuth, Code: "invalid_api_key", Message: text, Verdict: pkverdict.NotRun}
}

func (c *call) invalid(status int, code, text string) error {
	return &pkopenai.Failure{Status: status, Type: pkopenai.TypeInvalid, Code: code, Message: text, Verdict: pkverdict.NotRun}
}

// deadline returns the deadline of the call, from the timeout header within the manifest's limits.
func (c *call) deadline() (time.Time, error) {
	var requested time.Duration
	if text := c.r.Header.Get(pkopenai.HeaderDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return time.Time{}, c.invalid(http.StatusBadRequest, "bad_timeout", pkopenai.HeaderDeadline+" must be a duration such as 800ms or 20s")
		}
		requested = d
	}
	return c.began.Add(c.view.Manifest.Limits.Deadline(requested)), nil
}

// admit waits for admission by the pool's gate. The returned function releases the slot and reports
// the number of tokens used.
func (c *call) admit(ctx context.Context, g *gate, req pkadmit.Request) (func(pkid.Tokens), error) {
	_, span := c.tracer.Start(ctx, "admission")
	defer span.End()
	t, refusal := g.Enter(time.Now(), req)
	if refusal != nil {
		return nil, c.overload(refusal)
	}
	select {
	case <-t.Ready():
	case <-ctx.Done():
		if !g.Cancel(time.Now(), t) {
			return nil, &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonCanceled, Err: ctx.Err()}
		}
	}
	if refusal := t.Refused(); refusal != nil {
		return nil, c.overload(refusal)
	}
	return func(used pkid.Tokens) { g.Leave(time.Now(), t, used) }, nil
}

func (c *call) overload(r *pkadmit.Refusal) error {
	code := pkverdict.ReasonOverload
	if r.Late {
		code = pkverdict.ReasonDeadline
	}
	return &pkopenai.Failure{
		Status: http.StatusTooManyRequests, Type: pkopenai.TypeOverload, Code: string(code),
		Message: r.Error(), Verdict: pkverdict.NotRun, RetryAfter: r.RetryAfter,
	}
}

// failure maps an error of a call to the response for the client.
func failure(err error) pkopenai.Failure {
	var f *pkopenai.Failure
	if errors.As(err, &f) {
		return *f
	}
	var v *pkverdict.Error
	if !errors.As(err, &v) {
		return pkopenai.Failure{Status: http.StatusInternalServerError, Type: pkopenai.TypeServer, Code: "internal", Message: "the entry failed", Verdict: pkverdict.MayHaveRun}
	}
	out := pkopenai.Failure{Status: http.StatusBadGateway, Type: pkopenai.TypeServer, Code: string(v.Reason), Message: reasonMessages[v.Reason], Verdict: v.Verdict}
	switch v.Reason {
	case pkverdict.ReasonDeadline:
		out.Status = http.StatusGatewayTimeout
	case pkverdict.ReasonNoRoute, pkverdict.ReasonStopping, pkverdict.ReasonQuarantined:
		out.Status = http.StatusServiceUnavailable
	case pkverdict.ReasonOverload, pkverdict.ReasonTargetLost, pkverdict.ReasonUnreachable, pkverdict.ReasonCutOff, pkverdict.ReasonRefused, pkverdict.ReasonCanceled:
	}
	if v.Verdict == pkverdict.NotRun {
		out.RetryAfter = defaultRetryAfter
	}
	return out
}

// reasonMessages are the messages for clients. The underlying errors are only logged, since they
// contain internal addresses.
var reasonMessages = map[pkverdict.Reason]string{
	pkverdict.ReasonDeadline:    "the request was not done by its deadline",
	pkverdict.ReasonNoRoute:     "no usable targets hold what the request needs",
	pkverdict.ReasonTargetLost:  "the targets of the request were lost",
	pkverdict.ReasonUnreachable: "no target of the request could be reached",
	pkverdict.ReasonCutOff:      "no target of the request could be reached",
	pkverdict.ReasonRefused:     "the target refused the request",
	pkverdict.ReasonStopping:    "this entry is stopping",
	pkverdict.ReasonCanceled:    "the request was canceled",
	pkverdict.ReasonQuarantined: "targets that ran this request have ended, and it is not sent to others for some minutes",
}

// finish writes the error response of a failed call, and logs and counts every call.
func (c *call) finish(err error) {
	took := time.Since(c.began)
	verdict := pkverdict.Ran
	if err != nil {
		f := failure(err)
		f.RequestID = pkid.RequestID(c.requestID())
		verdict = f.Verdict
		c.span.SetStatus(codes.Error, f.Code)
		if werr := c.writeFailure(err, f); werr != nil {
			c.log.Debug("failed to write error response", "request_id", c.requestID(), "error", werr)
		}
	}
	c.metrics.requests.WithLabelValues(c.kind(), verdict.String()).Inc()
	c.log.Debug("call", "request_id", c.requestID(), "trace_id", c.span.SpanContext().TraceID().String(),
		"what", c.resource, "verdict", verdict, "took", took, "error", loggableError(err))
}

// loggableError returns the loggable form of an error: only the code of a client-facing failure,
// because its message can quote request data.
func loggableError(err error) any {
	var f *pkopenai.Failure
	if errors.As(err, &f) {
		return f.Code
	}
	return err
}

// errResponseStarted marks an error after the response was started; the handler has already
// reported it to the client where the protocol allows.
var errResponseStarted = errors.New("response already started")

func (c *call) writeFailure(err error, f pkopenai.Failure) error {
	if errors.Is(err, errResponseStarted) {
		return nil
	}
	if !c.leavesBody() {
		return f.Write(c.w)
	}
	var written error
	refused := c.holding.Refuse(c.w, func() { written = f.Write(c.w) })
	return errors.Join(written, refused)
}

func (c *call) kind() string {
	kind, _, _ := strings.Cut(c.resource, ":")
	if kind == "" {
		return "none"
	}
	return kind
}
