package pklab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkengine"
	"peridotknot.example/pkid"
	"peridotknot.example/pkplatform"
	"peridotknot.example/pksample"
)

// backgroundStreams is the number of concurrent streams during a measurement: half of the batch
// slots of a paced lab.
const backgroundStreams = 24

// startPacedLab starts a lab whose engines all have the same token time, so that the latencies of two
// streams do not differ by engine.
func startPacedLab(b *testing.B) *Lab {
	standins := fastStandins(b)
	for kind, speed := range standins.Kinds {
		speed.Base = 3 * time.Millisecond / 32
		standins.Kinds[kind] = speed
	}
	manifest, err := pksample.File("aare", pksample.FileManifest)
	assert.NilError(b, err)
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	l, err := Start(ctx, Options{Standins: standins, Manifest: manifest, Entries: 1})
	assert.NilError(b, err)
	b.Cleanup(func() { assert.NilError(b, l.Close()) })
	return l
}

// startLoad runs backgroundStreams streams through the entry until stop is called.
func startLoad(b *testing.B, l *Lab) (stop func()) {
	_, routed := streamPaths(b, l)
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range backgroundStreams {
		wg.Go(func() {
			client := &http.Client{Transport: pkconn.DefaultOptions().Transport()}
			for {
				select {
				case <-done:
					return
				default:
					runRequest(b, client, routed(0), nil)
				}
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// BenchmarkAddedLatency measures the latency that the entry adds to a service call and to a token at
// half load. Direct and routed requests alternate within a run.
func BenchmarkAddedLatency(b *testing.B) {
	l := startPacedLab(b)
	defer startLoad(b, l)()
	client := &http.Client{Transport: pkconn.DefaultOptions().Transport()}
	b.Run("call", func(b *testing.B) {
		direct, routed := callPaths(b, l)
		compareLatency(b, func() { runRequest(b, client, direct(), nil) }, func() { runRequest(b, client, routed(), nil) })
	})
	b.Run("token", func(b *testing.B) {
		direct, routed := streamPaths(b, l)
		directTimes, routedTimes := newHistogram(), newHistogram()
		for i := 0; b.Loop(); i++ {
			runRequest(b, client, direct(i), directTimes)
			runRequest(b, client, routed(i), routedTimes)
		}
		report(b, directTimes, routedTimes)
	})
	b.Run("first_token", func(b *testing.B) {
		direct, routed := streamPaths(b, l)
		i := 0
		compareLatency(b, func() { i++; readFirstLine(b, client, direct(i)) }, func() { readFirstLine(b, client, routed(i)) })
	})
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000_000, 3) }

func compareLatency(b *testing.B, direct, routed func()) {
	directTimes, routedTimes := newHistogram(), newHistogram()
	for b.Loop() {
		began := time.Now()
		direct()
		_ = directTimes.RecordValue(time.Since(began).Nanoseconds())
		began = time.Now()
		routed()
		_ = routedTimes.RecordValue(time.Since(began).Nanoseconds())
	}
	report(b, directTimes, routedTimes)
}

func report(b *testing.B, direct, routed *hdrhistogram.Histogram) {
	const millisecond = 1e6
	for _, q := range []float64{50, 95} {
		b.ReportMetric(float64(routed.ValueAtQuantile(q)-direct.ValueAtQuantile(q))/millisecond, fmt.Sprintf("added_ms_p%.0f", q))
	}
}

// runRequest reads a response to its end and records the times between its lines, unless times is nil.
func runRequest(b *testing.B, client *http.Client, req *http.Request, times *hdrhistogram.Histogram) {
	resp, err := client.Do(req)
	assert.NilError(b, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(b, resp.StatusCode, http.StatusOK)
	if times == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		return
	}
	lines := bufio.NewScanner(resp.Body)
	last := time.Time{}
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		now := time.Now()
		if !last.IsZero() {
			_ = times.RecordValue(now.Sub(last).Nanoseconds())
		}
		last = now
	}
}

func readFirstLine(b *testing.B, client *http.Client, req *http.Request) {
	resp, err := client.Do(req)
	assert.NilError(b, err)
	_, err = bufio.NewReader(resp.Body).ReadSlice('\n')
	assert.NilError(b, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

func callPaths(b *testing.B, l *Lab) (direct, routed func() *http.Request) {
	list, err := pkplatform.New(l.Standins.PlatformAddr(), pkconn.DefaultOptions()).VMs(b.Context())
	assert.NilError(b, err)
	addr := list[len(list)-1].Addr
	direct = func() *http.Request { return request(b, http.MethodGet, "http://"+addr+"/records/1", nil) }
	routed = func() *http.Request {
		return request(b, http.MethodGet, "http://"+l.Addresses()[0].Callers+"/services/voting/records/1", nil)
	}
	return direct, routed
}

func streamPaths(b *testing.B, l *Lab) (direct, routed func(int) *http.Request) {
	const tokens = 32
	route, err := l.Route(b.Context(), "budget-de")
	assert.NilError(b, err)
	direct = func(i int) *http.Request {
		body, err := json.Marshal(pkengine.OpenRequest{
			Stream: pkid.RequestID(fmt.Sprint(i, time.Now().UnixNano())), Attempt: 1, Model: "budget-de", Version: "2026-12-01",
			Route: route, Prompt: "x", PromptTokens: 1, MaxTokens: tokens, DeadlineMS: 1000,
		})
		assert.NilError(b, err)
		return request(b, http.MethodPost, "http://"+route[0].Addr+pkengine.PathStreams, body)
	}
	routed = func(int) *http.Request {
		body := fmt.Appendf(nil, `{"model":"budget-de","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, tokens)
		return request(b, http.MethodPost, "http://"+l.Addresses()[0].Callers+"/v1/chat/completions", body)
	}
	return direct, routed
}

func request(b *testing.B, method, url string, body []byte) *http.Request {
	req, err := http.NewRequestWithContext(b.Context(), method, url, bytes.NewReader(body))
	assert.NilError(b, err)
	req.Header.Set("Authorization", "Bearer "+apiKey(b))
	return req
}

// BenchmarkRequest runs model requests with one output token, for profiles of the fixed cost of a
// request.
func BenchmarkRequest(b *testing.B) {
	l := startLab(b, 1)
	client := &http.Client{Transport: pkconn.DefaultOptions().Transport()}
	body := []byte(`{"model":"budget-de","stream":true,"max_tokens":1,"messages":[{"role":"user","content":"x"}]}`)
	b.ReportAllocs()
	for b.Loop() {
		runRequest(b, client, request(b, http.MethodPost, "http://"+l.Addresses()[0].Callers+"/v1/chat/completions", body), nil)
	}
}
