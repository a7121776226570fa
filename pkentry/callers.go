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
	"peridotknot.example/pkverdict"
)

const (
	servicePrefix = "/services/"
	maxGivenID    = 128
	// comeBack is when to come back to an entry that is not ready.
	comeBack = time.Second
)

var w3c = propagation.TraceContext{}

func (e *Entry) callersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/models", e.called(e.listModels))
	mux.HandleFunc("POST /v1/chat/completions", e.called(e.chat))
	mux.HandleFunc("POST /v1/completions", e.called(e.completion))
	mux.HandleFunc(servicePrefix+"{service}/", e.called(e.callService))
	mux.HandleFunc("/", e.called(func(c *call) error {
		return c.invalid(http.StatusNotFound, "not_found", "there is nothing at this path")
	}))
	return mux
}

// call is one caller's request on its way through the entry.
type call struct {
	*Entry
	w       http.ResponseWriter
	r       *http.Request
	id      pkid.RequestID
	began   time.Time
	view    *pkmanifest.View
	account *pkmanifest.Account
	span    trace.Span
	// key is for logs and metrics: model:id or service:id.
	key string
}

// called wraps a handler with what every call needs: an id, a span, a manifest
// and an account. An error from the handler is written as the answer.
func (e *Entry) called(do func(*call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx := w3c.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := e.tracer.Start(ctx, "call", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		c := &call{Entry: e, w: w, r: r.WithContext(ctx), id: pkid.RequestID(ulid.Make().String()), began: time.Now(), span: span}
		w.Header().Set(pkopenai.HeaderRequestID, c.givenID())
		span.SetAttributes(attribute.String("request_id", c.givenID()))
		err := c.identify()
		if err == nil {
			err = do(c)
		}
		c.finish(err)
	}
}

// givenID returns the caller's own request id if it gave a decent one.
func (c *call) givenID() string {
	given := c.r.Header.Get(pkopenai.HeaderRequestID)
	if given == "" || len(given) > maxGivenID || strings.ContainsFunc(given, notPrintable) {
		return string(c.id)
	}
	return given
}

func notPrintable(r rune) bool { return r <= ' ' || r > '~' }

func (c *call) identify() error {
	if c.refusing.Load() {
		c.w.Header().Set("Connection", "close")
		return &pkopenai.Failure{Status: http.StatusServiceUnavailable, Type: pkopenai.TypeServer, Code: "stopping", Message: "this entry is stopping", Verdict: pkverdict.NotRun, RetryAfter: comeBack}
	}
	c.view = c.Entry.view.Load()
	if c.view == nil {
		return &pkopenai.Failure{Status: http.StatusServiceUnavailable, Type: pkopenai.TypeServer, Code: "no_manifest", Message: "this entry has no manifest yet", Verdict: pkverdict.NotRun, RetryAfter: comeBack}
	}
	key, found := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return c.denied("an API key is missing: send it as Authorization: Bearer KEY")
	}
	account, found := c.view.Account(key)
	if !found {
		return c.denied("the API key is not known")
	}
	c.account = account
	c.span.SetAttributes(attribute.String("account", string(account.ID)))
	return nil
}

func (c *call) denied(text string) error {
	return &pkopenai.Failure{Status: http.StatusUnauthorized, Type: pkopenai.TypeAuth, Code: "invalid_api_key", Message: text, Verdict: pkverdict.NotRun}
}

func (c *call) invalid(status int, code, text string) error {
	return &pkopenai.Failure{Status: status, Type: pkopenai.TypeInvalid, Code: code, Message: text, Verdict: pkverdict.NotRun}
}

// deadline returns when the call must be answered.
func (c *call) deadline() (time.Time, error) {
	var ask time.Duration
	if text := c.r.Header.Get(pkopenai.HeaderDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return time.Time{}, c.invalid(http.StatusBadRequest, "bad_timeout", pkopenai.HeaderDeadline+" must be a duration such as 800ms or 20s")
		}
		ask = d
	}
	return c.began.Add(c.view.Manifest.Limits.Deadline(ask)), nil
}

