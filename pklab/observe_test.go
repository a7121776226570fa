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

// syncBuffer is a buffer for concurrent writers.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// instrumentedLab is a lab with captured logs, spans and request recording.
type instrumentedLab struct {
	*Lab
	log    *syncBuffer
	spans  *tracetest.InMemoryExporter
	record string
}

func startInstrumentedLab(t *testing.T) instrumentedLab {
	manifest, err := pksample.File("aare", pksample.FileManifest)
	assert.NilError(t, err)
	o := instrumentedLab{log: &syncBuffer{}, spans: tracetest.NewInMemoryExporter(), record: filepath.Join(t.TempDir(), "trace.jsonl")}
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(o.spans))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	o.Lab, err = Start(ctx, Options{
		Standins:       fastStandins(t),
		Manifest:       manifest,
		Entries:        1,
		Log:            hclog.New(&hclog.LoggerOptions{Level: hclog.Trace, Output: o.log}),
		Tracer:         provider.Tracer("test"),
		ModifySettings: func(_ int, s *pkentry.Settings) { s.Record = o.record },
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

// Logs, spans, the recording, metrics and status must contain neither the content of a request nor
// its API key.
func TestPrivateDataIsNotRetained(t *testing.T) {
	l := startInstrumentedLab(t)
	secret := "geheimnis-der-stimmabgabe"
	k := apiKey(t)
	body := strings.Replace(chatBody, "hi", secret, 1)
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
	l := startInstrumentedLab(t)
	post(t, l.Lab, "/v1/chat/completions", apiKey(t), chatBody)
	post(t, l.Lab, "/services/voting/slots/1", apiKey(t), "body", pkopenai.HeaderDeadline, "3s")
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

// Each hop of a request must have a span in the trace of the caller.
func TestEachHopHasASpan(t *testing.T) {
	l := startInstrumentedLab(t)
	const trace = "0af7651916cd43dd8448eb211c80319c"
	post(t, l.Lab, "/v1/chat/completions", apiKey(t), chatBody, "traceparent", "00-"+trace+"-b7ad6b7169203331-01")
	post(t, l.Lab, "/services/voting/x", apiKey(t), "", "traceparent", "00-"+trace+"-b7ad6b7169203331-01")
	spanCounts := map[string]int{}
	for _, s := range l.spans.GetSpans() {
		if s.SpanContext.TraceID().String() == trace {
			spanCounts[s.Name]++
		}
	}
	assert.DeepEqual(t, spanCounts, map[string]int{"call": 2, "admission": 2, "attempt": 1, "service": 1})
	assert.Assert(t, strings.Contains(l.log.String(), "trace_id="+trace))
}
