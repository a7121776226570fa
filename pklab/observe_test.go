package pklab

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"peridotknot.example/pkentry"
	"peridotknot.example/pkopenai"
	"peridotknot.example/pksample"
	"peridotknot.example/pktrace"
)

// locked is a log that entries write to at once.
type locked struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *locked) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *locked) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// observed is a lab whose logs, spans and recording are kept.
type observed struct {
	*Lab
	log    *locked
	spans  *tracetest.InMemoryExporter
	record string
}

func startObserved(t *testing.T) observed {
	manifest, err := pksample.File("aare", pksample.FileManifest)
	assert.NilError(t, err)
	o := observed{log: &locked{}, spans: tracetest.NewInMemoryExporter(), record: filepath.Join(t.TempDir(), "trace.jsonl")}
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(o.spans))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	o.Lab, err = Start(ctx, Options{
		Standins: quick(t),
		Manifest: manifest,
		Entries:  1,
		Log:      hclog.New(&hclog.LoggerOptions{Level: hclog.Trace, Output: o.log}),
		Tracer:   provider.Tracer("test"),
		Change:   func(_ int, s *pkentry.Settings) { s.Record = o.record },
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, o.Close()) })
	return o
}

func get(t *testing.T, url string) string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody)
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return string(raw)
}

// A member writes something private and sends it with a key. Whatever the
// router keeps of the request, neither may stand in it.
func TestNothingPrivateIsKept(t *testing.T) {
	l := startObserved(t)
	secret := "geheimnis-der-stimmabgabe"
	k := key(t)
	body := strings.Replace(chat, "hi", secret, 1)
	resp, _ := post(t, l.Lab, "/v1/chat/completions", k, body)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	post(t, l.Lab, "/services/voting/slots/"+secret+"?q="+secret, k, secret)
	post(t, l.Lab, "/v1/chat/completions", k, `{"model":"`+secret+`","messages":[{"role":"user","content":"x"}]}`)
	post(t, l.Lab, "/v1/chat/completions", k+"x", body)
	recorded, err := os.ReadFile(l.record)
	assert.NilError(t, err)
	var spans strings.Builder
	for _, s := range l.spans.GetSpans() {
		spans.WriteString(s.Name)
		for _, a := range s.Attributes {
			spans.WriteString(a.Value.String())
		}
		for _, ev := range s.Events {
			for _, a := range ev.Attributes {
				spans.WriteString(a.Value.String())
			}
		}
	}
	admin := "http://" + l.Addresses()[0].Admin
	for where, text := range map[string]string{
		"logs": l.log.String(), "spans": spans.String(), "recording": string(recorded),
		"metrics": get(t, admin+"/metrics"), "status": get(t, admin+pkentry.PathStatus),
	} {
		assert.Assert(t, text != "", where)
		for line := range strings.Lines(text) {
			assert.Assert(t, !strings.Contains(line, secret), "%s: %s", where, line)
		}
		assert.Assert(t, !strings.Contains(text, strings.Split(k, "_")[2]), where)
	}
}

func TestRecordingCanBeReplayed(t *testing.T) {
	l := startObserved(t)
	post(t, l.Lab, "/v1/chat/completions", key(t), chat)
	post(t, l.Lab, "/services/voting/slots/1", key(t), "body", pkopenai.HeaderDeadline, "3s")
	raw, err := os.ReadFile(l.record)
	assert.NilError(t, err)
	lines, err := pktrace.Read(l.record, bytes.NewReader(raw))
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 2)
	assert.Equal(t, int(lines[0].OutputTokens), 3)
	assert.Equal(t, lines[1].BodyBytes, int64(4))
	assert.Equal(t, lines[1].DeadlineMS, int64(3000))
	keys, err := pksample.Keys("aare")
	assert.NilError(t, err)
	replay := pktrace.Replay{Lines: lines, Entries: l.Addresses, Keys: keys, Inject: l.Inject}
	out, err := replay.Run(t.Context())
	assert.NilError(t, err)
	for _, r := range out.Results {
		assert.Equal(t, r.Class, pktrace.Whole, r.Detail)
	}
}

// An operator follows one request through the router. Each hop must have its
// span, all in the trace that the caller began.
func TestEachHopHasASpan(t *testing.T) {
	l := startObserved(t)
	const trace = "0af7651916cd43dd8448eb211c80319c"
	post(t, l.Lab, "/v1/chat/completions", key(t), chat, "traceparent", "00-"+trace+"-b7ad6b7169203331-01")
	post(t, l.Lab, "/services/voting/x", key(t), "", "traceparent", "00-"+trace+"-b7ad6b7169203331-01")
	have := map[string]int{}
	for _, s := range l.spans.GetSpans() {
		if s.SpanContext.TraceID().String() == trace {
			have[s.Name]++
		}
	}
	assert.DeepEqual(t, have, map[string]int{"call": 2, "admission": 2, "attempt": 1, "service": 1})
	assert.Assert(t, strings.Contains(l.log.String(), "trace_id="+trace))
}