// admit waits until the pool's gate lets the call in. The returned function
// gives the place back; it takes the tokens that were used.
func (c *call) admit(ctx context.Context, g *gate, ask pkadmit.Ask) (func(pkid.Tokens), error) {
	_, span := c.tracer.Start(ctx, "admission")
	defer span.End()
	t, refusal := g.Enter(time.Now(), ask)
	if refusal != nil {
		return nil, c.overload(refusal)
	}
	select {
	case <-t.Ready():
	case <-ctx.Done():
		if !g.Withdraw(time.Now(), t) {
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

// failure turns any error of a call into what the caller gets.
func failure(err error) pkopenai.Failure {
	var f *pkopenai.Failure
	if errors.As(err, &f) {
		return *f
	}
	var v *pkverdict.Error
	if !errors.As(err, &v) {
		return pkopenai.Failure{Status: http.StatusInternalServerError, Type: pkopenai.TypeServer, Code: "internal", Message: "the entry failed", Verdict: pkverdict.MayHaveRun}
	}
	out := pkopenai.Failure{Status: http.StatusBadGateway, Type: pkopenai.TypeServer, Code: string(v.Reason), Message: text[v.Reason], Verdict: v.Verdict}
	switch v.Reason {
	case pkverdict.ReasonDeadline:
		out.Status = http.StatusGatewayTimeout
	case pkverdict.ReasonNoRoute, pkverdict.ReasonStopping, pkverdict.ReasonQuarantined:
		out.Status = http.StatusServiceUnavailable
	case pkverdict.ReasonOverload, pkverdict.ReasonTargetLost, pkverdict.ReasonUnreachable, pkverdict.ReasonRefused, pkverdict.ReasonCanceled:
	}
	if v.Verdict == pkverdict.NotRun {
		out.RetryAfter = comeBack
	}
	return out
}

// text is what callers read. Causes stay in the log: they name addresses.
var text = map[pkverdict.Reason]string{
	pkverdict.ReasonDeadline:    "the request was not done by its deadline",
	pkverdict.ReasonNoRoute:     "no usable targets hold what the request needs",
	pkverdict.ReasonTargetLost:  "the targets of the request were lost",
	pkverdict.ReasonUnreachable: "no target of the request could be reached",
	pkverdict.ReasonRefused:     "the target refused the request",
	pkverdict.ReasonStopping:    "this entry is stopping",
	pkverdict.ReasonCanceled:    "the request was canceled",
	pkverdict.ReasonQuarantined: "targets that ran this request have ended, and it is not sent to others for some minutes",
}

// finish writes the answer to a failed call, and logs and counts every call.
func (c *call) finish(err error) {
	took := time.Since(c.began)
	verdict := pkverdict.Ran
	if err != nil {
		f := failure(err)
		f.RequestID = pkid.RequestID(c.givenID())
		verdict = f.Verdict
		c.span.SetStatus(codes.Error, f.Code)
		if werr := c.answerFailure(err, f); werr != nil {
			c.log.Debug("the caller did not take the answer", "request_id", c.givenID(), "error", werr)
		}
	}
	c.metrics.requests.WithLabelValues(c.kind(), verdict.String()).Inc()
	c.log.Debug("call", "request_id", c.givenID(), "trace_id", c.span.SpanContext().TraceID().String(),
		"what", c.key, "verdict", verdict, "took", took, "error", loggable(err))
}

// loggable returns what may be logged of an error. What callers are told can
// quote what they sent; its code says enough for a log.
func loggable(err error) any {
	var f *pkopenai.Failure
	if errors.As(err, &f) {
		return f.Code
	}
	return err
}

// errBegun marks a failure after the answer began; the handler said so itself.
var errBegun = errors.New("the answer had begun")

func (c *call) answerFailure(err error, f pkopenai.Failure) error {
	if errors.Is(err, errBegun) {
		return nil
	}
	return f.Write(c.w)
}

func (c *call) kind() string {
	kind, _, _ := strings.Cut(c.key, ":")
	if kind == "" {
		return "none"
	}
	return kind
}
